#include "pearhaven/decision/speed_reference.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;

TEST_GROUP(speed_reference){};

TEST(speed_reference, has_no_result_before_enough_samples)
{
    speed_reference reference;
    reference.learn("model", 0, milliseconds(100));
    CHECK_FALSE(reference.is_slow("model", 0, milliseconds(900)).has_value());
    CHECK_FALSE(reference.is_slow("other", 0, milliseconds(900)).has_value());
}

TEST(speed_reference, converges_to_the_quantile_of_four_in_five_answers)
{
    speed_reference reference;
    for (int i = 0; i < 2000; ++i) {
        reference.learn("model", 0, milliseconds(10 + (i * 370) % 1000));
    }
    CHECK_FALSE(*reference.is_slow("model", 0, milliseconds(600)));
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(980)));
}

TEST(speed_reference, keeps_sizes_separate)
{
    speed_reference reference;
    for (int i = 0; i < 50; ++i) {
        reference.learn("model", 0, milliseconds(10));
        reference.learn("model", 2, milliseconds(1000));
    }
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(100)));
    CHECK_FALSE(*reference.is_slow("model", 2, milliseconds(100)));
}

// Both versions answer within a millisecond, but the new one's connections are new.
TEST(speed_reference, ignores_differences_of_a_few_milliseconds)
{
    speed_reference reference;
    for (int i = 0; i < 50; ++i) {
        reference.learn("model", 0, milliseconds(1));
    }
    CHECK_FALSE(*reference.is_slow("model", 0, milliseconds(6)));
    CHECK_TRUE(*reference.is_slow("model", 0, milliseconds(30)));
}

// Settings for a stream's pace: relative to the median of the model's streams, with a margin for a
// full endpoint.
TEST(speed_reference, uses_the_configured_share_and_factor)
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
