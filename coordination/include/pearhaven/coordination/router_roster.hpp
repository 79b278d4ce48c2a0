#ifndef PEARHAVEN_COORDINATION_ROUTER_ROSTER_HPP
#define PEARHAVEN_COORDINATION_ROUTER_ROSTER_HPP

#include "pearhaven/decision/fleet_place.hpp"
#include "pearhaven/decision/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace pearhaven::coordination {

// The routers that share what endpoints accept. A key that is missing in the store does not tell
// that its router has ended: the router may be unable to renew its lease, or all leases may have
// run out in an outage. So a router counts for some time after its key has gone. Meanwhile the
// others use less than they might, and never more.
class router_roster {
public:
    // A router counts for `retention` after its key has gone.
    explicit router_roster(std::string self,
                           decision::duration retention = std::chrono::seconds(30));

    // The store holds a key of this router.
    void on_listed(const std::string& name);

    // The store holds none any more.
    void on_missing(const std::string& name, decision::instant now);

    // This router's place among those that count, by name. It counts itself in any case.
    [[nodiscard]] decision::fleet_place place(decision::instant now);

private:
    std::string self;
    decision::duration retention;
    std::map<std::string, std::optional<decision::instant>> missing_since; // by name
};

} // namespace pearhaven::coordination

#endif
