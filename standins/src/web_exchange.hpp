#ifndef PEARHAVEN_STANDINS_WEB_EXCHANGE_HPP
#define PEARHAVEN_STANDINS_WEB_EXCHANGE_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct mg_connection;

namespace pearhaven::standins {

using header_fields = std::vector<std::pair<std::string, std::string>>;

// One request and the means to answer it. Valid while its handler runs, on the connection's
// thread. A handler that returns without an answer closes the connection without one.
class web_exchange {
public:
    // Reads the complete body. A body over the limit is truncated there: see `body_too_long`.
    web_exchange(mg_connection* connection, std::size_t body_limit);

    [[nodiscard]] const std::string& method() const { return this->method_text; }
    [[nodiscard]] const std::string& path() const { return this->path_text; }
    [[nodiscard]] const std::string& body() const { return this->body_text; }
    [[nodiscard]] bool body_too_long() const { return this->too_long; }

    // The header field, or an empty string.
    [[nodiscard]] std::string field(const char* name) const;

    // The decoded query parameter, or nothing if it is missing.
    [[nodiscard]] std::optional<std::string> query(const char* name) const;

    // The query parameter as a number; the fallback when it is missing or not a number.
    [[nodiscard]] std::uint64_t query_number(const char* name, std::uint64_t fallback) const;

    // The body as JSON. Throws nlohmann::json::exception if it is invalid; the server answers 400.
    [[nodiscard]] nlohmann::json json_body() const;

    // Sends a complete answer. False if the caller has disconnected.
    bool answer(int status, const nlohmann::json& body, const header_fields& fields = {});

    // Starts an answer of unknown length; `write` and `finish` follow.
    bool begin_stream(const std::string& content_type, const header_fields& fields = {});

    // Sends one chunk in a single system call. False if the caller has disconnected.
    bool write(std::string_view text);

    // Completes the stream, after a last chunk if there is one. An unfinished stream is cut off
    // when the handler returns.
    bool finish(std::string_view last = {});

    [[nodiscard]] bool answered() const { return this->is_answered; }

private:
    bool send(std::string_view bytes);
    void read_body(std::size_t limit);
    void put_chunk(std::string_view text);

    mg_connection* connection;
    std::string method_text;
    std::string path_text;
    std::string query_text;
    std::string body_text;
    std::string chunk; // reused between writes: streams send many small chunks
    bool too_long = false;
    bool is_answered = false;
};

// Parses the text as a number; nothing if it is not one.
std::optional<std::uint64_t> to_number(std::string_view text);

} // namespace pearhaven::standins

#endif
