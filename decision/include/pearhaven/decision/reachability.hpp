#ifndef PEARHAVEN_DECISION_REACHABILITY_HPP
#define PEARHAVEN_DECISION_REACHABILITY_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace pearhaven::decision {

struct reachability_settings {
    // Endpoints of a target that cannot be connected to, one after the other and with no new
    // connection in between, until the router counts as cut off from the target. Fewer if the
    // target has fewer endpoints.
    std::size_t max_unreachable_endpoints = 3;

    // Time between two requests that try the endpoints of a target that the router is cut off from.
    duration trial_period = std::chrono::seconds(1);
};

// Tells an endpoint that is down from a router that can connect to no endpoint of a target. Only
// new connections count: open ones may live on while new ones are refused. Not thread-safe.
class reachability {
public:
    explicit reachability(reachability_settings chosen = {}) : settings(chosen) {}

    void on_unreachable(const std::string& target, const std::string& endpoint);

    // A new connection to an endpoint of the target was established.
    void on_connected(const std::string& target);
    void on_endpoint_ended(const std::string& endpoint);

    // Whether an endpoint could not be connected to since the last new connection.
    [[nodiscard]] bool is_in_doubt(const std::string& target) const
    {
        return this->targets.count(target) > 0;
    }

    // `endpoints`: the number of the target's endpoints.
    [[nodiscard]] bool is_cut_off(const std::string& target, std::size_t endpoints) const;

    // Whether a request may try the endpoints of a target that the router is cut off from.
    [[nodiscard]] bool may_try(const std::string& target, instant now) const;
    void on_try(const std::string& target, instant now);

private:
    struct target_state {
        std::set<std::string> unreachable; // endpoints
        instant next_try;
    };

    reachability_settings settings;
    std::map<std::string, target_state> targets;
};

} // namespace pearhaven::decision

#endif
