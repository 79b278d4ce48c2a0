#include "pearhaven/decision/size_choice.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

// Times to the first piece of a larger run, as multiples of the time left to the objective, between
// which the required confidence falls to zero. A larger run that is still in time is worth more to
// its caller than a doubtful answer; one that takes twice the time left mostly delays others.
constexpr double timely_part = 1.0;
constexpr double late_part = 2.0;

double required_confidence(const size_question& question, const size_choice_settings& settings)
{
    const double configured =
        settings.min_confidence - settings.confidence_step * question.priority;
    if (!question.larger_run || question.objective <= duration::zero()) {
        return configured;
    }
    const auto left = static_cast<double>((question.objective - question.waited).count());
    if (left <= 0.0) {
        return std::min(configured, 0.0);
    }
    const double part = static_cast<double>(question.larger_run->count()) / left;
    return configured * std::clamp((late_part - part) / (late_part - timely_part), 0.0, 1.0);
}

} // namespace

std::uint32_t first_size(std::uint32_t sizes, const size_choice_settings& settings)
{
    if (sizes < 2 || settings.tries_smallest) {
        return 0;
    }
    return sizes - 1;
}

std::uint32_t single_run_size(const size_question& question, const size_choice_settings& settings)
{
    if (question.sizes < 2) {
        return 0;
    }
    const bool accepts_any =
        settings.tries_smallest && required_confidence(question, settings) <= 0.0;
    return accepts_any ? 0 : question.sizes - 1;
}

std::uint32_t next_size(const size_question& question, const size_choice_settings& settings)
{
    if (question.size + 1 >= question.sizes ||
        question.confidence >= required_confidence(question, settings)) {
        return question.size;
    }
    const auto latest = static_cast<double>(question.objective.count()) * settings.latest_change;
    const bool too_late = question.objective > duration::zero() &&
                          static_cast<double>(question.waited.count()) > latest;
    return too_late ? question.size : question.sizes - 1;
}

} // namespace pearhaven::decision
