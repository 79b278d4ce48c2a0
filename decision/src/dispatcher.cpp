#include "dispatch_failures.hpp"

#include "contains.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pearhaven::decision {

namespace {

// How long a suspect is kept for the endpoints of its own router.
constexpr duration suspect_hold = std::chrono::seconds(3);

// Period over which the rate of finished work is measured.
constexpr duration rate_period = std::chrono::seconds(1);

// Time between two looks for runs past their deadline.
constexpr duration overdue_period = std::chrono::milliseconds(100);

// Weight of the newest period in the smoothed rate.
constexpr double rate_gain = 0.3;

// Share of a team that is no longer configured, relative to the other teams.
constexpr double removed_team_weight = 1.0;

// Whether the request keeps a slot of its endpoint for long, and may be repeated elsewhere should
// the endpoint not bear it.
bool fills_endpoint(const arrival& request)
{
    return request.streamed && !request.is_service && !request.long_prompt &&
           request.on_loss == continuation::at_other_run;
}

} // namespace

dispatcher::dispatcher(dispatcher_settings chosen)
    : settings(std::move(chosen)), table(this->settings.endpoints), queue(this->settings.queue),
      random_state(this->settings.seed)
{}

void dispatcher::on_configuration(configuration_ptr current, instant now)
{
    this->config = std::move(current);
    this->table.configure(*this->config);
    this->exposure.on_configuration(*this->config);
    this->dispatch(now);
}

void dispatcher::on_hosts(const std::vector<endpoint_host>& hosts, instant now)
{
    this->table.set_hosts(hosts, now);
    this->dispatch(now);
}

std::vector<ended_incarnation> dispatcher::on_host_changes(const host_changes& changes, instant now)
{
    std::vector<ended_incarnation> ended;
    for (const auto& host : changes.present) {
        const auto replaced = this->table.set_host(host, now);
        ended.insert(ended.end(), replaced.begin(), replaced.end());
    }
    for (const auto& address : changes.gone) {
        const auto dropped = this->table.drop_host(address, now);
        ended.insert(ended.end(), dropped.begin(), dropped.end());
    }
    this->dispatch(now);
    return ended;
}

bool dispatcher::on_load_report(const std::string& address, const load_report& report, instant now)
{
    if (!this->table.reported(address, report, now)) {
        return false;
    }
    if (report.draining) {
        this->table.mark_leaving(address, 0, now);
    }
    return true;
}

void dispatcher::on_loads_told(const std::string& router, std::vector<endpoint_load> loads,
                               instant now)
{
    this->table.peer_reported(router, std::move(loads), now);
}

void dispatcher::on_endpoint_leaving(const std::string& address, std::uint64_t incarnation,
                                     instant now)
{
    this->table.mark_leaving(address, incarnation, now);
}

void dispatcher::on_standing_told(std::uint64_t fingerprint, suspect_table::standing standing,
                                  instant now)
{
    this->suspects.learn(fingerprint, standing, now);
}

void dispatcher::on_peer_trip(const std::string& version, std::uint64_t run, instant now)
{
    this->exposure.on_peer_trip(version, run);
    this->dispatch(now);
}

void dispatcher::on_touch(instant until, instant now)
{
    this->in_touch_until = until;
    this->dispatch(now);
}

bool dispatcher::is_long_out_of_touch(instant now) const
{
    return now - this->in_touch_until > this->settings.out_of_touch_patience;
}

void dispatcher::on_fleet(std::size_t rank, std::size_t size)
{
    this->fleet_size = std::max<std::size_t>(size, 1);
    this->fleet_rank = std::min(rank, this->fleet_size - 1);
    this->exposure.on_fleet(this->fleet_rank, this->fleet_size);
    for (auto& [asked, budget] : this->budgets) {
        budget.set_burst(this->burst_of_router(asked));
    }
}

