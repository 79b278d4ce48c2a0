#include "pearhaven/coordination/update_delays.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(update_delays){};

// Guards against a change that is confirmed just after a call whose connection has gone silent, and
// that is not in force within its bound.
TEST(update_delays, a_change_on_its_longest_way_arrives_before_the_bound)
{
    for (const duration bound : {duration(milliseconds(500)), duration(seconds(2)),
                                 duration(seconds(4)), duration(seconds(8))}) {
        const auto delays = update_delays_within(bound);
        CHECK_TRUE(longest_own_update(delays) <= bound * 17 / 20);
        CHECK_TRUE(longest_shared_update(delays) <= bound * 17 / 20);
    }
}

// Guards against routers that stop relying on a watcher although it is only repeating a silent
// call.
TEST(update_delays, a_watcher_finds_a_silent_connection_before_others_stop_relying_on_it)
{
    const auto delays = update_delays_within(seconds(2));
    CHECK_TRUE(delays.shared_watch_wait + delays.silence_limit < delays.update_lifetime);
}
