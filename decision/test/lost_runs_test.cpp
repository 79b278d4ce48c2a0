#include "pearhaven/decision/lost_runs.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr std::uint64_t request = 7;

} // namespace

TEST_GROUP(lost_runs)
{
    lost_run_table table;

    // Loses a run on each of `count` endpoints, a second apart, the first one at `first`.
    instant lose(int count, bool ended, instant first = start)
    {
        for (int i = 0; i < count; ++i) {
            const auto address = "e" + std::to_string(i);
            if (ended) {
                this->table.on_incarnation_end(address, 1, first + seconds(i));
            }
            this->table.on_lost_run({request, address, 1}, first + seconds(i));
        }
        return first + seconds(count - 1);
    }
};

TEST(lost_runs, the_third_lost_run_quarantines_the_request)
{
    const auto second = this->lose(2, true);
    CHECK_FALSE(this->table.quarantined_until(request, second).has_value());
    this->table.on_lost_run({request, "e9", 1}, second + seconds(1));
    this->table.on_incarnation_end("e9", 1, second + seconds(1));
    CHECK_TRUE(this->table.quarantined_until(request, second + seconds(1)) == start + minutes(10));
    CHECK_TRUE(this->table.quarantined(second + seconds(1)) == std::vector<std::uint64_t>{request});
    CHECK_FALSE(this->table.quarantined_until(request + 1, second + seconds(1)).has_value());
}

TEST(lost_runs, a_crash_of_one_incarnation_counts_once)
{
    for (int i = 0; i < 5; ++i) {
        this->table.on_lost_run({request, "e1", 1}, start + seconds(i));
    }
    CHECK_FALSE(this->table.quarantined_until(request, start + seconds(5)).has_value());
    this->table.on_lost_run({request, "e1", 2}, start + seconds(5));
    this->table.on_lost_run({request, "e1", 3}, start + seconds(6));
    CHECK_TRUE(this->table.quarantined_until(request, start + seconds(6)).has_value());
}

// Guards against a popular request that is refused because a rack failed under several runs of it.
TEST(lost_runs, runs_lost_at_the_same_moment_count_once)
{
    for (int i = 0; i < 20; ++i) {
        this->table.on_lost_run({request, "e" + std::to_string(i), 1, milliseconds(i)},
                                start + milliseconds(i));
    }
    CHECK_FALSE(this->table.quarantined_until(request, start + seconds(1)).has_value());
}

TEST(lost_runs, overlapping_runs_count_once_and_later_ones_each)
{
    this->table.on_lost_run({request, "e0", 1, milliseconds(400)}, start);
    this->table.on_lost_run({request, "e1", 1, milliseconds(400)}, start + milliseconds(100));
    this->table.on_lost_run({request, "e2", 1, milliseconds(50)}, start + milliseconds(150));
    CHECK_FALSE(this->table.quarantined_until(request, start + milliseconds(150)).has_value());
    this->table.on_lost_run({request, "e3", 1, milliseconds(50)}, start + milliseconds(200));
    CHECK_TRUE(this->table.quarantined_until(request, start + milliseconds(200)).has_value());
}

// Guards against requests that are refused for ten minutes because of connections that broke while
// their endpoints went on.
TEST(lost_runs, a_quarantine_ends_soon_if_the_endpoints_have_not_ended)
{
    const auto third = this->lose(3, false);
    CHECK_TRUE(this->table.quarantined_until(request, third) == start + seconds(15));
    CHECK_FALSE(this->table.quarantined_until(request, start + seconds(15)).has_value());
}

TEST(lost_runs, the_end_of_the_endpoints_confirms_the_quarantine)
{
    const auto third = this->lose(3, false);
    for (int i = 0; i < 3; ++i) {
        this->table.on_incarnation_end("e" + std::to_string(i), 1, third + seconds(4));
    }
    CHECK_TRUE(this->table.quarantined_until(request, third + seconds(4)) ==
               third + seconds(4) + minutes(10));
}

TEST(lost_runs, the_end_of_another_incarnation_confirms_nothing)
{
    const auto third = this->lose(3, false);
    for (int i = 0; i < 3; ++i) {
        this->table.on_incarnation_end("e" + std::to_string(i), 2, third);
    }
    CHECK_TRUE(this->table.quarantined_until(request, third) == start + seconds(15));
}

TEST(lost_runs, a_finished_run_forgets_the_lost_ones)
{
    const auto third = this->lose(3, true);
    CHECK_TRUE(this->table.on_finished(request));
    CHECK_FALSE(this->table.on_finished(request));
    CHECK_FALSE(this->table.quarantined_until(request, third).has_value());
    this->lose(2, true, third + seconds(1));
    CHECK_FALSE(this->table.quarantined_until(request, third + seconds(3)).has_value());
}

TEST(lost_runs, a_request_that_crashes_seldom_is_not_quarantined)
{
    for (int i = 0; i < 5; ++i) {
        const auto now = start + i * minutes(6);
        this->table.on_incarnation_end("e" + std::to_string(i), 1, now);
        this->table.on_lost_run({request, "e" + std::to_string(i), 1}, now);
        CHECK_FALSE(this->table.quarantined_until(request, now).has_value());
    }
}

TEST(lost_runs, a_full_table_keeps_the_requests_that_expire_last)
{
    lost_run_settings settings;
    settings.max_requests = 10;
    this->table = lost_run_table(settings);
    const auto third = this->lose(3, true);
    for (std::uint64_t other = 100; other < 150; ++other) {
        this->table.on_lost_run({other, "e1", 1}, third);
    }
    LONGS_EQUAL(10, this->table.size());
    CHECK_TRUE(this->table.quarantined_until(request, third).has_value());
}
