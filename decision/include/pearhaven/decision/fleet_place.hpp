#ifndef PEARHAVEN_DECISION_FLEET_PLACE_HPP
#define PEARHAVEN_DECISION_FLEET_PLACE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>

namespace pearhaven::decision {

// This router's place among those that share what endpoints accept.
struct fleet_place {
    std::size_t rank = 0;
    std::size_t size = 1;

    // Of the routers' common time, such as the time of day, from this router's clock.
    duration clock_offset{};

    friend bool operator==(const fleet_place&, const fleet_place&) = default;
};

} // namespace pearhaven::decision

#endif
