#include "pearhaven/router/settings.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;

TEST_GROUP(settings_test){static router_settings good(){router_settings settings;
settings.zone = "osu";
settings.key_value_url = "http://127.0.0.1:7000";
settings.host_list_url = "http://127.0.0.1:7001";
settings.fleet_key = "0123456789abcdef";
settings.operator_key = "0123456789abcdef";
return settings;
}
}
;

TEST(settings_test, valid_settings_have_no_faults)
{
    LONGS_EQUAL(0, check_settings(good()).size());
}

TEST(settings_test, all_faults_are_reported_together)
{
    LONGS_EQUAL(5, check_settings(router_settings{}).size());
}

TEST(settings_test, a_fault_names_the_setting_the_value_found_and_the_allowed_range)
{
    auto settings = good();
    settings.caller_threads = 1;
    CHECK_EQUAL(std::string("caller_threads: found 1, allowed 2 to 4096"),
                check_settings(settings).at(0));
}

TEST(settings_test, faults_do_not_reveal_secrets)
{
    auto settings = good();
    settings.operator_key = "short";
    CHECK_EQUAL(std::string("operator key: found 5 bytes, allowed 16 or more"),
                check_settings(settings).at(0));
}

TEST(settings_test, a_peer_without_a_port_is_a_fault)
{
    auto settings = good();
    settings.peers = {"127.0.0.1:9000", "127.0.0.1"};
    LONGS_EQUAL(1, check_settings(settings).size());
}
