#ifndef PEARHAVEN_CONTROL_FLEET_WAIT_HPP
#define PEARHAVEN_CONTROL_FLEET_WAIT_HPP

#include "command.hpp"

#include "pearhaven/coordination/peer_message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pearhaven::control {

// A live router of which it is not known that the revision is in force there.
struct lagging_router {
    coordination::member router;
    std::string reason;

    friend bool operator==(const lagging_router&, const lagging_router&) = default;
};

struct fleet_wait_result {
    bool in_force = false;
    std::size_t routers = 0; // live ones, when the wait ended
    std::vector<lagging_router> lagging;
    std::string problem; // why the routers could not be listed
};

// Waits until every router that has a record in the store has the revision, or a higher one, in
// force. The list is read anew each round: a router whose record is gone no longer counts, one that
// has come does. A router that once had the revision is not asked again, since none goes back.
fleet_wait_result wait_for_fleet(command_context& context, std::uint64_t revision,
                                 decision::duration patience);

} // namespace pearhaven::control

#endif
