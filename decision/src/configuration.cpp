#include "pearhaven/decision/configuration.hpp"

#include <algorithm>

namespace pearhaven::decision {

selector selector::nothing()
{
    selector none;
    none.matches_nothing = true;
    return none;
}

selector selector::require(std::string label, std::vector<std::string> values) const
{
    selector narrower = *this;
    narrower.requirements_map.insert_or_assign(std::move(label), std::move(values));
    return narrower;
}

bool selector::matches(const labels& candidate) const
{
    if (this->matches_nothing) {
        return false;
    }
    return std::all_of(this->requirements_map.begin(), this->requirements_map.end(),
                       [&candidate](const auto& requirement) {
                           const auto found = candidate.find(requirement.first);
                           if (found == candidate.end()) {
                               return false;
                           }
                           const auto& values = requirement.second;
                           return std::find(values.begin(), values.end(), found->second) !=
                                  values.end();
                       });
}

team_table::team_table(std::vector<team> all, key_policy policy) : keys(policy)
{
    for (auto& one : all) {
        this->add(std::move(one));
    }
}

void team_table::add(team object)
{
    for (const auto& digest : object.key_sha256) {
        this->name_by_key.insert_or_assign(digest, object.name);
    }
    auto name = object.name;
    this->teams.insert_or_assign(std::move(name), std::move(object));
}

const team* team_table::find_by_key(std::string_view key_sha256) const
{
    const auto found = this->name_by_key.find(key_sha256);
    if (found == this->name_by_key.end()) {
        return nullptr;
    }
    const auto owner = this->teams.find(found->second);
    return owner == this->teams.end() ? nullptr : &owner->second;
}

const team* configuration::find_team_by_key(std::string_view key_sha256) const
{
    return this->team_part->find_by_key(key_sha256);
}

const version* configuration::find_version(std::string_view name) const
{
    const auto found = this->version_map.find(std::string(name));
    return found == this->version_map.end() ? nullptr : &found->second;
}

bool configuration::allows(const team& caller, const version& candidate) const
{
    return !candidate.withdrawn && caller.versions.matches(candidate.tags);
}

configuration_builder& configuration_builder::revision(std::uint64_t number)
{
    this->product->revision_number = number;
    return *this;
}

configuration_builder& configuration_builder::add(team object)
{
    if (this->own_teams == nullptr) {
        this->own_teams = new team_table(*this->product->team_part);
        this->product->team_part = this->own_teams;
    }
    this->own_teams->add(std::move(object));
    return *this;
}

configuration_builder& configuration_builder::teams(team_table_ptr ready)
{
    this->product->team_part = std::move(ready);
    this->own_teams = nullptr;
    return *this;
}

configuration_builder& configuration_builder::add(version object)
{
    object.tags["version"] = object.name;
    object.tags["model"] = object.model;
    auto name = object.name;
    this->product->version_map.insert_or_assign(std::move(name), std::move(object));
    return *this;
}

configuration_builder& configuration_builder::add(pool object)
{
    auto name = object.name;
    this->product->pool_map.insert_or_assign(std::move(name), std::move(object));
    return *this;
}

configuration_builder& configuration_builder::add(service object)
{
    auto name = object.name;
    this->product->service_map.insert_or_assign(std::move(name), std::move(object));
    return *this;
}

configuration_builder& configuration_builder::add(rollout object)
{
    auto name = object.name;
    this->product->rollout_map.insert_or_assign(std::move(name), std::move(object));
    return *this;
}

configuration_builder& configuration_builder::add(cascade object)
{
    auto name = object.name;
    this->product->cascade_map.insert_or_assign(std::move(name), std::move(object));
    return *this;
}

configuration_builder& configuration_builder::add(evacuation object)
{
    auto zone = object.zone;
    this->product->evacuation_map.insert_or_assign(std::move(zone), std::move(object));
    return *this;
}

configuration_builder& configuration_builder::routes(std::vector<traffic_route> all)
{
    return this->routes(route_table_ptr(new route_table(std::move(all))));
}

configuration_builder& configuration_builder::routes(route_table_ptr ready)
{
    this->product->route_part = std::move(ready);
    return *this;
}

configuration_builder& configuration_builder::session_keys(std::vector<std::uint32_t> newest_first)
{
    this->product->session_key_list = std::move(newest_first);
    return *this;
}

configuration_ptr configuration_builder::build()
{
    this->own_teams = nullptr;
    return std::exchange(this->product, nullptr);
}

} // namespace pearhaven::decision
