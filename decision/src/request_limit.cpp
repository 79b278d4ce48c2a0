#include "request_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

// A limit of zero must not keep away the request whose answer would end it.
constexpr double min_rate = 0.05; // requests per second

// Above this a limit makes no difference, and the number of turns stays exact.
constexpr double max_rate = 1e6; // requests per second

// How long peers are told that a limit has ended. It takes a few reports to reach all routers.
constexpr duration end_report_time = std::chrono::seconds(10);

// A statement that returns from a peer seems newer than it is by the time for which it was under
// way. Newer ones of the same rate are ignored up to that time, or it would never age.
constexpr duration max_report_delay = std::chrono::milliseconds(500);

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
    // An answer without a limit may be older than one with a limit that arrived before it, but not
    // than its own request.
    const auto made_at = stated ? now : sent;
    if (made_at <= this->stated_at || (!stated && !this->current)) {
        return false;
    }
    this->stated_at = made_at;
    return this->apply(stated, now, place);
}

void request_limit::on_peer(std::optional<double> stated, instant made_at, instant now,
                            const turn_place& place)
{
    const auto newest =
        stated == this->current ? this->stated_at + max_report_delay : this->stated_at;
    if (made_at <= newest || (!stated && !this->current)) {
        return;
    }
    this->stated_at = made_at;
    this->apply(stated, now, place);
}

bool request_limit::apply(std::optional<double> stated, instant now, const turn_place& place)
{
    if (stated == this->current) {
        return false;
    }
    if (!this->current) {
        this->turns_since = 1.0 - turn_phase(place);
        this->last_turn = 0.0;
    } else {
        this->turns_since = this->turns(now);
    }
    this->since = now;
    this->fleet_size = place.size;
    this->current = stated;
    this->turns_per_s = stated ? usable_part_of_rate * std::clamp(*stated, min_rate, max_rate) /
                                     static_cast<double>(place.size)
                               : 0.0;
    return true;
}

// The turns go on from where they are: recomputed from the beginning, all routers' turns would
// begin at the moment of the change.
void request_limit::set_fleet_size(std::size_t size, instant now)
{
    if (!this->current || size == this->fleet_size) {
        return;
    }
    this->turns_since = this->turns(now);
    this->since = now;
    this->turns_per_s *= static_cast<double>(this->fleet_size) / static_cast<double>(size);
    this->fleet_size = size;
}

void request_limit::on_started(instant now)
{
    if (this->current) {
        this->last_turn = std::floor(this->turns(now));
    }
}

instant request_limit::opens_at(instant now) const
{
    if (!this->current) {
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

std::optional<limit_report> request_limit::report(instant now) const
{
    const bool is_known = this->stated_at != instant{};
    if (!is_known || (!this->current && now - this->stated_at > end_report_time)) {
        return std::nullopt;
    }
    return limit_report{this->current, now - this->stated_at};
}

double request_limit::turns(instant now) const
{
    return this->turns_since + this->turns_per_s * seconds_in(now - this->since);
}

} // namespace pearhaven::decision
