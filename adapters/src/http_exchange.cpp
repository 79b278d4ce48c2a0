#include "http_exchange.hpp"

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace pearhaven::adapters {

namespace {

constexpr std::size_t max_head_bytes = 64U << 10U;

// Small, because each open stream holds one buffer; pieces of a token stream are much smaller.
constexpr long receive_buffer_bytes = 8L << 10U;

// Idle connections older than this are not reused. Most servers keep idle connections longer.
constexpr long max_idle_seconds = 30;

constexpr std::array<std::string_view, 4> framing_fields = {"content-length", "transfer-encoding",
                                                            "connection", "expect"};

std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char letter) {
        return std::isalnum(letter) != 0 || marks.find(static_cast<char>(letter)) != marks.npos;
    });
}

// A line break inside a value would allow its author to inject a field or a request.
bool is_field_value(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

// libcurl removes a field that ends with its colon; a semicolon means "present but empty".
std::string field_line(const std::string& name, std::string_view value)
{
    std::string line = name;
    if (trimmed(value).empty()) {
        line += ';';
        return line;
    }
    line += ": ";
    line += value;
    return line;
}

bool append(curl_list& list, const std::string& line)
{
    curl_slist* const longer = curl_slist_append(list.get(), line.c_str());
    if (longer == nullptr) {
        return false;
    }
    static_cast<void>(list.release());
    list.reset(longer);
    return true;
}

} // namespace

http_exchange::http_exchange(exchange_number number, http_request new_request,
                             boost::intrusive_ptr<http_listener> new_listener,
                             deadline_index& index)
    : own_number(number), request(std::move(new_request)), listener(std::move(new_listener)),
      deadlines(index), started(std::chrono::steady_clock::now()), last_progress(started)
{}

bool http_exchange::prepare(curl_easy handle, const http_client_settings& settings)
{
    this->easy = std::move(handle);
    if (!this->easy || this->request.url.empty()) {
        return false;
    }
    this->set_connection(settings);
    this->set_callbacks();
    return this->set_method() && this->set_headers() && !this->setup_failed;
}

void http_exchange::set_connection(const http_client_settings& settings)
{
    this->unacknowledged_timeout = settings.unacknowledged_timeout;
    this->set(CURLOPT_URL, this->request.url.c_str());
    this->set(CURLOPT_PATH_AS_IS, 1L);
    this->set(CURLOPT_DISALLOW_USERNAME_IN_URL, 1L);
    this->set(CURLOPT_PROTOCOLS_STR, "http");
    this->set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    this->set(CURLOPT_PROXY, "");
    this->set(CURLOPT_NOSIGNAL, 1L);
    this->set(CURLOPT_TCP_NODELAY, 1L);
    this->set(CURLOPT_TCP_KEEPALIVE, 1L);
    this->set(CURLOPT_TCP_KEEPIDLE, static_cast<long>(probe_start.count()));
    this->set(CURLOPT_TCP_KEEPINTVL, static_cast<long>(probe_period.count()));
    this->set(CURLOPT_MAXAGE_CONN, max_idle_seconds);
    this->set(CURLOPT_BUFFERSIZE, receive_buffer_bytes);
    this->set(CURLOPT_FRESH_CONNECT, this->request.fresh_connection ? 1L : 0L);
    this->set(CURLOPT_FORBID_REUSE, this->request.fresh_connection ? 1L : 0L);
}

void http_exchange::set_callbacks()
{
    this->set(CURLOPT_PRIVATE, this);
    this->set(CURLOPT_PREREQFUNCTION, &http_exchange::on_sending);
    this->set(CURLOPT_PREREQDATA, this);
    this->set(CURLOPT_HEADERFUNCTION, &http_exchange::on_header_line);
    this->set(CURLOPT_HEADERDATA, this);
    this->set(CURLOPT_WRITEFUNCTION, &http_exchange::on_body_piece);
    this->set(CURLOPT_WRITEDATA, this);
    this->set(CURLOPT_SOCKOPTFUNCTION, &http_exchange::on_socket_open);
    this->set(CURLOPT_SOCKOPTDATA, this);
}

