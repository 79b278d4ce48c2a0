#include "dispatch_failures.hpp"

#include "contains.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pearhaven::decision {

namespace {

// How long a router tries its suspects only on the endpoints assigned to its rank.
constexpr duration suspect_isolation_period = std::chrono::seconds(3);

constexpr duration rate_period = std::chrono::seconds(1);

// A router that holds this multiple of its peers' mean number of requests is crowded, unless it
// holds only a few.
constexpr double crowded_factor = 2.0;
constexpr std::size_t min_crowd = 8;

// Time between two checks for runs past their deadline.
constexpr duration overdue_check_period = std::chrono::milliseconds(100);

// Smoothing factor: weight of the newest period in the rate.
constexpr double rate_gain = 0.3;

// Weight of a team that is no longer configured, relative to the other teams.
constexpr double removed_team_weight = 1.0;

// Whether the request occupies a slot for long and can be continued elsewhere if its endpoint
// becomes overloaded.
bool fills_endpoint(const arrival& request)
{
    return request.streamed && !request.is_service && !request.long_prompt &&
           request.on_loss == continuation::another_run;
}

} // namespace

dispatcher::dispatcher(dispatcher_settings chosen)
    : settings(std::move(chosen)), table(this->settings.endpoints), queue(this->settings.queue),
      lost_runs(this->settings.lost_runs), crashes(this->settings.crashing_parts),
      reached(this->settings.reached), forwarding(this->settings.forwarding),
      random_state(this->settings.seed)
{}

void dispatcher::on_configuration(configuration_ptr current, instant now)
{
    this->on_changes(std::move(current), {}, now);
}

void dispatcher::on_hosts(const std::vector<endpoint_host>& hosts, instant now)
{
    this->record_ended_incarnations(this->table.set_hosts(hosts, now), now);
    this->dispatch(now);
}

std::vector<ended_incarnation> dispatcher::on_host_changes(const host_changes& changes, instant now)
{
    return this->on_changes(nullptr, changes, now);
}

std::vector<ended_incarnation> dispatcher::on_changes(configuration_ptr current,
                                                      const host_changes& changes, instant now)
{
    if (current) {
        this->config = std::move(current);
        this->table.configure(*this->config, now);
        this->exposure.on_configuration(*this->config);
    }
    std::vector<ended_incarnation> ended;
    for (const auto& host : changes.present) {
        const auto replaced = this->table.set_host(host, now);
        ended.insert(ended.end(), replaced.begin(), replaced.end());
    }
    for (const auto& address : changes.gone) {
        const auto dropped = this->table.drop_host(address, now);
        ended.insert(ended.end(), dropped.begin(), dropped.end());
    }
    this->record_ended_incarnations(ended, now);
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

std::vector<peer_limit_change>
dispatcher::on_peer_loads(const std::string& router, std::vector<endpoint_load> loads, instant now)
{
    return this->table.peer_reported(router, std::move(loads), now);
}

void dispatcher::on_endpoint_leaving(const std::string& address, std::uint64_t incarnation,
                                     instant now)
{
    this->table.mark_leaving(address, incarnation, now);
}

limit_changes dispatcher::on_endpoint_notice(ticket_number ticket, attempt_number attempt,
                                             const endpoint_notice& notice, instant now)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end() || found->second.attempt != attempt ||
        found->second.address.empty()) {
        return {};
    }
    const auto& state = found->second;
    const auto was_leaving = this->table.is_leaving(state.address);
    const auto changes =
        this->table.noticed(state.address, state.incarnation, notice, state.sent_at, now);
    if (!was_leaving && this->table.is_leaving(state.address)) {
        this->actions.emplace_back(announce_leaving{state.address, state.incarnation});
    }
    return changes;
}

void dispatcher::on_peer_suspect_status(std::uint64_t fingerprint,
                                        suspect_table::suspect_status suspect_status, instant now)
{
    this->suspects.apply_peer_status(fingerprint, suspect_status, now);
}

void dispatcher::on_peer_lost_run(const lost_run& lost, instant now)
{
    this->lost_runs.on_lost_run(lost, now);
}

void dispatcher::on_peer_finished_run(std::uint64_t fingerprint)
{
    this->lost_runs.on_finished(fingerprint);
}

