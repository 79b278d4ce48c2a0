#include "pearhaven/decision/rollout_exposure.hpp"

#include "contains.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

// Half of a rollout's false-alarm probability is for the tests of all routers together, half for
// the test of the lease holder, which sees all evidence.
constexpr double false_alarm_of_routers = 0.005;

bool is_model(const configuration& current, const std::string& name)
{
    const auto& versions = current.versions();
    return std::any_of(versions.begin(), versions.end(),
                       [&name](const auto& named) { return named.second.model == name; });
}

bool is_sampled(std::uint64_t key, std::uint32_t ppm)
{
    constexpr std::uint64_t million = 1'000'000;
    return key % million < ppm;
}

// Sessions per million of the request's kind that use the new version. While an endpoint is being
// filled, the sessions of the kinds that fill it move with all their requests: those with long
// prompts as well. Sessions of other kinds would meet an untested version without filling it.
std::uint32_t moved_sessions_ppm(const rollout& plan, const rollout_context& context)
{
    return plan.fills_endpoint && context.kind_fills_endpoint
               ? std::max(plan.session_ppm, plan.fill_ppm)
               : plan.session_ppm;
}

bool may_use(const version_question& question, const std::string& name)
{
    const auto* candidate = question.current->find_version(name);
    return candidate != nullptr && candidate->model == question.asked &&
           question.current->allows(*question.caller, *candidate) &&
           !contains(question.excluded, name);
}

} // namespace

std::uint64_t granted_callers(const rollout& plan, std::uint32_t step)
{
    if (plan.step_callers.empty()) {
        return 0;
    }
    if (step < plan.step_callers.size()) {
        return plan.step_callers[step];
    }
    const std::uint64_t extra_steps = step - plan.step_callers.size() + 1;
    return plan.step_callers.back() * (extra_steps + 1);
}

std::uint64_t share_of(std::uint64_t callers, std::size_t rank, std::size_t size)
{
    if (rank >= size) {
        return 0;
    }
    return callers / size + (rank < callers % size ? 1 : 0);
}

void rollout_exposure::on_fleet(std::size_t rank, std::size_t size)
{
    this->fleet_rank = rank;
    this->fleet_size = std::max<std::size_t>(size, 1);
}

void rollout_exposure::on_configuration(const configuration& current)
{
    std::map<std::string, tracked> next;
    for (const auto& [name, plan] : current.rollouts()) {
        auto& known = next[name];
        const auto before = this->rollouts.find(name);
        const bool is_same_attempt = before != this->rollouts.end() &&
                                     before->second.plan.run == plan.run &&
                                     before->second.plan.to == plan.to;
        if (is_same_attempt) {
            known = before->second;
            // Each state loads the endpoints in a different way. Good results from the previous
            // state are no evidence for this one and would only outweigh present failures.
            const bool same_state =
                known.plan.state == plan.state && known.plan.fills_endpoint == plan.fills_endpoint;
            known.seen = same_state ? known.seen : run_counts();
            known.speed = same_state ? known.speed : run_counts();
            this->add_grant(known, plan, granted_callers(known.plan, known.plan.step));
        } else if (this->has_configuration) {
            this->add_grant(known, plan, 0);
        }
        known.plan = plan;
    }
    this->rollouts = std::move(next);
    this->has_configuration = true;
}

// The fleet size in the configuration is the same for all routers. A router that has just started
// and knows few others would take too large a share by its own count.
void rollout_exposure::add_grant(tracked& known, const rollout& plan, std::uint64_t before)
{
    const auto granted = granted_callers(plan, plan.step);
    if (plan.run == 0 || granted <= before) {
        return;
    }
    const auto size = std::max<std::size_t>(this->fleet_size, plan.routers);
    known.granted += share_of(granted - before, this->fleet_rank, size);
}

bool rollout_exposure::is_tripped(const tracked& known) const
{
    const auto peer_trip = this->peer_trips.find(known.plan.to);
    return known.tripped_here ||
           (peer_trip != this->peer_trips.end() && peer_trip->second == known.plan.run);
}

bool rollout_exposure::may_use_new_version(const tracked& known, const rollout_context& context,
                                           const version_question& question) const
{
    const auto session_key = question.session_key;
    const auto& plan = known.plan;
    if (this->is_tripped(known)) {
        return false;
    }
    // Once all traffic has moved, a request that failed on the new version is retried there: on the
    // old one its session would use two versions.
    if (plan.state == rollout_state::done) {
        return true;
    }
    if (contains(context.lost_on, plan.to)) {
        return false;
    }
    const bool is_running = plan.state == rollout_state::running && plan.run != 0;
    // A request without a session that has begun on another version stays there, and so does one
    // whose caller has part of the answer: a bad version would break it off for good.
    const bool may_change = session_key != 0 && !context.delivered;
    if (!may_change && !context.ran_on.empty() && context.ran_on != plan.to) {
        return false;
    }
    // Routers keep no table of sessions, so none knows which version this session last used at
    // another router. The decision depends on its key and its kind alone, so all routers agree and
    // the session changes version once.
    if (session_key != 0) {
        return is_running && is_sampled(session_key, moved_sessions_ppm(plan, context));
    }
    if (plan.fills_endpoint && context.fills_endpoint &&
        is_sampled(question.random, plan.fill_ppm)) {
        return is_running;
    }
    const bool has_grant = context.exposed_by == plan.name || known.spent < known.granted;
    return is_running && !plan.paused && has_grant;
}

