#include "pearhaven/decision/peer_forwarding.hpp"

#include "contains.hpp"

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
