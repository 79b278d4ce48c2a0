#ifndef PEARHAVEN_DECISION_PEER_FORWARDING_HPP
#define PEARHAVEN_DECISION_PEER_FORWARDING_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::decision {

struct peer_forwarding_settings {
    // How long a peer that refused a forwarded request is asked only if all others have refused.
    duration refusal_avoidance = std::chrono::seconds(1);

    // Requests that only start at once are forwarded while not more of the latest ones than this
    // part, and a few, were refused: otherwise the other routers have no room either.
    double max_refused_part = 0.75;
    double refused_slack = 2.0;
    duration refusal_half_life = std::chrono::milliseconds(500);
};

// Chooses the router that takes over requests which this router cannot start: it cannot connect to
// their endpoints, or its share of them is used up. Not thread-safe.
class peer_forwarding {
public:
    explicit peer_forwarding(peer_forwarding_settings chosen = {}) : settings(chosen) {}

    // `address` is where the peer accepts callers' requests.
    void set_peer(const std::string& name, const std::string& address);
    void drop_peer(const std::string& name) { this->peers.erase(name); }

    void on_refused(const std::string& address, instant now);

    // A request that only starts at once was forwarded, or refused.
    void on_asked_to_start(instant now);
    void on_refused_to_start(instant now);

    // Whether such a request may be forwarded.
    [[nodiscard]] bool may_ask_to_start(instant now) const;

    // The address of a peer that is not in `avoid`; nothing if there is none.
    [[nodiscard]] std::optional<std::string> choose(const std::vector<std::string>& avoid,
                                                    std::uint64_t random, instant now) const;

private:
    // Requests that only start at once, of which each counts half as much after a half-life.
    struct recent_requests {
        double asked = 0.0;
        double refused = 0.0;
        instant at;
    };

    [[nodiscard]] recent_requests recent_at(instant now) const;

    peer_forwarding_settings settings;
    recent_requests recent;
    std::map<std::string, std::string> peers;  // addresses by name
    std::map<std::string, instant> refused_at; // by address
};

} // namespace pearhaven::decision

#endif
