#ifndef PEARHAVEN_ROUTER_CALLER_REQUEST_HPP
#define PEARHAVEN_ROUTER_CALLER_REQUEST_HPP

#include "exchange.hpp"
#include "http_reply.hpp"

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/session_token.hpp"
#include "pearhaven/router/settings.hpp"

#include <optional>
#include <string>
#include <variant>

struct mg_connection;

namespace pearhaven::router {

// The header fields of a request, as sent by the caller.
struct caller_fields {
    std::string key_digest; // of the bearer key; empty if none was sent
    std::string idempotency_key;
    std::optional<bool> idempotent;
    std::string session; // empty, `new`, or a token
    std::optional<decision::work_class> kind;
    std::uint32_t priority = 5;
    std::optional<std::chrono::milliseconds> deadline;
    std::string content_type;
};

// Reads the header fields, or returns an error that names the invalid field.
std::variant<caller_fields, error_response> read_fields(mg_connection* connection);

// Reads the body up to the limit. Returns an error for malformed, oversized and incomplete bodies.
std::variant<std::string, error_response> read_body(mg_connection* connection,
                                                    std::uint32_t max_bytes);

// A chat request's JSON, parsed as far as routing needs it.
struct chat_body {
    std::string requested_model;
    bool streamed = false;
    std::uint32_t max_tokens = 0;
    std::string rest;   // the JSON object after its `model` field, with `stream` set
    std::string prompt; // the text of all messages, for estimates and affinity
};

std::variant<chat_body, error_response> read_chat(const std::string& body);

// Returns an id that is the same for all resends of the request: derived from the idempotency key
// if there is one, so that resends to other routers are billed once, else random.
std::string request_id_of(const std::string& team, const std::string& idempotency_key);

} // namespace pearhaven::router

#endif