bool http_exchange::set_method()
{
    const std::string& method = this->request.method;
    if (!is_token(method)) {
        return false;
    }
    if (method == "HEAD") {
        this->set(CURLOPT_NOBODY, 1L);
        return true;
    }
    const bool has_body =
        !this->request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
    if (has_body) {
        const auto length = static_cast<curl_off_t>(this->request.body.size());
        this->set(CURLOPT_POST, 1L);
        this->set(CURLOPT_POSTFIELDSIZE_LARGE, length);
        this->set(CURLOPT_POSTFIELDS, this->request.body.data());
    }
    this->set(CURLOPT_CUSTOMREQUEST, method.c_str());
    return true;
}

bool http_exchange::set_headers()
{
    // Disables fields that libcurl would add by itself, unless the caller sets them below.
    bool complete = append(this->header_list, "Expect:");
    bool has_accept = false;
    bool has_content_type = false;
    for (const auto& [name, value] : this->request.headers) {
        if (!is_token(name) || !is_field_value(value)) {
            return false;
        }
        const std::string key = lower_case(name);
        if (std::find(framing_fields.begin(), framing_fields.end(), key) != framing_fields.end()) {
            continue;
        }
        has_accept |= key == "accept";
        has_content_type |= key == "content-type";
        complete &= append(this->header_list, field_line(name, value));
    }
    complete &= has_accept || append(this->header_list, "Accept:");
    complete &= has_content_type || append(this->header_list, "Content-Type:");
    this->set(CURLOPT_HTTPHEADER, this->header_list.get());
    return complete;
}

std::optional<monotonic_time> http_exchange::deadline() const
{
    std::chrono::milliseconds allowed{0};
    switch (this->current) {
    case phase::connecting:
        allowed = this->request.connect_timeout;
        break;
    case phase::awaiting_head:
        allowed = this->request.first_byte_timeout;
        break;
    case phase::in_body:
        allowed = this->paused ? std::chrono::milliseconds{0} : this->request.progress_timeout;
        break;
    }
    std::optional<monotonic_time> earliest;
    if (allowed.count() > 0) {
        earliest = this->last_progress + allowed;
    }
    if (this->request.total_timeout.count() > 0) {
        const monotonic_time total = this->started + this->request.total_timeout;
        earliest = earliest ? std::min(*earliest, total) : total;
    }
    return earliest;
}

std::optional<monotonic_time> http_exchange::next_check() const
{
    auto earliest = this->deadline();
    if (this->delivery && !this->delivery->is_delivered()) {
        const monotonic_time check(this->delivery->next().time_since_epoch());
        earliest = earliest ? std::min(*earliest, check) : check;
    }
    return earliest;
}

void http_exchange::check_delivery()
{
    const auto now = event_loop::read_clock();
    if (!this->delivery || !this->delivery->is_due(now)) {
        return;
    }
    if (this->socket == CURL_SOCKET_BAD) {
        this->delivery.reset();
    } else {
        this->delivery->check(this->socket, now);
    }
}

http_error http_exchange::timeout_error(monotonic_time now) const
{
    const auto total = this->request.total_timeout;
    if (total.count() > 0 && this->started + total <= now) {
        return http_error::total_timeout;
    }
    switch (this->current) {
    case phase::connecting:
        return http_error::connect_failed;
    case phase::awaiting_head:
        return http_error::first_byte_timeout;
    case phase::in_body:
        break;
    }
    return http_error::progress_timeout;
}

bool http_exchange::resume()
{
    if (!this->paused) {
        return true;
    }
    this->paused = false;
    this->enter(phase::in_body);
    return curl_easy_pause(this->easy.get(), CURLPAUSE_CONT) == CURLE_OK;
}

http_error http_exchange::to_http_error(CURLcode code) const
{
    switch (code) {
    case CURLE_OK:
        // libcurl counts an answer as complete whose connection ended after a line of its head, or,
        // if it has no length, while the request was still being sent.
        return this->head_finished && (this->has_framing || this->is_sent())
                   ? http_error::none
                   : http_error::connection_lost;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return this->send_count == 0 ? http_error::invalid_request : http_error::malformed_answer;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
        return http_error::malformed_answer;
    case CURLE_WRITE_ERROR:
        return this->malformed ? http_error::malformed_answer : http_error::connection_lost;
    default:
        return this->send_count == 0 ? http_error::connect_failed : http_error::connection_lost;
    }
}

