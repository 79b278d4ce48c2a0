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
        if (host.leaving) {
            this->mark_leaving(host.address, host.incarnation, now);
        }
        changed = this->take_host(host) || changed;
    }
    changed = this->drop_unlisted(listed) || changed;
    this->forget_old_marks(now);
    if (changed) {
        this->refresh();
    }
}

// Whether anything changed by it.
bool endpoint_directory::take_host(const endpoint_host& host)
{
    const auto [at, is_new] = this->endpoints.try_emplace(host.address, host);
    endpoint& known = at->second;
    const bool was_listed = std::exchange(known.listed, true);
    if (host.incarnation > known.host.incarnation) {
        known.replace(host);
        return true;
    }
    // The list lags: it may still name a process that another one has replaced since.
    if (host.incarnation < known.host.incarnation || host == known.host) {
        return is_new || !was_listed;
    }
    known.host = host;
    return true;
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

void endpoint_directory::forget_old_marks(instant now)
{
    for (auto at = this->leaving.begin(); at != this->leaving.end();) {
        const bool listed = this->endpoints.count(at->first) > 0;
        if (listed) {
            at->second.made = now;
        }
        const bool old = now - at->second.made > this->settings.leaving_memory;
        at = old ? this->leaving.erase(at) : std::next(at);
    }
}

void endpoint_directory::mark_leaving(const std::string& address, std::uint64_t incarnation,
                                      instant now)
{
    const endpoint* known = this->find(address);
    if (incarnation == 0 && known != nullptr) {
        incarnation = known->host.incarnation;
    }
    leaving_mark& mark = this->leaving[address];
    mark.made = now;
    if (incarnation >= mark.incarnation) {
        mark.incarnation = incarnation;
        this->routes.clear();
    }
}

bool endpoint_directory::is_leaving(const endpoint& where) const
{
    const auto mark = this->leaving.find(where.host.address);
    return mark != this->leaving.end() && mark->second.incarnation >= where.host.incarnation;
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
