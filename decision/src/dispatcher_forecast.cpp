#include "pearhaven/decision/dispatcher.hpp"

// Forecasts of runs: how long until their first piece, and how much work waits before them.

namespace pearhaven::decision {

// No forecast, so that nothing is refused.
std::optional<duration> dispatcher::expected_first_piece(const request_state& /*state*/,
                                                         std::uint32_t /*size*/,
                                                         instant /*now*/) const
{
    return std::nullopt;
}

duration dispatcher::backlog_for(const request_state& /*state*/, instant /*now*/) const
{
    return duration::zero();
}

duration dispatcher::forecast_error(std::uint32_t /*size*/) const
{
    return duration::zero();
}

} // namespace pearhaven::decision
