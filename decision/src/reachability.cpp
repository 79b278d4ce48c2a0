#include "pearhaven/decision/reachability.hpp"

#include <algorithm>

namespace pearhaven::decision {

void reachability::on_unreachable(const std::string& target, const std::string& endpoint)
{
    auto& unreachable = this->targets[target].unreachable;
    if (unreachable.size() < this->settings.max_unreachable_endpoints) {
        unreachable.insert(endpoint);
    }
}

void reachability::on_connected(const std::string& target)
{
    this->targets.erase(target);
}

void reachability::on_endpoint_ended(const std::string& endpoint)
{
    for (auto& [target, state] : this->targets) {
        state.unreachable.erase(endpoint);
    }
}

bool reachability::is_cut_off(const std::string& target, std::size_t endpoints) const
{
    const auto found = this->targets.find(target);
    const auto needed = std::min(endpoints, this->settings.max_unreachable_endpoints);
    return found != this->targets.end() && needed > 0 && found->second.unreachable.size() >= needed;
}

bool reachability::may_try(const std::string& target, instant now) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() || now >= found->second.next_try;
}

void reachability::on_try(const std::string& target, instant now)
{
    const auto found = this->targets.find(target);
    if (found != this->targets.end()) {
        found->second.next_try = now + this->settings.trial_period;
    }
}

} // namespace pearhaven::decision
