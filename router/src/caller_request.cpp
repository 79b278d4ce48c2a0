#include "caller_request.hpp"

#include "pearhaven/adapters/authenticator.hpp"
#include "pearhaven/adapters/configuration_codec.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace pearhaven::router {

namespace {

using nlohmann::json;

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t max_field_length = 512;
constexpr std::uint32_t lowest_priority = 9;
constexpr std::size_t request_id_digits = 32;

// Maximum nesting of a chat request. Tool schemas nest about ten levels deep. Serializing takes a
// few hundred bytes of stack per level, and a caller thread has 100 KB of stack.
constexpr std::size_t max_nesting = 64;

std::string field(mg_connection* connection, const char* name)
{
    const char* value = mg_get_header(connection, name);
    return value == nullptr ? "" : value;
}

std::optional<std::uint32_t> to_number(const std::string& text)
{
    std::uint32_t number = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc() || read.ptr != end) {
        return std::nullopt;
    }
    return number;
}

error_response bad_field(const char* name, const std::string& found, const char* allowed)
{
    return make_rejection(status_bad_request, "bad_field",
                          std::string(name) + ": found \"" + found + "\", allowed " + allowed);
}

bool is_printable(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character > 0x20 && character < 0x7f;
    });
}

std::optional<error_response> read_class(mg_connection* connection, caller_fields& fields)
{
    const auto declared = field(connection, "Pearhaven-Class");
    if (declared.empty()) {
        return std::nullopt;
    }
    if (declared != "lookup" && declared != "reading") {
        return bad_field("Pearhaven-Class", declared, "lookup or reading");
    }
    fields.kind =
        declared == "lookup" ? decision::work_class::lookup : decision::work_class::reading;
    return std::nullopt;
}

std::optional<error_response> read_numbers(mg_connection* connection, caller_fields& fields)
{
    const auto priority = field(connection, "Pearhaven-Priority");
    if (!priority.empty()) {
        const auto number = to_number(priority);
        if (!number || *number > lowest_priority) {
            return bad_field("Pearhaven-Priority", priority, "0 to 9");
        }
        fields.priority = *number;
    }
    const auto deadline = field(connection, "Pearhaven-Deadline-Ms");
    if (!deadline.empty()) {
        const auto number = to_number(deadline);
        if (!number || *number == 0) {
            return bad_field("Pearhaven-Deadline-Ms", deadline, "a number of milliseconds above 0");
        }
        fields.deadline = std::chrono::milliseconds(*number);
    }
    return std::nullopt;
}

std::optional<error_response> read_idempotency(mg_connection* connection, caller_fields& fields)
{
    fields.idempotency_key = field(connection, "Idempotency-Key");
    if (fields.idempotency_key.size() > max_field_length || !is_printable(fields.idempotency_key)) {
        return bad_field("Idempotency-Key", fields.idempotency_key.substr(0, max_field_length),
                         "at most 512 printable characters without spaces");
    }
    const auto declared = field(connection, "Pearhaven-Idempotent");
    if (declared.empty()) {
        return std::nullopt;
    }
    if (declared != "true" && declared != "false") {
        return bad_field("Pearhaven-Idempotent", declared, "true or false");
    }
    fields.idempotent = declared == "true";
    return std::nullopt;
}

// Appends the text of a message's content, which is a string or a list of parts with text.
void append_content(const json& content, std::string& text)
{
    if (content.is_string()) {
        text.append(content.get_ref<const std::string&>()).push_back('\n');
        return;
    }
    for (const auto& part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string()) {
            text.append(part["text"].get_ref<const std::string&>()).push_back('\n');
        }
    }
}

// Whether the JSON text nests arrays and objects too deeply. It scans the text, since the parser's
// callback for this would be called for each value.
bool is_nested_too_deep(const std::string& text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (in_string) {
            at += character == '\\' ? 1 : 0; // an escaped quote does not end the string
            in_string = character != '"';
        } else if (character == '"') {
            in_string = true;
        } else if (character == '[' || character == '{') {
            ++depth;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
        if (depth > max_nesting) {
            return true;
        }
    }
    return false;
}

error_response bad_chat(const std::string& message)
{
    return make_rejection(status_bad_request, "bad_request", message);
}

