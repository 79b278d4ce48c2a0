#ifndef PEARHAVEN_DECISION_SRC_DISPATCH_FAILURES_HPP
#define PEARHAVEN_DECISION_SRC_DISPATCH_FAILURES_HPP

#include "pearhaven/decision/dispatcher.hpp"

#include <string>
#include <utility>

namespace pearhaven::decision {

// When a caller may come back: after what passes quickly, and after what takes an operator.
inline constexpr duration short_retry_delay = std::chrono::seconds(1);
inline constexpr duration long_retry_delay = std::chrono::seconds(5);

// Of a request that has not run and may be sent again.
inline failure retryable_failure(failure_code code, duration retry_after, std::string detail)
{
    return {code, run_state::not_run, true, retry_after, std::move(detail)};
}

// Of a request that has not run and that sending again does not help.
inline failure permanent_failure(failure_code code, std::string detail)
{
    return {code, run_state::not_run, false, duration::zero(), std::move(detail)};
}

// What tells requests apart that take unlike times.
inline const std::string& kind_of(const arrival& request)
{
    return request.kind.empty() ? request.asked : request.kind;
}

} // namespace pearhaven::decision

#endif
