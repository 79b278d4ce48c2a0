#include "pearhaven/adapters/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <http_parser.h>
#include <limits>

namespace pearhaven::adapters {

namespace {

constexpr std::string_view head_end = "\r\n\r\n";

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

// Whether a comma-separated list contains the word, ignoring case.
bool list_contains(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (same_field_name(trimmed(list.substr(0, comma)), word)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

bool is_field_name(std::string_view name)
{
    const auto is_token = [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return std::isalnum(byte) != 0 ||
               std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token);
}

bool is_field_value(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    });
}

// Whether the line begins with "HTTP/1.", a digit, a space and the three digits of a status,
// followed by a space or nothing.
bool is_status_line(std::string_view line)
{
    constexpr std::string_view form = "HTTP/1.d ddd";
    const auto matches = [](char letter, char expected) {
        const bool is_digit = letter >= '0' && letter <= '9';
        return expected == 'd' ? is_digit : letter == expected;
    };
    return line.size() >= form.size() &&
           std::equal(
               form.begin(), form.end(), line.begin(),
               [&matches](char expected, char letter) { return matches(letter, expected); }) &&
           (line.size() == form.size() || line[form.size()] == ' ');
}

// Counts and validity of the fields that frame a message.
struct framing_fields {
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    bool encoding_is_chunked = true;
    bool length_is_number = true;
};

void count_field(framing_fields& seen, std::string_view name, std::string_view value)
{
    if (same_field_name(name, "Content-Length")) {
        ++seen.lengths;
        seen.length_is_number =
            !value.empty() && std::all_of(value.begin(), value.end(), [](char letter) {
                return letter >= '0' && letter <= '9';
            });
    } else if (same_field_name(name, "Transfer-Encoding")) {
        ++seen.encodings;
        seen.encoding_is_chunked = same_field_name(value, "chunked");
    } else if (same_field_name(name, "Host")) {
        ++seen.hosts;
    }
}

// Checks that each line of the head ends in CR LF and holds a valid field, that the message has
// exactly one framing, and that there are no more fields than allowed. Counts the fields.
framing_fault check_head(std::string_view head, http_reader_kind kind, std::size_t max_fields,
                         std::size_t& field_count)
{
    framing_fields seen;
    bool first = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return framing_fault::malformed;
        }
        const auto line = head.substr(0, end);
        head.remove_prefix(end + 2);
        if (first) {
            if (!is_field_value(line) ||
                (kind == http_reader_kind::responses && !is_status_line(line))) {
                return framing_fault::malformed;
            }
            first = false;
            continue;
        }
        if (line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !is_field_name(line.substr(0, colon)) ||
            !is_field_value(line.substr(colon + 1))) {
            return framing_fault::malformed;
        }
        if (++field_count > max_fields) {
            return framing_fault::head_too_long;
        }
        count_field(seen, line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    const bool one_framing =
        seen.lengths + seen.encodings <= 1 && seen.length_is_number && seen.encoding_is_chunked;
    const bool is_strict = one_framing && (kind == http_reader_kind::responses || seen.hosts == 1);
    return is_strict ? framing_fault::none : framing_fault::malformed;
}

} // namespace

bool same_field_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return lower(one) == lower(other); });
}

const std::string* find_field(const http_fields& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto& field) {
        return same_field_name(field.first, name);
    });
    return found == fields.end() ? nullptr : &found->second;
}

bool is_sendable_value(std::string_view text)
{
    return !text.empty() && trimmed(text) == text && is_field_value(text);
}

namespace {

// Short texts take no memory beside the object.
std::size_t allocated_bytes_of(const std::string& text)
{
    static const std::size_t inside = std::string().capacity();
    return text.capacity() > inside ? text.capacity() + 1 : 0;
}

} // namespace

std::size_t allocated_bytes(const http_fields& fields)
{
    std::size_t sum = fields.capacity() * sizeof(http_fields::value_type);
    for (const auto& [name, value] : fields) {
        sum += allocated_bytes_of(name) + allocated_bytes_of(value);
    }
    return sum;
}

std::size_t allocated_bytes(const http_request_head& head)
{
    return allocated_bytes_of(head.target) + allocated_bytes(head.fields);
}

bool is_answer_status(int status)
{
    constexpr int first_interim = 100;
    constexpr int switching_protocols = 101;
    constexpr int last = 599;
    return status >= first_interim && status <= last && status != switching_protocols;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    constexpr std::array<std::string_view, 11> names = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Expect",
                                                        "Content-Length"};
    const bool known = std::any_of(names.begin(), names.end(), [name](std::string_view one) {
        return same_field_name(one, name);
    });
    return known || list_contains(connection, name);
}

