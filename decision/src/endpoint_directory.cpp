#include "endpoint_directory.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pearhaven::decision {

namespace {

// The names whose objects differ between the maps or occur in only one of them.
template <typename Object>
name_set differing(const std::map<std::string, Object>& before,
                   const std::map<std::string, Object>& after)
{
    name_set names;
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        const int order = left == before.end()   ? 1
                          : right == after.end() ? -1
                                                 : left->first.compare(right->first);
        if (order != 0 || !(left->second == right->second)) {
            names.insert(order <= 0 ? left->first : right->first);
        }
        left = order <= 0 ? std::next(left) : left;
        right = order >= 0 ? std::next(right) : right;
    }
    return names;
}

template <typename Object>
const Object* find_in(const std::map<std::string, Object>& objects, const std::string& name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

} // namespace

void endpoint_directory::configure(const configuration& current, instant now)
{
    const configuration_ptr before = this->config;
    const auto pools = differing(before->pools(), current.pools());
    const auto versions = differing(before->versions(), current.versions());
    const auto services = differing(before->services(), current.services());
    affected all;
    this->add_endpoints_in(differing(before->evacuations(), current.evacuations()), all);
    const auto evacuated = all.addresses;
    for (const auto& name : versions) {
        all.routes.insert({false, name});
    }
    this->add_affected_by_pools(pools, all);
    this->add_affected_by_services(services, all);
    this->unindex(pools, versions, services);
    this->config = configuration_ptr(&current);
    this->index(pools, versions, services);
    this->add_affected_by_pools(pools, all);
    this->add_affected_by_services(services, all);
    for (const auto& key : all.routes) {
        this->forget_route(key);
    }
    for (const auto& address : all.addresses) {
        this->reindex_endpoint(this->endpoints.at(address));
    }
    this->begin_cold_periods(evacuated, now);
}

// Of those that are open again.
void endpoint_directory::begin_cold_periods(const name_set& addresses, instant now)
{
    for (const auto& address : addresses) {
        endpoint& known = this->endpoints.at(address);
        if (this->is_open(known)) {
            known.cold.begin(now, known.cold_time);
        }
    }
}

void endpoint_directory::forget_route(const route_key& key)
{
    const auto built = this->routes.extract(key);
    if (built.empty()) {
        return;
    }
    for (endpoint* where : built.mapped().local) {
        std::erase(where->routes, key);
    }
    for (endpoint* where : built.mapped().remote) {
        std::erase(where->routes, key);
    }
}

// Adds what the pools select in the current configuration.
void endpoint_directory::add_affected_by_pools(const name_set& names, affected& all) const
{
    for (const auto& name : names) {
        const pool* offered = find_in(this->config->pools(), name);
        if (offered == nullptr) {
            continue;
        }
        all.addresses.merge(this->endpoints_of(offered->hosts));
        for (const auto& version_name : this->versions_of(*offered)) {
            all.routes.insert({false, version_name});
        }
    }
}

void endpoint_directory::add_affected_by_services(const name_set& names, affected& all) const
{
    for (const auto& name : names) {
        all.routes.insert({true, name});
        if (const service* offered = find_in(this->config->services(), name)) {
            all.addresses.merge(this->endpoints_of(offered->hosts));
        }
    }
}

void endpoint_directory::add_endpoints_in(const name_set& zones, affected& all) const
{
    for (const auto& [address, known] : this->endpoints) {
        if (zones.count(known.host.zone) > 0) {
            all.addresses.insert(address);
        }
    }
}

// Whether the endpoint may get new requests, apart from its health and load.
bool endpoint_directory::is_open(const endpoint& where) const
{
    return !this->is_leaving(where) && !this->config->is_evacuated(where.host.zone);
}

void endpoint_directory::unindex(const name_set& pools, const name_set& versions,
                                 const name_set& services)
{
    for (const auto& name : pools) {
        if (const pool* offered = find_in(this->config->pools(), name)) {
            this->pools_by_hosts.remove(offered->hosts, name);
            this->pools_by_versions.remove(offered->versions, name);
        }
    }
    for (const auto& name : versions) {
        if (const version* offered = find_in(this->config->versions(), name)) {
            this->versions_by_tags.remove(offered->tags, name);
        }
    }
    for (const auto& name : services) {
        if (const service* offered = find_in(this->config->services(), name)) {
            this->services_by_hosts.remove(offered->hosts, name);
        }
    }
}

