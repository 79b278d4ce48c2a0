#include "refusal_budget.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

// Part of an endpoint's capacity that is used while it is brittle. The remainder covers routers
// that do not know of each other, and requests that hold a place longer than their router knows.
constexpr double usable_part_of_capacity = 0.8;

// Part of the permitted refusals that is used. Routers that do not know of each other, and several
// requests that are refused at once, use the remainder.
constexpr double usable_part_of_refusals = 0.3;

// How long the most requests that were known at an endpoint are remembered.
constexpr duration peak_lifetime = std::chrono::seconds(2);

// Part of the requests at an endpoint that it still has room for after it has refused one more.
constexpr double room_after_refusal = 0.8;

// How long it takes until a router's reports of its requests have reached the others.
constexpr duration max_report_lag = std::chrono::milliseconds(200);

// Part of the room that is left by a refusal if nobody knows how many requests were there.
constexpr double min_part_left_if_unsure = 0.65;

// How long it takes until an endpoint is trusted with all of its capacity after a refusal.
constexpr duration room_recovery_time = std::chrono::seconds(60);

// Part of the room that is not reserved for single routers.
constexpr double shared_part_of_room = 0.5;

// Callers are not spread evenly over the routers: one may use this many equal shares.
constexpr double max_shares_of_one_router = 2.0;

// Number of routers for each place from which on most of them have no request when a place is
// theirs, and how many shares each may then use until an endpoint refuses.
constexpr double many_routers_per_place = 4.0;
constexpr double shares_of_many_routers = 3.0;
constexpr duration caution_time = std::chrono::seconds(10);

// How long a router's draw for a shared place stays valid. Short, so that each router has its turn
// within most deadlines.
constexpr duration draw_period = std::chrono::milliseconds(200);

// Part of its capacity that an endpoint keeps whatever others of its group refuse: their prompts
// may be longer, or they may be at fault.
constexpr double min_part_of_group_room = 0.25;

// How long endpoints are presumed to be as brittle as others of their group were.
constexpr duration presumption_time = std::chrono::seconds(10);

// An endpoint that survives no refusal at all must not be left unused for ever after one.
constexpr duration max_wait_after_refusal = std::chrono::seconds(10);
constexpr double min_refusals_per_s = 1e-3;

double seconds_in(duration time)
{
    return std::chrono::duration<double>(time).count();
}

// Number of this router's places if each endpoint of the group reserves so many. The routers take
// turns at the places of all endpoints, so that each gets as many as the others, or one more.
std::size_t own_part(std::size_t reserved, const refusal_place& place)
{
    const auto first = place.number_in_group * reserved;
    const auto up_to = [&place](std::size_t end) {
        return (end + place.routers - 1 - place.rank) / place.routers;
    };
    return up_to(first + reserved) - up_to(first);
}

// From 0 (inclusive) to 1 (exclusive), spread evenly over any few periods in a row, over the
// routers of an endpoint and over the endpoints of a router, so that nobody waits long for a high
// draw. The periods are those of the routers' common time: by clocks of their own, many routers
// could draw high at the same moment.
double draw(const refusal_place& place, instant now)
{
    constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15U; // as a fraction of 2^64
    const auto common_time = now.time_since_epoch() + place.clock_offset;
    const auto period = static_cast<std::uint64_t>(common_time / draw_period);
    return unit_fraction((period + place.rank + place.number_in_group) * golden_ratio);
}

} // namespace

void reduced_room::on_refused(double there, double min_part_left, double capacity, instant now)
{
    const double before = this->requests(capacity, now);
    const double seen = std::min(there + 1.0, before) * room_after_refusal;
    this->reduced = std::max({1.0, seen, before * min_part_left});
    this->reduced_at = now;
    this->is_own = true;
}

bool reduced_room::was_reduced_lately(instant now) const
{
    return this->reduced && now - this->reduced_at < caution_time;
}

void reduced_room::on_finished(double there)
{
    if (this->reduced && there >= *this->reduced / 2.0) {
        *this->reduced += 1.0 / *this->reduced;
    }
}

void reduced_room::on_peer(double requests, instant found_at)
{
    if (found_at > this->reduced_at) {
        this->reduced = requests;
        this->reduced_at = found_at;
        this->is_own = false;
    }
}

double reduced_room::requests(double capacity, instant now) const
{
    const double usable = capacity * this->usable_part_of_capacity;
    if (!this->reduced) {
        return usable;
    }
    const double recovered =
        usable * seconds_in(now - this->reduced_at) / seconds_in(room_recovery_time);
    return std::min(usable, *this->reduced + recovered);
}

std::optional<room_report> reduced_room::report(instant now) const
{
    if (!this->is_own || now - this->reduced_at >= room_recovery_time) {
        return std::nullopt;
    }
    return room_report{*this->reduced, now - this->reduced_at};
}

void brittle_group::on_statement(std::optional<double> limit, instant now)
{
    this->stated = limit;
    this->stated_at = now;
}

void brittle_group::on_refused(double there, double min_part_left, double capacity, instant now)
{
    this->shown.on_refused(there, min_part_left, capacity, now);
}

std::optional<double> brittle_group::limit(instant now) const
{
    return now - this->stated_at < presumption_time ? this->stated : std::nullopt;
}