const rollout_exposure::tracked*
rollout_exposure::find_rollout(const std::string& from, const rollout_context& context,
                               const version_question& question) const
{
    for (const auto& [name, known] : this->rollouts) {
        if (known.plan.from == from && this->may_use_new_version(known, context, question)) {
            return &known;
        }
    }
    return nullptr;
}

rollout_choice rollout_exposure::choose(const version_question& question,
                                        const rollout_context& context) const
{
    if (this->rollouts.empty() || question.bound || !is_model(*question.current, question.asked)) {
        return {choose_version(question), {}};
    }
    version_question narrower = question;
    for (const auto& [name, known] : this->rollouts) {
        if (known.plan.state != rollout_state::done) {
            narrower.excluded.push_back(known.plan.to);
        }
    }
    narrower.excluded.insert(narrower.excluded.end(), context.lost_on.begin(),
                             context.lost_on.end());
    auto answer = choose_version(narrower);
    if (answer.refusal != version_refusal::none) {
        // The team may use only new versions, so there is nothing to decide.
        return {choose_version(question), {}};
    }
    rollout_choice chosen{std::move(answer), {}};
    for (std::size_t left = this->rollouts.size(); left > 0; --left) {
        const auto* found = this->find_rollout(chosen.answer.version, context, question);
        if (found == nullptr || !may_use(question, found->plan.to)) {
            break;
        }
        const bool by_grant = found->plan.state == rollout_state::running;
        chosen.answer.version = found->plan.to;
        chosen.exposed_by =
            by_grant && question.session_key == 0 ? found->plan.name : std::string();
    }
    return chosen;
}

void rollout_exposure::spend(const std::string& name)
{
    const auto found = this->rollouts.find(name);
    if (found != this->rollouts.end()) {
        ++found->second.spent;
    }
}

void rollout_exposure::on_end(const std::string& version, bool good)
{
    for (auto& [name, known] : this->rollouts) {
        if (known.plan.to == version && known.plan.state != rollout_state::rolled_back) {
            ++(good ? known.seen.good : known.seen.bad);
            this->test(known, good);
        }
    }
}

void rollout_exposure::on_speed(const std::string& version, bool slow)
{
    for (auto& [name, known] : this->rollouts) {
        if (known.plan.to == version) {
            ++(slow ? known.speed.bad : known.speed.good);
        }
    }
}

void rollout_exposure::on_loaded_run(const std::string& version, std::size_t level, bool good)
{
    for (auto& [name, known] : this->rollouts) {
        if (known.plan.to == version) {
            auto& seen = known.under_load.at(level);
            ++(good ? seen.good : seen.bad);
        }
    }
}

void rollout_exposure::test(tracked& known, bool good) const
{
    error_guard guard;
    guard.base_rate = known.plan.base_error_rate;
    guard.max_rate = known.plan.max_error_rate;
    guard.false_alarm =
        false_alarm_of_routers / static_cast<double>(std::max<std::size_t>(this->fleet_size, 1));
    const sequential_test wald(guard);
    known.watch.on_end(wald, good);
    const bool rejected = known.plan.state == rollout_state::running &&
                          wald.judge(known.seen) == test_verdict::rejected;
    known.tripped_here = known.tripped_here || rejected || known.watch.is_tripped();
}

void rollout_exposure::on_peer_trip(const std::string& version, std::uint64_t run)
{
    auto& peer_trip = this->peer_trips[version];
    peer_trip = std::max(peer_trip, run);
}

bool rollout_exposure::watches(const std::string& version) const
{
    return std::any_of(this->rollouts.begin(), this->rollouts.end(),
                       [&version](const auto& named) { return named.second.plan.to == version; });
}

bool rollout_exposure::is_fully_rolled_out(const std::string& version) const
{
    return std::any_of(this->rollouts.begin(), this->rollouts.end(), [&version](const auto& named) {
        const auto& plan = named.second.plan;
        return plan.to == version && plan.state == rollout_state::done;
    });
}

bool rollout_exposure::is_filling_endpoint(const std::string& version) const
{
    return std::any_of(this->rollouts.begin(), this->rollouts.end(), [&version](const auto& named) {
        const auto& plan = named.second.plan;
        return plan.to == version && plan.fills_endpoint && plan.state == rollout_state::running;
    });
}

std::set<std::string> rollout_exposure::tripped() const
{
    std::set<std::string> versions;
    for (const auto& [name, known] : this->rollouts) {
        if (known.plan.state != rollout_state::rolled_back && this->is_tripped(known)) {
            versions.insert(known.plan.to);
        }
    }
    return versions;
}

std::vector<rollout_report> rollout_exposure::reports() const
{
    std::vector<rollout_report> all;
    for (const auto& [name, known] : this->rollouts) {
        const auto& plan = known.plan;
        if (plan.state == rollout_state::rolled_back) {
            continue;
        }
        const auto left = known.granted - std::min(known.spent, known.granted);
        all.push_back({name, plan.to, plan.state, plan.run, known.seen, known.spent, left,
                       known.tripped_here, known.speed, known.under_load});
    }
    return all;
}

} // namespace pearhaven::decision
