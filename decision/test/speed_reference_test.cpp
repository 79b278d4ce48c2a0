#include "pearhaven/decision/speed_reference.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;

TEST_GROUP(speed_reference){};

TEST(speed_reference, says_nothing_before_it_has_seen_enough)
{
    speed_reference reference;
    reference.learn("model", 0, milliseconds(100));
    CHECK_FALSE(reference.is_slow("model", 0, milliseconds(900)).has_value());
    CHECK_FALSE(reference.is_slow("other", 0, milliseconds(900)).has_value());
}

TEST(speed_reference, lies_where_four_of_five_answers_are_quicker)
{
    speed_reference reference;
    for (int i = 0; i < 2000; ++i) {
        reference.learn("model", 0, milliseconds(10 + (i * 370) % 1000));
    }
    CHECK_FALSE(*reference.is_slow("model", 0, milliseconds(600)));
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(980)));
}

TEST(speed_reference, keeps_sizes_apart)
{
    speed_reference reference;
    for (int i = 0; i < 50; ++i) {
        reference.learn("model", 0, milliseconds(10));
        reference.learn("model", 2, milliseconds(1000));
    }
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(100)));
    CHECK_FALSE(*reference.is_slow("model", 2, milliseconds(100)));
}

// Both versions answer within a millisecond, and the new one's connections are new.
TEST(speed_reference, differences_of_a_few_milliseconds_say_nothing)
{
    speed_reference reference;
    for (int i = 0; i < 50; ++i) {
        reference.learn("model", 0, milliseconds(1));
    }
    CHECK_FALSE(*reference.is_slow("model", 0, milliseconds(6)));
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(30)));
}

// A pace is judged against the middle one of the model's streams, with room for a full endpoint.
TEST(speed_reference, follows_the_share_and_the_factor_that_it_is_given)
{
    speed_reference_settings settings;
    settings.share_within = 0.5;
    settings.factor = 2.0;
    settings.noise = milliseconds(5);
    speed_reference reference(settings);
    for (int i = 0; i < 2000; ++i) {
        reference.learn("model", 0, milliseconds(10 + (i * 7) % 21));
    }
    CHECK_FALSE(*reference.is_slow("model", 0, milliseconds(35)));
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(60)));
}
