#include "web_exchange.hpp"

#include <civetweb.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace pearhaven::standins {

namespace {

constexpr std::size_t read_size = 4096; // CivetWeb's thread stacks are small

std::string text_or_empty(const char* text)
{
    return text == nullptr ? std::string() : std::string(text);
}

std::string head(int status, const std::string& content_type, const header_fields& fields)
{
    auto text = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n", status,
                            mg_get_response_code_text(nullptr, status), content_type);
    for (const auto& [name, value] : fields) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    return text;
}

} // namespace

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return number;
}

web_exchange::web_exchange(mg_connection* opened, std::size_t body_limit) : connection(opened)
{
    const mg_request_info* info = mg_get_request_info(opened);
    this->method_text = text_or_empty(info->request_method);
    this->path_text = text_or_empty(info->local_uri);
    this->query_text = text_or_empty(info->query_string);
    this->read_body(body_limit);
}

void web_exchange::read_body(std::size_t limit)
{
    std::array<char, read_size> part{};
    for (;;) {
        const int length = mg_read(this->connection, part.data(), part.size());
        if (length <= 0) {
            return;
        }
        this->body_text.append(part.data(), static_cast<std::size_t>(length));
        if (this->body_text.size() > limit) {
            this->too_long = true;
            return;
        }
    }
}

std::string web_exchange::field(const char* name) const
{
    return text_or_empty(mg_get_header(this->connection, name));
}

std::optional<std::string> web_exchange::query(const char* name) const
{
    std::string value(this->query_text.size() + 1, '\0');
    const int length = mg_get_var(this->query_text.data(), this->query_text.size(), name,
                                  value.data(), value.size());
    if (length < 0) {
        return std::nullopt;
    }
    value.resize(static_cast<std::size_t>(length));
    return value;
}

std::uint64_t web_exchange::query_number(const char* name, std::uint64_t fallback) const
{
    const auto value = this->query(name);
    return value ? to_number(*value).value_or(fallback) : fallback;
}

nlohmann::json web_exchange::json_body() const
{
    return nlohmann::json::parse(this->body_text);
}

bool web_exchange::send(std::string_view bytes)
{
    const int sent = mg_write(this->connection, bytes.data(), bytes.size());
    return sent == static_cast<int>(bytes.size());
}

bool web_exchange::answer(int status, const nlohmann::json& body, const header_fields& fields)
{
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    auto bytes = head(status, "application/json", fields);
    bytes += fmt::format("Content-Length: {}\r\n\r\n", text.size());
    bytes += text;
    this->is_answered = true;
    return this->send(bytes);
}

bool web_exchange::begin_stream(const std::string& content_type, const header_fields& fields)
{
    return this->send(head(200, content_type, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void web_exchange::put_chunk(std::string_view text)
{
    this->chunk.clear();
    fmt::format_to(std::back_inserter(this->chunk), "{:x}\r\n", text.size());
    this->chunk.append(text).append("\r\n");
}

bool web_exchange::write(std::string_view text)
{
    this->put_chunk(text);
    return this->send(this->chunk);
}

bool web_exchange::finish(std::string_view last)
{
    this->chunk.clear();
    if (!last.empty()) {
        this->put_chunk(last);
    }
    this->chunk += "0\r\n\r\n";
    this->is_answered = true;
    return this->send(this->chunk);
}

} // namespace pearhaven::standins