bool http_exchange::is_sent() const
{
    curl_off_t sent = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    return static_cast<std::uint64_t>(sent) >= this->request.body.size();
}

void http_exchange::end(http_error error)
{
    http_result result;
    if (error != http_error::none) {
        result.error = error;
    }
    result.status = this->status;
    result.request_sent = this->send_count > 0;
    this->listener->on_end(result);
}

void http_exchange::enter(phase next)
{
    this->current = next;
    this->last_progress = std::chrono::steady_clock::now();
    if (next == phase::awaiting_head) {
        this->delivery.emplace(this->unacknowledged_timeout);
        this->delivery->on_written(this->socket, event_loop::read_clock());
    }
    if (const auto limit = this->next_check()) {
        this->deadlines.arm(*this, *limit);
    }
}

// libcurl calls this on an established connection before each time that it writes the request. When
// a pooled connection closes without a byte of an answer, libcurl sends the request again on its
// own, whatever the method, although the other end may have executed it. The abort prevents a
// second send of a request that must not run twice.
int http_exchange::on_sending(void* self, char* /*peer_ip*/, char* /*local_ip*/, int /*peer_port*/,
                              int /*local_port*/)
{
    auto& exchange = *static_cast<http_exchange*>(self);
    if (exchange.send_count > 0 && !exchange.request.may_resend) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++exchange.send_count;
    exchange.enter(phase::awaiting_head);
    return CURL_PREREQFUNC_OK;
}

std::size_t http_exchange::on_header_line(char* data, std::size_t size, std::size_t count,
                                          void* self)
{
    const std::size_t length = size * count;
    auto& exchange = *static_cast<http_exchange*>(self);
    return exchange.process_header_line({data, length}) ? length : 0;
}

bool http_exchange::process_header_line(std::string_view line)
{
    if (this->head_finished) {
        return true; // trailer fields of a chunked answer
    }
    this->head_bytes += line.size();
    if (this->head_bytes > max_head_bytes) {
        this->malformed = true;
        return false;
    }
    if (this->current != phase::in_body) {
        this->enter(phase::in_body);
    }
    if (trimmed(line).empty()) {
        this->finish_head();
    } else if (line.substr(0, 5) == "HTTP/") {
        long code = 0;
        curl_easy_getinfo(this->easy.get(), CURLINFO_RESPONSE_CODE, &code);
        this->status = static_cast<int>(code);
        this->answer_headers.clear();
        this->has_framing = false;
        if (!is_answer_status(this->status)) {
            this->malformed = true;
            return false;
        }
    } else {
        this->add_field(line);
    }
    return true;
}

void http_exchange::add_field(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return;
    }
    auto name = lower_case(trimmed(line.substr(0, colon)));
    this->has_framing =
        this->has_framing || name == "content-length" || name == "transfer-encoding";
    this->answer_headers.emplace_back(std::move(name),
                                      std::string(trimmed(line.substr(colon + 1))));
}

void http_exchange::finish_head()
{
    constexpr int first_final_status = 200;
    if (this->status < first_final_status) {
        return; // an interim response; the final one follows
    }
    this->head_finished = true;
    this->last_progress = std::chrono::steady_clock::now();
    this->listener->on_head(this->status, this->answer_headers);
    this->answer_headers = {};
}

std::size_t http_exchange::on_body_piece(char* data, std::size_t size, std::size_t count,
                                         void* self)
{
    const std::size_t length = size * count;
    auto& exchange = *static_cast<http_exchange*>(self);
    if (length > exchange.request.max_body - exchange.body_bytes) {
        exchange.malformed = true;
        return 0;
    }
    exchange.last_progress = std::chrono::steady_clock::now();
    if (exchange.listener->on_body({data, length})) {
        exchange.body_bytes += length;
        return length;
    }
    exchange.paused = true;
    return CURL_WRITEFUNC_PAUSE;
}

int http_exchange::on_socket_open(void* self, curl_socket_t socket, curlsocktype /*purpose*/)
{
    const auto timeout = static_cast<http_exchange*>(self)->unacknowledged_timeout;
    set_unacknowledged_timeout(socket, idle_timeout(timeout));
    return CURL_SOCKOPT_OK;
}

} // namespace pearhaven::adapters
