#include "rater.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

namespace {

constexpr int requests = 2000;

rated_answer answer_to(int request, const std::string& version)
{
    return {"request-" + std::to_string(request), version, "fine"};
}

} // namespace

TEST_GROUP(rater)
{
    const std::string quality = "small=0.7,big=0.95";
};

TEST(rater, rates_an_answer_with_a_marked_token_bad)
{
    CHECK_FALSE(is_good({"q", "big", "fine BADfine fine"}, ""));
    CHECK_TRUE(is_good({"q", "big", "fine"}, ""));
}

TEST(rater, rates_the_configured_share_of_a_versions_answers_good)
{
    int good = 0;
    for (int request = 0; request < requests; ++request) {
        good += is_good(answer_to(request, "small"), quality) ? 1 : 0;
    }
    DOUBLES_EQUAL(0.7, static_cast<double>(good) / requests, 0.04);
}

TEST(rater, rates_the_better_version_good_wherever_the_worse_one_is)
{
    for (int request = 0; request < requests; ++request) {
        const bool small = is_good(answer_to(request, "small"), quality);
        CHECK_TRUE(!small || is_good(answer_to(request, "big"), quality));
    }
}

TEST(rater, gives_no_rating_for_the_share_of_gaps)
{
    rating_settings settings;
    settings.gaps = 0.25;
    int missing = 0;
    for (int request = 0; request < requests; ++request) {
        missing += rate(answer_to(request, "big"), settings) ? 0 : 1;
    }
    DOUBLES_EQUAL(0.25, static_cast<double>(missing) / requests, 0.04);
}

TEST(rater, inverts_the_share_of_noise)
{
    rating_settings settings;
    settings.noise = 0.1;
    int wrong = 0;
    for (int request = 0; request < requests; ++request) {
        wrong += *rate(answer_to(request, "big"), settings) ? 0 : 1;
    }
    DOUBLES_EQUAL(0.1, static_cast<double>(wrong) / requests, 0.03);
}