void dispatcher::on_arrival(arrival request, instant now)
{
    if (auto refused = this->admission_failure(request, now)) {
        this->actions.emplace_back(give_up_request{request.ticket, std::move(*refused)});
        return;
    }
    ++this->team_in_flight[request.team];
    const auto ticket = request.ticket;
    request_state state;
    state.what = std::move(request);
    state.lost_at = now; // by another router, if it is a suspect already
    state.arrived = now;
    state.size = first_size(state.what.sizes, this->settings.sizes);
    state.rollouts.fills_endpoint = fills_endpoint(state.what);
    auto& arrivals = this->arrivals_by_target[state.what.asked];
    ++arrivals.all.in_period;
    arrivals.that_fill.in_period += state.rollouts.fills_endpoint ? 1 : 0;
    this->budget_of(state.what).earn(this->settings.retry_share_on_arrival, now);
    const auto& admitted = this->requests.emplace(ticket, std::move(state)).first->second;
    if (!this->enqueue(admitted)) {
        this->give_up(ticket, passing(failure_code::overloaded, soon, "the queue is full"));
        return;
    }
    this->dispatch(now);
}

bool dispatcher::is_suspect(const request_state& state, instant now) const
{
    return this->suspects.look(state.what.fingerprint, now) == suspect_table::standing::suspect;
}

placement dispatcher::place(const request_state& state, const std::string& target,
                            instant now) const
{
    placement wanted;
    wanted.version_or_service = target;
    wanted.is_service = state.what.is_service;
    wanted.kind = state.what.work.kind;
    wanted.work = this->work_of(state);
    wanted.prefill = state.what.work.reading * this->size_factor(state);
    wanted.parts = this->parts_of(state);
    // Models share no cache, and so need not share endpoints.
    wanted.prefix_hash = wanted.parts.empty() ? state.what.prefix_hash : wanted.parts.back().key;
    wanted.concentrated = this->helps_to_fill(state, target);
    if (now < state.avoid_until) {
        this->add_avoided(state, wanted);
    }
    if (this->is_suspect(state, now)) {
        this->keep_suspect_apart(state, wanted, now);
    }
    return wanted;
}

// An endpoint that has started again has neither refused the request nor lost it.
void dispatcher::add_avoided(const request_state& state, placement& wanted) const
{
    for (const auto& [address, incarnation] : state.avoid) {
        if (this->table.incarnation_of(address) == incarnation) {
            wanted.avoid.push_back(address);
        }
    }
}

bool dispatcher::runs_at_present_life(const request_state& state) const
{
    return !state.address.empty() && this->table.incarnation_of(state.address) == state.incarnation;
}

std::vector<endpoint_load> dispatcher::filling_loads() const
{
    std::set<std::string> filled;
    for (const auto& [ticket, state] : this->requests) {
        if (state.concentrated && !state.address.empty()) {
            filled.insert(state.address);
        }
    }
    std::vector<endpoint_load> held;
    if (filled.empty()) {
        return held;
    }
    for (auto& load : this->table.own_loads()) {
        if (filled.count(load.address) > 0) {
            load.parts.clear();
            held.push_back(std::move(load));
        }
    }
    return held;
}

// Whether the request is one of those that fill one endpoint of the version.
bool dispatcher::helps_to_fill(const request_state& state, const std::string& version) const
{
    return state.rollouts.fills_endpoint && !state.was_crowded_out &&
           this->exposure.is_filling_endpoint(version);
}

// Two suspects on one endpoint: if it crashes again, nobody can tell which of them did it, and the
// innocent one would be quarantined with the other. Apart, a second crash names exactly one.
// Suspects of two routers do not know of each other, so each router tries its own on endpoints of
// its own: those whose place in the list is the router's rank, modulo the number of routers. With
// fewer endpoints than routers the later ones hold theirs back for a while, until the culprit is
// known by gossip.
void dispatcher::keep_suspect_apart(const request_state& state, placement& wanted,
                                    instant now) const
{
    for (const auto& [ticket, other] : this->requests) {
        if (this->runs_at_present_life(other) && this->is_suspect(other, now)) {
            wanted.avoid.push_back(other.address);
        }
    }
    if (now - state.lost_at >= suspect_hold) {
        return;
    }
    auto addresses = this->table.addresses();
    std::sort(addresses.begin(), addresses.end());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        if (i % this->fleet_size != this->fleet_rank) {
            wanted.avoid.push_back(addresses[i]);
        }
    }
}