namespace {

// Whether the head gives the body no length, so that only the close of the connection ends it.
bool has_body_until_close(const http_parser& parser)
{
    constexpr unsigned status_no_content = 204;
    constexpr unsigned status_not_modified = 304;
    const bool has_no_body = parser.status_code < 200 || parser.status_code == status_no_content ||
                             parser.status_code == status_not_modified;
    const bool has_length = parser.content_length != std::numeric_limits<std::uint64_t>::max();
    return !has_no_body && !has_length && (parser.flags & F_CHUNKED) == 0;
}

} // namespace

class http_reader::state {
public:
    state(http_reader_kind reader_kind, http_message_listener& new_listener,
          std::size_t max_head_bytes)
        : kind(reader_kind), listener(new_listener), max_head(max_head_bytes)
    {
        http_parser_init(&this->parser,
                         reader_kind == http_reader_kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
    }

    std::size_t feed(std::string_view bytes);
    void feed_end();
    void fail(framing_fault why) { this->framing_error = why; }

    http_reader_kind kind;
    http_message_listener& listener;
    std::size_t max_head;
    std::size_t max_fields = default_max_head_fields;
    http_parser parser{};
    std::string head;              // bytes of an incomplete head
    std::size_t trailer_bytes = 0; // of the current message
    bool in_head = true;
    bool in_body = false;
    bool ended = false;            // the last message is complete
    bool body_until_close = false; // the current body ends when its connection closes
    framing_fault framing_error = framing_fault::none;
    std::string target;
    http_fields fields;
    bool value_began = false;

private:
    std::size_t feed_head(std::string_view bytes);
    std::size_t execute(std::string_view bytes);
    static const http_parser_settings& callbacks();
    static state& of(http_parser* parser) { return *static_cast<state*>(parser->data); }
    int skip_trailer(std::size_t length);
    static int on_url(http_parser* parser, const char* at, std::size_t length);
    static int on_name(http_parser* parser, const char* at, std::size_t length);
    static int on_value(http_parser* parser, const char* at, std::size_t length);
    static int on_head(http_parser* parser);
    static int on_body(http_parser* parser, const char* at, std::size_t length);
    static int on_end(http_parser* parser);
};

int http_reader::state::on_url(http_parser* parser, const char* at, std::size_t length)
{
    of(parser).target.append(at, length);
    return 0;
}

// Trailers are not used, and nothing of them is kept.
int http_reader::state::skip_trailer(std::size_t length)
{
    this->trailer_bytes += length;
    return this->trailer_bytes > this->max_head ? 1 : 0;
}

int http_reader::state::on_name(http_parser* parser, const char* at, std::size_t length)
{
    state& self = of(parser);
    if (self.in_body) {
        return self.skip_trailer(length);
    }
    if (self.fields.empty() || self.value_began) {
        self.fields.emplace_back();
        self.value_began = false;
    }
    self.fields.back().first.append(at, length);
    return 0;
}

int http_reader::state::on_value(http_parser* parser, const char* at, std::size_t length)
{
    state& self = of(parser);
    if (self.in_body) {
        return self.skip_trailer(length);
    }
    self.value_began = true;
    self.fields.back().second.append(at, length);
    return 0;
}

int http_reader::state::on_head(http_parser* parser)
{
    constexpr int skip_body = 1;
    constexpr int refuse = -1;
    state& self = of(parser);
    if (self.kind == http_reader_kind::responses &&
        !is_answer_status(static_cast<int>(parser->status_code))) {
        return refuse;
    }
    self.in_head = false;
    self.in_body = true;
    // Upgrades are not supported: the following bytes are an ordinary body.
    parser->upgrade = 0;
    const bool keep_alive = http_should_keep_alive(parser) != 0;
    auto fields = std::exchange(self.fields, {});
    if (self.kind == http_reader_kind::requests) {
        http_request_head head;
        head.method = http_method_str(static_cast<http_method>(parser->method));
        head.target = std::exchange(self.target, {});
        head.fields = std::move(fields);
        head.keep_alive = keep_alive;
        self.listener.on_request(std::move(head));
        return 0;
    }
    http_response_head head;
    head.status = static_cast<int>(parser->status_code);
    head.ends_with_connection = has_body_until_close(*parser);
    self.body_until_close = head.ends_with_connection;
    head.keep_alive = keep_alive && !head.ends_with_connection;
    head.fields = std::move(fields);
    return self.listener.on_response(std::move(head)) ? skip_body : 0;
}

int http_reader::state::on_body(http_parser* parser, const char* at, std::size_t length)
{
    of(parser).listener.on_body({at, length});
    return 0;
}

int http_reader::state::on_end(http_parser* parser)
{
    state& self = of(parser);
    self.in_body = false;
    self.in_head = true;
    self.ended = true;
    self.trailer_bytes = 0;
    self.value_began = false;
    // Stops before the next message until the owner has processed this one.
    http_parser_pause(parser, 1);
    self.listener.on_message_end();
    return 0;
}

const http_parser_settings& http_reader::state::callbacks()
{
    static const http_parser_settings table = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = on_url;
        settings.on_header_field = on_name;
        settings.on_header_value = on_value;
        settings.on_headers_complete = on_head;
        settings.on_body = on_body;
        settings.on_message_complete = on_end;
        return settings;
    }();
    return table;
}

