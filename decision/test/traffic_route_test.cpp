#include "pearhaven/decision/traffic_route.hpp"

#include <cctype>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

traffic_route make_route(const std::string& name, const std::string& host,
                         const std::string& prefix)
{
    traffic_route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    made.targets = {{"adjudicator", 1}};
    return made;
}

std::string found(const route_table& table, const char* host, const char* path)
{
    const auto* route = table.find(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

TEST_GROUP(traffic_route)
{
    route_table table{{make_route("short", "a.example", "/x/"),
                       make_route("long", "a.example", "/x/y/"),
                       make_route("other", "b.example", "/x/")}};
};

TEST(traffic_route, the_longest_prefix_of_the_host_decides)
{
    STRCMP_EQUAL("long", found(this->table, "a.example", "/x/y/1").c_str());
    STRCMP_EQUAL("short", found(this->table, "a.example", "/x/z").c_str());
    STRCMP_EQUAL("other", found(this->table, "b.example", "/x/y/1").c_str());
}

TEST(traffic_route, a_host_may_carry_a_port_and_any_case)
{
    STRCMP_EQUAL("short", found(this->table, "A.Example:8080", "/x/1").c_str());
}

TEST(traffic_route, a_query_is_not_part_of_the_path)
{
    STRCMP_EQUAL("", found(this->table, "a.example", "/z?/x/").c_str());
    STRCMP_EQUAL("short", found(this->table, "a.example", "/x/?q").c_str());
}

TEST(traffic_route, nothing_matches_another_host_or_path)
{
    STRCMP_EQUAL("", found(this->table, "c.example", "/x/").c_str());
    STRCMP_EQUAL("", found(this->table, "a.example", "/x").c_str());
}

TEST(traffic_route, targets_share_requests_by_weight)
{
    auto route = make_route("split", "a.example", "/");
    route.targets = {{"ninety", 90}, {"ten", 10}};
    int tens = 0;
    for (std::uint64_t random = 0; random < 1000; ++random) {
        tens += draw_target(route, random)->name == "ten" ? 1 : 0;
    }
    CHECK_EQUAL(100, tens);
}

TEST(traffic_route, a_route_without_weights_has_no_target)
{
    auto route = make_route("none", "a.example", "/");
    route.targets = {{"zero", 0}};
    CHECK_TRUE(draw_target(route, 7) == nullptr);
}

TEST(traffic_route, of_two_routes_with_one_prefix_the_first_by_name_is_found)
{
    const route_table tied{
        {make_route("second", "A.example", "/x/"), make_route("first", "a.example:80", "/x/")}};
    STRCMP_EQUAL("first", found(tied, "a.example", "/x/1").c_str());
}

TEST(traffic_route, only_digits_behind_the_last_colon_are_a_port)
{
    STRCMP_EQUAL("short", found(this->table, "a.example:", "/x/1").c_str());
    STRCMP_EQUAL("", found(this->table, "a.example:80x", "/x/1").c_str());
    STRCMP_EQUAL("", found(this->table, "a.example:80:80", "/x/1").c_str());
}

namespace {

std::string plain_host(std::string host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string::npos &&
        host.find_first_not_of("0123456789", colon + 1) == std::string::npos) {
        host.resize(colon);
    }
    for (auto& letter : host) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return host;
}

// Reference implementation by linear search: of all routes of the host whose prefix begins the
// path, the one with the longest prefix, then the first name.
std::string found_by_linear_search(const std::vector<traffic_route>& routes,
                                   const std::string& host, const std::string& path)
{
    const auto plain_path = path.substr(0, path.find('?'));
    const traffic_route* best = nullptr;
    for (const auto& route : routes) {
        if (plain_host(route.host) != plain_host(host) ||
            !plain_path.starts_with(route.path_prefix)) {
            continue;
        }
        const bool is_better =
            best == nullptr || route.path_prefix.size() > best->path_prefix.size() ||
            (route.path_prefix.size() == best->path_prefix.size() && route.name < best->name);
        best = is_better ? &route : best;
    }
    return best == nullptr ? "" : best->name;
}

std::string any_host()
{
    return *rc::gen::element<std::string>("a.example", "A.Example", "b", "", ":1") +
           *rc::gen::element<std::string>("", "", ":80", ":", ":x", ":8:0");
}

// Made of few distinct pieces, so that prefixes often match; some have no slash at either end.
std::string any_path(int max_pieces)
{
    const auto pieces = *rc::gen::resize(
        max_pieces, rc::gen::container<std::vector<std::string>>(
                        rc::gen::element<std::string>("/", "x", "x/", "/x/", "/y/", "xy", "X")));
    std::string path;
    for (const auto& piece : pieces) {
        path += piece;
    }
    return path;
}

std::string any_target()
{
    constexpr int max_pieces = 8;
    return any_path(max_pieces) + *rc::gen::element<std::string>("", "", "?", "?q=/x/", "?x?/y/");
}

std::vector<traffic_route> any_routes()
{
    constexpr int max_pieces = 4;
    std::vector<traffic_route> routes;
    const int count = *rc::gen::inRange(0, 15);
    for (int index = 0; index < count; ++index) {
        const auto name =
            "r" + std::to_string(*rc::gen::inRange(0, 1000)) + "-" + std::to_string(index);
        routes.push_back(make_route(name, any_host(), any_path(max_pieces)));
    }
    return routes;
}

} // namespace

TEST(traffic_route, lookups_agree_with_a_linear_search)
{
    CHECK_TRUE(rc::check("longest prefix", [] {
        constexpr int requests = 40;
        const auto routes = any_routes();
        const route_table indexed(routes);
        for (int request = 0; request < requests; ++request) {
            const auto host = any_host();
            const auto target = any_target();
            RC_ASSERT(found(indexed, host.c_str(), target.c_str()) ==
                      found_by_linear_search(routes, host, target));
        }
    }));
}

TEST(traffic_route, a_route_completely_replaces_an_earlier_one_with_its_name)
{
    const route_table replaced{
        {make_route("one", "a.example", "/x/"), make_route("one", "a.example", "/y/")}};
    STRCMP_EQUAL("", found(replaced, "a.example", "/x/1").c_str());
    STRCMP_EQUAL("one", found(replaced, "a.example", "/y/1").c_str());
}