std::optional<dispatcher::chosen_start> dispatcher::find_start(const request_state& state,
                                                               instant now)
{
    auto target = state.what.asked;
    std::string exposed_by;
    if (!state.what.is_service) {
        auto chosen = this->ask_version(state, now);
        target = std::move(chosen.answer.version);
        exposed_by = std::move(chosen.exposed_by);
    }
    auto wanted = this->place(state, target, now);
    wanted.concentrated =
        wanted.concentrated && this->table.has_concentrated_room(wanted, this->fleet_size, now);
    auto address = this->table.choose(wanted, now, this->next_random());
    if (!address) {
        return std::nullopt;
    }
    return chosen_start{std::move(*address), std::move(target), std::move(exposed_by),
                        wanted.concentrated};
}

// The operator may remove a team while its requests run, and each of them may come back to the
// queue. A look that takes the team for granted threw there, and the router ended with all its
// callers' connections. The queue needs any weight for it: nothing of the team starts any more, and
// its turn only refuses it.
double dispatcher::weight_of(const std::string& team) const
{
    const auto& teams = this->config->teams();
    const auto found = teams.find(team);
    return found == teams.end() ? removed_team_weight : found->second.weight;
}

bool dispatcher::enqueue(const request_state& state)
{
    queue_entry entry;
    entry.ticket = state.what.ticket;
    entry.team = state.what.team;
    entry.weight = this->weight_of(state.what.team);
    entry.kind = state.what.work.kind;
    entry.priority = state.what.priority;
    entry.work = state.what.work.tokens;
    entry.deadline = state.what.deadline;
    return this->queue.push(std::move(entry));
}

void dispatcher::dispatch(instant now)
{
    // Without knowledge that the configuration is in force, a withdrawn version might be given
    // work.
    if (!this->is_in_touch(now) || !this->config) {
        return;
    }
    const auto can_start = [this, now](const queue_entry& entry) {
        const auto& state = this->requests.at(entry.ticket);
        return this->target_failure(state, now).has_value() ||
               this->find_start(state, now).has_value();
    };
    while (const auto entry = this->queue.pop(can_start)) {
        this->dispatch_entry(entry->ticket, now);
    }
}

void dispatcher::dispatch_entry(ticket_number ticket, instant now)
{
    auto& state = this->requests.at(ticket);
    if (auto refused = this->target_failure(state, now)) {
        if (state.may_have_run) {
            refused->run = run_state::unknown;
        }
        this->give_up(ticket, std::move(*refused));
        return;
    }
    const auto where = this->find_start(state, now);
    if (!where) {
        // The draw fell on no endpoint this time.
        this->queue.settle(state.what.team, state.what.work.tokens, 0.0);
        this->retry(state);
        return;
    }
    this->start(state, *where, now);
}

void dispatcher::start(request_state& state, const chosen_start& where, instant now)
{
    const auto& request = state.what;
    ++state.attempt;
    state.resumes = 0;
    state.address = where.address;
    state.version = where.version;
    state.rollouts.ran_on = where.version;
    state.sent_at = now;
    state.concentrated = where.concentrated;
    if (state.concentrated) {
        const double load = this->table.writing_per_slot(where.address, this->fleet_size);
        state.load_level = load_level(load);
    }
    state.writing = false;
    state.own_size = state.size;
    if (state.concentrated && request.sizes > 0) {
        // The largest model's answer takes longest, and adds up with the others'.
        state.size = request.sizes - 1;
    }
    // A caller counts once, however often its request is sent there.
    if (!where.exposed_by.empty() && where.exposed_by != state.rollouts.exposed_by) {
        this->exposure.spend(where.exposed_by);
        state.rollouts.exposed_by = where.exposed_by;
    }
    state.incarnation = this->table.incarnation_of(where.address);
    state.parts = this->parts_of(state);
    const double cold = this->table.cold_work_at(where.address, state.parts, now);
    state.reading = request.work.reading * this->size_factor(state) + cold;
    state.held_work = this->work_of(state) + cold;
    this->table.started(where.address, request.work.kind, state.held_work, state.parts, now);
    this->actions.emplace_back(
        start_attempt{request.ticket, state.attempt, where.address, where.version, state.size});
}

