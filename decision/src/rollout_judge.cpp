#include "pearhaven/decision/rollout_judge.hpp"

#include "pearhaven/decision/rollout_exposure.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

// The lease holder's half of a rollout's false-alarm probability.
constexpr double false_alarm_of_holder = 0.005;

// Reports on a step must have had time to arrive before its grant counts as lost.
constexpr duration min_time_before_renewal = std::chrono::seconds(10);

test_verdict verdict_on(const rollout& plan, const rollout_fleet_evidence& evidence)
{
    error_guard guard;
    guard.base_rate = plan.base_error_rate;
    guard.max_rate = plan.max_error_rate;
    guard.false_alarm = false_alarm_of_holder;
    return sequential_test(guard).judge(evidence.seen);
}

} // namespace

duration rollout_judge::time_on_step(const rollout& plan, instant now)
{
    const auto found = this->steps.find(plan.name);
    const bool is_known = found != this->steps.end() && found->second.run == plan.run &&
                          found->second.step == plan.step;
    if (!is_known) {
        this->steps.insert_or_assign(plan.name, observed_step{plan.run, plan.step, now});
        return duration::zero();
    }
    return now - found->second.since;
}

rollout_move rollout_judge::judge(const rollout& plan, const rollout_fleet_evidence& evidence,
                                  instant now)
{
    const auto on_step = this->time_on_step(plan, now);
    if (plan.state == rollout_state::rolled_back) {
        return rollout_move::stay;
    }
    if (plan.state == rollout_state::done) {
        return evidence.tripped ? rollout_move::roll_back : rollout_move::stay;
    }
    if (plan.run == 0) {
        return plan.paused ? rollout_move::stay : rollout_move::begin;
    }
    const auto verdict = verdict_on(plan, evidence);
    if (verdict == test_verdict::rejected || evidence.tripped) {
        return rollout_move::roll_back;
    }
    const duration min_time_on_step = std::chrono::seconds(plan.step_seconds);
    if (plan.paused || on_step < min_time_on_step) {
        return rollout_move::stay;
    }
    const bool accepted = verdict == test_verdict::accepted;
    const bool is_last = plan.step + 1 >= plan.step_callers.size();
    if (accepted && is_last) {
        return rollout_move::finish;
    }
    if (accepted || evidence.seen.total() * 2 >= granted_callers(plan, plan.step)) {
        return rollout_move::advance;
    }
    const bool grant_is_lost = evidence.left == 0 && on_step >= min_time_before_renewal;
    return grant_is_lost ? rollout_move::renew : rollout_move::stay;
}

} // namespace pearhaven::decision
