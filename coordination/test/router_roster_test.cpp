#include "pearhaven/coordination/router_roster.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using pearhaven::decision::fleet_place;
using pearhaven::decision::instant;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr seconds retention{30};

bool is_place(const fleet_place& place, std::size_t rank, std::size_t size)
{
    return place == fleet_place{rank, size};
}

} // namespace

TEST_GROUP(router_roster)
{
    router_roster roster{"b", retention};

    void setup() override
    {
        for (const auto* const name : {"c", "a", "b"}) {
            this->roster.on_listed(name);
        }
        CHECK_TRUE(is_place(this->roster.place(start), 1, 3));
    }
};

// Guards against routers that each take the whole of a common rate when all leases have run out.
TEST(router_roster, routers_whose_keys_have_gone_count_for_some_time)
{
    for (const auto* const name : {"a", "b", "c"}) {
        this->roster.on_missing(name, start);
    }
    CHECK_TRUE(is_place(this->roster.place(start + retention - seconds(1)), 1, 3));
    CHECK_TRUE(is_place(this->roster.place(start + retention), 0, 1));
}

TEST(router_roster, router_that_registers_anew_counts_as_before)
{
    this->roster.on_missing("a", start);
    this->roster.on_listed("a");
    CHECK_TRUE(is_place(this->roster.place(start + 2 * retention), 1, 3));
}

// Guards against a router that counts for ever because its removal is reported again and again.
TEST(router_roster, time_counts_from_the_first_report)
{
    this->roster.on_missing("a", start);
    this->roster.on_missing("a", start + retention - seconds(1));
    CHECK_TRUE(is_place(this->roster.place(start + retention), 0, 2));
}

// Guards against a router that has not registered yet and takes the rank of another one.
TEST(router_roster, router_counts_itself_before_the_store_holds_its_key)
{
    router_roster started("b", retention);
    CHECK_TRUE(is_place(started.place(start), 0, 1));
    started.on_listed("a");
    CHECK_TRUE(is_place(started.place(start), 1, 2));
}

TEST(router_roster, removal_of_an_unknown_router_changes_nothing)
{
    this->roster.on_missing("d", start);
    CHECK_TRUE(is_place(this->roster.place(start), 1, 3));
}