// A bad version can answer rightly and several times too slowly. Its answers are measured against
// those of the version that serves beside it or served before, for the same size of model. First
// pieces of streams wait for other callers' prompts, by anything up to seconds, and tell little.
void dispatcher::note_speed(const request_state& state, duration first_token)
{
    if (!state.what.streamed && first_token > duration::zero()) {
        this->weigh_speed(state, this->first_tokens, first_token);
    }
}

// While an endpoint is being filled, each step in which it writes waits for a chunk of the next
// prompt. A good version's first gaps are then several times the usual ones, and say nothing.
void dispatcher::on_pace(ticket_number ticket, attempt_number attempt, duration between_pieces)
{
    const auto found = this->requests.find(ticket);
    if (found != this->requests.end() && found->second.attempt == attempt &&
        !found->second.address.empty() && !found->second.concentrated) {
        this->weigh_speed(found->second, this->paces, between_pieces);
    }
}

void dispatcher::weigh_speed(const request_state& state, speed_reference& reference, duration time)
{
    if (state.what.is_service) {
        return;
    }
    if (!this->exposure.watches(state.version)) {
        reference.learn(state.what.asked, state.size, time);
        return;
    }
    const auto slow = reference.is_slow(state.what.asked, state.size, time);
    if (slow) {
        this->exposure.on_speed(state.version, *slow);
    }
}

// Half of a good version's streams keep to the middle pace, and four of five to twice that. A
// version that is several times slower keeps hardly one stream within.
speed_reference_settings dispatcher::pace_settings()
{
    speed_reference_settings settings;
    settings.share_within = 0.5;
    settings.factor = 2.0;
    settings.noise = std::chrono::milliseconds(5);
    return settings;
}

double dispatcher::size_factor(const request_state& state) const
{
    const bool is_small = state.size + 1 < state.what.sizes;
    return is_small ? this->settings.small_model_work : 1.0;
}

// The shared parts of the prompt as the next or present attempt's model knows them.
std::vector<prompt_part> dispatcher::parts_of(const request_state& state) const
{
    auto parts = state.what.parts;
    for (auto& part : parts) {
        part.key = mix(part.key + state.size);
        part.work *= this->size_factor(state);
    }
    return parts;
}

// What the next or present attempt weighs on its endpoint.
double dispatcher::work_of(const request_state& state) const
{
    return state.what.work.tokens * this->size_factor(state);
}

void dispatcher::on_caller_gone(ticket_number ticket, instant now)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end()) {
        return;
    }
    const auto& state = found->second;
    if (state.address.empty()) {
        this->queue.remove(ticket);
    } else {
        this->cancel_run(state, now);
    }
    this->forget(ticket);
    this->dispatch(now);
}

void dispatcher::cancel_run(const request_state& state, instant now)
{
    const auto& request = state.what;
    this->actions.emplace_back(cancel_attempt{request.ticket, state.attempt, state.address});
    this->count_end(state, attempt_result::cancelled, duration::zero(), now);
    this->queue.settle(request.team, request.work.tokens, request.work.tokens);
}

// Callers whose connections were closed without a word could not tell a stop from a broken network,
// nor what had run. What waits in the queue goes first: of what was never sent it can be said that
// it has not run.
void dispatcher::end_stop(instant now)
{
    this->give_up_all_queued(passing(failure_code::stopping, soon, "this router has stopped"));
    std::vector<ticket_number> running;
    for (const auto& [ticket, state] : this->requests) {
        running.push_back(ticket);
    }
    for (const auto ticket : running) {
        const auto& state = this->requests.at(ticket);
        this->cancel_run(state, now);
        this->give_up(ticket, {failure_code::stopping, run_state::unknown, state.what.idempotent,
                               soon, "this router stopped while the request ran"});
    }
}