void endpoint_directory::index(const name_set& pools, const name_set& versions,
                               const name_set& services)
{
    for (const auto& name : pools) {
        if (const pool* offered = find_in(this->config->pools(), name)) {
            this->pools_by_hosts.add(offered->hosts, name);
            this->pools_by_versions.add(offered->versions, name);
        }
    }
    for (const auto& name : versions) {
        if (const version* offered = find_in(this->config->versions(), name)) {
            this->versions_by_tags.add(offered->tags, name);
        }
    }
    for (const auto& name : services) {
        if (const service* offered = find_in(this->config->services(), name)) {
            this->services_by_hosts.add(offered->hosts, name);
        }
    }
}

host_list_changes endpoint_directory::set_hosts(const std::vector<endpoint_host>& hosts,
                                                instant now)
{
    host_list_changes changes;
    name_set listed;
    this->refused.clear();
    for (const auto& host : hosts) {
        listed.insert(host.address);
        this->apply_host(host, now, changes);
    }
    this->drop_unlisted(listed, now, changes);
    this->expire_histories(now, changes);
    return changes;
}

host_list_changes endpoint_directory::set_host(const endpoint_host& host, instant now)
{
    host_list_changes changes;
    this->apply_host(host, now, changes);
    this->drop_idle_unlisted(now, changes);
    this->expire_histories(now, changes);
    return changes;
}

host_list_changes endpoint_directory::drop_host(const std::string& address, instant now)
{
    host_list_changes changes;
    this->refused.erase(address);
    this->drop(address, now, changes);
    this->drop_idle_unlisted(now, changes);
    this->expire_histories(now, changes);
    return changes;
}

void endpoint_directory::apply_host(const endpoint_host& host, instant now,
                                    host_list_changes& changes)
{
    this->update_host(host, now, changes);
    if (host.leaving) {
        this->mark_leaving(host.address, host.incarnation, now);
    }
}

void endpoint_directory::update_host(const endpoint_host& host, instant now,
                                     host_list_changes& changes)
{
    endpoint_host newer = host;
    if (this->settings.lists_in_order && newer.incarnation == 0) {
        newer.incarnation =
            this->last_incarnation(host.address); // the list does not report a restart
    }
    this->refused.erase(host.address);
    endpoint* known = this->find(host.address);
    if (known == nullptr && this->has_ended(host.address, newer.incarnation)) {
        this->refused.emplace(host.address, host);
        return;
    }
    if (known == nullptr) {
        this->add_endpoint(newer, now);
        return;
    }
    if (known->listed && newer == known->host) {
        return;
    }
    this->unindex_endpoint(*known);
    const bool was_listed = std::exchange(known->listed, true);
    this->unlisted.erase(host.address);
    this->update_endpoint(*known, newer, was_listed, now, changes);
    this->index_endpoint(*known);
}

void endpoint_directory::add_endpoint(const endpoint_host& host, instant now)
{
    const auto history = this->histories.find(host.address);
    if (history != this->histories.end()) {
        this->retained.erase({history->second.retained_since, host.address});
    }
    endpoint& added = this->endpoints.try_emplace(host.address, host).first->second;
    this->restore_statements(added);
    this->remember_incarnation(host.address, host.incarnation);
    this->index_endpoint(added);
    added.cold.begin(now, host.cold_for);
}

// An entry may expire while its endpoint runs, for example during an outage of the host list.
void endpoint_directory::restore_statements(endpoint& added)
{
    const auto history = this->histories.find(added.host.address);
    if (history == this->histories.end() || !history->second.statements) {
        return;
    }
    const auto& known = *history->second.statements;
    if (known.incarnation == added.host.incarnation) {
        added.stated_limit = known.limit;
        added.rests_until = known.rests_until;
    }
    history->second.statements.reset();
}

