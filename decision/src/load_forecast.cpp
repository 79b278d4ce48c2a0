#include "pearhaven/decision/load_forecast.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace pearhaven::decision {

namespace {

// Smoothing factor: weight of the newest sample in a mean.
constexpr double newest_weight = 0.2;

// Kinds come and go with the routes of each configuration for as long as the process runs.
constexpr std::size_t max_means = 1024;

void add(double& mean, double sample)
{
    mean += newest_weight * (sample - mean);
}

} // namespace

void load_forecast::on_first_piece(const std::string& kind, std::uint32_t size, duration observed,
                                   duration backlog, instant now)
{
    const auto forecast = this->first_piece(kind, size, backlog, now);
    const auto own_part = static_cast<double>((observed - backlog).count());
    if (this->own_parts.size() >= max_means && this->own_parts.count({kind, size}) == 0) {
        this->own_parts.clear();
    }
    auto& known = this->own_parts[{kind, size}];
    if (!forecast) {
        known = {own_part, now};
        return;
    }
    const auto difference = std::abs(static_cast<double>((observed - *forecast).count()));
    add(this->errors.try_emplace(size, difference).first->second, difference);
    add(known.microseconds, own_part);
    known.newest = now;
}

std::optional<duration> load_forecast::first_piece(const std::string& kind, std::uint32_t size,
                                                   duration backlog, instant now) const
{
    const auto found = this->own_parts.find({kind, size});
    if (found == this->own_parts.end() || now - found->second.newest > sample_lifetime) {
        return std::nullopt;
    }
    const duration own_part(std::llround(found->second.microseconds));
    return std::max(duration::zero(), own_part + backlog);
}

duration load_forecast::error(std::uint32_t size) const
{
    const auto found = this->errors.find(size);
    return found == this->errors.end() ? duration::zero() : duration(std::llround(found->second));
}

} // namespace pearhaven::decision
