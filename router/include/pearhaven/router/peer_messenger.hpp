#ifndef PEARHAVEN_ROUTER_PEER_MESSENGER_HPP
#define PEARHAVEN_ROUTER_PEER_MESSENGER_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/adapters/peer_link.hpp"
#include "pearhaven/adapters/transferred_bytes.hpp"
#include "pearhaven/coordination/peer_exchange.hpp"
#include "pearhaven/coordination/prefix_mirror.hpp"
#include "pearhaven/coordination/update_delays.hpp"
#include "pearhaven/coordination/value_sender.hpp"
#include "pearhaven/coordination/watch_share.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/router/run_report_listener.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::router {

// Encode and decode the address under which a router registers itself for its peers. Decoding
// returns nothing for a malformed text.
[[nodiscard]] std::string write_peer(const coordination::peer_router& where);
[[nodiscard]] std::optional<coordination::peer_router> read_peer(std::string_view text);

struct peer_messenger_settings {
    std::string self; // name by which other routers know this router
    coordination::peer_router listen_address;
    coordination::update_delays delays;
};

// Exchanges messages with the other routers over the peer link, for a program that runs on an event
// loop. Load reports go to the dispatcher, store updates into the mirror. The link has a thread of
// its own, since frames of a slow or hostile peer must not delay requests. Everything else runs on
// the loop.
class peer_messenger final : public run_report_listener {
public:
    struct dependencies {
        adapters::event_loop& loop;
        coordination::prefix_mirror& mirror;
        decision::dispatcher& dispatcher;
        adapters::metrics& counts;
        std::function<void(const std::string& peer)> on_updates; // the peer updated the mirror
    };

    // References must outlive the messenger, and the loop must not run after its destruction.
    peer_messenger(dependencies deps, const peer_messenger_settings& settings);

    // Opens the link. Routers accept messages only from routers with the same key. Later calls have
    // no effect. If the address cannot be listened on, this is logged and the router runs without
    // peers.
    void open(const std::string& fleet_key);

    void set_peer(const std::string& name, const coordination::peer_router& where);
    void drop_peer(const std::string& name);

    // Call it about every 50 ms.
    void tick();

    // Forwards the store's updates from the mirror to the routers that follow this one. Call it
    // after each response from the store.
    void forward_updates();

    // Sent at once, to the peers that add up the lost runs of the request.
    void on_lost_run(const decision::lost_run& lost) override;
    void on_finished_run(std::uint64_t fingerprint) override;
    void on_lost_prompt(const decision::lost_prompt& lost) override;
    void on_answered_prompt(const decision::answered_prompt& answered) override;

    // Bytes of frames to and from the other routers.
    [[nodiscard]] adapters::transferred_bytes bytes() const;

    // Whether the other routers report the lost prompts of the target to this one.
    [[nodiscard]] bool adds_up_crashes_of(std::uint64_t target) const
    {
        return this->exchange.is_run_report_recipient(target);
    }

private:
    void send_run_report(std::uint64_t subject, const coordination::run_report& report);
    void handle(const coordination::run_report& report);
    void handle(const std::string& from, const adapters::peer_address& reply_to,
                const coordination::peer_message& message);
    void handle(const std::string& from, const adapters::peer_address& reply_to,
                const coordination::mirror_update& updates);
    void set_watch_mode();
    void update_mirror(const std::string& from, const coordination::mirror_update& updates);
    void ask_for_values(const adapters::peer_address& watcher);
    void answer(const adapters::peer_address& to, const coordination::mirror_pull& pull);
    void send_values();
    void pack_large_values(coordination::mirror_update& update);

    dependencies deps;
    peer_messenger_settings settings;
    coordination::peer_exchange exchange;
    coordination::watch_share share;
    coordination::value_sender values;
    std::map<std::string, coordination::packed_entry> packed; // by key; the latest large values
    coordination::watch_mode mode = coordination::watch_mode::independent;
    decision::instant values_asked_until;
    coordination::store_revision forwarded_revision = 0; // last one sent to the other routers
    decision::instant forwarded_answer; // time of the last forwarded store response
    std::unique_ptr<adapters::peer_link> link;
};

} // namespace pearhaven::router

#endif
