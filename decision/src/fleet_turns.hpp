#ifndef PEARHAVEN_DECISION_SRC_FLEET_TURNS_HPP
#define PEARHAVEN_DECISION_SRC_FLEET_TURNS_HPP

#include "pearhaven/decision/mix.hpp"
#include "pearhaven/decision/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

// Turns by which routers share a rate of requests to one endpoint without telling each other what
// they send: each may send one request at a delay by its rank, and the next one a whole turn later.
namespace pearhaven::decision {

// A router's place among those that share what an endpoint accepts.
struct turn_place {
    std::uint64_t identity = 0; // of the endpoint: its routers take turns in an order of its own
    std::size_t rank = 0;       // of this router
    std::size_t size = 1;       // number of routers

    friend bool operator==(const turn_place&, const turn_place&) = default;
};

// Part of the permitted rate that is used. The remainder covers routers that do not know of each
// other and learn of the rate at different times.
inline constexpr double usable_part_of_rate = 0.8;

// How long a turn can be used at the declared rate. Few routers have a request just when their turn
// begins, and turns of many routers must not add up until all of them want the endpoint.
inline constexpr duration turn_lifetime = std::chrono::milliseconds(500);

// From 0 (exclusive) to 1: the part of the first turn after which the router may send.
inline double turn_phase(const turn_place& place)
{
    const auto index = (place.rank + mix(place.identity)) % place.size;
    return (static_cast<double>(index) + 0.5) / static_cast<double>(place.size);
}

} // namespace pearhaven::decision

#endif
