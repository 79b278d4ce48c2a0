#ifndef PEARHAVEN_DECISION_SRC_DISPATCH_FAILURES_HPP
#define PEARHAVEN_DECISION_SRC_DISPATCH_FAILURES_HPP

#include "pearhaven/decision/dispatcher.hpp"

#include <string>
#include <utility>

namespace pearhaven::decision {

// Suggested delays before a caller sends a request again: for short-lived conditions, and for those
// that an operator has to resolve.
inline constexpr duration short_retry_delay = std::chrono::seconds(1);
inline constexpr duration long_retry_delay = std::chrono::seconds(5);

// Failure of a request that has not run and may be sent again.
inline failure retryable_failure(failure_code code, duration retry_after, std::string detail)
{
    return {code, run_state::not_run, true, retry_after, std::move(detail)};
}

// Failure of a request that has not run and for which sending it again does not help.
inline failure permanent_failure(failure_code code, std::string detail)
{
    return {code, run_state::not_run, false, duration::zero(), std::move(detail)};
}

// Groups requests that take similar time.
inline const std::string& kind_of(const arrival& request)
{
    return request.kind.empty() ? request.asked : request.kind;
}

// Groups requests that sessions send together.
inline const std::string& route_of(const arrival& request)
{
    return request.route.empty() ? kind_of(request) : request.route;
}

} // namespace pearhaven::decision

#endif