void dispatcher::on_peer_lost_prompt(const lost_prompt& lost, instant now)
{
    this->crashes.on_lost_prompt(lost, now);
}

void dispatcher::on_peer_answered_prompt(const answered_prompt& answered, instant now)
{
    this->crashes.on_answered_prompt(answered, now);
}

// The routers that quarantined a part may not have heard of the last answers on it.
void dispatcher::on_shared_quarantine(std::uint64_t fingerprint, bool quarantined, instant now)
{
    if (!quarantined) {
        this->shared_quarantines.erase(fingerprint);
        this->quarantine_tests.erase(fingerprint);
        return;
    }
    this->shared_quarantines.insert(fingerprint);
    if (const auto target = this->crashes.answered_lately(fingerprint, now)) {
        this->actions.emplace_back(announce_answered_prompt{{*target, {fingerprint}, "", 0}});
    }
}

void dispatcher::set_quarantine_tester(std::uint64_t part, bool is_tester, instant now)
{
    const auto wait = this->settings.first_quarantine_test;
    if (is_tester) {
        this->quarantine_tests.try_emplace(
            part, quarantine_test{now + wait, wait * this->settings.quarantine_test_factor});
    } else {
        this->quarantine_tests.erase(part);
    }
}

void dispatcher::set_quarantined_parts(const std::vector<std::uint64_t>& parts)
{
    this->quarantined_parts = {parts.begin(), parts.end()};
}

void dispatcher::on_connected(ticket_number ticket, attempt_number attempt)
{
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end() || found->second.attempt != attempt ||
        found->second.forwarded) {
        return;
    }
    const auto& state = found->second;
    if (this->is_cut_off_from(state.request, state.version)) {
        this->actions.emplace_back(report_reachability{state.request.asked, true});
    }
    this->reached.on_connected(state.request.asked);
}

bool dispatcher::is_cut_off_from(const arrival& request, const std::string& target) const
{
    return this->reached.is_in_doubt(request.asked) &&
           this->reached.is_cut_off(request.asked,
                                    this->table.endpoint_count(target, request.is_service));
}

void dispatcher::record_reachability(const request_state& state, const attempt_end& end,
                                     instant now)
{
    const bool is_unreachable = end.result == attempt_result::unreachable;
    if (state.forwarded && (is_unreachable || end.result == attempt_result::refused)) {
        this->forwarding.on_refused(state.address, now);
        if (state.only_at_once) {
            this->forwarding.on_refused_to_start(now);
        }
    }
    if (state.forwarded || !is_unreachable) {
        return;
    }
    const bool was_cut_off = this->is_cut_off_from(state.request, state.version);
    this->reached.on_unreachable(state.request.asked, state.address);
    if (!was_cut_off && this->is_cut_off_from(state.request, state.version)) {
        this->actions.emplace_back(report_reachability{state.request.asked, false});
    }
}

void dispatcher::on_peer_trip(const std::string& version, std::uint64_t run, instant now)
{
    this->exposure.on_peer_trip(version, run);
    this->dispatch(now);
}

void dispatcher::on_config_confirmed(instant until, instant now)
{
    this->config_valid_until = until;
    this->dispatch(now);
}

bool dispatcher::is_config_grace_over(instant now) const
{
    return now - this->config_valid_until > this->settings.config_expiry_grace;
}

void dispatcher::on_fleet(std::size_t rank, std::size_t size)
{
    this->fleet_size = std::max<std::size_t>(size, 1);
    this->fleet_rank = std::min(rank, this->fleet_size - 1);
    this->exposure.on_fleet(this->fleet_rank, this->fleet_size);
    this->table.on_fleet(this->fleet_rank, this->fleet_size);
    for (auto& [asked, target] : this->retries) {
        target.budget.set_burst(burst_with_savings(this->router_burst(asked), target.extra));
    }
}

