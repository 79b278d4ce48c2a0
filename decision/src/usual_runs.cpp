#include "pearhaven/decision/usual_runs.hpp"

#include <chrono>
#include <cstddef>

namespace pearhaven::decision {

namespace {

// Weight of the newest sample in a mean.
constexpr double sample_weight = 0.2;

// Kinds come and go with the routes of each configuration for as long as the process runs.
constexpr std::size_t max_kinds = 1024;

void add_sample(std::optional<double>& mean, double sample)
{
    mean = mean ? *mean + sample_weight * (sample - *mean) : sample;
}

} // namespace

usual_runs::means& usual_runs::of(const std::string& kind)
{
    if (this->kinds.size() >= max_kinds && this->kinds.count(kind) == 0) {
        this->kinds.clear();
    }
    return this->kinds[kind];
}

void usual_runs::on_request(const std::string& kind, double work_ms)
{
    add_sample(this->of(kind).work_ms, work_ms);
}

void usual_runs::on_answer(const std::string& kind, double answer_ms, duration time)
{
    if (answer_ms > 0.0) {
        const std::chrono::duration<double, std::milli> taken = time;
        add_sample(this->of(kind).answer_pace, taken.count() / answer_ms);
    }
}

std::optional<double> usual_runs::work_ms(const std::string& kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? std::nullopt : found->second.work_ms;
}

std::optional<double> usual_runs::answer_pace(const std::string& kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? std::nullopt : found->second.answer_pace;
}

} // namespace pearhaven::decision
