#include "rate_limit.hpp"
#include "test_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

TEST_GROUP(rate_limit){};

TEST(rate_limit, admits_a_burst_and_then_the_configured_rate)
{
    rate_limit limit(1, 2);
    CHECK_TRUE(limit.take(at_ms(0)));
    CHECK_TRUE(limit.take(at_ms(0)));
    CHECK_FALSE(limit.take(at_ms(999)));
    CHECK_TRUE(limit.take(at_ms(1000)));
    CHECK_FALSE(limit.take(at_ms(1000)));
}