double brittle_group::room(double capacity, instant now) const
{
    return std::max(capacity * min_part_of_group_room, this->shown.requests(capacity, now));
}

void mean_run_time::on_change(double there, instant now)
{
    // The newest runs count most.
    constexpr double max_finished = 64.0;
    if (this->finished >= max_finished) {
        this->finished /= 2.0;
        this->request_seconds /= 2.0;
    }
    if (there > 0.0) {
        this->request_seconds += there * seconds_in(now - this->last_change);
    }
    this->last_change = now;
}

void mean_run_time::on_finished()
{
    this->finished += 1.0;
}

std::optional<duration> mean_run_time::value() const
{
    if (this->finished <= 0.0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(this->request_seconds / this->finished));
}

refusal_budget::refusal_budget() : room(usable_part_of_capacity) {}

bool refusal_budget::on_answer(std::optional<double> stated, instant sent, instant now)
{
    const auto before = this->limit();
    this->has_answered = true;
    return this->statement.on_answer(stated, sent, now) && this->limit() != before;
}

bool refusal_budget::on_peer(std::optional<double> stated, instant made_at)
{
    const auto before = this->limit();
    this->has_answered = true;
    return this->statement.on_peer(stated, made_at) && this->limit() != before;
}

void refusal_budget::on_started(const known_requests& there, instant now)
{
    this->run_time.on_change(there.own - 1.0, now);
    if (now - this->peak_since > peak_lifetime) {
        this->peak = 0.0;
        this->peak_since = now;
    }
    this->peak = std::max(this->peak, there.all);
}

void refusal_budget::on_ended(const known_requests& there, bool finished, instant now)
{
    this->run_time.on_change(there.own, now);
    if (finished) {
        this->run_time.on_finished();
        this->room.on_finished(there.all);
    }
}

void refusal_budget::on_refused(const known_requests& there, double capacity, instant now)
{
    this->room.on_refused(this->there_at_most(there), this->min_part_left_by_refusal(), capacity,
                          now);
    this->before_last_refusal = this->last_refusal;
    this->last_refusal = now;
}

double refusal_budget::there_at_most(const known_requests& there) const
{
    return std::max(there.all, this->peak - 1.0);
}

double refusal_budget::min_part_left_by_refusal() const
{
    return this->knows_load() ? 0.0 : min_part_left_if_unsure;
}

// Where runs are shorter than the lag of the reports, the reports may show a full endpoint as
// empty.
bool refusal_budget::knows_load() const
{
    return this->run_time.value() > max_report_lag;
}

void refusal_budget::on_peer_room(double requests, instant found_at)
{
    this->room.on_peer(requests, found_at);
}

bool refusal_budget::may_be_full(const known_requests& there, double capacity,
                                 const brittle_group& group, instant now) const
{
    const bool is_known = !this->has_answered || this->knows_load() || this->room.is_reduced();
    return is_known && there.all >= this->usable(capacity, group, now);
}

double refusal_budget::usable(double capacity, const brittle_group& group, instant now) const
{
    return std::min(this->room.requests(capacity, now), group.room(capacity, now));
}

bool refusal_budget::may_send(const known_requests& there, double capacity,
                              const refusal_place& place, const brittle_group& group,
                              instant now) const
{
    // Many routers learn of a new endpoint at the same moment.
    if (this->may_be_full(there, capacity, group, now) ||
        (!this->has_answered && there.own >= 1.0)) {
        return false;
    }
    const double usable = this->usable(capacity, group, now);
    const auto shared = std::max(1.0, std::floor(usable * shared_part_of_room));
    const auto reserved = std::max(0.0, std::ceil(usable) - shared);
    const auto own_reserved = own_part(static_cast<std::size_t>(reserved), place);
    const bool has_much_room = this->knows_load() && there.all < shared;
    const bool is_rarely_used =
        static_cast<double>(place.routers) >= many_routers_per_place * usable;
    const double shares = !this->has_answered ? 1.0
                          : has_much_room     ? max_shares_of_one_router
                          : is_rarely_used && !this->room.was_reduced_lately(now)
                              ? shares_of_many_routers
                              : 1.0;
    const double share = shares * shared / static_cast<double>(place.routers);
    return there.own < static_cast<double>(own_reserved) + std::floor(share + draw(place, now));
}

instant refusal_budget::opens_at(std::size_t routers, const brittle_group& group, instant now) const
{
    const auto limit = this->presumed_limit(group, now);
    if (!limit || !this->before_last_refusal) {
        return now;
    }
    const double refusals_per_s = std::max(usable_part_of_refusals * *limit, min_refusals_per_s);
    const std::chrono::duration<double> own_wait(static_cast<double>(routers) / refusals_per_s);
    const auto wait = std::chrono::duration_cast<duration>(
        std::min<std::chrono::duration<double>>(own_wait, max_wait_after_refusal));
    return std::max(now, *this->before_last_refusal + 2 * wait);
}

std::optional<room_report> refusal_budget::reported_room(instant now) const
{
    return this->limit() ? this->room.report(now) : std::nullopt;
}

// An endpoint that has not answered yet has had no occasion to state anything.
std::optional<double> refusal_budget::presumed_limit(const brittle_group& group, instant now) const
{
    return this->has_answered ? this->limit() : group.limit(now);
}

} // namespace pearhaven::decision
