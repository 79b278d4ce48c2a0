#include "pearhaven/decision/version_choice.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

version_answer refuse(version_refusal reason)
{
    return {std::string(), reason};
}

bool is_excluded(const version_question& question, const std::string& name)
{
    return std::find(question.excluded.begin(), question.excluded.end(), name) !=
           question.excluded.end();
}

bool takes_work(const version_question& question, const version& candidate)
{
    return question.current->allows(*question.caller, candidate) &&
           !is_excluded(question, candidate.name);
}

// Why none of these versions accepts the caller's request.
version_refusal refusal_reason(const version_question& question,
                               const std::vector<const version*>& candidates)
{
    if (candidates.empty()) {
        return version_refusal::unknown_model;
    }
    auto reason = version_refusal::not_allowed;
    for (const version* candidate : candidates) {
        if (!question.caller->versions.matches(candidate->tags)) {
            continue;
        }
        if (!candidate->withdrawn) {
            return version_refusal::no_version;
        }
        reason = version_refusal::withdrawn;
    }
    return reason;
}

std::vector<const version*> versions_of_model(const configuration& current,
                                              const std::string& model)
{
    std::vector<const version*> found;
    for (const auto& [name, candidate] : current.versions()) {
        if (candidate.model == model) {
            found.push_back(&candidate);
        }
    }
    return found;
}

// The version that gets an excluded version's traffic; null if there is none.
const version* fallback_for(const version_question& question, const version& excluded)
{
    // Fallbacks may form a cycle.
    std::size_t hops_left = question.current->versions().size();
    const version* candidate = &excluded;
    while (candidate != nullptr && is_excluded(question, candidate->name) && hops_left > 0) {
        candidate = question.current->find_version(candidate->fallback);
        --hops_left;
    }
    return candidate != nullptr && takes_work(question, *candidate) ? candidate : nullptr;
}

struct weighted_version {
    const version* candidate;
    std::uint64_t traffic;
};

std::vector<weighted_version> traffic_shares(const version_question& question,
                                             const std::vector<const version*>& candidates)
{
    std::vector<weighted_version> shares;
    for (const version* candidate : candidates) {
        if (!question.current->allows(*question.caller, *candidate)) {
            continue;
        }
        const version* target = fallback_for(question, *candidate);
        if (target != nullptr && candidate->traffic > 0) {
            shares.push_back({target, candidate->traffic});
        }
    }
    return shares;
}

version_answer draw(const std::vector<weighted_version>& shares, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const auto& share : shares) {
        total += share.traffic;
    }
    std::uint64_t left = random % total;
    for (const auto& share : shares) {
        if (left < share.traffic) {
            return {share.candidate->name, version_refusal::none};
        }
        left -= share.traffic;
    }
    return refuse(version_refusal::no_version);
}

version_answer choose_of_model(const version_question& question,
                               const std::vector<const version*>& candidates)
{
    const auto shares = traffic_shares(question, candidates);
    if (shares.empty()) {
        return refuse(refusal_reason(question, candidates));
    }
    return draw(shares, question.random);
}

version_answer choose_named(const version_question& question, const version& named)
{
    if (takes_work(question, named)) {
        return {named.name, version_refusal::none};
    }
    return refuse(refusal_reason(question, {&named}));
}

std::vector<const version*> versions_of_cascade(const configuration& current, const cascade& policy)
{
    std::vector<const version*> found;
    for (const auto& name : {policy.costly, policy.cheap}) {
        if (const version* candidate = current.find_version(name)) {
            found.push_back(candidate);
        }
    }
    return found;
}

version_answer choose_of_cascade(const version_question& question, const cascade& policy)
{
    if (!policy.teams.matches(question.caller->tags)) {
        return refuse(version_refusal::not_allowed);
    }
    const auto candidates = versions_of_cascade(*question.current, policy);
    for (const version* candidate : candidates) {
        if (takes_work(question, *candidate)) {
            return {candidate->name, version_refusal::none};
        }
    }
    return refuse(refusal_reason(question, candidates));
}

// Whether the requested name includes the version that the session is bound to.
bool covers(const version_question& question, const version& candidate)
{
    const auto& asked = question.asked;
    if (asked == candidate.name || asked == candidate.model) {
        return true;
    }
    const auto policy = question.current->cascades().find(asked);
    return policy != question.current->cascades().end() &&
           (policy->second.cheap == candidate.name || policy->second.costly == candidate.name);
}

version_answer choose_bound(const version_question& question, const session& bound)
{
    const version* kept = question.current->find_version(bound.version);
    if (kept == nullptr) {
        return refuse(version_refusal::session_version_withdrawn);
    }
    if (bound.team != question.caller->name || !covers(question, *kept) ||
        !question.caller->versions.matches(kept->tags)) {
        return refuse(version_refusal::session_version_not_allowed);
    }
    if (kept->withdrawn) {
        return refuse(version_refusal::session_version_withdrawn);
    }
    if (is_excluded(question, kept->name)) {
        return refuse(version_refusal::no_version);
    }
    return {kept->name, version_refusal::none};
}

} // namespace

version_answer choose_version(const version_question& question)
{
    if (question.bound) {
        return choose_bound(question, *question.bound);
    }
    const auto candidates = versions_of_model(*question.current, question.asked);
    if (!candidates.empty()) {
        return choose_of_model(question, candidates);
    }
    if (const version* named = question.current->find_version(question.asked)) {
        return choose_named(question, *named);
    }
    const auto policy = question.current->cascades().find(question.asked);
    if (policy != question.current->cascades().end()) {
        return choose_of_cascade(question, policy->second);
    }
    return refuse(version_refusal::unknown_model);
}

} // namespace pearhaven::decision
