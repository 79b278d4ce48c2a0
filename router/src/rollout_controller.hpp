#ifndef PEARHAVEN_ROUTER_ROLLOUT_CONTROLLER_HPP
#define PEARHAVEN_ROUTER_ROLLOUT_CONTROLLER_HPP

#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/coordination/config_writer.hpp"
#include "pearhaven/coordination/fact_table.hpp"
#include "pearhaven/coordination/lease_holder.hpp"
#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/rollout_judge.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::router {

// The state that the controller decides on, at one moment.
struct rollout_inputs {
    const decision::configuration* current = nullptr;
    const coordination::config_state* stored = nullptr; // the same configuration, as stored
    const coordination::fact_table* facts = nullptr;
    std::set<coordination::incarnation_id> live; // including this router
};

// Advances the rollouts, on the one router that holds the rollout duty. Each step is a change of
// the configuration like an operator's: it takes effect everywhere in one order with all other
// changes, survives the loss of any router, and loses against an operator who changed the rollout
// in the meantime. This also makes a holder harmless that was paused past its lease: its change is
// based on an old revision of the object and is refused as a conflict.
class rollout_controller {
public:
    using action = std::variant<coordination::store_call, coordination::unreadable_value>;

    // The codecs must outlive the controller.
    rollout_controller(const coordination::incarnation_id& self, std::uint64_t random_seed,
                       const coordination::duty_codec& duties,
                       const coordination::config_head_codec& heads, decision::instant now);

    void set_candidate(bool candidate) { this->duty.set_candidate(candidate); }
    void on_tick(const rollout_inputs& inputs, decision::instant now);
    void on_reply(coordination::call_tag tag, const coordination::kv_reply& reply,
                  decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Releases the duty because this router stops, so that another router takes it at once.
    void release();

    [[nodiscard]] bool holds_duty() const { return this->duty.number() != 0; }

private:
    // The sender of a store call and its tag there; writer 0 stands for the duty.
    struct open_call {
        std::uint64_t writer = 0;
        coordination::call_tag tag = 0;
    };

    void evaluate(const rollout_inputs& inputs, decision::instant now);
    [[nodiscard]] static decision::rollout_fleet_evidence observe(const decision::rollout& plan,
                                                                  const rollout_inputs& inputs);
    void apply(const decision::rollout& plan, decision::rollout_move next,
               const rollout_inputs& inputs, decision::instant now);
    void collect();
    void submit_call(std::uint64_t writer_number, const coordination::store_call& call);
    void on_written(const coordination::config_write_done& done);

    std::uint64_t seed;
    const coordination::config_head_codec& head_codec;
    coordination::lease_holder duty;
    decision::rollout_judge judge;
    std::optional<coordination::config_writer> writer;
    std::uint64_t writer_count = 0;
    std::uint64_t awaited_revision = 0; // of the last change; no further step before it is in force
    decision::instant next_evaluation;
    coordination::call_tag next_tag = 1;
    std::map<coordination::call_tag, open_call> calls;
    std::vector<action> actions;
};

} // namespace pearhaven::router

#endif
