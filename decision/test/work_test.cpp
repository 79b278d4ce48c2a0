#include "pearhaven/decision/work.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

TEST_GROUP(work_test){};

TEST(work_test, long_prompts_and_long_answers_make_a_reading)
{
    CHECK_TRUE(work_class::lookup == estimate_work(400, 100, {}).kind);
    CHECK_TRUE(work_class::reading == estimate_work(100'000, 100, {}).kind);
    CHECK_TRUE(work_class::reading == estimate_work(400, 2000, {}).kind);
}

TEST(work_test, a_declared_class_is_used_but_the_work_is_estimated)
{
    const auto declared = estimate_work(400'000, 2000, work_class::lookup);
    CHECK_TRUE(work_class::lookup == declared.kind);
    DOUBLES_EQUAL(12'000.0, declared.tokens, 1e-9);
}

TEST(work_test, an_answer_without_a_limit_has_the_default_length_of_its_class)
{
    CHECK_TRUE(estimate_work(400, 0, work_class::lookup).tokens <
               estimate_work(400, 0, work_class::reading).tokens);
}

TEST(work_test, a_prompt_token_counts_for_less_than_a_generated_one)
{
    DOUBLES_EQUAL(200.0, measured_work(1000, 100), 1e-9);
}
