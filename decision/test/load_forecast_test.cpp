#include "pearhaven/decision/load_forecast.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant now{seconds(100)};

} // namespace

TEST_GROUP(load_forecast_test)
{
    load_forecast forecast;

    void learn(duration observed, duration backlog, instant at = now)
    {
        this->forecast.on_first_piece("chat", 2, observed, backlog, at);
    }

    [[nodiscard]] std::optional<duration> first_piece(duration backlog, instant at = now) const
    {
        return this->forecast.first_piece("chat", 2, backlog, at);
    }
};

// Guards against a forecast that is taken from another kind or size.
TEST(load_forecast_test, there_is_no_forecast_without_samples_of_the_kind_and_size)
{
    CHECK_FALSE(this->first_piece(seconds(1)).has_value());
    this->learn(milliseconds(300), duration::zero());
    CHECK_FALSE(this->forecast.first_piece("chat", 0, seconds(1), now).has_value());
    CHECK_FALSE(this->forecast.first_piece("mail", 2, seconds(1), now).has_value());
    CHECK_TRUE(this->first_piece(seconds(1)).has_value());
}

// Guards against forecasts of a calm fleet that are used for a busy one, and the other way round.
TEST(load_forecast_test, it_follows_the_backlog)
{
    this->learn(milliseconds(500), milliseconds(200));
    CHECK_TRUE(this->first_piece(milliseconds(200)) == milliseconds(500));
    CHECK_TRUE(this->first_piece(seconds(2)) == milliseconds(2300));
    this->learn(milliseconds(1000), milliseconds(200));
    CHECK_TRUE(this->first_piece(milliseconds(200)) == milliseconds(600));
    this->learn(milliseconds(100), seconds(5), now + seconds(20));
    CHECK_TRUE(this->first_piece(duration::zero(), now + seconds(20)) == duration::zero());
}

// Guards against larger runs that are never tried again because their time was learned under load.
TEST(load_forecast_test, old_samples_are_forgotten)
{
    this->learn(seconds(9), duration::zero());
    const auto later = now + load_forecast::sample_lifetime + milliseconds(1);
    CHECK_FALSE(this->first_piece(duration::zero(), later).has_value());
    this->learn(seconds(1), duration::zero(), later);
    CHECK_TRUE(this->first_piece(duration::zero(), later) == seconds(1));
}

// Guards against an error that mixes sizes or counts samples for which there was no forecast.
TEST(load_forecast_test, the_error_is_the_mean_difference_from_the_forecast)
{
    this->learn(milliseconds(500), duration::zero());
    CHECK_TRUE(this->forecast.error(2) == duration::zero());
    this->learn(milliseconds(700), duration::zero());
    CHECK_TRUE(this->forecast.error(2) == milliseconds(200));
    this->learn(milliseconds(540), duration::zero());
    CHECK_TRUE(this->forecast.error(2) == milliseconds(160));
    CHECK_TRUE(this->forecast.error(0) == duration::zero());
}
