#include "host_list.hpp"
#include "test_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

TEST_GROUP(host_list)
{
    host_list hosts;
    const nlohmann::json live = complete_host({{"name", "e1"}, {"address", "127.0.0.1:1"}});
};

TEST(host_list, publishes_a_change_only_after_its_lag)
{
    hosts.set(live, at_ms(30));
    LONGS_EQUAL(0, hosts.published(at_ms(29)).at("hosts").size());
    LONGS_EQUAL(1, hosts.published(at_ms(30)).at("hosts").size());
    LONGS_EQUAL(1, hosts.actual().at("hosts").size());
}

TEST(host_list, keeps_publishing_a_removed_host_for_the_lag)
{
    hosts.set(live, at_ms(0));
    hosts.remove("e1", at_ms(30));
    LONGS_EQUAL(1, hosts.published(at_ms(29)).at("hosts").size());
    LONGS_EQUAL(0, hosts.published(at_ms(30)).at("hosts").size());
}

TEST(host_list, fills_in_what_a_host_leaves_out)
{
    CHECK_EQUAL(std::string("live"), live.at("state").get<std::string>());
    LONGS_EQUAL(1, live.at("incarnation").get<int>());
}

TEST(host_list, refuses_a_host_without_an_address)
{
    CHECK_THROWS(nlohmann::json::exception, complete_host({{"name", "e1"}}));
}
