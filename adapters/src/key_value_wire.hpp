#ifndef PEARHAVEN_ADAPTERS_SRC_KEY_VALUE_WIRE_HPP
#define PEARHAVEN_ADAPTERS_SRC_KEY_VALUE_WIRE_HPP

#include "pearhaven/adapters/http_client.hpp"
#include "pearhaven/coordination/key_value.hpp"

#include <optional>
#include <string>

namespace pearhaven::adapters {

// The platform refuses longer values, so they are not sent.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

// Converts the request to an HTTP request. Returns nothing for a value over the limit or text that
// is not UTF-8.
std::optional<http_request> to_http(const coordination::kv_request& request,
                                    const std::string& base_url, std::chrono::milliseconds timeout);

// Converts the result of the HTTP call to a reply. A write is `unavailable` only when the service
// certainly did not apply it: nothing was sent, or the service refused. Any other inconclusive
// result of a write is `unknown`. A read without a readable answer is `unavailable`.
coordination::kv_reply to_reply(const coordination::kv_request& request, const http_answer& answer);

} // namespace pearhaven::adapters

#endif
