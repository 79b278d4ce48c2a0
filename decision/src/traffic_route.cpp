#include "pearhaven/decision/traffic_route.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace pearhaven::decision {

namespace {

std::string host_key(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos &&
                          host.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
    std::string key(has_port ? host.substr(0, colon) : host);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

} // namespace

route_table::route_table(std::vector<traffic_route> all)
{
    for (auto& one : all) {
        auto name = one.name;
        this->routes.insert_or_assign(std::move(name), std::move(one));
    }
    for (const auto& [name, one] : this->routes) {
        this->by_host[host_key(one.host)].push_back(name);
    }
    for (auto& [host, names] : this->by_host) {
        std::sort(names.begin(), names.end(), [this](const auto& left, const auto& right) {
            const auto& one = this->routes.at(left).path_prefix;
            const auto& other = this->routes.at(right).path_prefix;
            return std::make_pair(other.size(), one) < std::make_pair(one.size(), other);
        });
    }
}

const traffic_route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto names = this->by_host.find(host_key(host));
    if (names == this->by_host.end()) {
        return nullptr;
    }
    const auto plain = path.substr(0, path.find('?'));
    for (const auto& name : names->second) {
        const auto& candidate = this->routes.at(name);
        if (plain.substr(0, candidate.path_prefix.size()) == candidate.path_prefix) {
            return &candidate;
        }
    }
    return nullptr;
}

const route_target* draw_target(const traffic_route& from, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const auto& target : from.targets) {
        total += target.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    std::uint64_t left = random % total;
    for (const auto& target : from.targets) {
        if (left < target.weight) {
            return &target;
        }
        left -= target.weight;
    }
    return nullptr;
}

} // namespace pearhaven::decision
