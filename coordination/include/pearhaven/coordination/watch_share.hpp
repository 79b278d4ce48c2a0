#ifndef PEARHAVEN_COORDINATION_WATCH_SHARE_HPP
#define PEARHAVEN_COORDINATION_WATCH_SHARE_HPP

#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pearhaven::coordination {

// How a router keeps up with the store.
enum class watch_mode : std::uint8_t {
    independent, // by watches of its own
    watcher,     // by short watches of its own, and passes on what they bring
    follower,    // by what the watchers of its availability zone pass on
};

struct watch_share_settings {
    std::string self; // name of this router among its peers
    std::string zone;

    // Routers of a zone that watch for the others. Of two, one may die, be cut off or go deaf, and
    // nobody hears a change later for it.
    std::size_t watcher_count = 2;

    // Routers of a zone from which on they share watches. Watches for others are short, and a few
    // of them cost as many calls as eight long ones.
    std::size_t min_routers_to_share = 8;

    // How old the store's word may be that a follower goes by. A follower that has no younger one
    // watches itself. The strictest bound on hearing of a configuration is two seconds; this leaves
    // the time of a call and of a busy loop.
    decision::duration update_lifetime = std::chrono::milliseconds(1200);

    // Followers that lose their watchers turn to the store over this time, not all at once.
    decision::duration fallback_spread = std::chrono::milliseconds(200);
};

// Divides the watching of the store among the routers of a zone. With a watch of its own for each,
// every write costs as many calls as there are routers, since it wakes all of them. Who watches
// follows from the names of the live routers alone, alike everywhere and without a write; who hears
// nothing in time watches for itself, so that a wrong idea of the others costs calls and nothing
// else.
class watch_share {
public:
    explicit watch_share(watch_share_settings chosen) : settings(std::move(chosen)) {}

    // The other routers, of all zones.
    void set_peer(const std::string& name, const std::string& zone);
    void drop_peer(const std::string& name) { this->zone_peers.erase(name); }

    // A watcher's word: nothing up to `as_of` was missing `age` before it came. `revision` is what
    // this router knows itself; a word that is behind it says nothing.
    void on_watcher_update(store_revision as_of, store_revision revision, decision::duration age,
                           decision::instant now);

    [[nodiscard]] watch_mode mode(decision::instant now) const;

private:
    [[nodiscard]] bool is_watcher() const;

    watch_share_settings settings;
    std::map<std::string, std::uint64_t>
        zone_peers; // routers of the zone but this one, with their ranks
    decision::instant fresh_until;
};

} // namespace pearhaven::coordination

#endif
