#include "pace_meter.hpp"

#include <algorithm>

namespace pearhaven::router {

namespace {

// Number of gaps whose median is the pace. Usually fewer than half of them are stretched by another
// caller's prompt. More gaps would delay the verdict on a rollout.
constexpr std::size_t sample_gaps = 8;

// Minimum number of gaps for a stream that ended earlier.
constexpr std::size_t min_gaps = 3;

} // namespace

std::optional<decision::duration> pace_meter::on_piece(decision::instant now)
{
    if (this->reported) {
        return std::nullopt;
    }
    if (this->last) {
        this->gaps.push_back(now - *this->last);
    }
    this->last = now;
    return this->gaps.size() < sample_gaps ? std::nullopt : this->report();
}

std::optional<decision::duration> pace_meter::at_end()
{
    return this->reported || this->gaps.size() < min_gaps ? std::nullopt : this->report();
}

std::optional<decision::duration> pace_meter::report()
{
    this->reported = true;
    const auto middle = this->gaps.begin() + static_cast<std::ptrdiff_t>(this->gaps.size() / 2);
    std::nth_element(this->gaps.begin(), middle, this->gaps.end());
    return *middle;
}

} // namespace pearhaven::router