void dispatcher::on_arrival(arrival request, instant now)
{
    const auto ticket = request.ticket;
    request_state state;
    state.request = std::move(request);
    const auto tested_part = this->part_to_test(state.request, now);
    state.is_quarantine_test = tested_part.has_value();
    if (auto refused = this->admission_failure(state, now)) {
        this->actions.emplace_back(give_up_request{ticket, std::move(*refused)});
        return;
    }
    state.arrived = now;
    this->choose_size(state, now);
    this->report_odd_terms(state, now);
    if (auto refused = this->shed_failure(state, now)) {
        this->actions.emplace_back(give_up_request{ticket, std::move(*refused)});
        return;
    }
    if (this->sheds(state.request)) {
        this->usual_by_kind.on_request(kind_of(state.request), state.request.work.tokens);
    }
    ++this->team_in_flight[state.request.team];
    state.lost_at = now; // by another router, if it is already a suspect
    if (tested_part) {
        this->begin_quarantine_test(state, *tested_part, now);
    }
    const auto& route = route_of(state.request);
    state.rollouts.fills_endpoint = fills_endpoint(state.request);
    this->filling_kinds.record(route, state.rollouts.fills_endpoint);
    state.rollouts.kind_fills_endpoint =
        this->filling_kinds.fills(route, state.rollouts.fills_endpoint);
    auto& arrivals = this->arrivals_by_target[state.request.asked];
    ++arrivals.all.in_period;
    arrivals.endpoint_filling.in_period += state.rollouts.fills_endpoint ? 1 : 0;
    this->record_admission(state.request, now);
    const auto& admitted = this->requests.emplace(ticket, std::move(state)).first->second;
    if (!this->enqueue(admitted)) {
        this->give_up(ticket, retryable_failure(failure_code::overloaded, short_retry_delay,
                                                "the queue is full"));
        return;
    }
    const bool may_wait = !admitted.request.only_at_once;
    this->dispatch(now);
    if (!may_wait) {
        this->refuse_if_queued(ticket);
    }
}

void dispatcher::refuse_if_queued(ticket_number ticket)
{
    const auto found = this->requests.find(ticket);
    if (found != this->requests.end() && found->second.address.empty()) {
        this->queue.remove(ticket);
        this->give_up(ticket, retryable_failure(failure_code::overloaded, short_retry_delay,
                                                "this router cannot start it at once"));
    }
}

bool dispatcher::is_crowded() const
{
    const auto peers = std::min(this->fleet_size - 1, load_fanout);
    const auto held = static_cast<double>(this->requests.size());
    const auto by_peers = static_cast<double>(this->table.peer_requests());
    return peers > 0 && this->requests.size() >= min_crowd &&
           held * static_cast<double>(peers) >= crowded_factor * by_peers;
}

bool dispatcher::is_suspect(const request_state& state, instant now) const
{
    return this->suspects.status_of(state.request.fingerprint, now) ==
           suspect_table::suspect_status::suspect;
}

placement dispatcher::placement_for(const request_state& state, const std::string& target,
                                    instant now) const
{
    placement wanted;
    wanted.version_or_service = target;
    wanted.is_service = state.request.is_service;
    wanted.kind = state.request.work.kind;
    wanted.work = this->work_of(state);
    wanted.runs_once = !state.request.idempotent;
    wanted.prefill = state.request.work.prefill * this->size_factor(state);
    wanted.parts = this->parts_of(state);
    // Models of different sizes share no cache, so their requests need not share endpoints.
    wanted.prefix_hash = wanted.parts.empty() ? state.request.prefix_hash : wanted.parts.back().key;
    wanted.concentrated = this->may_concentrate(state, target);
    if (now < state.avoid_until) {
        this->add_avoided(state, wanted);
    }
    if (this->is_suspect(state, now)) {
        this->isolate_suspect(state, wanted, now);
    }
    return wanted;
}

// An endpoint that has restarted since has neither refused the request nor lost it.
void dispatcher::add_avoided(const request_state& state, placement& wanted) const
{
    for (const auto& [address, incarnation] : state.avoid) {
        if (this->table.incarnation_of(address) == incarnation) {
            wanted.avoid.push_back(address);
        }
    }
}

bool dispatcher::is_on_current_incarnation(const request_state& state) const
{
    return !state.address.empty() && this->table.incarnation_of(state.address) == state.incarnation;
}

std::vector<endpoint_load> dispatcher::concentrated_loads() const
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
            load.limit.reset();
            load.refusal_limit.reset();
            load.room.reset();
            held.push_back(std::move(load));
        }
    }
    return held;
}

