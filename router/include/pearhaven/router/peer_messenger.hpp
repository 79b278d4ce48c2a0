#ifndef PEARHAVEN_ROUTER_PEER_MESSENGER_HPP
#define PEARHAVEN_ROUTER_PEER_MESSENGER_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/adapters/peer_link.hpp"
#include "pearhaven/coordination/peer_exchange.hpp"
#include "pearhaven/coordination/prefix_mirror.hpp"
#include "pearhaven/coordination/watch_share.hpp"
#include "pearhaven/decision/dispatcher.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::router {

// How a router writes down for the others where it listens, and back; nothing for a text that is
// not one.
[[nodiscard]] std::string write_peer(const coordination::peer_router& where);
[[nodiscard]] std::optional<coordination::peer_router> read_peer(std::string_view text);

struct peer_messenger_settings {
    std::string self; // name, under which the others know this router
    coordination::peer_router listen_address;

    // Within which a change of the store has to be heard of.
    decision::duration max_update_delay = std::chrono::seconds(2);
};

// Talks with the other routers over the peer link, for an embedder that runs on an event loop: what
// they hold goes to the dispatcher, what they know of the store into the mirror. The link has a
// thread of its own, since frames of a slow or hostile peer must not hold up requests; everything
// else runs on the loop.
class peer_messenger {
public:
    struct dependencies {
        adapters::event_loop& loop;
        coordination::prefix_mirror& mirror;
        decision::dispatcher& dispatcher;
        adapters::metrics& counts;
        std::function<void()> on_updates; // the mirror has been told something
    };

    // What is passed by reference must outlive the desk, and the loop must not run after it.
    peer_messenger(dependencies deps, const peer_messenger_settings& settings);

    // Opens the link. Routers hear only those that hold the same key. Later calls change nothing.
    // Where the address cannot be listened on, a line says so, and this router goes on without.
    void open(const std::string& fleet_key);

    void set_peer(const std::string& name, const coordination::peer_router& where);
    void drop_peer(const std::string& name);

    // To be called every 50 ms or so.
    void tick();

    // Passes on what the store has told the mirror, where others go by it. To be called after each
    // answer of the store.
    void forward_updates();

private:
    void handle(const std::string& from, const adapters::peer_address& reply_to,
                const coordination::peer_message& message);
    void handle(const std::string& from, const adapters::peer_address& reply_to,
                const coordination::mirror_news& updates);
    void set_watch_mode();
    void update_mirror(const std::string& from, const coordination::mirror_news& updates);
    void answer(const adapters::peer_address& to, const coordination::mirror_pull& pull);

    dependencies deps;
    peer_messenger_settings settings;
    coordination::peer_exchange exchange;
    coordination::watch_share share;
    coordination::watch_mode mode = coordination::watch_mode::alone;
    coordination::store_revision forwarded_revision = 0; // up to where the others have been told
    decision::instant forwarded_confirmation; // of the store's answer that was passed on last
    std::unique_ptr<adapters::peer_link> link;
};

} // namespace pearhaven::router

#endif
