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
};

// Chooses the router that takes over requests whose endpoints this router cannot connect to. Not
// thread-safe.
class peer_forwarding {
public:
    explicit peer_forwarding(peer_forwarding_settings chosen = {}) : settings(chosen) {}

    // `address` is where the peer accepts callers' requests.
    void set_peer(const std::string& name, const std::string& address);
    void drop_peer(const std::string& name) { this->peers.erase(name); }

    void on_refused(const std::string& address, instant now);

    // The address of a peer that is not in `avoid`; nothing if there is none.
    [[nodiscard]] std::optional<std::string> choose(const std::vector<std::string>& avoid,
                                                    std::uint64_t random, instant now) const;

private:
    peer_forwarding_settings settings;
    std::map<std::string, std::string> peers;  // addresses by name
    std::map<std::string, instant> refused_at; // by address
};

} // namespace pearhaven::decision

#endif
