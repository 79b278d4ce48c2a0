#include "engine_reports.hpp"
#include "test_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;
using std::chrono::milliseconds;

TEST_GROUP(engine_reports){};

TEST(engine_reports, show_the_load_of_one_lag_before)
{
    load_history history(milliseconds(500));
    history.record({0, 0, 16, 0}, at_ms(0));
    history.record({5, 1, 16, 0}, at_ms(100));
    history.record({9, 2, 16, 0}, at_ms(300));
    LONGS_EQUAL(0, history.report(at_ms(599)).running);
    LONGS_EQUAL(5, history.report(at_ms(600)).running);
    LONGS_EQUAL(9, history.report(at_ms(5000)).running);
}

TEST(engine_reports, show_cache_events_late)
{
    cache_event_feed feed(milliseconds(1000), 0);
    feed.publish({{1, cache_operation::add, 7}}, at_ms(0));
    LONGS_EQUAL(0, feed.after(0, at_ms(999)).size());
    LONGS_EQUAL(1, feed.after(0, at_ms(1000)).size());
    LONGS_EQUAL(0, feed.after(1, at_ms(1000)).size());
}

TEST(engine_reports, leave_out_the_configured_share_of_cache_events)
{
    cache_event_feed feed(milliseconds(0), 0.2);
    std::vector<cache_event> events;
    for (std::uint64_t sequence = 1; sequence <= 1000; ++sequence) {
        events.push_back({sequence, cache_operation::add, sequence});
    }
    feed.publish(events, at_ms(0));
    DOUBLES_EQUAL(800, static_cast<double>(feed.after(0, at_ms(0)).size()), 60);
}

TEST(engine_reports, serve_a_loaded_version_when_its_weights_are_there)
{
    version_table versions({"a"});
    versions.load("b", at_ms(100));
    CHECK_TRUE(versions.serves("a", at_ms(0)));
    CHECK_FALSE(versions.serves("b", at_ms(99)));
    CHECK_TRUE(versions.serves("b", at_ms(100)));
    versions.unload("a");
    CHECK_FALSE(versions.serves("a", at_ms(100)));
}

TEST(engine_reports, keep_a_version_served_that_is_loaded_again)
{
    version_table versions({"a"});
    versions.load("a", at_ms(100));
    CHECK_TRUE(versions.serves("a", at_ms(0)));
}

TEST(engine_reports, reject_a_fencing_number_below_the_highest_seen)
{
    version_table versions({});
    CHECK_TRUE(versions.accept_fence(5));
    CHECK_FALSE(versions.accept_fence(4));
    CHECK_TRUE(versions.accept_fence(5));
    CHECK_TRUE(versions.accept_fence(6));
}
