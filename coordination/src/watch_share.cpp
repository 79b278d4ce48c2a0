#include "pearhaven/coordination/watch_share.hpp"

#include "pearhaven/decision/mix.hpp"
#include "pearhaven/decision/suspects.hpp"

#include <algorithm>

namespace pearhaven::coordination {

namespace {

std::uint64_t order_of(const std::string& name)
{
    return decision::fingerprint(name, "watches", "");
}

} // namespace

watch_share::rank watch_share::rank_of(const std::string& name, std::uint32_t link_mbps)
{
    return {link_mbps, order_of(name)};
}

void watch_share::set_peer(const std::string& name, const std::string& zone,
                           std::uint32_t link_mbps)
{
    if (name != this->settings.self && zone == this->settings.zone) {
        this->zone_peers.insert_or_assign(name, rank_of(name, link_mbps));
    } else {
        this->zone_peers.erase(name);
    }
}

void watch_share::on_watcher_update(store_revision as_of, store_revision revision,
                                    decision::duration age, decision::instant now)
{
    if (as_of < revision || age < decision::duration::zero()) {
        return;
    }
    this->fresh_until = std::max(this->fresh_until, now + this->settings.update_lifetime - age);
}

bool watch_share::is_watcher() const
{
    const auto own = rank_of(this->settings.self, this->settings.link_mbps);
    const auto ahead = std::count_if(this->zone_peers.begin(), this->zone_peers.end(),
                                     [own](const auto& named) { return named.second > own; });
    return static_cast<std::size_t>(ahead) < this->settings.watcher_count;
}

watch_mode watch_share::mode(decision::instant now) const
{
    if (this->zone_peers.size() + 1 < this->settings.min_routers_to_share) {
        return watch_mode::independent;
    }
    if (this->is_watcher()) {
        return watch_mode::watcher;
    }
    const auto step = static_cast<std::int64_t>(order_of(this->settings.self) % 8);
    const auto delay = this->settings.fallback_spread * step / 8;
    return now < this->fresh_until + delay ? watch_mode::follower : watch_mode::independent;
}

} // namespace pearhaven::coordination
