#include "pearhaven/decision/response_times.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(answer_lengths)
{
    pearhaven::decision::answer_lengths known;

    void teardown() override
    {
        this->known = {};
    }
};

TEST(answer_lengths, nothing_is_said_before_eight_answers)
{
    for (int i = 0; i < 7; ++i) {
        this->known.learn("reading", seconds(4));
    }
    CHECK_FALSE(this->known.usual("reading").has_value());
    this->known.learn("reading", seconds(4));
    CHECK_TRUE(this->known.usual("reading") == seconds(4));
    CHECK_FALSE(this->known.usual("lookup").has_value());
}

TEST(answer_lengths, nine_of_ten_keep_to_what_is_said)
{
    for (int i = 1; i <= 20; ++i) {
        this->known.learn("reading", seconds(i));
    }
    CHECK_TRUE(this->known.usual("reading") == seconds(19));
}

// One answer took far longer than the others, for its caller read it slowly. It must not keep a
// stopping router from taking the others' like.
TEST(answer_lengths, an_odd_answer_is_forgotten)
{
    for (int i = 0; i < 4; ++i) {
        this->known.learn("reading", seconds(60));
    }
    for (int i = 0; i < 32; ++i) {
        this->known.learn("reading", milliseconds(300));
    }
    CHECK_TRUE(this->known.usual("reading") == milliseconds(300));
}

TEST(answer_lengths, kinds_that_come_and_go_do_not_fill_the_memory)
{
    for (int i = 0; i < 5000; ++i) {
        this->known.learn("route " + std::to_string(i), seconds(1));
    }
    for (int i = 0; i < 8; ++i) {
        this->known.learn("reading", seconds(4));
    }
    CHECK_TRUE(this->known.usual("reading") == seconds(4));
}
