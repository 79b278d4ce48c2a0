#include "pearhaven/decision/response_times.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

constexpr std::size_t min_samples = 8;

// Kinds come and go with the routes of each configuration for as long as the process runs. A
// dropped kind is available again after eight answers.
constexpr std::size_t max_kinds = 1024;

} // namespace

void response_times::record(const std::string& kind, duration time)
{
    if (this->kinds.size() >= max_kinds && this->kinds.count(kind) == 0) {
        this->kinds.clear();
    }
    auto& times = this->kinds[kind];
    times.samples[times.recorded % max_samples] = time;
    ++times.recorded;
}

std::optional<duration> response_times::ninetieth_percentile(const std::string& kind) const
{
    const auto times = this->kinds.find(kind);
    if (times == this->kinds.end() || times->second.recorded < min_samples) {
        return std::nullopt;
    }
    auto samples = times->second.samples;
    const auto count = std::min(times->second.recorded, max_samples);
    const auto rank = count * 9 / 10;
    const auto end = samples.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank), end);
    return samples[rank];
}

std::optional<duration> response_times::longest(const std::string& kind) const
{
    const auto times = this->kinds.find(kind);
    if (times == this->kinds.end()) {
        return std::nullopt;
    }
    const auto& samples = times->second.samples;
    const auto count = std::min(times->second.recorded, max_samples);
    return *std::max_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace pearhaven::decision
