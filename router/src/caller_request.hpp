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

// The header fields of a request, as the caller sent them.
struct caller_fields {
    std::string key_digest; // of the bearer key; empty where none was sent
    std::string idempotency_key;
    std::optional<bool> idempotent;
    std::string session; // empty, `new`, or a token
    std::optional<decision::work_class> kind;
    std::uint32_t priority = 5;
    std::optional<std::chrono::milliseconds> deadline;
    std::string content_type;
};

// Reads the fields, or says what is wrong with one of them.
std::variant<caller_fields, error_response> read_fields(mg_connection* connection);

// Reads the body up to the limit. Malformed, oversized and unfinished ones give an answer instead.
std::variant<std::string, error_response> read_body(mg_connection* connection,
                                                    std::uint32_t max_bytes);

// A chat request's JSON, taken apart as far as routing needs it.
struct chat_body {
    std::string requested_model;
    bool streamed = false;
    std::uint32_t max_tokens = 0;
    std::string rest;   // the JSON object after its `model` field, always asking for a stream
    std::string prompt; // all messages' text, for estimates and affinity
};

std::variant<chat_body, error_response> read_chat(const std::string& body);

// Identifies the request over all its resends: derived from the idempotency key where there is one,
// so that resends to other routers are billed as one; else drawn anew.
std::string request_id_of(const std::string& team, const std::string& idempotency_key);

} // namespace pearhaven::router

#endif
