#include "pearhaven/decision/size_choice.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

TEST_GROUP(size_choice)
{
    size_choice_settings settings;
    size_question question{3, 0, 0, 20.0, std::chrono::milliseconds(100), std::chrono::seconds(3)};
};

TEST(size_choice, the_smallest_model_is_tried_first)
{
    CHECK_EQUAL(0U, first_size(3, this->settings));
    this->settings.tries_smallest = false;
    CHECK_EQUAL(2U, first_size(3, this->settings));
    CHECK_EQUAL(0U, first_size(1, this->settings));
}

// Guards against an answer of the smallest model where a low confidence cannot be followed by
// another run.
TEST(size_choice, a_single_run_uses_the_largest_model_unless_its_answer_would_begin_late)
{
    CHECK_EQUAL(2U, single_run_size(this->question, this->settings));
    this->question.larger_run = std::chrono::milliseconds(2900);
    CHECK_EQUAL(2U, single_run_size(this->question, this->settings));
    this->question.larger_run = std::chrono::milliseconds(5800);
    CHECK_EQUAL(0U, single_run_size(this->question, this->settings));
}

TEST(size_choice, a_single_run_uses_the_smallest_model_where_any_of_its_answers_is_accepted)
{
    this->settings.confidence_step = 25.0;
    this->question.priority = 1;
    CHECK_EQUAL(2U, single_run_size(this->question, this->settings));
    this->question.priority = 2;
    CHECK_EQUAL(0U, single_run_size(this->question, this->settings));
    this->settings.tries_smallest = false;
    CHECK_EQUAL(2U, single_run_size(this->question, this->settings));
    this->question.sizes = 0;
    CHECK_EQUAL(0U, single_run_size(this->question, this->settings));
}

TEST(size_choice, a_low_confidence_answer_goes_to_the_largest_model)
{
    CHECK_EQUAL(2U, next_size(this->question, this->settings));
    this->question.confidence = this->settings.min_confidence;
    CHECK_EQUAL(0U, next_size(this->question, this->settings));
}

TEST(size_choice, less_urgent_answers_need_less_confidence)
{
    this->settings.confidence_step = 20.0;
    this->question.priority = 1;
    CHECK_EQUAL(2U, next_size(this->question, this->settings));
    this->question.priority = 2;
    CHECK_EQUAL(0U, next_size(this->question, this->settings));
}

TEST(size_choice, the_largest_models_answer_is_always_delivered)
{
    this->question.size = 2;
    this->question.confidence = 0.0;
    CHECK_EQUAL(2U, next_size(this->question, this->settings));
}

TEST(size_choice, a_low_confidence_answer_is_delivered_when_another_would_be_late)
{
    this->question.waited = std::chrono::milliseconds(2500);
    CHECK_EQUAL(0U, next_size(this->question, this->settings));
    this->question.objective = duration::zero();
    CHECK_EQUAL(2U, next_size(this->question, this->settings));
}

// Guards against second runs that only delay others, and against delivering poor answers while a
// larger run can begin to answer within the objective.
TEST(size_choice, the_required_confidence_falls_as_a_larger_run_takes_longer_than_the_time_left)
{
    const auto is_delivered = [this](double confidence, int forecast_ms) {
        this->question.confidence = confidence;
        this->question.larger_run = std::chrono::milliseconds(forecast_ms);
        return next_size(this->question, this->settings) == 0;
    };
    this->question.waited = std::chrono::seconds(1); // of 3
    CHECK_FALSE(is_delivered(49.0, 2000));
    CHECK_TRUE(is_delivered(26.0, 3000));
    CHECK_FALSE(is_delivered(24.0, 3000));
    CHECK_TRUE(is_delivered(0.0, 4000));
    CHECK_TRUE(is_delivered(0.0, 9000));
    this->question.objective = duration::zero();
    CHECK_FALSE(is_delivered(49.0, 9000));
}
