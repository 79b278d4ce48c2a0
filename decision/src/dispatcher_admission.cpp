#include "dispatch_failures.hpp"

#include "contains.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>

// Admission: which requests the dispatcher accepts, and why it refuses the others.

namespace pearhaven::decision {

namespace {

// By how much a request in a stop may take longer than the longest one that is known.
constexpr double stop_margin_factor = 1.1;

std::optional<failure> to_failure(const version_answer& answer, const std::string& asked)
{
    switch (answer.refusal) {
    case version_refusal::none:
        return std::nullopt;
    case version_refusal::unknown_model:
        return permanent_failure(failure_code::unknown_model,
                                 "no model, version or cascade is named " + asked);
    case version_refusal::not_allowed:
        return permanent_failure(failure_code::not_allowed, "the team may not use " + asked);
    case version_refusal::withdrawn:
        return permanent_failure(failure_code::version_withdrawn, asked + " is withdrawn");
    case version_refusal::session_version_withdrawn:
        return permanent_failure(failure_code::session_ended,
                                 "the session's version is withdrawn; start a new session");
    case version_refusal::session_version_not_allowed:
        return permanent_failure(
            failure_code::session_ended,
            "the team may no longer use the session's version; start a new session");
    case version_refusal::no_version:
        return retryable_failure(failure_code::no_endpoint, long_retry_delay,
                                 "no version of " + asked + " takes work at present");
    }
    return std::nullopt;
}

} // namespace

std::optional<failure> dispatcher::admission_failure(const request_state& probe, instant now) const
{
    const auto& request = probe.request;
    if (auto refused = this->stop_failure(request, now)) {
        return refused;
    }
    if (!this->config) {
        return retryable_failure(failure_code::config_unconfirmed, short_retry_delay,
                                 "no configuration has come yet");
    }
    if (this->is_config_grace_over(now)) {
        return retryable_failure(failure_code::config_unconfirmed, short_retry_delay,
                                 "the configuration in force cannot be confirmed");
    }
    if (auto refused = this->target_failure(probe, now)) {
        return refused;
    }
    return this->load_failure(request, now);
}

std::optional<failure> dispatcher::stop_failure(const arrival& request, instant now) const
{
    if (this->stop && now >= this->stop->last_admission) {
        return retryable_failure(failure_code::stopping, short_retry_delay,
                                 "this router is stopping");
    }
    return this->late_run_failure(request, now);
}

// A request that is run and then cut off at the end of the stop costs its caller a partial answer,
// or one that may not be asked for again, and its endpoint the work. One that is refused may go to
// another router. Streams that another router can continue are exempt: when many routers stop in
// turn, the next one is often stopping too, and refusing them serves no more callers.
std::optional<failure> dispatcher::late_run_failure(const arrival& request, instant now) const
{
    if (!this->stop || request.on_loss == continuation::another_run) {
        return std::nullopt;
    }
    const auto end = std::min(request.deadline - now, this->time_to_answer(request, now)) + now;
    if (end <= this->stop->end) {
        return std::nullopt;
    }
    return retryable_failure(failure_code::stopping, short_retry_delay,
                             "this router stops before an answer of the usual length would end");
}

// How long the request may take. If few answers of the kind are known, or if the request may run
// once, the longest counts, with a margin. Nothing is known without one: a request that may be
// repeated counts as short then, and any other one as long.
duration dispatcher::time_to_answer(const arrival& request, instant now) const
{
    const auto& kind = kind_of(request);
    const auto usual = this->completion_times.ninetieth_percentile(kind);
    if (usual && request.idempotent) {
        return *usual;
    }
    auto longest = this->completion_times.longest(kind);
    for (const auto& [ticket, state] : this->requests) {
        const auto elapsed = now - state.arrived;
        if (!state.address.empty() && elapsed > longest.value_or(duration::zero()) &&
            kind_of(state.request) == kind) {
            longest = elapsed;
        }
    }
    if (!longest) {
        return request.idempotent ? duration::zero() : duration::max();
    }
    return std::chrono::duration_cast<duration>(*longest * stop_margin_factor);
}

std::optional<failure> dispatcher::load_failure(const arrival& request, instant now) const
{
    const auto held = this->team_in_flight.find(request.team);
    const auto& owner = this->config->teams().at(request.team);
    if (held != this->team_in_flight.end() && held->second >= owner.max_in_flight) {
        return retryable_failure(failure_code::team_limit, short_retry_delay,
                                 "the team has " + std::to_string(held->second) +
                                     " requests in flight, allowed are " +
                                     std::to_string(owner.max_in_flight));
    }
    if (now >= request.deadline) {
        return retryable_failure(failure_code::deadline_passed, duration::zero(),
                                 "the deadline had passed on arrival");
    }
    // Work that cannot start before its deadline is refused now: queueing it would only delay the
    // refusal and take a place from work that can still be done.
    const auto wait = this->expected_wait();
    if (now + wait > request.deadline || wait > this->settings.max_queue_wait) {
        return retryable_failure(failure_code::overloaded, wait,
                                 "the work queued ahead takes longer than the deadline");
    }
    return std::nullopt;
}

rollout_choice dispatcher::choose_version(const request_state& state, instant now) const
{
    const auto& request = state.request;
    version_question question;
    question.current = this->config.get();
    question.caller = &this->config->teams().at(request.team);
    question.asked = request.asked;
    question.bound = request.bound;
    question.session_key = request.session_key;
    question.random = mix(request.ticket ^ this->settings.seed);
    for (const auto& version : this->exposure.tripped()) {
        question.excluded.push_back(version);
    }
    auto context = state.rollouts;
    context.delivered = state.delivered;
    auto chosen = this->exposure.choose(question, context);
    // A new version that no endpoint serves yet must not cost its first callers their answers. If
    // there is no other version, it is chosen again and its callers are refused.
    while (this->exposure.watches(chosen.answer.version) &&
           !this->exposure.is_fully_rolled_out(chosen.answer.version) &&
           !contains(context.lost_on, chosen.answer.version) &&
           !this->table.serves(this->placement_for(state, chosen.answer.version, now), now)) {
        context.lost_on.push_back(chosen.answer.version);
        chosen = this->exposure.choose(question, context);
    }
    return chosen;
}

// Whether the caller may still send requests, regardless of their target.
std::optional<failure> dispatcher::caller_failure(const arrival& request) const
{
    if (this->config->teams().count(request.team) == 0) {
        return permanent_failure(failure_code::not_allowed,
                                 "the team " + request.team + " is no longer configured");
    }
    if (request.needs_open_access && this->config->needs_keys()) {
        return permanent_failure(failure_code::not_allowed, "a key is needed by now");
    }
    if (request.key_sha256.empty()) {
        return std::nullopt;
    }
    const auto* holder = this->config->find_team_by_key(request.key_sha256);
    if (holder == nullptr || holder->name != request.team) {
        return permanent_failure(failure_code::not_allowed,
                                 "the key is no longer one of the team " + request.team);
    }
    return std::nullopt;
}

bool dispatcher::is_quarantined_part(std::uint64_t part) const
{
    return this->has_shared_quarantine(part) || this->quarantined_parts.count(part) > 0;
}

// The part that the request would test; nothing if there is none, or if the request would also be
// refused for another part.
std::optional<std::uint64_t> dispatcher::part_to_test(const arrival& request, instant now) const
{
    std::optional<std::uint64_t> quarantined;
    for (const auto part : request.part_names) {
        if (!this->is_quarantined_part(part) || part == quarantined) {
            continue;
        }
        if (quarantined) {
            return std::nullopt;
        }
        quarantined = part;
    }
    if (!quarantined) {
        return std::nullopt;
    }
    const auto test = this->quarantine_tests.find(*quarantined);
    const bool is_due = test != this->quarantine_tests.end() && now >= test->second.next;
    return is_due ? quarantined : std::nullopt;
}

// The largest model's answers are never dropped, so its run shows what becomes of the endpoint.
void dispatcher::begin_quarantine_test(request_state& state, std::uint64_t part, instant now)
{
    auto& test = this->quarantine_tests.at(part);
    test.next = now + test.wait;
    test.wait *= this->settings.quarantine_test_factor;
    state.size = state.request.sizes > 0 ? state.request.sizes - 1 : 0;
    this->actions.emplace_back(report_quarantine_test{state.request.ticket, part});
}

std::optional<failure> dispatcher::quarantine_failure(const request_state& state, instant now) const
{
    const auto& request = state.request;
    const bool has_quarantined_part =
        std::any_of(request.part_names.begin(), request.part_names.end(),
                    [this](auto part) { return this->is_quarantined_part(part); });
    if (has_quarantined_part && !state.is_quarantine_test) {
        return retryable_failure(failure_code::request_quarantined,
                                 this->settings.crashing_parts.confirmed_lifetime,
                                 "endpoints have crashed on a part of the prompt");
    }
    const std::string detail = "endpoints that ran this request have crashed";
    if (this->suspects.status_of(request.fingerprint, now) ==
        suspect_table::suspect_status::quarantined) {
        return permanent_failure(failure_code::request_quarantined, detail);
    }
    const auto until = this->lost_runs.quarantined_until(request.fingerprint, now);
    if (!until && !this->has_shared_quarantine(request.fingerprint)) {
        return std::nullopt;
    }
    const auto wait = until ? *until - now : this->settings.lost_runs.confirmed_lifetime;
    return retryable_failure(failure_code::request_quarantined, wait, detail);
}

std::optional<failure> dispatcher::target_failure(const request_state& state, instant now) const
{
    const auto& request = state.request;
    if (auto refused = this->caller_failure(request)) {
        return refused;
    }
    const auto& owner = this->config->teams().at(request.team);
    if (auto refused = this->quarantine_failure(state, now)) {
        return refused;
    }
    std::string target = request.asked;
    if (request.is_service) {
        const auto found = this->config->services().find(request.asked);
        if (found == this->config->services().end()) {
            return permanent_failure(failure_code::unknown_model,
                                     "no service is named " + request.asked);
        }
        if (!found->second.teams.matches(owner.tags)) {
            return permanent_failure(failure_code::not_allowed,
                                     "the team may not call " + request.asked);
        }
    } else {
        const auto answer = this->choose_version(state, now).answer;
        if (auto refused = to_failure(answer, request.asked)) {
            return refused;
        }
        target = answer.version;
    }
    const auto wanted = this->placement_for(state, target, now);
    if (!this->table.serves(wanted, now)) {
        return retryable_failure(failure_code::no_endpoint, long_retry_delay,
                                 "no endpoint serves " + target);
    }
    // The router that forwarded it has other peers to ask.
    if (request.forwarded && this->is_cut_off_from(request, target)) {
        return retryable_failure(failure_code::no_endpoint, short_retry_delay,
                                 "this router can connect to no endpoint of " + target);
    }
    return this->limit_failure(state, wanted, now);
}

// The wait for the endpoints' limits and rests is known: a request that it would keep past its
// deadline is refused now.
std::optional<failure> dispatcher::limit_failure(const request_state& state,
                                                 const placement& wanted, instant now) const
{
    const auto access = this->table.access(wanted, now);
    const bool may_start_elsewhere =
        this->may_forward(state) && this->is_crowded() && this->forwarding.may_ask_to_start(now);
    if (!access || may_start_elsewhere) {
        return std::nullopt;
    }
    auto start = access->opens;
    const bool is_new = this->requests.count(state.request.ticket) == 0;
    if (is_new) {
        const auto ahead = std::count_if(
            this->requests.begin(), this->requests.end(), [&state](const auto& known) {
                return known.second.address.empty() &&
                       known.second.request.asked == state.request.asked;
            });
        start += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(ahead) / access->requests_per_s));
    }
    if (start <= state.request.deadline) {
        return std::nullopt;
    }
    return retryable_failure(failure_code::overloaded, start - now,
                             "every endpoint of " + wanted.version_or_service +
                                 " is at its request limit or wants rest");
}

} // namespace pearhaven::decision
