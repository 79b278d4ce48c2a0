#include "pearhaven/decision/peer_forwarding.hpp"

#include "contains.hpp"

#include <cmath>

namespace pearhaven::decision {

void peer_forwarding::set_peer(const std::string& name, const std::string& address)
{
    this->peers.insert_or_assign(name, address);
}

void peer_forwarding::on_refused(const std::string& address, instant now)
{
    std::erase_if(this->refused_at, [this, now](const auto& one) {
        return now - one.second >= this->settings.refusal_avoidance;
    });
    this->refused_at.insert_or_assign(address, now);
}

peer_forwarding::recent_requests peer_forwarding::recent_at(instant now) const
{
    const std::chrono::duration<double, duration::period> passed = now - this->recent.at;
    const double left = std::exp2(-(passed / this->settings.refusal_half_life));
    return {this->recent.asked * left, this->recent.refused * left, now};
}

void peer_forwarding::on_asked_to_start(instant now)
{
    this->recent = this->recent_at(now);
    this->recent.asked += 1.0;
}

void peer_forwarding::on_refused_to_start(instant now)
{
    this->recent = this->recent_at(now);
    this->recent.refused += 1.0;
}

bool peer_forwarding::may_ask_to_start(instant now) const
{
    const auto latest = this->recent_at(now);
    return !this->peers.empty() &&
           latest.refused <=
               this->settings.max_refused_part * latest.asked + this->settings.refused_slack;
}

std::optional<std::string> peer_forwarding::choose(const std::vector<std::string>& avoid,
                                                   std::uint64_t random, instant now) const
{
    std::vector<const std::string*> willing;
    std::vector<const std::string*> others;
    for (const auto& [name, address] : this->peers) {
        if (contains(avoid, address)) {
            continue;
        }
        const auto refused = this->refused_at.find(address);
        const bool has_refused = refused != this->refused_at.end() &&
                                 now - refused->second < this->settings.refusal_avoidance;
        (has_refused ? others : willing).push_back(&address);
    }
    const auto& candidates = willing.empty() ? others : willing;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return *candidates[random % candidates.size()];
}

} // namespace pearhaven::decision
