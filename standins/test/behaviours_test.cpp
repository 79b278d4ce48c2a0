#include "behaviours.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

namespace {

struct some_behaviours {
    bool flag = false;
    std::uint64_t count = 0;
    double share = 0;
    std::string text;
};

} // namespace

TEST_GROUP(behaviours)
{
    behaviour_table<some_behaviours> table;
    some_behaviours current;

    void setup() override
    {
        this->table.add("flag", &some_behaviours::flag, "a flag")
            .add("count", &some_behaviours::count, "a count")
            .add("share", &some_behaviours::share, "a share")
            .add("text", &some_behaviours::text, "a text");
    }
};

TEST(behaviours, set_the_named_members_and_leave_the_others)
{
    current.text = "kept";
    CHECK_FALSE(table.apply({{"flag", true}, {"count", 3}, {"share", 1}}, current).has_value());
    CHECK_TRUE(current.flag);
    LONGS_EQUAL(3, current.count);
    DOUBLES_EQUAL(1, current.share, 0);
    CHECK_EQUAL(std::string("kept"), current.text);
}

TEST(behaviours, refuse_an_unknown_name_and_change_nothing)
{
    const auto problem = table.apply({{"flag", true}, {"nope", 1}}, current);
    CHECK_EQUAL(std::string("unknown behaviour: nope"), *problem);
    CHECK_FALSE(current.flag);
}

TEST(behaviours, refuse_a_value_of_the_wrong_type)
{
    CHECK_TRUE(table.apply({{"flag", 1}}, current).has_value());
    CHECK_TRUE(table.apply({{"count", -1}}, current).has_value());
    CHECK_TRUE(table.apply({{"text", false}}, current).has_value());
    CHECK_TRUE(table.apply(nlohmann::json::array(), current).has_value());
}

TEST(behaviours, refuse_settings_that_fail_the_check)
{
    table.check([](const some_behaviours& wanted) {
        return wanted.count > 9 ? std::optional<std::string>("too many") : std::nullopt;
    });
    CHECK_EQUAL(std::string("too many"), *table.apply({{"count", 10}}, current));
    LONGS_EQUAL(0, current.count);
}
