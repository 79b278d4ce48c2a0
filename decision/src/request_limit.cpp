#include "request_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

// A limit of zero must not keep away the request whose answer would end it.
constexpr double min_rate = 0.05; // requests per second

// Above this a limit makes no difference, and the number of turns stays exact.
constexpr double max_rate = 1e6; // requests per second

double seconds_in(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

bool request_limit::on_answer(std::optional<double> stated, instant sent, instant now,
                              const turn_place& place)
{
    const auto before = this->rate();
    return this->statement.on_answer(stated, sent, now) && this->apply(before, now, place);
}

bool request_limit::on_peer(std::optional<double> stated, instant made_at, instant now,
                            const turn_place& place)
{
    const auto before = this->rate();
    return this->statement.on_peer(stated, made_at) && this->apply(before, now, place);
}

bool request_limit::apply(std::optional<double> before, instant now, const turn_place& place)
{
    const auto stated = this->rate();
    if (stated == before) {
        return false;
    }
    if (!before) {
        this->turns_since = 1.0 - turn_phase(place);
        this->last_turn = 0.0;
    } else {
        this->turns_since = this->turns(now);
    }
    this->since = now;
    this->fleet_size = place.size;
    this->turns_per_s = stated ? usable_part_of_rate * std::clamp(*stated, min_rate, max_rate) /
                                     static_cast<double>(place.size)
                               : 0.0;
    return true;
}

// The turns go on from where they are: recomputed from the beginning, all routers' turns would
// begin at the moment of the change.
void request_limit::set_fleet_size(std::size_t size, instant now)
{
    if (!this->rate() || size == this->fleet_size) {
        return;
    }
    this->turns_since = this->turns(now);
    this->since = now;
    this->turns_per_s *= static_cast<double>(this->fleet_size) / static_cast<double>(size);
    this->fleet_size = size;
}

void request_limit::on_started(instant now)
{
    if (this->rate()) {
        this->last_turn = std::floor(this->turns(now));
    }
}

instant request_limit::opens_at(instant now) const
{
    if (!this->rate()) {
        return now;
    }
    const double turn = this->turns(now);
    const double present = std::floor(turn);
    const double began_ago = (turn - present) / this->turns_per_s;
    if (present > this->last_turn && began_ago <= seconds_in(turn_lifetime)) {
        return now;
    }
    return now + to_duration((present + 1.0 - turn) / this->turns_per_s);
}

double request_limit::turns(instant now) const
{
    return this->turns_since + this->turns_per_s * seconds_in(now - this->since);
}

} // namespace pearhaven::decision