void endpoint_directory::update_endpoint(endpoint& known, const endpoint_host& newer,
                                         bool was_listed, instant now, host_list_changes& changes)
{
    const auto before = known.host.incarnation;
    if (newer.incarnation != before && this->is_newer(known, newer)) {
        if (was_listed) {
            changes.ended.push_back({newer.address, before, newer.incarnation});
        }
        changes.outstanding_lost += known.outstanding;
        changes.readings_lost += known.readings;
        this->remember_incarnation(newer.address, before);
        this->remember_incarnation(newer.address, newer.incarnation);
        known.replace(newer);
        known.cold.begin(now, std::max(known.cold_time, newer.cold_for));
        return;
    }
    this->remember_incarnation(newer.address, before);
    // The list lags and may still contain a process that has been replaced since.
    if (newer.incarnation == before) {
        known.host = newer;
        known.cold.begin(now, newer.cold_for);
    }
}

// Whether the host is a process that replaced the known one.
bool endpoint_directory::is_newer(const endpoint& known, const endpoint_host& host) const
{
    return this->settings.lists_in_order ? !this->has_ended(host.address, host.incarnation)
                                         : host.incarnation > known.host.incarnation;
}

void endpoint_directory::remember_incarnation(const std::string& address, std::uint64_t incarnation)
{
    // The store may apply a write of a terminated process some seconds late; no endpoint restarts
    // this often in that time.
    constexpr std::size_t max_incarnations = 16;
    auto& incarnations = this->histories[address].incarnations;
    if (!incarnations.empty() && incarnations.back() == incarnation) {
        return;
    }
    incarnations.push_back(incarnation);
    if (incarnations.size() > max_incarnations) {
        incarnations.erase(incarnations.begin());
    }
}

// The newest known incarnation; 0 if there is none.
std::uint64_t endpoint_directory::last_incarnation(const std::string& address) const
{
    const auto history = this->histories.find(address);
    const bool is_known = history != this->histories.end() && !history->second.incarnations.empty();
    return is_known ? history->second.incarnations.back() : 0;
}

// Whether that incarnation has been replaced by another process.
bool endpoint_directory::has_ended(const std::string& address, std::uint64_t incarnation) const
{
    const auto history = this->histories.find(address);
    if (history == this->histories.end() || history->second.incarnations.empty()) {
        return false;
    }
    const auto& incarnations = history->second.incarnations;
    return incarnation != 0 && std::find(incarnations.begin(), incarnations.end() - 1,
                                         incarnation) != incarnations.end() - 1;
}

void endpoint_directory::drop(const std::string& address, instant now, host_list_changes& changes)
{
    const auto at = this->endpoints.find(address);
    if (at == this->endpoints.end()) {
        return;
    }
    endpoint& known = at->second;
    this->unindex_endpoint(known);
    if (std::exchange(known.listed, false)) {
        changes.ended.push_back({address, known.host.incarnation, std::nullopt});
    }
    // Requests in flight there must still be counted if the host returns to the list.
    if (known.outstanding > 0) {
        this->unlisted.insert(address);
        this->index_endpoint(known);
        return;
    }
    changes.readings_lost += known.readings;
    if (known.stated_limit.rate() || known.rests_until > now) {
        this->histories[address].statements = {known.host.incarnation, known.stated_limit,
                                               known.rests_until};
    }
    this->endpoints.erase(at);
    this->unlisted.erase(address);
    this->retain_history(address, now);
}

void endpoint_directory::drop_unlisted(const name_set& listed, instant now,
                                       host_list_changes& changes)
{
    name_set gone;
    for (const auto& [address, known] : this->endpoints) {
        if (listed.count(address) == 0) {
            gone.insert(address);
        }
    }
    for (const auto& address : gone) {
        this->drop(address, now, changes);
    }
}

void endpoint_directory::drop_idle_unlisted(instant now, host_list_changes& changes)
{
    const name_set candidates = this->unlisted;
    for (const auto& address : candidates) {
        this->drop(address, now, changes);
    }
}

// Starts the retention period for an address without an endpoint.
void endpoint_directory::retain_history(const std::string& address, instant now)
{
    address_history& history = this->histories[address];
    this->retained.erase({history.retained_since, address});
    history.retained_since = now;
    this->retained.insert({now, address});
}

// A listed host that was refused because of an expired history is now accepted.
void endpoint_directory::expire_histories(instant now, host_list_changes& changes)
{
    while (!this->retained.empty() &&
           now - this->retained.begin()->retained_since > this->settings.departed_retention) {
        const std::string address = this->retained.begin()->address;
        this->retained.erase(this->retained.begin());
        this->histories.erase(address);
        const auto waiting = this->refused.extract(address);
        if (!waiting.empty()) {
            this->apply_host(waiting.mapped(), now, changes);
        }
    }
}

