#include "cold_start.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

// Time after the cold period in which the rate is limited still, and its factor there.
constexpr duration warm_up_time = std::chrono::seconds(2);
constexpr double warm_up_factor = 4.0;

double seconds_in(duration time)
{
    return std::max(0.0, std::chrono::duration<double>(time).count());
}

} // namespace

void cold_start::begin(instant from, duration time)
{
    if (time <= duration::zero()) {
        return;
    }
    if (from >= this->until) {
        this->since = from;
        this->last_turn = 0.0;
    }
    this->until = std::max(this->until, from + time);
}

void cold_start::on_started(const cold_share& share, instant now)
{
    if (this->is_limited(now)) {
        this->last_turn = std::floor(this->turns(share, now));
    }
}

bool cold_start::may_send(const cold_share& share, instant now) const
{
    if (share.rate <= 0.0 || !this->is_limited(now)) {
        return true;
    }
    const double turn = this->turns(share, now);
    const double in_turn = (turn - std::floor(turn)) * static_cast<double>(share.place.size);
    return std::floor(turn) > this->last_turn &&
           in_turn <= usable_part_of_rate * share.rate * seconds_in(turn_lifetime);
}

// Number of this router's turns that have begun, with the part of the present one that is over.
double cold_start::turns(const cold_share& share, instant now) const
{
    const double cold = seconds_in(std::min(now, this->until) - this->since);
    const double warm = seconds_in(now - this->until);
    const double by_all = usable_part_of_rate * share.rate * (cold + warm_up_factor * warm);
    return by_all / static_cast<double>(share.place.size) + 1.0 - turn_phase(share.place);
}

bool cold_start::is_limited(instant now) const
{
    return this->until != instant{} && now < this->until + warm_up_time;
}

} // namespace pearhaven::decision
