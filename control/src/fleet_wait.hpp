#ifndef PEARHAVEN_CONTROL_FLEET_WAIT_HPP
#define PEARHAVEN_CONTROL_FLEET_WAIT_HPP

#include "command.hpp"

#include "pearhaven/coordination/peer_message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pearhaven::control {

// A live router that is not known to have applied the revision.
struct lagging_router {
    coordination::member router;
    std::string reason;

    friend bool operator==(const lagging_router&, const lagging_router&) = default;
};

struct fleet_wait_result {
    bool applied = false;
    std::size_t routers = 0; // number of live routers at the end of the wait
    std::vector<lagging_router> lagging;
    std::string problem; // why the routers could not be listed
};

// Returns the routers that are not listed but that a router in `statuses` does not consider dead.
std::vector<coordination::member> unlisted_members(const std::vector<coordination::member>& listed,
                                                   const std::vector<router_status>& statuses);

// Waits until every live router has applied the revision or a higher one. A router is live when it
// has a record in the store, or when a router with a record does not consider it dead: during a
// store outage, leases can expire and records be removed while their routers keep serving. Both
// sources are read again in each round, so that routers that leave are no longer waited for and new
// ones are. A router that has applied the revision once counts as confirmed from then on, since
// routers never return to a lower revision. Without any record the routers are unknown, and the
// wait continues.
fleet_wait_result wait_for_fleet(command_context& context, std::uint64_t revision,
                                 decision::duration timeout);

} // namespace pearhaven::control

#endif
