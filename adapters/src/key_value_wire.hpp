#ifndef PEARHAVEN_ADAPTERS_SRC_KEY_VALUE_WIRE_HPP
#define PEARHAVEN_ADAPTERS_SRC_KEY_VALUE_WIRE_HPP

#include "pearhaven/adapters/http_client.hpp"
#include "pearhaven/coordination/key_value.hpp"

#include <optional>
#include <string>

namespace pearhaven::adapters {

// The platform refuses longer values; they are not offered to it.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

// The HTTP call that carries the request. Empty when it cannot be carried: a value over the limit,
// or text that is not UTF-8.
std::optional<http_request> to_http(const coordination::kv_request& request,
                                    const std::string& base_url, std::chrono::milliseconds timeout);

// What the call's end means. A write counts as `unavailable` only when the service certainly did
// not apply it: nothing was sent, or the service refused. All other doubt is `unknown`. A read that
// brought no readable answer is `unavailable`.
coordination::kv_reply to_reply(const coordination::kv_request& request, const http_answer& answer);

} // namespace pearhaven::adapters

#endif