std::size_t http_reader::state::execute(std::string_view bytes)
{
    const std::size_t taken =
        http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&this->parser, 0);
    } else if (error != HPE_OK) {
        this->fail(framing_fault::malformed);
    }
    return taken;
}

// Buffers the complete head before parsing it, so that a refused head has no effect.
std::size_t http_reader::state::feed_head(std::string_view bytes)
{
    const std::size_t before = this->head.size();
    const std::size_t search_from = before < head_end.size() ? 0 : before - head_end.size();
    // The limit applies to the bytes before the end of the head. The terminator may arrive in
    // pieces, so a head counts as too long only when there is no more space for the terminator's
    // bytes.
    const std::size_t room = this->max_head + head_end.size() - before;
    this->head.append(bytes.substr(0, room));
    const auto end = this->head.find(head_end, search_from);
    if (end == std::string::npos) {
        if (this->head.size() == this->max_head + head_end.size()) {
            this->fail(framing_fault::head_too_long);
        }
        return std::min(bytes.size(), room);
    }
    this->head.resize(end + head_end.size());
    const std::size_t taken = this->head.size() - before;
    const std::string complete_head = std::exchange(this->head, {});
    std::size_t field_count = 0;
    const auto fault = check_head(complete_head, this->kind, this->max_fields, field_count);
    if (fault != framing_fault::none) {
        this->fail(fault);
    } else {
        this->fields.reserve(field_count);
        this->execute(complete_head);
    }
    return taken;
}

std::size_t http_reader::state::feed(std::string_view bytes)
{
    std::size_t taken = 0;
    this->ended = false;
    while (taken < bytes.size() && !this->ended && this->framing_error == framing_fault::none) {
        const auto rest = bytes.substr(taken);
        taken += this->in_head ? this->feed_head(rest) : this->execute(rest);
    }
    return taken;
}

void http_reader::state::feed_end()
{
    if (this->framing_error != framing_fault::none) {
        return;
    }
    if (this->in_head) {
        if (!this->head.empty()) {
            this->fail(framing_fault::truncated);
        }
        return;
    }
    if (!this->body_until_close) {
        this->fail(framing_fault::truncated);
        return;
    }
    http_parser_execute(&this->parser, &callbacks(), "", 0);
}

http_reader::http_reader(http_reader_kind kind, http_message_listener& listener,
                         std::size_t max_head)
    : inner(std::make_unique<http_reader::state>(kind, listener, max_head))
{}

http_reader::~http_reader() = default;

void http_reader::set_max_head(std::size_t max_head, std::size_t max_fields)
{
    this->inner->max_head = max_head;
    this->inner->max_fields = max_fields;
}

std::size_t http_reader::allocated_bytes() const
{
    return sizeof(http_reader::state) + this->inner->head.capacity();
}

std::size_t http_reader::held_head_bytes() const
{
    return this->inner->head.empty() ? 0 : this->inner->head.capacity();
}

std::size_t http_reader::feed(std::string_view bytes)
{
    return this->inner->feed(bytes);
}

void http_reader::feed_end()
{
    this->inner->feed_end();
}

framing_fault http_reader::fault() const
{
    return this->inner->framing_error;
}

bool http_reader::inside_message() const
{
    return this->inner->in_body || !this->inner->head.empty();
}

namespace {

void append_fields(std::string& text, const http_fields& fields)
{
    for (const auto& [name, value] : fields) {
        if (is_field_name(name) && is_field_value(value)) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
    }
    text.append("\r\n");
}

} // namespace

std::string write_request_head(std::string_view method, std::string_view target,
                               const http_fields& fields)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    append_fields(text, fields);
    return text;
}

std::string write_response_head(int status, const http_fields& fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(http_status_str(static_cast<http_status>(status))).append("\r\n");
    append_fields(text, fields);
    return text;
}

std::string write_chunk(std::string_view piece)
{
    if (piece.empty()) {
        return {};
    }
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text.append(piece).append("\r\n");
    return text;
}

} // namespace pearhaven::adapters
