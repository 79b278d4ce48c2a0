#include "load_estimate.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

constexpr duration slice_length = std::chrono::milliseconds(50);

std::int64_t slice_number(instant at)
{
    return at.time_since_epoch() / slice_length;
}

} // namespace

void load_estimate::on_started(instant now)
{
    ++this->slice_at(now).started;
}

void load_estimate::on_ended(instant now)
{
    ++this->slice_at(now).ended;
}

void load_estimate::on_report(const load_report& report, instant now)
{
    const instant moment = now - report.age;
    if (this->described && moment < *this->described) {
        return;
    }
    this->last = report;
    this->described = moment;
}

std::optional<double> load_estimate::held(instant now, duration lifetime) const
{
    const duration longest = slice_length * static_cast<std::int64_t>(ring_size - 1);
    if (!this->described || now - *this->described > std::min(lifetime, longest)) {
        return std::nullopt;
    }
    // In the slice that contains the measurement, starts count and ends do not: an estimate that is
    // too high causes a detour, one that is too low causes queueing at the endpoint.
    const std::int64_t first = slice_number(*this->described);
    const std::int64_t present = slice_number(now);
    double total = this->last.running + this->last.queued;
    for (const slice& part : this->ring) {
        if (part.number >= first && part.number <= present) {
            total += part.started;
            total -= part.number > first ? part.ended : 0U;
        }
    }
    return std::max(total, 0.0);
}

load_estimate::slice& load_estimate::slice_at(instant now)
{
    const std::int64_t number = slice_number(now);
    slice& part = this->ring.at(static_cast<std::size_t>(number) % ring_size);
    if (part.number != number) {
        part = {number, 0, 0};
    }
    return part;
}

} // namespace pearhaven::decision