std::optional<std::string> chat_fault(const json& chat)
{
    if (!chat.is_object()) {
        return "the body: found no JSON object, allowed is a chat completion request";
    }
    if (!chat.contains("model") || !chat["model"].is_string()) {
        return "model: found no text, allowed is the name of a model, version or cascade";
    }
    if (!chat.contains("messages") || !chat["messages"].is_array() || chat["messages"].empty()) {
        return "messages: found no list of messages, allowed is one or more";
    }
    const auto messages_valid =
        std::all_of(chat["messages"].begin(), chat["messages"].end(), [](const json& message) {
            return message.is_object() && message.contains("role") && message.contains("content");
        });
    if (!messages_valid) {
        return "messages: found one without role or content";
    }
    if (chat.contains("stream") && !chat["stream"].is_boolean()) {
        return "stream: found " + chat["stream"].dump() + ", allowed true or false";
    }
    if (chat.contains("max_tokens") && !chat["max_tokens"].is_number_unsigned()) {
        return "max_tokens: found " + chat["max_tokens"].dump() + ", allowed a number of 0 or more";
    }
    if (chat.contains("n") && chat["n"] != 1) {
        return "n: found " + chat["n"].dump() + ", allowed 1";
    }
    return std::nullopt;
}

} // namespace

std::variant<caller_fields, error_response> read_fields(mg_connection* connection)
{
    caller_fields fields;
    const auto authorization = field(connection, "Authorization");
    if (authorization.rfind(bearer, 0) == 0) {
        fields.key_digest =
            adapters::sha256_hex(std::string_view(authorization).substr(bearer.size()));
    }
    fields.session = field(connection, "Pearhaven-Session");
    fields.content_type = field(connection, "Content-Type");
    for (const auto read : {read_class, read_numbers, read_idempotency}) {
        if (auto fault = read(connection, fields)) {
            return std::move(*fault);
        }
    }
    return fields;
}

std::variant<std::string, error_response> read_body(mg_connection* connection,
                                                    std::uint32_t max_bytes)
{
    const auto too_large = [max_bytes] {
        return make_rejection(status_too_large, "body_too_large",
                              "the body is larger than the allowed " + std::to_string(max_bytes) +
                                  " bytes");
    };
    const long long declared = mg_get_request_info(connection)->content_length;
    if (declared > static_cast<long long>(max_bytes)) {
        return too_large();
    }
    std::string body;
    std::array<char, 16384> buffer{};
    while (declared < 0 || static_cast<long long>(body.size()) < declared) {
        const int got = mg_read(connection, buffer.data(), buffer.size());
        if (got <= 0) {
            break;
        }
        body.append(buffer.data(), static_cast<std::size_t>(got));
        if (body.size() > max_bytes) {
            return too_large();
        }
    }
    if (declared > 0 && static_cast<long long>(body.size()) < declared) {
        return make_rejection(status_timeout, "body_incomplete",
                              "found " + std::to_string(body.size()) + " bytes of a body of " +
                                  std::to_string(declared));
    }
    return body;
}

std::variant<chat_body, error_response> read_chat(const std::string& body)
{
    if (is_nested_too_deep(body)) {
        return bad_chat("the body: found values nested more than " + std::to_string(max_nesting) +
                        " deep");
    }
    auto chat = json::parse(body, nullptr, false);
    if (chat.is_discarded()) {
        return bad_chat("the body: found text that is not JSON");
    }
    if (const auto fault = chat_fault(chat)) {
        return bad_chat(*fault);
    }
    chat_body read;
    read.requested_model = chat["model"].get<std::string>();
    read.streamed = chat.value("stream", false);
    read.max_tokens = chat.value("max_tokens", std::uint32_t{0});
    for (const auto& message : chat["messages"]) {
        append_content(message["content"], read.prompt);
    }
    chat.erase("model");
    chat["stream"] = true;
    read.rest = chat.dump().substr(1);
    return read;
}

std::string request_id_of(const std::string& team, const std::string& idempotency_key)
{
    if (idempotency_key.empty()) {
        return adapters::random_identifier();
    }
    return adapters::sha256_hex(team + "\n" + idempotency_key).substr(0, request_id_digits);
}

} // namespace pearhaven::router
