#ifndef PEARHAVEN_ROUTER_HTTP_REPLY_HPP
#define PEARHAVEN_ROUTER_HTTP_REPLY_HPP

#include "pearhaven/decision/dispatcher.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct mg_connection;

namespace pearhaven::router {

using header_list = std::vector<std::pair<std::string, std::string>>;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_timeout = 408;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

// Sends a complete answer. Returns false if the caller has disconnected.
bool send_answer(mg_connection* connection, int status, const std::string& content_type,
                 const header_list& headers, std::string_view body);

// Begins an answer of unknown length. Pieces follow, then the end.
bool begin_stream(mg_connection* connection, int status, const std::string& content_type,
                  const header_list& headers);
bool send_piece(mg_connection* connection, std::string_view piece);
bool end_stream(mg_connection* connection);

// An error answer to a caller.
struct error_response {
    int status = status_unavailable;
    header_list headers;
    std::string body;
};
error_response to_error_response(const decision::failure& why);

// The answer to a request that is rejected before it is routed: malformed, without a known key, or
// too large.
error_response make_rejection(int status, std::string_view code, std::string_view message);

bool send_failure(mg_connection* connection, const error_response& response,
                  const header_list& more = {});

} // namespace pearhaven::router

#endif
