#include "pearhaven/decision/endpoint_table.hpp"

#include <algorithm>
#include <map>

namespace pearhaven::decision {

class endpoint_table::state {
public:
    struct endpoint {
        endpoint_host host;
        std::uint32_t outstanding = 0;
        std::uint32_t readings = 0;
    };

    endpoint_table_settings settings;
    std::map<std::string, endpoint> endpoints;
    std::map<std::string, std::uint64_t> leaving;
    std::map<std::string, pool> pools;
    std::map<std::string, service> services;
    std::map<std::string, version> versions;

    [[nodiscard]] const pool* pool_for(const std::string& version_name,
                                       const endpoint_host& host) const
    {
        const auto wanted = this->versions.find(version_name);
        if (wanted == this->versions.end()) {
            return nullptr;
        }
        for (const auto& [name, candidate] : this->pools) {
            if (candidate.versions.matches(wanted->second.tags) &&
                candidate.hosts.matches(host.tags)) {
                return &candidate;
            }
        }
        return nullptr;
    }

    [[nodiscard]] bool leaves(const endpoint_host& host) const
    {
        const auto mark = this->leaving.find(host.address);
        return host.leaving || (mark != this->leaving.end() && mark->second >= host.incarnation);
    }

    // Slots that the endpoint offers to the placement; 0 when it does not serve it.
    [[nodiscard]] std::uint32_t slots(const placement& wanted, const endpoint_host& host) const
    {
        if (this->leaves(host)) {
            return 0;
        }
        if (wanted.is_service) {
            const auto found = this->services.find(wanted.version_or_service);
            const bool served =
                found != this->services.end() && found->second.hosts.matches(host.tags);
            return served ? this->settings.service_slots : 0;
        }
        const pool* offered = this->pool_for(wanted.version_or_service, host);
        return offered == nullptr ? 0 : offered->slots_per_host;
    }
};

endpoint_table::endpoint_table(endpoint_table_settings settings)
    : inner(std::make_unique<endpoint_table::state>())
{
    this->inner->settings = std::move(settings);
}

endpoint_table::~endpoint_table() = default;

void endpoint_table::configure(const configuration& current)
{
    this->inner->pools = current.pools();
    this->inner->services = current.services();
    this->inner->versions = current.versions();
}

void endpoint_table::set_hosts(const std::vector<endpoint_host>& hosts, instant /*now*/)
{
    std::map<std::string, state::endpoint> listed;
    for (const auto& host : hosts) {
        state::endpoint& known = this->inner->endpoints[host.address];
        known.host = host;
        listed.emplace(host.address, known);
    }
    this->inner->endpoints = std::move(listed);
}

void endpoint_table::mark_leaving(const std::string& address, std::uint64_t incarnation,
                                  instant /*now*/)
{
    if (incarnation == 0) {
        const auto known = this->find(address);
        incarnation = known ? known->incarnation : 0;
    }
    auto& mark = this->inner->leaving[address];
    mark = std::max(mark, incarnation);
}

void endpoint_table::started(const std::string& address, work_class kind, double /*work*/,
                             std::uint64_t /*prefix_hash*/, instant /*now*/)
{
    const auto found = this->inner->endpoints.find(address);
    if (found != this->inner->endpoints.end()) {
        ++found->second.outstanding;
        found->second.readings += kind == work_class::reading ? 1 : 0;
    }
}

void endpoint_table::ended(const std::string& address, work_class kind, double /*work*/,
                           attempt_result /*result*/, duration /*first_token*/, instant /*now*/)
{
    const auto found = this->inner->endpoints.find(address);
    if (found != this->inner->endpoints.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
        found->second.readings -= kind == work_class::reading ? 1 : 0;
    }
}

void endpoint_table::reported(const std::string& /*address*/, const load_report& /*report*/,
                              instant /*now*/)
{}

std::optional<std::string> endpoint_table::choose(const placement& wanted, instant /*now*/,
                                                  std::uint64_t random) const
{
    std::vector<const state::endpoint*> open;
    for (const auto& [address, candidate] : this->inner->endpoints) {
        const bool avoided =
            std::find(wanted.avoid.begin(), wanted.avoid.end(), address) != wanted.avoid.end();
        if (!avoided && candidate.outstanding < this->inner->slots(wanted, candidate.host)) {
            open.push_back(&candidate);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    return open[random % open.size()]->host.address;
}

bool endpoint_table::serves(const placement& wanted, instant /*now*/) const
{
    return std::any_of(this->inner->endpoints.begin(), this->inner->endpoints.end(),
                       [this, &wanted](const auto& known) {
                           return this->inner->slots(wanted, known.second.host) > 0;
                       });
}

std::optional<endpoint_host> endpoint_table::find(const std::string& address) const
{
    const auto found = this->inner->endpoints.find(address);
    if (found == this->inner->endpoints.end()) {
        return std::nullopt;
    }
    return found->second.host;
}

std::vector<std::string> endpoint_table::addresses() const
{
    std::vector<std::string> all;
    for (const auto& [address, known] : this->inner->endpoints) {
        all.push_back(address);
    }
    return all;
}

std::vector<endpoint_table::endpoint_status> endpoint_table::status(instant /*now*/) const
{
    std::vector<endpoint_status> all;
    for (const auto& [address, known] : this->inner->endpoints) {
        all.push_back({known.host, known.outstanding, 0.0, false, this->inner->leaves(known.host)});
    }
    return all;
}

} // namespace pearhaven::decision
