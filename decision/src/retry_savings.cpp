#include "pearhaven/decision/retry_savings.hpp"

namespace pearhaven::decision {

void retry_savings::on_admitted(instant now)
{
    const auto number = slice_number(now);
    auto& current = this->ring.at(static_cast<std::size_t>(number) % ring_size);
    if (current.number != number) {
        current = {number, 0};
    }
    ++current.admitted;
}

double retry_savings::extra(instant now) const
{
    const auto present = slice_number(now);
    const auto oldest = present - static_cast<std::int64_t>(ring_size) + 1;
    double admitted = 0.0;
    for (const auto& one : this->ring) {
        admitted += one.number >= oldest && one.number <= present ? one.admitted : 0.0;
    }
    return this->share * admitted;
}

double burst_with_savings(double part_of_burst, double extra)
{
    if (part_of_burst > 0.0) {
        return part_of_burst + extra;
    }
    return extra >= 1.0 ? extra : 0.0;
}

} // namespace pearhaven::decision
