#ifndef PEARHAVEN_ROUTER_CLOCK_HPP
#define PEARHAVEN_ROUTER_CLOCK_HPP

#include "pearhaven/decision/time.hpp"

#include <chrono>

namespace pearhaven::router {

// Current time of the monotonic clock, in the type that the decision library uses.
inline decision::instant now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return decision::instant(std::chrono::duration_cast<decision::duration>(since_start));
}

} // namespace pearhaven::router

#endif
