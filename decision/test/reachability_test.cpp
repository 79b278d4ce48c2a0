#include "pearhaven/decision/reachability.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr std::size_t many_endpoints = 12;

} // namespace

TEST_GROUP(reachability)
{
    reachability reached;

    void lose(const std::string& target, int endpoints)
    {
        for (int i = 0; i < endpoints; ++i) {
            this->reached.on_unreachable(target, "e" + std::to_string(i));
        }
    }
};

TEST(reachability, three_unreachable_endpoints_in_a_row_cut_a_target_off)
{
    this->lose("api", 2);
    CHECK_FALSE(this->reached.is_cut_off("api", many_endpoints));
    this->reached.on_unreachable("api", "e1");
    CHECK_FALSE(this->reached.is_cut_off("api", many_endpoints));
    this->reached.on_unreachable("api", "e2");
    CHECK_TRUE(this->reached.is_cut_off("api", many_endpoints));
    CHECK_FALSE(this->reached.is_cut_off("model", many_endpoints));
}

TEST(reachability, a_target_with_fewer_endpoints_is_cut_off_when_all_are_unreachable)
{
    this->lose("api", 2);
    CHECK_TRUE(this->reached.is_cut_off("api", 2));
    CHECK_FALSE(this->reached.is_cut_off("api", 0));
}

TEST(reachability, a_new_connection_ends_the_cut)
{
    this->lose("api", 3);
    CHECK_TRUE(this->reached.is_in_doubt("api"));
    this->reached.on_connected("api");
    CHECK_FALSE(this->reached.is_in_doubt("api"));
    CHECK_FALSE(this->reached.is_cut_off("api", many_endpoints));
}

// Guards against a router that counts as cut off because of endpoints that have crashed, although
// others have taken their place.
TEST(reachability, endpoints_that_have_ended_do_not_count)
{
    this->lose("api", 3);
    this->reached.on_endpoint_ended("e1");
    CHECK_FALSE(this->reached.is_cut_off("api", many_endpoints));
}

TEST(reachability, the_endpoints_are_tried_once_a_second)
{
    CHECK_TRUE(this->reached.may_try("api", start));
    this->lose("api", 3);
    CHECK_TRUE(this->reached.may_try("api", start));
    this->reached.on_try("api", start);
    CHECK_FALSE(this->reached.may_try("api", start + milliseconds(999)));
    CHECK_TRUE(this->reached.may_try("api", start + seconds(1)));
}