void dispatcher::on_tick(instant now, instant heard_until)
{
    for (const auto& entry : this->queue.expire(now)) {
        const auto& state = this->requests.at(entry.ticket);
        const auto run = state.may_have_run ? run_state::unknown : run_state::not_run;
        this->give_up(entry.ticket,
                      {failure_code::deadline_passed, run, true, this->expected_wait(),
                       "the deadline passed while the request was queued"});
    }
    if (this->is_long_out_of_touch(now)) {
        this->give_up_all_queued(passing(failure_code::not_in_touch, soon,
                                         "the configuration in force cannot be confirmed"));
    }
    this->give_up_overdue(now, heard_until);
    this->note_finished_work(0.0, now);
    this->dispatch(now);
}

// Ends runs that are past their deadline: the caller has no use for the rest, the endpoint has.
void dispatcher::give_up_overdue(instant now, instant heard_until)
{
    if (now - this->overdue_checked < overdue_period) {
        return;
    }
    this->overdue_checked = now;
    std::vector<ticket_number> overdue;
    for (const auto& [ticket, state] : this->requests) {
        if (!state.address.empty() && heard_until >= state.what.deadline) {
            overdue.push_back(ticket);
        }
    }
    for (const auto ticket : overdue) {
        const auto& state = this->requests.at(ticket);
        this->cancel_run(state, now);
        this->give_up(ticket,
                      {failure_code::deadline_passed, run_state::unknown, state.what.idempotent,
                       soon, "the deadline passed while the request ran"});
    }
}

void dispatcher::give_up_all_queued(const failure& why)
{
    std::vector<ticket_number> waiting;
    for (const auto& [ticket, state] : this->requests) {
        if (state.address.empty()) {
            waiting.push_back(ticket);
        }
    }
    for (const auto ticket : waiting) {
        auto told = why;
        if (this->requests.at(ticket).may_have_run) {
            told.run = run_state::unknown;
        }
        this->queue.remove(ticket);
        this->give_up(ticket, std::move(told));
    }
}

double dispatcher::arrival_rate(const std::string& asked) const
{
    const auto found = this->arrivals_by_target.find(asked);
    return found == this->arrivals_by_target.end() ? 0.0 : found->second.all.per_second;
}

double dispatcher::long_arrival_rate(const std::string& asked) const
{
    const auto found = this->arrivals_by_target.find(asked);
    return found == this->arrivals_by_target.end() ? 0.0 : found->second.that_fill.per_second;
}

duration dispatcher::expected_wait() const
{
    if (this->work_per_second <= 0.0) {
        return duration::zero();
    }
    const double seconds = this->queue.queued_work() / this->work_per_second;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void dispatcher::settle_rate(counted_arrivals& counted, double seconds)
{
    const double rate = counted.in_period / seconds;
    counted.per_second += rate_gain * (rate - counted.per_second);
    counted.in_period = 0;
}

void dispatcher::note_finished_work(double work, instant now)
{
    this->work_in_period += work;
    const auto elapsed = now - this->rate_since;
    if (elapsed < rate_period) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double newest = this->work_in_period / seconds;
    // A quiet period says nothing of what the endpoints can do.
    if (this->work_in_period > 0.0) {
        const bool first = this->work_per_second <= 0.0;
        this->work_per_second += (first ? 1.0 : rate_gain) * (newest - this->work_per_second);
    }
    for (auto& [asked, arrivals] : this->arrivals_by_target) {
        settle_rate(arrivals.all, seconds);
        settle_rate(arrivals.that_fill, seconds);
    }
    this->work_in_period = 0.0;
    this->rate_since = now;
}

void dispatcher::give_up(ticket_number ticket, failure why)
{
    this->actions.emplace_back(give_up_request{ticket, std::move(why)});
    this->forget(ticket);
}

void dispatcher::forget(ticket_number ticket)
{
    const auto found = this->requests.find(ticket);
    const auto held = this->team_in_flight.find(found->second.what.team);
    if (--held->second == 0) {
        this->team_in_flight.erase(held);
    }
    this->requests.erase(found);
}

void dispatcher::publish_standings()
{
    for (const auto& [fingerprint, standing] : this->suspects.take_news()) {
        this->actions.emplace_back(announce_standing{fingerprint, standing});
    }
}

std::vector<dispatch_action> dispatcher::take_actions()
{
    return std::exchange(this->actions, {});
}

std::uint64_t dispatcher::next_random()
{
    return mix(this->random_state++);
}

} // namespace pearhaven::decision
