#include "pearhaven/decision/size_choice.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

// Part of the time left to the objective that a larger run may take without any reduction of the
// required confidence.
constexpr double unhurried_part = 0.5;

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
    return configured * std::clamp((1.0 - part) / (1.0 - unhurried_part), 0.0, 1.0);
}

} // namespace

std::uint32_t first_size(std::uint32_t sizes, const size_choice_settings& settings)
{
    if (sizes < 2 || settings.tries_smallest) {
        return 0;
    }
    return sizes - 1;
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