void endpoint_directory::mark_leaving(const std::string& address, std::uint64_t incarnation,
                                      instant now)
{
    endpoint* known = this->find(address);
    if (incarnation == 0 && known != nullptr) {
        incarnation = known->host.incarnation;
    }
    const bool is_other = known != nullptr && incarnation != known->host.incarnation;
    if (this->has_ended(address, incarnation) || (this->settings.lists_in_order && is_other)) {
        return;
    }
    if (known == nullptr) {
        this->retain_history(address, now);
    }
    address_history& history = this->histories[address];
    if (!this->settings.lists_in_order && incarnation < history.leaving.value_or(0)) {
        return;
    }
    const bool was_leaving = known != nullptr && this->is_leaving(*known);
    history.leaving = incarnation;
    if (known != nullptr && this->is_leaving(*known) != was_leaving) {
        this->reindex_endpoint(*known);
    }
}

bool endpoint_directory::is_leaving(const endpoint& where) const
{
    const auto history = this->histories.find(where.host.address);
    if (history == this->histories.end() || !history->second.leaving) {
        return false;
    }
    const auto marked = *history->second.leaving;
    return this->settings.lists_in_order ? marked == where.host.incarnation
                                         : marked >= where.host.incarnation;
}

endpoint* endpoint_directory::find(const std::string& address)
{
    const auto found = this->endpoints.find(address);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

std::vector<endpoint*>::const_iterator
endpoint_directory::position_in(const std::vector<endpoint*>& group, const endpoint& where)
{
    const auto before = [](const endpoint* left, const endpoint* right) {
        return left->host.address < right->host.address;
    };
    return std::lower_bound(group.begin(), group.end(), &where, before);
}

std::size_t endpoint_directory::number_in_group(const endpoint& where) const
{
    const auto& group = this->peers_of(where);
    return static_cast<std::size_t>(position_in(group, where) - group.begin());
}

// Adds the endpoint to the indexes by its tags, whether it is listed and whether it is leaving.
void endpoint_directory::index_endpoint(endpoint& where)
{
    this->apply_configuration(where);
    this->endpoints_by_tags.add(where.host.tags, where.host.address);
    if (!where.listed) {
        return;
    }
    auto& group = this->groups[where.group];
    group.insert(position_in(group, where), &where);
    if (this->is_open(where)) {
        this->add_to_routes(where);
    }
}

// Undoes `index_endpoint`. The endpoint must not have changed in between.
void endpoint_directory::unindex_endpoint(endpoint& where)
{
    this->endpoints_by_tags.remove(where.host.tags, where.host.address);
    const auto group = this->groups.find(where.group);
    if (group != this->groups.end()) {
        std::erase(group->second, &where);
        if (group->second.empty()) {
            this->groups.erase(group);
        }
    }
    for (const auto& key : where.routes) {
        route& built = this->routes.at(key);
        std::erase(built.local, &where);
        std::erase(built.remote, &where);
    }
    where.routes.clear();
}

void endpoint_directory::reindex_endpoint(endpoint& where)
{
    this->unindex_endpoint(where);
    this->index_endpoint(where);
}

// Adds to existing routes only; a route built later includes the endpoint.
void endpoint_directory::add_to_routes(endpoint& where)
{
    const bool is_local = where.host.zone == this->settings.zone;
    const auto better = [this](const endpoint* left, const endpoint* right) {
        return this->is_better(*left, *right);
    };
    for (auto& key : this->served_by(where.host)) {
        const auto built = this->routes.find(key);
        if (built == this->routes.end()) {
            continue;
        }
        auto& ranked = is_local ? built->second.local : built->second.remote;
        ranked.insert(std::lower_bound(ranked.begin(), ranked.end(), &where, better), &where);
        where.routes.push_back(std::move(key));
    }
}

void endpoint_directory::apply_configuration(endpoint& where) const
{
    double slots = this->settings.service_slots;
    where.long_share = 1.0;
    where.cold_time = duration::zero();
    where.cold_requests_per_s = 0.0;
    where.group.clear();
    for (const auto& name : this->pools_by_hosts.candidates(where.host.tags)) {
        const pool& offered = this->config->pools().at(name);
        if (!offered.hosts.matches(where.host.tags)) {
            continue;
        }
        slots = where.group.empty() ? offered.slots_per_host
                                    : std::min<double>(slots, offered.slots_per_host);
        where.long_share = std::min(where.long_share, offered.long_share);
        where.cold_time = std::max(where.cold_time, offered.cold_time);
        where.cold_requests_per_s = offered.cold_requests_per_s;
        where.group = where.group.empty() ? "pool " + name : where.group;
    }
    for (const auto& name : this->services_by_hosts.candidates(where.host.tags)) {
        const service& offered = this->config->services().at(name);
        if (where.group.empty() && offered.hosts.matches(where.host.tags)) {
            where.group = "service " + name;
        }
    }
    where.limit.set_ceiling(slots);
}

// All versions and services that the host serves, without duplicates.
std::vector<route_key> endpoint_directory::served_by(const endpoint_host& host) const
{
    std::set<route_key> served;
    for (const auto& name : this->pools_by_hosts.candidates(host.tags)) {
        const pool& offered = this->config->pools().at(name);
        if (!offered.hosts.matches(host.tags)) {
            continue;
        }
        for (const auto& version_name : this->versions_of(offered)) {
            served.insert({false, version_name});
        }
    }
    for (const auto& name : this->services_by_hosts.candidates(host.tags)) {
        if (this->config->services().at(name).hosts.matches(host.tags)) {
            served.insert({true, name});
        }
    }
    return {served.begin(), served.end()};
}

name_set endpoint_directory::versions_of(const pool& offered) const
{
    name_set names = this->versions_by_tags.candidates(offered.versions);
    std::erase_if(names, [&](const std::string& name) {
        return !offered.versions.matches(this->config->versions().at(name).tags);
    });
    return names;
}

name_set endpoint_directory::endpoints_of(const selector& hosts) const
{
    name_set addresses = this->endpoints_by_tags.candidates(hosts);
    std::erase_if(addresses, [&](const std::string& address) {
        return !hosts.matches(this->endpoints.at(address).host.tags);
    });
    return addresses;
}

// The name must be configured.
name_set endpoint_directory::endpoints_of(const route_key& key) const
{
    if (key.is_service) {
        return this->endpoints_of(this->config->services().at(key.name).hosts);
    }
    name_set addresses;
    const auto& tags = this->config->versions().at(key.name).tags;
    for (const auto& name : this->pools_by_versions.candidates(tags)) {
        const pool& offered = this->config->pools().at(name);
        if (offered.versions.matches(tags)) {
            addresses.merge(this->endpoints_of(offered.hosts));
        }
    }
    return addresses;
}

const route& endpoint_directory::route_for(const std::string& name, bool is_service)
{
    const route_key key{is_service, name};
    const auto found = this->routes.find(key);
    if (found != this->routes.end()) {
        return found->second;
    }
    // Only configured names are kept, so that arbitrary names from callers use no memory.
    const bool exists = is_service ? this->config->services().count(name) > 0
                                   : this->config->versions().count(name) > 0;
    static const route empty;
    return exists ? this->routes.emplace(key, this->build_route(key)).first->second : empty;
}

route endpoint_directory::build_route(const route_key& key)
{
    route built;
    for (const auto& address : this->endpoints_of(key)) {
        endpoint& known = this->endpoints.at(address);
        if (known.listed && this->is_open(known)) {
            const bool is_local = known.host.zone == this->settings.zone;
            (is_local ? built.local : built.remote).push_back(&known);
            known.routes.push_back(key);
        }
    }
    const auto better = [this](const endpoint* left, const endpoint* right) {
        return this->is_better(*left, *right);
    };
    std::sort(built.local.begin(), built.local.end(), better);
    std::sort(built.remote.begin(), built.remote.end(), better);
    return built;
}

// Rendezvous hashing: routers have different preferences, and adding or removing a host does not
// reorder the others.
bool endpoint_directory::is_better(const endpoint& left, const endpoint& right) const
{
    return mix(left.identity ^ this->settings.router_seed) <
           mix(right.identity ^ this->settings.router_seed);
}

const std::vector<endpoint*>& endpoint_directory::peers_of(const endpoint& where) const
{
    static const std::vector<endpoint*> no_peers;
    const auto group = this->groups.find(where.group);
    return group == this->groups.end() ? no_peers : group->second;
}

} // namespace pearhaven::decision
