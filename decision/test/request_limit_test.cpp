#include "request_limit.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};

} // namespace

TEST_GROUP(request_limit){};

TEST(request_limit, the_last_stated_rate_applies)
{
    request_limit limit;
    CHECK_FALSE(limit.rate().has_value());
    CHECK_TRUE(limit.on_answer(2.0, start, start + milliseconds(10)));
    CHECK_FALSE(limit.on_answer(2.0, start, start + milliseconds(20)));
    CHECK_TRUE(limit.on_answer(1.5, start, start + milliseconds(30)));
    CHECK_TRUE(limit.rate() == 1.5);
}

// Guards against an answer that was made before the limit and overtaken by one with the limit.
TEST(request_limit, a_limit_ends_with_the_answer_to_a_later_request)
{
    request_limit limit;
    limit.on_answer(2.0, start, start + seconds(1));
    CHECK_FALSE(limit.on_answer(std::nullopt, start + milliseconds(900), start + seconds(2)));
    CHECK_TRUE(limit.rate() == 2.0);
    CHECK_TRUE(limit.on_answer(std::nullopt, start + seconds(2), start + seconds(3)));
    CHECK_FALSE(limit.rate().has_value());
}
