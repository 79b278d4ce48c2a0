#include "dispatch_failures.hpp"

#include "contains.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>

// What the dispatcher takes, and why it refuses the rest.

namespace pearhaven::decision {

namespace {

std::optional<failure> to_failure(const version_answer& answer, const std::string& asked)
{
    switch (answer.refusal) {
    case version_refusal::none:
        return std::nullopt;
    case version_refusal::unknown_model:
        return lasting(failure_code::unknown_model,
                       "no model, version or cascade is named " + asked);
    case version_refusal::not_allowed:
        return lasting(failure_code::not_allowed, "the team may not use " + asked);
    case version_refusal::withdrawn:
        return lasting(failure_code::version_withdrawn, asked + " is withdrawn");
    case version_refusal::session_version_withdrawn:
        return lasting(failure_code::session_ended,
                       "the session's version is withdrawn; start a new session");
    case version_refusal::session_version_not_allowed:
        return lasting(failure_code::session_ended,
                       "the team may no longer use the session's version; start a new session");
    case version_refusal::no_version:
        return passing(failure_code::no_endpoint, later,
                       "no version of " + asked + " takes work at present");
    }
    return std::nullopt;
}

} // namespace

std::optional<failure> dispatcher::admission_failure(const arrival& request, instant now) const
{
    if (auto refused = this->stop_failure(request, now)) {
        return refused;
    }
    if (!this->config) {
        return passing(failure_code::not_in_touch, soon, "no configuration has come yet");
    }
    if (this->is_long_out_of_touch(now)) {
        return passing(failure_code::not_in_touch, soon,
                       "the configuration in force cannot be confirmed");
    }
    request_state probe;
    probe.what = request;
    if (auto refused = this->target_failure(probe, now)) {
        return refused;
    }
    return this->load_failure(request, now);
}

// A request that is taken and broken off by the end of the stop costs its caller an answer half
// delivered, and its endpoint the work. Nine of ten answers of a kind keep to its known length; one
// that is refused for it may go to another router. Streams that another router can go on with are
// left out: where many routers stop in turn the next one is often one that stops, too, and refusing
// them serves no more callers.
std::optional<failure> dispatcher::stop_failure(const arrival& request, instant now) const
{
    if (!this->stop) {
        return std::nullopt;
    }
    if (now >= this->stop->last_admission) {
        return passing(failure_code::stopping, soon, "this router is stopping");
    }
    if (request.on_loss == continuation::at_other_run) {
        return std::nullopt;
    }
    const auto length = this->lengths.usual(kind_of(request));
    if (length && std::min(now + *length, request.deadline) > this->stop->end) {
        return passing(failure_code::stopping, soon,
                       "this router stops before an answer of the usual length would end");
    }
    return std::nullopt;
}

std::optional<failure> dispatcher::load_failure(const arrival& request, instant now) const
{
    const auto held = this->team_in_flight.find(request.team);
    const auto& owner = this->config->teams().at(request.team);
    if (held != this->team_in_flight.end() && held->second >= owner.max_in_flight) {
        return passing(failure_code::team_limit, soon,
                       "the team has " + std::to_string(held->second) +
                           " requests in flight, allowed are " +
                           std::to_string(owner.max_in_flight));
    }
    if (now >= request.deadline) {
        return passing(failure_code::deadline_passed, duration::zero(),
                       "the deadline had passed on arrival");
    }
    // Work that cannot start before its deadline is refused now: queueing it would only delay the
    // refusal, and its place would be taken from work that can still be done.
    const auto wait = this->expected_wait();
    if (now + wait > request.deadline || wait > this->settings.longest_queue_wait) {
        return passing(failure_code::overloaded, wait,
                       "the work queued ahead takes longer than the deadline");
    }
    return std::nullopt;
}

rollout_choice dispatcher::ask_version(const request_state& state, instant now) const
{
    const auto& request = state.what;
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
    auto note = state.rollouts;
    auto chosen = this->exposure.choose(question, note);
    // A new version that no endpoint serves yet must not cost its first callers their answers.
    // Where there is no other one, it is chosen again, and its callers are refused.
    while (this->exposure.watches(chosen.answer.version) &&
           !this->exposure.is_fully_rolled_out(chosen.answer.version) &&
           !contains(note.lost_on, chosen.answer.version) &&
           !this->table.serves(this->place(state, chosen.answer.version, now), now)) {
        note.lost_on.push_back(chosen.answer.version);
        chosen = this->exposure.choose(question, note);
    }
    return chosen;
}

// Whether the caller may still send anything, whatever it asks for.
std::optional<failure> dispatcher::caller_failure(const arrival& request) const
{
    if (this->config->teams().count(request.team) == 0) {
        return lasting(failure_code::not_allowed,
                       "the team " + request.team + " is no longer configured");
    }
    if (request.key_sha256.empty()) {
        return std::nullopt;
    }
    const auto* holder = this->config->find_team_by_key(request.key_sha256);
    if (holder == nullptr || holder->name != request.team) {
        return lasting(failure_code::not_allowed,
                       "the key is no longer one of the team " + request.team);
    }
    return std::nullopt;
}

std::optional<failure> dispatcher::target_failure(const request_state& state, instant now) const
{
    const auto& request = state.what;
    if (auto refused = this->caller_failure(request)) {
        return refused;
    }
    const auto& owner = this->config->teams().at(request.team);
    if (this->suspects.look(request.fingerprint, now) == suspect_table::standing::quarantined) {
        return lasting(failure_code::request_quarantined,
                       "endpoints that ran this request have crashed");
    }
    std::string target = request.asked;
    if (request.is_service) {
        const auto found = this->config->services().find(request.asked);
        if (found == this->config->services().end()) {
            return lasting(failure_code::unknown_model, "no service is named " + request.asked);
        }
        if (!found->second.teams.matches(owner.tags)) {
            return lasting(failure_code::not_allowed, "the team may not call " + request.asked);
        }
    } else {
        const auto answer = this->ask_version(state, now).answer;
        if (auto refused = to_failure(answer, request.asked)) {
            return refused;
        }
        target = answer.version;
    }
    if (!this->table.serves(this->place(state, target, now), now)) {
        return passing(failure_code::no_endpoint, later, "no endpoint serves " + target);
    }
    return std::nullopt;
}

} // namespace pearhaven::decision
