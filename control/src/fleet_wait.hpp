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
    bool applied = false;
    std::size_t routers = 0; // live ones, when the wait ended
    std::vector<lagging_router> lagging;
    std::string problem; // why the routers could not be listed
};

// Routers that are not on the list, but that those which answered do not take for dead.
std::vector<coordination::member> unlisted_members(const std::vector<coordination::member>& listed,
                                                   const std::vector<router_status>& statuses);

// Waits until every live router has the revision, or a higher one, in force. Live is a router that
// has a record in the store, and one that a router with a record does not take for dead: during an
// outage of the store, leases may end and records go while their routers serve on. Both are read
// anew each round, so that a router that has gone no longer counts, and one that has come does. One
// that once had the revision keeps it, since none goes back. Without a single record there is
// nothing to go by, and the wait goes on.
fleet_wait_result wait_for_fleet(command_context& context, std::uint64_t revision,
                                 decision::duration timeout);

} // namespace pearhaven::control

#endif
