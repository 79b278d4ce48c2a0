#include "pearhaven/decision/rollout_evidence.hpp"

#include <rapidcheck.h>

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

run_counts counts(std::uint64_t good, std::uint64_t bad)
{
    return {good, bad};
}

} // namespace

TEST_GROUP(load_counts){};

TEST(load_counts, a_level_is_an_eighth_of_the_slots)
{
    LONGS_EQUAL(0, load_level(0.0));
    LONGS_EQUAL(3, load_level(0.46));
    LONGS_EQUAL(4, load_level(0.5));
    LONGS_EQUAL(7, load_level(1.0));
    LONGS_EQUAL(7, load_level(40.0)); // by outdated reports of peers
}

TEST(load_counts, counts_from_a_level_exclude_lower_levels)
{
    load_counts seen{};
    seen.at(2) = counts(30, 0);
    seen.at(3) = counts(4, 1);
    seen.at(7) = counts(1, 2);
    CHECK_TRUE(counts(5, 3) == counts_from(seen, 3));
    CHECK_TRUE(counts(1, 2) == counts_from(seen, 4));
}

TEST_GROUP(rollout_evidence_test)
{
    sequential_test test{error_guard{}};
};

TEST(rollout_evidence_test, thresholds_follow_walds_formulas)
{
    DOUBLES_EQUAL(std::log(0.99 / 0.01), test.rejects_from(), 1e-9);
    DOUBLES_EQUAL(std::log(0.01 / 0.99), test.accepts_from(), 1e-9);
    DOUBLES_EQUAL(std::log(0.05 / 0.01), test.step_of(false), 1e-9);
    DOUBLES_EQUAL(std::log(0.95 / 0.99), test.step_of(true), 1e-9);
}

// Calculated by hand: log 99 / log 5 = 2.86 errors reject, log 99 / log(99/95) = 111.4 good results
// accept.
TEST(rollout_evidence_test, three_errors_reject_and_112_good_results_accept)
{
    CHECK_TRUE(test.judge(counts(0, 2)) == test_verdict::open);
    CHECK_TRUE(test.judge(counts(0, 3)) == test_verdict::rejected);
    CHECK_TRUE(test.judge(counts(111, 0)) == test_verdict::open);
    CHECK_TRUE(test.judge(counts(112, 0)) == test_verdict::accepted);
}

TEST(rollout_evidence_test, good_results_delay_a_rejection_while_they_outweigh_an_error)
{
    CHECK_TRUE(test.judge(counts(10, 3)) == test_verdict::open);
    CHECK_TRUE(test.judge(counts(10, 4)) == test_verdict::rejected);
}

// Tests versions at the base rate and at the bad rate with a pseudo-random sequence. Wald's bounds
// apply to the sum of both errors; the limits allow for the variance of 400 trials.
TEST(rollout_evidence_test, error_probabilities_stay_within_their_configured_bounds)
{
    const auto wrong_verdicts = [this](double rate, test_verdict wrong) {
        std::uint64_t state = 7;
        int count = 0;
        for (int trial = 0; trial < 400; ++trial) {
            run_counts seen;
            while (test.judge(seen) == test_verdict::open) {
                state = state * 6364136223846793005ULL + 1442695040888963407ULL;
                const double drawn = static_cast<double>(state >> 11U) * 0x1.0p-53;
                ++(drawn < rate ? seen.bad : seen.good);
            }
            count += test.judge(seen) == wrong ? 1 : 0;
        }
        return count;
    };
    CHECK_TRUE(wrong_verdicts(0.01, test_verdict::rejected) <= 12);
    CHECK_TRUE(wrong_verdicts(0.05, test_verdict::accepted) <= 12);
}

// A version runs well for a million answers and then always fails. A test over all of its answers
// would need thousands of failures; the CUSUM test needs as many as for a new version.
TEST(rollout_evidence_test, a_cusum_test_trips_as_soon_after_many_good_results_as_without_any)
{
    const auto errors_until_tripped = [this](int good) {
        cusum_test cusum;
        for (int i = 0; i < good; ++i) {
            cusum.on_end(test, true);
        }
        int errors = 0;
        while (!cusum.is_tripped()) {
            cusum.on_end(test, false);
            ++errors;
        }
        return errors;
    };
    LONGS_EQUAL(13, errors_until_tripped(0));
    LONGS_EQUAL(13, errors_until_tripped(1'000'000));
}

TEST(rollout_evidence_test, more_errors_never_lower_the_log_ratio)
{
    const bool held = rc::check("more errors, no lower ratio", [this] {
        const auto good = *rc::gen::inRange<std::uint64_t>(0, 5000);
        const auto bad = *rc::gen::inRange<std::uint64_t>(0, 500);
        RC_ASSERT(test.log_ratio(counts(good, bad + 1)) > test.log_ratio(counts(good, bad)));
        RC_ASSERT(test.log_ratio(counts(good + 1, bad)) < test.log_ratio(counts(good, bad)));
    });
    CHECK_TRUE(held);
}
