#include "pearhaven/decision/size_choice.hpp"

namespace pearhaven::decision {

std::uint32_t first_size(std::uint32_t sizes, const size_choice_settings& settings)
{
    if (sizes < 2 || settings.tries_smallest) {
        return 0;
    }
    return sizes - 1;
}

std::uint32_t next_size(const size_question& question, const size_choice_settings& settings)
{
    const double threshold = settings.min_confidence - settings.confidence_step * question.priority;
    if (question.size + 1 >= question.sizes || question.confidence >= threshold) {
        return question.size;
    }
    const auto latest = static_cast<double>(question.objective.count()) * settings.latest_change;
    const bool too_late = question.objective > duration::zero() &&
                          static_cast<double>(question.waited.count()) > latest;
    return too_late ? question.size : question.sizes - 1;
}

} // namespace pearhaven::decision
