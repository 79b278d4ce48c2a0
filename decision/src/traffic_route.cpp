#include "pearhaven/decision/traffic_route.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cctype>
#include <functional>
#include <utility>

namespace pearhaven::decision {

namespace {

std::string_view without_port(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos &&
                          host.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
    return has_port ? host.substr(0, colon) : host;
}

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

} // namespace

route_table::route_table(std::vector<traffic_route> all)
{
    for (auto& one : all) {
        auto name = one.name;
        this->routes.insert_or_assign(std::move(name), std::move(one));
    }
    for (const auto& [name, one] : this->routes) {
        this->index(one);
    }
    for (auto& [host, known] : this->by_host) {
        std::sort(known.lengths.begin(), known.lengths.end(), std::greater<>());
        known.lengths.erase(std::unique(known.lengths.begin(), known.lengths.end()),
                            known.lengths.end());
    }
}

// Of two routes with the same host and prefix, the first one is kept.
void route_table::index(const traffic_route& one)
{
    host_routes& known = this->by_host[without_port(one.host)];
    known.by_prefix.try_emplace(one.path_prefix, &one);
    known.lengths.push_back(one.path_prefix.size());
}

const traffic_route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto known = this->by_host.find(without_port(host));
    if (known == this->by_host.end()) {
        return nullptr;
    }
    const auto plain = path.substr(0, path.find('?'));
    const auto& lengths = known->second.lengths;
    const auto& by_prefix = known->second.by_prefix;
    // Longest prefix first, starting with the longest that fits into the path.
    auto length = std::lower_bound(lengths.begin(), lengths.end(), plain.size(), std::greater<>());
    for (; length != lengths.end(); ++length) {
        const auto found = by_prefix.find(plain.substr(0, *length));
        if (found != by_prefix.end()) {
            return found->second;
        }
    }
    return nullptr;
}

std::size_t route_table::host_hash::operator()(std::string_view host) const
{
    std::size_t seed = 0;
    for (const char letter : host) {
        boost::hash_combine(seed, lower(letter));
    }
    return seed;
}

bool route_table::same_host::operator()(std::string_view left, std::string_view right) const
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return lower(one) == lower(other); });
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
