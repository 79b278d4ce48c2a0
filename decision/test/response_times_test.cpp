#include "pearhaven/decision/response_times.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(response_times)
{
    pearhaven::decision::response_times times;

    void teardown() override
    {
        this->times = {};
    }
};

TEST(response_times, no_percentile_before_eight_answers)
{
    for (int i = 0; i < 7; ++i) {
        this->times.record("reading", seconds(4));
    }
    CHECK_FALSE(this->times.ninetieth_percentile("reading").has_value());
    this->times.record("reading", seconds(4));
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == seconds(4));
    CHECK_FALSE(this->times.ninetieth_percentile("lookup").has_value());
}

TEST(response_times, nine_of_ten_answers_are_within_the_percentile)
{
    for (int i = 1; i <= 20; ++i) {
        this->times.record("reading", seconds(i));
    }
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == seconds(19));
}

// A slow caller makes one answer take far longer than the others. A stopping router must not keep
// refusing similar requests because of it.
TEST(response_times, an_outlier_is_forgotten)
{
    for (int i = 0; i < 4; ++i) {
        this->times.record("reading", seconds(60));
    }
    for (int i = 0; i < 32; ++i) {
        this->times.record("reading", milliseconds(300));
    }
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == milliseconds(300));
}

TEST(response_times, the_number_of_kinds_is_bounded)
{
    for (int i = 0; i < 5000; ++i) {
        this->times.record("route " + std::to_string(i), seconds(1));
    }
    for (int i = 0; i < 8; ++i) {
        this->times.record("reading", seconds(4));
    }
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == seconds(4));
}
