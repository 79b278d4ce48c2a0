#ifndef PEARHAVEN_ROUTER_FLEET_WORKER_HPP
#define PEARHAVEN_ROUTER_FLEET_WORKER_HPP

#include "fleet_event.hpp"
#include "published.hpp"
#include "rollout_controller.hpp"
#include "routing_event.hpp"

#include "pearhaven/adapters/bounded_ring.hpp"
#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/adapters/peer_link.hpp"
#include "pearhaven/coordination/bill_ledger.hpp"
#include "pearhaven/coordination/config_replica.hpp"
#include "pearhaven/coordination/fact_table.hpp"
#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/membership.hpp"
#include "pearhaven/coordination/once_claims.hpp"
#include "pearhaven/router/settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace pearhaven::router {

// State of the fleet thread that the operator port shows.
struct fleet_view {
    std::uint64_t revision = 0;
    std::optional<decision::duration> confirmed_age;
    bool ready = false;
    bool in_touch = false;
    bool outage_agreed = false;
    bool left = false; // the other routers were informed that this router has left
    std::size_t bills_waiting = 0;
    std::vector<coordination::member> members;

    friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

// The name of a member's state on status pages and in logs.
std::string state_name(coordination::member_state state);

// Runs the coordination components on a thread of its own: the configuration replica, and
// everything that this router agrees on with other routers or keeps in the store.
class fleet_worker : public fleet_sink {
public:
    struct dependencies {
        const router_settings& settings;
        std::string incarnation;
        std::uint64_t seed;
        coordination::key_value_store& store;
        adapters::metrics& counts;
        published<decision::configuration_ptr>& configuration;
    };

    explicit fleet_worker(const dependencies& all_dependencies);
    ~fleet_worker() override;
    fleet_worker(const fleet_worker&) = delete;
    fleet_worker& operator=(const fleet_worker&) = delete;

    // Both references must outlive the worker's thread.
    void start(routing_sink& routing_events, adapters::peer_link& peer_link,
               std::uint16_t operator_port);
    void stop();

    bool submit(fleet_event event) override;

    [[nodiscard]] fleet_view view() const { return this->latest_view.get(); }

private:
    void run();
    void tick();
    void handle(store_replied& event);
    void handle(peer_message_received& event);
    void handle(bill_due& event);
    void handle(claim_requested& event);
    void handle(claim_settled& event);
    void handle(fact_observed& event);
    void handle(leave_begun& event);

    // Executes the pending actions of all components.
    void carry_out_all();
    template <class Part>
    void carry_out_part(fleet_part part, Part& source);
    void carry_out(fleet_part part, const coordination::store_call& action);
    void carry_out(fleet_part part, const coordination::send_message& action);
    void carry_out(fleet_part part, const coordination::unreadable_value& action);
    void carry_out(fleet_part part, const coordination::config_applied& action);
    void carry_out(fleet_part part, const coordination::bill_safe& action);
    void carry_out(fleet_part part, const coordination::claim_decided& action);
    void carry_out(fleet_part part, const coordination::member_changed& action);
    void carry_out(fleet_part part, const coordination::fact_learned& action);
    void carry_out(fleet_part part, const coordination::fact_removed& action);

    void join_fleet();
    void update_members();
    void update_rollouts();

    void report_config_validity();
    [[nodiscard]] decision::instant config_valid_until(decision::instant moment) const;
    void publish_view();

    dependencies deps;
    routing_sink* routing = nullptr;
    adapters::peer_link* link = nullptr;
    std::uint16_t own_operator_port = 0;
    adapters::bounded_ring<fleet_event> ring;
    std::unique_ptr<coordination::config_head_codec> head_codec;
    std::unique_ptr<coordination::bill_page_codec> bill_codec;
    std::unique_ptr<coordination::claim_codec> claim_codec;
    std::unique_ptr<coordination::member_codec> member_codec;
    std::unique_ptr<coordination::duty_codec> duty_codec;
    coordination::config_replica replica;
    coordination::bill_ledger ledger;
    coordination::once_claims claims;
    coordination::fact_table facts;
    rollout_controller rollouts;
    std::optional<coordination::membership> fleet; // set when the thread starts
    std::map<coordination::claim_number, exchange_ptr> claimants;
    std::multimap<std::string, bill_due> unbilled; // by request id
    decision::instant next_tick;
    decision::instant next_members;
    bool left = false;
    decision::instant reported_until;
    bool was_in_touch = false;
    fleet_changed reported_position;
    published<fleet_view> latest_view;
    std::thread thread;
};

} // namespace pearhaven::router

#endif
