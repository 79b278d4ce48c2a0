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

TEST(response_times, nothing_is_said_before_eight_answers)
{
    for (int i = 0; i < 7; ++i) {
        this->times.record("reading", seconds(4));
    }
    CHECK_FALSE(this->times.ninetieth_percentile("reading").has_value());
    this->times.record("reading", seconds(4));
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == seconds(4));
    CHECK_FALSE(this->times.ninetieth_percentile("lookup").has_value());
}

TEST(response_times, nine_of_ten_keep_to_what_is_said)
{
    for (int i = 1; i <= 20; ++i) {
        this->times.record("reading", seconds(i));
    }
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == seconds(19));
}

// One answer took far longer than the others, for its caller read it slowly. It must not keep a
// stopping router from taking the others' like.
TEST(response_times, an_odd_answer_is_forgotten)
{
    for (int i = 0; i < 4; ++i) {
        this->times.record("reading", seconds(60));
    }
    for (int i = 0; i < 32; ++i) {
        this->times.record("reading", milliseconds(300));
    }
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == milliseconds(300));
}

TEST(response_times, kinds_that_come_and_go_do_not_fill_the_memory)
{
    for (int i = 0; i < 5000; ++i) {
        this->times.record("route " + std::to_string(i), seconds(1));
    }
    for (int i = 0; i < 8; ++i) {
        this->times.record("reading", seconds(4));
    }
    CHECK_TRUE(this->times.ninetieth_percentile("reading") == seconds(4));
}
