#include "host_list.hpp"

namespace pearhaven::standins {

nlohmann::json complete_host(const nlohmann::json& given)
{
    return {{"name", given.at("name").get<std::string>()},
            {"address", given.at("address").get<std::string>()},
            {"zone", given.value("zone", "")},
            {"incarnation", given.value("incarnation", std::uint64_t{1})},
            {"state", given.value("state", "live")},
            {"labels", given.value("labels", nlohmann::json::object())}};
}

void host_list::set(const nlohmann::json& host, decision::instant seen_at)
{
    const auto name = host.at("name").get<std::string>();
    this->pending.push_back({seen_at, name, host});
    apply(this->pending.back(), this->actual_hosts);
}

void host_list::remove(const std::string& name, decision::instant seen_at)
{
    this->pending.push_back({seen_at, name, std::nullopt});
    apply(this->pending.back(), this->actual_hosts);
}

nlohmann::json host_list::published(decision::instant now)
{
    while (!this->pending.empty() && this->pending.front().seen_at <= now) {
        apply(this->pending.front(), this->published_hosts);
        this->pending.pop_front();
    }
    return to_json(this->published_hosts);
}

nlohmann::json host_list::actual() const
{
    return to_json(this->actual_hosts);
}

void host_list::apply(const change& due, host_map& hosts)
{
    if (due.host) {
        hosts[due.name] = *due.host;
    } else {
        hosts.erase(due.name);
    }
}

nlohmann::json host_list::to_json(const host_map& hosts)
{
    auto listed = nlohmann::json::array();
    for (const auto& [name, host] : hosts) {
        listed.push_back(host);
    }
    return {{"hosts", std::move(listed)}};
}

} // namespace pearhaven::standins
