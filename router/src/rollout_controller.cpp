#include "rollout_controller.hpp"

#include "rollout_subject.hpp"

#include "pearhaven/adapters/authenticator.hpp"
#include "pearhaven/adapters/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pearhaven::router {

namespace {

using coordination::config_object;
using coordination::fact_kind;
using decision::rollout;
using decision::rollout_move;
using nlohmann::json;

constexpr decision::duration evaluation_period = std::chrono::milliseconds(100);

// Wait after a change before the next evaluation. By then, whatever made the store refuse the
// change is in force or visible.
constexpr decision::duration delay_after_change = std::chrono::milliseconds(500);

coordination::lease_holder_settings duty_settings(const coordination::incarnation_id& self,
                                                  std::uint64_t seed)
{
    coordination::lease_holder_settings chosen;
    chosen.duty = "rollouts";
    chosen.self = self;
    chosen.seed = seed;
    return chosen;
}

std::uint64_t sum_of(const rollout_inputs& inputs, const std::string& subject, bool of_live_only)
{
    std::uint64_t sum = 0;
    for (const auto& reported : inputs.facts->about(fact_kind::exposure_spent, subject)) {
        if (!of_live_only || inputs.live.count(reported.author) > 0) {
            sum += static_cast<std::uint64_t>(reported.value);
        }
    }
    return sum;
}

bool is_tripped(const rollout& plan, const rollout_inputs& inputs)
{
    const auto reported = inputs.facts->about(fact_kind::version_tripped, plan.to);
    return std::any_of(reported.begin(), reported.end(), [&plan](const coordination::fact& one) {
        return static_cast<std::uint64_t>(one.value) == plan.run;
    });
}

const char* name_of(rollout_move move)
{
    switch (move) {
    case rollout_move::stay:
        return "stay";
    case rollout_move::begin:
        return "begin";
    case rollout_move::renew:
        return "renew";
    case rollout_move::advance:
        return "advance";
    case rollout_move::finish:
        return "finish";
    case rollout_move::roll_back:
        return "roll_back";
    }
    return "other";
}

// The stored object with some fields of its spec replaced; nothing if it is not stored or cannot be
// parsed.
std::optional<config_object> edited_object(const rollout_inputs& inputs, const std::string& kind,
                                           const std::string& name, const json& fields)
{
    const auto* const stored = inputs.stored->find(kind, name);
    if (stored == nullptr) {
        return std::nullopt;
    }
    auto body = json::parse(stored->body, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    body["spec"].update(fields);
    return config_object{kind, name, body.dump()};
}

json fields_after(const rollout& plan, rollout_move move, const rollout_inputs& inputs)
{
    switch (move) {
    case rollout_move::begin:
    case rollout_move::renew:
        return {{"state", "running"},
                {"step", plan.step},
                {"run", inputs.stored->revision() + 1},
                {"routers", inputs.live.size()}};
    case rollout_move::advance:
        return {{"step", plan.step + 1}, {"routers", inputs.live.size()}};
    case rollout_move::finish:
        return {{"state", "done"}};
    case rollout_move::roll_back:
        return {{"state", "rolled_back"}};
    case rollout_move::stay:
        break;
    }
    return json::object();
}

std::uint64_t unix_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

rollout_controller::rollout_controller(const coordination::incarnation_id& self,
                                       std::uint64_t random_seed,
                                       const coordination::duty_codec& duties,
                                       const coordination::config_head_codec& heads,
                                       decision::instant now)
    : seed(random_seed), head_codec(heads), duty(duty_settings(self, random_seed), duties, now)
{}

void rollout_controller::on_tick(const rollout_inputs& inputs, decision::instant now)
{
    this->duty.on_tick(now);
    if (this->writer) {
        this->writer->on_tick(now);
    }
    this->collect();
    if (!this->writer && now >= this->next_evaluation) {
        this->next_evaluation = now + evaluation_period;
        this->evaluate(inputs, now);
        this->collect();
    }
}

void rollout_controller::evaluate(const rollout_inputs& inputs, decision::instant now)
{
    const bool is_ready = inputs.current != nullptr && this->duty.may_order(now) &&
                          inputs.current->revision() == inputs.stored->revision() &&
                          inputs.stored->revision() >= this->awaited_revision;
    if (!is_ready) {
        return;
    }
    for (const auto& [name, plan] : inputs.current->rollouts()) {
        const auto next = this->judge.judge(plan, observe(plan, inputs), now);
        if (next != rollout_move::stay) {
            this->apply(plan, next, inputs, now);
            return; // one change at a time
        }
    }
}

decision::rollout_fleet_evidence rollout_controller::observe(const rollout& plan,
                                                             const rollout_inputs& inputs)
{
    const auto subject = [&plan](const char* what) {
        return rollout_subject(plan.name, plan.run, what);
    };
    decision::rollout_fleet_evidence observation;
    observation.seen.good = sum_of(inputs, subject(good_outcomes), false);
    observation.seen.bad = sum_of(inputs, subject(bad_outcomes), false);
    observation.left = sum_of(inputs, subject(remaining_callers), true);
    observation.tripped = is_tripped(plan, inputs);
    return observation;
}

void rollout_controller::apply(const rollout& plan, rollout_move next, const rollout_inputs& inputs,
                               decision::instant now)
{
    coordination::config_edit edit;
    edit.write_id = adapters::random_identifier();
    edit.author = "rollout " + plan.name;
    edit.unix_ms = unix_ms();
    edit.seen_revision = inputs.stored->revision();
    const auto object =
        edited_object(inputs, "rollout", plan.name, fields_after(plan, next, inputs));
    if (!object) {
        return;
    }
    edit.objects.push_back(*object);
    const auto* const version = inputs.current->find_version(plan.to);
    if (next == rollout_move::roll_back && version != nullptr && !version->withdrawn) {
        if (const auto withdrawn =
                edited_object(inputs, "version", plan.to, {{"withdrawn", true}})) {
            edit.objects.push_back(*withdrawn);
        }
    }
    const auto observation = observe(plan, inputs);
    adapters::log_change("rollout_moving", {{"rollout", plan.name},
                                            {"move", name_of(next)},
                                            {"step", std::to_string(plan.step)},
                                            {"good", std::to_string(observation.seen.good)},
                                            {"bad", std::to_string(observation.seen.bad)}});
    coordination::config_writer_settings chosen;
    chosen.seed = this->seed + this->writer_count;
    ++this->writer_count;
    this->writer.emplace(chosen, this->head_codec);
    this->writer->start(std::move(edit), now);
    this->next_evaluation = now + delay_after_change;
}

void rollout_controller::on_reply(coordination::call_tag tag, const coordination::kv_reply& reply,
                                  decision::instant now)
{
    const auto found = this->calls.find(tag);
    if (found == this->calls.end()) {
        return;
    }
    const auto call = found->second;
    this->calls.erase(found);
    if (call.writer == 0) {
        this->duty.on_reply(call.tag, reply, now);
    } else if (this->writer && call.writer == this->writer_count) {
        this->writer->on_reply(call.tag, reply, now);
    }
    this->collect();
}

void rollout_controller::submit_call(std::uint64_t writer_number,
                                     const coordination::store_call& call)
{
    const auto tag = this->next_tag++;
    this->calls.emplace(tag, open_call{writer_number, call.tag});
    this->actions.emplace_back(coordination::store_call{tag, call.request});
}

void rollout_controller::on_written(const coordination::config_write_done& done)
{
    if (done.error) {
        adapters::log_warning("rollout_move_refused", {{"why", done.error.message()}});
        return;
    }
    this->awaited_revision = done.revision;
}

void rollout_controller::collect()
{
    using coordination::config_write_done;
    using coordination::store_call;
    using coordination::unreadable_value;
    for (const auto& what : this->duty.take_actions()) {
        if (const auto* call = std::get_if<store_call>(&what)) {
            this->submit_call(0, *call);
        } else if (const auto* bad = std::get_if<unreadable_value>(&what)) {
            this->actions.emplace_back(*bad);
        } else if (std::holds_alternative<coordination::duty_lost>(what)) {
            this->judge.forget();
            adapters::log_change("rollout_duty_lost", {});
        } else {
            adapters::log_change("rollout_duty_taken",
                                 {{"number", std::to_string(this->duty.number())}});
        }
    }
    if (!this->writer) {
        return;
    }
    for (const auto& what : this->writer->take_actions()) {
        if (const auto* call = std::get_if<store_call>(&what)) {
            this->submit_call(this->writer_count, *call);
        } else if (const auto* done = std::get_if<config_write_done>(&what)) {
            this->on_written(*done);
        } else {
            this->actions.emplace_back(std::get<unreadable_value>(what));
        }
    }
    if (this->writer->is_done()) {
        this->writer.reset();
    }
}

std::vector<rollout_controller::action> rollout_controller::take_actions()
{
    return std::exchange(this->actions, {});
}

void rollout_controller::release()
{
    this->duty.release();
    this->collect();
}

} // namespace pearhaven::router