// Whether the request is one of those concentrated on one endpoint of the version.
bool dispatcher::may_concentrate(const request_state& state, const std::string& version) const
{
    return state.rollouts.fills_endpoint && !state.was_displaced &&
           this->exposure.is_filling_endpoint(version);
}

// If an endpoint crashes with two suspects on it, the cause cannot be attributed, and quarantining
// both would hit the innocent one. On separate endpoints, a second crash identifies exactly one.
//
// A router may not have received another router's suspects yet, so each router tries its own on a
// separate set of endpoints: those whose index in the sorted list is the router's rank modulo the
// number of routers. With fewer endpoints than routers, those without endpoints hold their suspects
// back for a while, until gossip has spread which request is the cause.
void dispatcher::isolate_suspect(const request_state& state, placement& wanted, instant now) const
{
    for (const auto& [ticket, other] : this->requests) {
        if (this->is_on_current_incarnation(other) && this->is_suspect(other, now)) {
            wanted.avoid.push_back(other.address);
        }
    }
    if (now - state.lost_at >= suspect_isolation_period) {
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

std::optional<dispatcher::start_choice> dispatcher::find_start(const request_state& state,
                                                               instant now)
{
    auto target = state.request.asked;
    std::string exposed_by;
    if (!state.request.is_service) {
        auto chosen = this->choose_version(state, now);
        target = std::move(chosen.answer.version);
        exposed_by = std::move(chosen.exposed_by);
    }
    auto peer =
        this->is_cut_off_from(state.request, target) ? this->find_peer(state, now) : std::nullopt;
    const bool may_try =
        state.request.idempotent && this->reached.may_try(state.request.asked, now);
    if (peer && !may_try) {
        return peer;
    }
    auto wanted = this->placement_for(state, target, now);
    wanted.concentrated =
        wanted.concentrated && this->table.has_concentrated_room(wanted, this->fleet_size, now);
    auto address = this->table.choose(wanted, now, this->next_random());
    if (!address) {
        return peer ? peer : this->find_peer_with_share(state, wanted, now);
    }
    return start_choice{std::move(*address), std::move(target), std::move(exposed_by),
                        wanted.concentrated};
}

bool dispatcher::may_forward(const request_state& state) const
{
    return !state.request.forwarded && state.forwardings < this->settings.max_forwardings;
}

std::optional<dispatcher::start_choice>
dispatcher::find_peer_with_share(const request_state& state, const placement& wanted, instant now)
{
    if (!this->may_forward(state) || !this->forwarding.may_ask_to_start(now) ||
        !this->table.has_room_for_others(wanted, this->is_crowded(), now)) {
        return std::nullopt;
    }
    auto choice = this->find_peer(state, now);
    if (choice) {
        choice->only_at_once = true;
    }
    return choice;
}

// The other router counts the request as its own, with its own attempts.
std::optional<dispatcher::start_choice> dispatcher::find_peer(const request_state& state,
                                                              instant now)
{
    if (!this->may_forward(state)) {
        return std::nullopt;
    }
    std::vector<std::string> avoid;
    for (const auto& [address, incarnation] : state.avoid) {
        avoid.push_back(address);
    }
    auto address = this->forwarding.choose(avoid, this->next_random(), now);
    if (!address) {
        return std::nullopt;
    }
    start_choice choice;
    choice.address = std::move(*address);
    choice.forwarded = true;
    return choice;
}

// The operator may remove a team while its requests run, and each of them may be queued again. An
// unchecked lookup of the team threw here, which ended the router and all its callers' connections.
// The queue needs a weight, but any will do: nothing of the team starts any more, and the entry is
// refused on its turn.
double dispatcher::weight_of(const std::string& team) const
{
    const auto& teams = this->config->teams();
    const auto found = teams.find(team);
    return found == teams.end() ? removed_team_weight : found->second.weight;
}

bool dispatcher::enqueue(const request_state& state)
{
    queue_entry entry;
    entry.ticket = state.request.ticket;
    entry.team = state.request.team;
    entry.weight = this->weight_of(state.request.team);
    entry.kind = state.request.work.kind;
    entry.priority = state.request.priority;
    entry.work = state.request.work.tokens;
    entry.deadline = state.request.deadline;
    return this->queue.push(std::move(entry));
}

void dispatcher::dispatch(instant now)
{
    // Without a confirmed configuration, a withdrawn version might be given work.
    if (!this->is_config_valid(now) || !this->config) {
        return;
    }
    this->queue_interrupted(now);
    const auto can_be_taken = [this, now](const queue_entry& entry) {
        const auto& state = this->requests.at(entry.ticket);
        return this->queued_failure(state, now).has_value() || !this->may_start(state, now) ||
               this->find_start(state, now).has_value();
    };
    while (const auto entry = this->queue.pop(can_be_taken)) {
        this->dispatch_entry(entry->ticket, now);
    }
}

void dispatcher::dispatch_entry(ticket_number ticket, instant now)
{
    auto& state = this->requests.at(ticket);
    if (auto refused = this->queued_failure(state, now)) {
        if (state.may_have_run) {
            refused->run = run_state::unknown;
        }
        if (repeat_failure(state)) {
            this->actions.emplace_back(report_repeat_prevented{ticket});
        }
        this->queue.settle(state.request.team, state.request.work.tokens, 0.0);
        this->give_up(ticket, std::move(*refused));
        return;
    }
    if (!this->may_start(state, now)) {
        this->queue.settle(state.request.team, state.request.work.tokens, 0.0);
        this->wait_to_continue(state, state.owes_retry, now);
        return;
    }
    if (!state.request.idempotent && !state.is_quarantine_test) {
        this->choose_size(state, now);
    }
    this->make_cheaper(state, now);
    const auto where = this->find_start(state, now);
    if (!where) {
        // The random choice found no endpoint this time.
        this->queue.settle(state.request.team, state.request.work.tokens, 0.0);
        this->retry(state);
        return;
    }
    if (state.owes_retry && !this->budget_of(state.request, now).try_spend(now)) {
        this->queue.settle(state.request.team, state.request.work.tokens, 0.0);
        this->wait_to_continue(state, true, now);
        return;
    }
    state.owes_retry = false;
    this->start(state, *where, now);
}

// All sends pass here. Each way to leave a run decides by itself whether the request may be queued
// again; this holds also if one of them does not ask.
std::optional<failure> dispatcher::repeat_failure(const request_state& state)
{
    if (state.request.idempotent || !state.has_unrefused_attempt) {
        return std::nullopt;
    }
    return failure{failure_code::endpoint_failed, run_state::unknown, false, duration::zero(),
                   "the request may run once, and may have run"};
}

// Why the queued request ends now; nothing if it starts or waits.
std::optional<failure> dispatcher::queued_failure(const request_state& state, instant now) const
{
    if (auto refused = repeat_failure(state)) {
        return refused;
    }
    if (auto refused = this->target_failure(state, now)) {
        const bool may_pass =
            refused->code == failure_code::no_endpoint || refused->code == failure_code::overloaded;
        if (may_pass && this->awaits_continuation(state, now)) {
            return std::nullopt;
        }
        return refused;
    }
    if (!state.delivered) {
        if (auto refused = this->late_run_failure(state.request, now)) {
            return refused;
        }
    }
    if (state.owes_retry && !this->awaits_continuation(state, now) &&
        !this->can_spend_retry(state.request, now)) {
        return retryable_failure(failure_code::overloaded, short_retry_delay,
                                 "no retry was left to continue the answer");
    }
    return this->shed_failure(state, now);
}

// Whether the queued request may start once an endpoint has room for it.
bool dispatcher::may_start(const request_state& state, instant now) const
{
    if (!state.delivered) {
        return true;
    }
    return now >= state.not_before && !this->target_failure(state, now) &&
           (!state.owes_retry || this->can_spend_retry(state.request, now));
}

void dispatcher::start(request_state& state, const start_choice& where, instant now)
{
    const auto& request = state.request;
    ++state.attempt;
    state.resumes = 0;
    state.address = where.address;
    state.version = where.version;
    state.forwarded = where.forwarded;
    state.only_at_once = where.only_at_once;
    if (where.forwarded) {
        ++state.forwardings;
        if (where.only_at_once) {
            this->forwarding.on_asked_to_start(now);
        }
    } else {
        state.rollouts.ran_on = where.version;
        this->reached.on_try(request.asked, now);
    }
    state.has_unrefused_attempt = true;
    state.sent_at = now;
    if (this->settings.sheds_load && !state.forwarded) {
        state.backlog = this->backlog_at(state, where.version, now);
    }
    state.concentrated = where.concentrated;
    if (state.concentrated) {
        const double load = this->table.writing_per_slot(where.address, this->fleet_size);
        state.load_level = load_level(load);
    }
    state.answer_begun = false;
    state.answer_begun_at = {};
    state.is_prompt_answered = false;
    state.size_before_concentration = state.size;
    if (state.concentrated && request.sizes > 0) {
        // The largest model's answers take longest, so their load adds up.
        state.size = request.sizes - 1;
    }
    // A caller counts once, however often its request is sent to the version.
    if (!where.exposed_by.empty() && where.exposed_by != state.rollouts.exposed_by) {
        this->exposure.spend(where.exposed_by);
        state.rollouts.exposed_by = where.exposed_by;
    }
    state.incarnation = this->table.incarnation_of(where.address);
    state.parts = this->parts_of(state);
    const double cold = this->table.cold_work_at(where.address, state.parts, now);
    state.prefill_work = request.work.prefill * this->size_factor(state) + cold;
    state.outstanding_work = this->work_of(state) + cold;
    this->table.started(where.address, request.work.kind, state.outstanding_work, state.parts, now);
    const auto urgency = this->urgency_of(state, now);
    this->actions.emplace_back(start_attempt{request.ticket, state.attempt, where.address,
                                             where.version, state.size, where.forwarded, urgency,
                                             where.only_at_once});
}

// A bad version can answer correctly but several times too slowly. Its response times are compared
// with those of the version that serves alongside or before it, for the same model size. The first
// piece of a stream is not compared: it may wait up to seconds for other callers' prompts.
void dispatcher::record_first_token(const request_state& state, duration first_token)
{
    if (!state.request.streamed && first_token > duration::zero() && !state.forwarded) {
        this->evaluate_speed(state, this->first_tokens, first_token);
    }
}

// While an endpoint is being filled, each decoding step waits for a chunk of the next prompt. The
// first gaps of a good version are then several times the usual ones and give no information.
void dispatcher::on_pace(ticket_number ticket, attempt_number attempt, duration between_pieces)
{
    const auto found = this->requests.find(ticket);
    if (found != this->requests.end() && found->second.attempt == attempt &&
        !found->second.address.empty() && !found->second.concentrated && !found->second.forwarded) {
        this->evaluate_speed(found->second, this->paces, between_pieces);
    }
}

void dispatcher::evaluate_speed(const request_state& state, speed_reference& reference,
                                duration time)
{
    if (state.request.is_service) {
        return;
    }
    if (!this->exposure.watches(state.version)) {
        reference.learn(state.request.asked, state.size, time);
        return;
    }
    const auto slow = reference.is_slow(state.request.asked, state.size, time);
    if (slow) {
        this->exposure.on_speed(state.version, *slow);
    }
}

// Half of a good version's streams stay within the median pace, and four of five within twice that.
// Of a version that is several times slower, hardly any stream does.
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
    const bool is_small = state.size + 1 < state.request.sizes;
    return is_small ? this->settings.small_model_work_factor : 1.0;
}

// The shared parts of the prompt, with cache keys and work for the model of the next or current
// attempt.
std::vector<prompt_part> dispatcher::parts_of(const request_state& state) const
{
    auto parts = state.request.parts;
    for (auto& part : parts) {
        part.key = mix(part.key + state.size);
        part.work *= this->size_factor(state);
    }
    return parts;
}

// The load of the next or current attempt on its endpoint.
double dispatcher::work_of(const request_state& state) const
{
    return state.request.work.tokens * this->size_factor(state);
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
    const auto& request = state.request;
    this->record_left_run(state, now);
    this->actions.emplace_back(cancel_attempt{request.ticket, state.attempt, state.address});
    this->record_attempt_end(state, attempt_result::cancelled, duration::zero(), now);
    this->queue.settle(request.team, request.work.tokens, request.work.tokens);
}

// Every caller gets an explicit failure: after a bare disconnect it could not tell a stop from a
// network failure, nor whether its request ran. Queued requests are given up first, because those
// that were never sent can be reported as not run.
void dispatcher::end_stop(instant now)
{
    this->give_up_all_queued(
        retryable_failure(failure_code::stopping, short_retry_delay, "this router has stopped"));
    std::vector<ticket_number> running;
    for (const auto& [ticket, state] : this->requests) {
        running.push_back(ticket);
    }
    for (const auto ticket : running) {
        const auto& state = this->requests.at(ticket);
        this->cancel_run(state, now);
        this->give_up(ticket, {failure_code::stopping, run_state::unknown, state.request.idempotent,
                               short_retry_delay, "this router stopped while the request ran"});
    }
}

void dispatcher::on_tick(instant now, instant events_read_until)
{
    this->queue_interrupted(now);
    for (const auto& entry : this->queue.expire(now)) {
        const auto& state = this->requests.at(entry.ticket);
        const auto run = state.may_have_run ? run_state::unknown : run_state::not_run;
        this->give_up(entry.ticket,
                      {failure_code::deadline_passed, run, true, this->expected_wait(),
                       "the deadline passed while the request was queued"});
    }
    if (this->is_config_grace_over(now)) {
        this->give_up_all_queued(
            retryable_failure(failure_code::config_unconfirmed, short_retry_delay,
                              "the configuration in force cannot be confirmed"));
    }
    this->give_up_overdue(now, events_read_until);
    this->record_finished_work(0.0, now);
    this->dispatch(now);
}

// Cancels runs that are past their deadline: the caller no longer needs the answer, and the
// endpoint can use the capacity.
void dispatcher::give_up_overdue(instant now, instant events_read_until)
{
    if (now - this->last_overdue_check < overdue_check_period) {
        return;
    }
    this->last_overdue_check = now;
    std::vector<ticket_number> overdue;
    for (const auto& [ticket, state] : this->requests) {
        if (!state.address.empty() && events_read_until >= state.request.deadline) {
            overdue.push_back(ticket);
        }
    }
    for (const auto ticket : overdue) {
        const auto& state = this->requests.at(ticket);
        this->cancel_run(state, now);
        this->give_up(ticket,
                      {failure_code::deadline_passed, run_state::unknown, state.request.idempotent,
                       short_retry_delay, "the deadline passed while the request ran"});
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
        auto cause = why;
        if (this->requests.at(ticket).may_have_run) {
            cause.run = run_state::unknown;
        }
        this->queue.remove(ticket);
        this->give_up(ticket, std::move(cause));
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
    return found == this->arrivals_by_target.end() ? 0.0
                                                   : found->second.endpoint_filling.per_second;
}

duration dispatcher::expected_wait() const
{
    if (this->work_per_second <= 0.0) {
        return duration::zero();
    }
    const double seconds = this->queue.queued_work() / this->work_per_second;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void dispatcher::update_rate(arrival_counter& counted, double seconds)
{
    const double rate = counted.in_period / seconds;
    counted.per_second += rate_gain * (rate - counted.per_second);
    counted.in_period = 0;
}

void dispatcher::record_finished_work(double work, instant now)
{
    this->work_in_period += work;
    const auto elapsed = now - this->rate_period_start;
    if (elapsed < rate_period) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double newest = this->work_in_period / seconds;
    // An idle period gives no information about the endpoints' throughput.
    if (this->work_in_period > 0.0) {
        const bool first = this->work_per_second <= 0.0;
        this->work_per_second += (first ? 1.0 : rate_gain) * (newest - this->work_per_second);
    }
    for (auto& [asked, arrivals] : this->arrivals_by_target) {
        update_rate(arrivals.all, seconds);
        update_rate(arrivals.endpoint_filling, seconds);
    }
    this->work_in_period = 0.0;
    this->rate_period_start = now;
}

void dispatcher::give_up(ticket_number ticket, failure why)
{
    this->actions.emplace_back(give_up_request{ticket, std::move(why)});
    this->forget(ticket);
}

void dispatcher::forget(ticket_number ticket)
{
    const auto found = this->requests.find(ticket);
    const auto held = this->team_in_flight.find(found->second.request.team);
    if (--held->second == 0) {
        this->team_in_flight.erase(held);
    }
    this->requests.erase(found);
    this->interrupted.erase(ticket);
}

void dispatcher::publish_suspect_statuses()
{
    for (const auto& [fingerprint, suspect_status] : this->suspects.take_changes()) {
        this->actions.emplace_back(announce_suspect_status{fingerprint, suspect_status});
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
