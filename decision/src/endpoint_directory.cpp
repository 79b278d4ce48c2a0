#include "endpoint_directory.hpp"

#include <algorithm>

namespace pearhaven::decision {

void endpoint_directory::configure(const configuration& current)
{
    if (this->pools == current.pools() && this->versions == current.versions() &&
        this->services == current.services()) {
        return;
    }
    this->pools = current.pools();
    this->versions = current.versions();
    this->services = current.services();
    this->refresh();
}

void endpoint_directory::set_hosts(const std::vector<endpoint_host>& hosts, instant now)
{
    bool changed = false;
    std::set<std::string> listed;
    for (const auto& host : hosts) {
        listed.insert(host.address);
        changed = this->take_host(host) || changed;
        if (host.leaving) {
            this->mark_leaving(host.address, host.incarnation, now);
        }
    }
    changed = this->drop_unlisted(listed) || changed;
    this->forget_old_addresses(now);
    if (changed) {
        this->refresh();
    }
}

// Whether anything changed by it.
bool endpoint_directory::take_host(const endpoint_host& host)
{
    endpoint_host newer = host;
    if (this->settings.lists_in_order && newer.incarnation == 0) {
        newer.incarnation = this->last_life(host.address); // without one it tells of no new start
    }
    if (this->find(host.address) == nullptr && this->has_ended(host.address, newer.incarnation)) {
        return false;
    }
    const auto [at, is_new] = this->endpoints.try_emplace(host.address, newer);
    endpoint& known = at->second;
    const bool was_listed = std::exchange(known.listed, true);
    if (newer.incarnation != known.host.incarnation && this->begin_life(known, newer)) {
        return true;
    }
    this->remember_life(host.address, known.host.incarnation);
    // The list lags: it may still name a process that another one has replaced since.
    if (newer.incarnation != known.host.incarnation || newer == known.host) {
        return is_new || !was_listed;
    }
    known.host = newer;
    return true;
}

// Whether the host is a process that replaced the known one.
bool endpoint_directory::begin_life(endpoint& known, const endpoint_host& host)
{
    const bool is_newer = this->settings.lists_in_order
                              ? !this->has_ended(host.address, host.incarnation)
                              : host.incarnation > known.host.incarnation;
    if (is_newer) {
        this->remember_life(host.address, known.host.incarnation);
        this->remember_life(host.address, host.incarnation);
        known.replace(host);
    }
    return is_newer;
}

void endpoint_directory::remember_life(const std::string& address, std::uint64_t incarnation)
{
    // A write of a process that died is carried out some seconds late at most; in that time no
    // endpoint starts so often.
    constexpr std::size_t most_lives = 16;
    auto& lives = this->memories[address].lives;
    if (!lives.empty() && lives.back() == incarnation) {
        return;
    }
    lives.push_back(incarnation);
    if (lives.size() > most_lives) {
        lives.erase(lives.begin());
    }
}

// The newest known incarnation; 0 for none.
std::uint64_t endpoint_directory::last_life(const std::string& address) const
{
    const auto memory = this->memories.find(address);
    const bool is_known = memory != this->memories.end() && !memory->second.lives.empty();
    return is_known ? memory->second.lives.back() : 0;
}

// Whether another process has replaced that one.
bool endpoint_directory::has_ended(const std::string& address, std::uint64_t incarnation) const
{
    const auto memory = this->memories.find(address);
    if (memory == this->memories.end() || memory->second.lives.empty()) {
        return false;
    }
    const auto& lives = memory->second.lives;
    return incarnation != 0 &&
           std::find(lives.begin(), lives.end() - 1, incarnation) != lives.end() - 1;
}

bool endpoint_directory::drop_unlisted(const std::set<std::string>& listed)
{
    bool changed = false;
    for (auto at = this->endpoints.begin(); at != this->endpoints.end();) {
        endpoint& known = at->second;
        if (listed.count(at->first) > 0) {
            ++at;
            continue;
        }
        changed = std::exchange(known.listed, false) || changed;
        // What runs there must still be counted, should the host come back to the list.
        const bool in_use = known.outstanding > 0;
        changed = changed || !in_use;
        at = in_use ? std::next(at) : this->endpoints.erase(at);
    }
    return changed;
}

void endpoint_directory::forget_old_addresses(instant now)
{
    for (auto at = this->memories.begin(); at != this->memories.end();) {
        const bool listed = this->endpoints.count(at->first) > 0;
        if (listed) {
            at->second.made = now;
        }
        const bool old = now - at->second.made > this->settings.leaving_memory;
        at = old ? this->memories.erase(at) : std::next(at);
    }
}

void endpoint_directory::mark_leaving(const std::string& address, std::uint64_t incarnation,
                                      instant now)
{
    const endpoint* known = this->find(address);
    if (incarnation == 0 && known != nullptr) {
        incarnation = known->host.incarnation;
    }
    const bool is_other = known != nullptr && incarnation != known->host.incarnation;
    if (this->has_ended(address, incarnation) || (this->settings.lists_in_order && is_other)) {
        return;
    }
    address_memory& memory = this->memories[address];
    memory.made = now;
    if (this->settings.lists_in_order || incarnation >= memory.leaving.value_or(0)) {
        memory.leaving = incarnation;
        this->routes.clear();
    }
}

bool endpoint_directory::is_leaving(const endpoint& where) const
{
    const auto memory = this->memories.find(where.host.address);
    if (memory == this->memories.end() || !memory->second.leaving) {
        return false;
    }
    const auto marked = *memory->second.leaving;
    return this->settings.lists_in_order ? marked == where.host.incarnation
                                         : marked >= where.host.incarnation;
}

endpoint* endpoint_directory::find(const std::string& address)
{
    const auto found = this->endpoints.find(address);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

// Works out anew what follows from the configuration and the host list.
void endpoint_directory::refresh()
{
    this->routes.clear();
    this->groups.clear();
    for (auto& [address, known] : this->endpoints) {
        this->describe(known);
        if (known.listed) {
            this->groups[known.group].push_back(&known);
        }
    }
}

void endpoint_directory::describe(endpoint& where) const
{
    double slots = this->settings.service_slots;
    where.long_share = 1.0;
    where.group.clear();
    for (const auto& [name, offered] : this->pools) {
        if (!offered.hosts.matches(where.host.tags)) {
            continue;
        }
        slots = where.group.empty() ? offered.slots_per_host
                                    : std::min<double>(slots, offered.slots_per_host);
        where.long_share = std::min(where.long_share, offered.long_share);
        where.group = where.group.empty() ? "pool " + name : where.group;
    }
    for (const auto& [name, offered] : this->services) {
        if (where.group.empty() && offered.hosts.matches(where.host.tags)) {
            where.group = "service " + name;
        }
    }
    where.limit.set_ceiling(slots);
}

bool endpoint_directory::serves(const std::string& name, bool is_service,
                                const endpoint_host& host) const
{
    return is_service ? this->services.at(name).hosts.matches(host.tags)
                      : this->serves_version(this->versions.at(name), host);
}

bool endpoint_directory::serves_version(const version& wanted, const endpoint_host& host) const
{
    return std::any_of(this->pools.begin(), this->pools.end(), [&](const auto& named) {
        return named.second.versions.matches(wanted.tags) && named.second.hosts.matches(host.tags);
    });
}

const route& endpoint_directory::route_for(const std::string& name, bool is_service)
{
    const auto key = std::make_pair(is_service, name);
    const auto found = this->routes.find(key);
    if (found != this->routes.end()) {
        return found->second;
    }
    // Only names of the configuration are kept, so that callers' inventions take no memory.
    const bool exists =
        is_service ? this->services.count(name) > 0 : this->versions.count(name) > 0;
    static const route empty;
    return exists ? this->routes.emplace(key, this->build_route(name, is_service)).first->second
                  : empty;
}

route endpoint_directory::build_route(const std::string& name, bool is_service)
{
    route built;
    for (auto& [address, known] : this->endpoints) {
        if (known.listed && !this->is_leaving(known) &&
            this->serves(name, is_service, known.host)) {
            const bool is_local = known.host.zone == this->settings.zone;
            (is_local ? built.local : built.remote).push_back(&known);
        }
    }
    // Rendezvous hashing: each router prefers other endpoints, and a host that comes or goes moves
    // nothing but its own place.
    const auto better = [this](const endpoint* left, const endpoint* right) {
        return mix(left->identity ^ this->settings.router_seed) <
               mix(right->identity ^ this->settings.router_seed);
    };
    std::sort(built.local.begin(), built.local.end(), better);
    std::sort(built.remote.begin(), built.remote.end(), better);
    return built;
}

const std::vector<endpoint*>& endpoint_directory::peers_of(const endpoint& where) const
{
    static const std::vector<endpoint*> nobody;
    const auto group = this->groups.find(where.group);
    return group == this->groups.end() ? nobody : group->second;
}

} // namespace pearhaven::decision
