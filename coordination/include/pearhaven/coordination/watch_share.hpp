#ifndef PEARHAVEN_COORDINATION_WATCH_SHARE_HPP
#define PEARHAVEN_COORDINATION_WATCH_SHARE_HPP

#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/decision/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pearhaven::coordination {

// How a router learns of changes in the store.
enum class watch_mode : std::uint8_t {
    independent, // with its own watches
    watcher,     // with its own short watches, whose changes it forwards to its zone
    follower,    // from the watchers of its availability zone
};

struct watch_share_settings {
    std::string self; // name of this router among its peers
    std::string zone;

    // Number of routers in a zone that watch for the others. One of two may crash, be partitioned
    // or have a watch that misses changes, without delaying a change for any router.
    std::size_t watcher_count = 2;

    // Minimum number of routers in a zone for sharing watches. Shared watches are short, and a few
    // of them cost as many calls as eight long ones.
    std::size_t min_routers_to_share = 8;

    // Maximum age of the store state that a follower relies on. A follower without a newer update
    // watches the store itself. The strictest bound on receiving a configuration is two seconds;
    // this leaves the time of a call and of a busy event loop.
    decision::duration update_lifetime = std::chrono::milliseconds(1200);

    // Followers that lose their watchers start to watch the store over this time, not all at once.
    decision::duration fallback_spread = std::chrono::milliseconds(200);

    std::uint32_t link_mbps = 0; // of this router's host; 0: unknown
};

// Divides the watching of the store among the routers of a zone. If each router watched for itself,
// every write would wake all of them and cost as many calls as there are routers. The watchers are
// those with the widest links, which receive and pass on large values soonest. They are selected by
// the registrations of the live routers alone, so all routers select the same ones without a write.
// A router that receives nothing in time watches for itself, so a wrong view of the others only
// costs calls.
class watch_share {
public:
    explicit watch_share(watch_share_settings chosen) : settings(std::move(chosen)) {}

    // The other routers, of all zones, with the width of their hosts' links.
    void set_peer(const std::string& name, const std::string& zone, std::uint32_t link_mbps = 0);
    void drop_peer(const std::string& name) { this->zone_peers.erase(name); }

    // An update from a watcher: `age` before its arrival it held every change up to `as_of`.
    // `revision` is what this router has received itself; an update behind it is ignored.
    void on_watcher_update(store_revision as_of, store_revision revision, decision::duration age,
                           decision::instant now);

    [[nodiscard]] watch_mode mode(decision::instant now) const;

private:
    // Routers of higher rank watch for the others.
    struct rank {
        std::uint32_t link_mbps = 0;
        std::uint64_t order = 0; // by name

        // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
        friend auto operator<=>(const rank&, const rank&) = default;
    };

    [[nodiscard]] static rank rank_of(const std::string& name, std::uint32_t link_mbps);
    [[nodiscard]] bool is_watcher() const;

    watch_share_settings settings;
    std::map<std::string, rank> zone_peers; // other routers of the zone
    decision::instant fresh_until;
};

} // namespace pearhaven::coordination

#endif
