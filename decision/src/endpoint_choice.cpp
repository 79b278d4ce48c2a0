#include "endpoint_choice.hpp"

#include "contains.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace pearhaven::decision {

namespace {

// One in this many places of a subset is reserved for other zones, so that work can leave a zone
// that is full or down.
constexpr std::size_t remote_subset_divisor = 4;

// Assumed probability that the endpoints that rank first and second for a prefix have it cached, if
// no request for it at that endpoint is known. In a large fleet a router gets reports from few
// others, but all of them prefer these endpoints.
constexpr double cached_probability_at_first = 0.6;
constexpr double cached_probability_at_second = 0.3;

// Share of its slots in use from which an endpoint counts as being filled by concentrated requests.
// Ordinary requests are spread and keep each endpoint below it.
constexpr double filling_threshold = 0.125;

// How long a router's draw for a slot stays valid; covers the lag of most load reports.
constexpr duration draw_period = std::chrono::seconds(1);

bool is_excluded(const endpoint& where, const std::vector<std::string>& avoid, instant now)
{
    return contains(avoid, where.host.address) || where.load.draining() ||
           where.health.is_ejected(now);
}

// This router's share of all requests at the endpoints. At least one request is counted for it, or
// a router without work would never get any in.
double share_of_work(const std::vector<endpoint*>& subset, instant now,
                     const endpoint_table_settings& settings)
{
    double own = 1.0;
    double all = 1.0;
    for (const endpoint* where : subset) {
        own += where->outstanding;
        all += where->held(now, settings);
    }
    return own / all;
}

// The two endpoints that rank first for a prefix. All routers rank alike, so a prefix is cached in
// few places.
std::array<const endpoint*, 2> ranked_first(const std::vector<endpoint*>& subset,
                                            std::uint64_t prefix_hash)
{
    std::array<const endpoint*, 2> first{};
    std::array<std::uint64_t, 2> ranks{};
    for (const endpoint* where : subset) {
        const std::uint64_t rank = mix(where->identity ^ mix(prefix_hash));
        if (first[0] == nullptr || rank > ranks[0]) {
            first = {where, first[0]};
            ranks = {rank, ranks[0]};
        } else if (first[1] == nullptr || rank > ranks[1]) {
            first[1] = where;
            ranks[1] = rank;
        }
    }
    return first;
}

} // namespace

cold_share cold_share_of(const endpoint& where, const fleet_place& place)
{
    return {where.cold_requests_per_s, turn_place_of(where, place)};
}

turn_place turn_place_of(const endpoint& where, const fleet_place& place)
{
    return {where.identity, place.rank, place.size};
}

known_requests known_requests_at(const endpoint& where, const peer_loads& peers,
                                 const fleet_place& place)
{
    const double factor = peers.extrapolation_to(place.size - 1);
    const double own = where.outstanding;
    return {own, own + factor * static_cast<double>(peers.of(where.host).requests)};
}

const brittle_group& group_of(const endpoint& where, const brittle_groups& groups)
{
    static const brittle_group sound;
    const auto found = groups.find(where.group);
    return found == groups.end() ? sound : found->second;
}

instant opens_at(const endpoint& where, const fleet_place& place, const brittle_groups& groups,
                 instant now)
{
    return std::max(where.opens_at(now),
                    where.refusals.opens_at(place.size, group_of(where, groups), now));
}

std::vector<endpoint*> subset_of(const route& from, const std::vector<std::string>& avoid,
                                 instant now, const endpoint_table_settings& settings)
{
    const std::size_t size = settings.subset_size;
    const std::size_t for_remote = std::min(from.remote.size(), size / remote_subset_divisor);
    std::vector<endpoint*> subset;
    subset.reserve(std::min(size, from.local.size() + from.remote.size()));
    const auto take = [&](const std::vector<endpoint*>& side, std::size_t until) {
        for (endpoint* where : side) {
            if (subset.size() >= until) {
                return;
            }
            if (!is_excluded(*where, avoid, now)) {
                subset.push_back(where);
            }
        }
    };
    take(from.local, size - for_remote);
    take(from.remote, size);
    return subset;
}

const endpoint* endpoint_choice::concentration_endpoint(const route& from) const
{
    const endpoint* first = nullptr;
    for (const auto* side : {&from.local, &from.remote}) {
        for (const endpoint* where : *side) {
            const bool ranks = first == nullptr ||
                               this->concentration_rank(*where) > this->concentration_rank(*first);
            if (ranks && !is_excluded(*where, this->wanted.avoid, this->now) &&
                this->has_room(*where)) {
                first = where;
            }
        }
    }
    return first;
}

std::pair<bool, std::uint64_t> endpoint_choice::concentration_rank(const endpoint& where) const
{
    const double threshold = filling_threshold * where.capacity();
    return {this->requests_at(where) >= threshold, mix(where.identity)};
}

const endpoint* endpoint_choice::choose(const route& from, std::uint64_t random)
{
    const endpoint* concentrated =
        this->wanted.concentrated ? this->concentration_endpoint(from) : nullptr;
    if (concentrated != nullptr) {
        return concentrated;
    }
    const auto subset = subset_of(from, this->wanted.avoid, this->now, this->settings);
    if (this->wanted.kind == work_class::reading) {
        this->own_share = share_of_work(subset, this->now, this->settings);
    }
    std::vector<endpoint*> local;
    std::vector<endpoint*> remote;
    for (endpoint* where : subset) {
        const bool is_local = where->host.zone == this->settings.zone;
        (is_local ? local : remote).push_back(where);
    }
    if (this->settings.compares_all) {
        return this->cheapest(subset, random);
    }
    if (const endpoint* warm = this->choose_warm(subset)) {
        return warm;
    }
    auto best = this->better_of_two(local, random);
    const auto other = this->better_of_two(remote, mix(random));
    if (other && (!best || other->score + this->settings.zone_bias < best->score)) {
        best = other;
    }
    return best.value_or(candidate()).where;
}

double cold_work(const std::vector<prompt_part>& parts, const prompt_map& prompts,
                 const endpoint& where, double cached_probability, instant now)
{
    double cold = 0.0;
    double cached = 1.0; // a part is usable only if all parts before it are cached
    for (const auto& part : parts) {
        cached =
            std::min(cached, std::max(cached_probability,
                                      prompts.cached(where.current_incarnation(), part.key, now)));
        cold += (1.0 - cached) * part.work;
    }
    return cold;
}

// The endpoint with the lowest cost: its present load, the cost of processing the prompt there for
// this request and the others in progress, and a penalty for another zone. `random` selects where
// the search starts, which decides between equal endpoints.
const endpoint* endpoint_choice::cheapest(const std::vector<endpoint*>& subset,
                                          std::uint64_t random) const
{
    const auto ranked = ranked_first(subset, this->wanted.prefix_hash);
    candidate best;
    for (std::size_t i = 0; i < subset.size(); ++i) {
        const endpoint* where = subset[(random + i) % subset.size()];
        if (!this->has_room(*where)) {
            continue;
        }
        const double cached_probability = where == ranked[0]   ? cached_probability_at_first
                                          : where == ranked[1] ? cached_probability_at_second
                                                               : 0.0;
        const double cold =
            cold_work(this->wanted.parts, this->prompts, *where, cached_probability, this->now);
        const bool is_local = where->host.zone == this->settings.zone;
        double score = this->load_of(*where) + this->prefill_cost(*where, cold);
        score += is_local ? 0.0 : this->settings.zone_bias;
        score += this->is_in_doubt(*where) ? this->settings.cost_of_doubt : 0.0;
        if (best.where == nullptr || score < best.score) {
            best = {where, score};
        }
    }
    return best.where;
}

bool endpoint_choice::is_in_doubt(const endpoint& where) const
{
    const auto doubting =
        this->others.of(where.host).doubting + (where.health.is_in_doubt(this->now) ? 1 : 0);
    return doubting >= (this->wanted.runs_once ? 1 : this->settings.doubting_routers);
}

double endpoint_choice::prefill_cost(const endpoint& where, double cold_work) const
{
    const double interference = this->settings.prefill_interference * this->requests_at(where);
    const double prefill = this->load_of_work(this->wanted.prefill + cold_work, where);
    return interference * prefill +
           this->settings.cold_prefill_cost * this->load_of_work(cold_work, where);
}

bool endpoint_choice::has_room_for_others(const route& from, bool if_uncertain) const
{
    const auto subset = subset_of(from, this->wanted.avoid, this->now, this->settings);
    return std::any_of(subset.begin(), subset.end(), [this, if_uncertain](const endpoint* where) {
        const auto found = this->obstacle_at(*where);
        return found == obstacle::share || (if_uncertain && found == obstacle::uncertain_share);
    });
}

// A share is the obstacle only if nothing else is.
endpoint_choice::obstacle endpoint_choice::obstacle_at(const endpoint& where) const
{
    if (this->is_full(where)) {
        return obstacle::other;
    }
    const auto by_refusals = this->obstacle_by_refusals(where);
    if (by_refusals == obstacle::other) {
        return obstacle::other;
    }
    if (!where.cold.may_send(cold_share_of(where, this->place), this->now) ||
        where.stated_limit.opens_at(this->now) > this->now) {
        return obstacle::uncertain_share;
    }
    return by_refusals;
}

// Whether the endpoint has no room for the request, whichever router sends it.
bool endpoint_choice::is_full(const endpoint& where) const
{
    if (where.health.trial_under_way(this->now) || where.rests_until > this->now) {
        return true;
    }
    const double limit = std::floor(where.limit.value());
    if (where.outstanding >= limit) {
        return true;
    }
    if (this->wanted.kind == work_class::reading && !this->has_room_for_readings(where, limit)) {
        return true;
    }
    return !this->has_reported_room(where);
}

// Whether a brittle endpoint may have to refuse the request.
endpoint_choice::obstacle endpoint_choice::obstacle_by_refusals(const endpoint& where) const
{
    const auto& group = group_of(where, this->brittle);
    if (where.refusals.opens_at(this->place.size, group, this->now) > this->now) {
        return obstacle::other;
    }
    if (!where.refusals.is_brittle(group, this->now)) {
        return obstacle::none;
    }
    const refusal_place here{this->place.rank, this->place.size,
                             this->directory.number_in_group(where), this->place.clock_offset};
    const auto there = known_requests_at(where, this->others, this->place);
    if (where.refusals.may_be_full(there, where.capacity(), group, this->now)) {
        return obstacle::other;
    }
    if (where.refusals.may_send(there, where.capacity(), here, group, this->now)) {
        return obstacle::none;
    }
    return where.refusals.was_refused_lately(this->now) ? obstacle::uncertain_share
                                                        : obstacle::share;
}

// Reserves at least one slot for lookups if there are several. If there is only one, readings may
// use it, since they must run eventually.
bool endpoint_choice::has_room_for_readings(const endpoint& where, double limit) const
{
    const double share = std::min(std::floor(where.long_share * limit), limit - 1.0);
    return where.readings < std::max(1.0, share);
}

// Whether there is room by the endpoint's load reports, which include the requests of other
// routers.
bool endpoint_choice::has_reported_room(const endpoint& where) const
{
    const auto held = where.load.held(this->now, this->settings.report_lifetime);
    const double capacity = where.load.capacity();
    if (!held || capacity <= 0.0) {
        return true;
    }
    if (this->wanted.kind == work_class::lookup) {
        return *held < capacity * this->settings.report_overcommit;
    }
    // A reading in the endpoint's queue makes no progress, so it is not sent there to queue.
    return *held + 1.0 <= capacity && this->may_add_reading(where, *held);
}

// Whether the endpoint has a slot for one more reading and this router may take it. Reports don't
// tell how many of the others' requests are readings; the share is assumed to be the same as here,
// since callers are spread over the routers.
bool endpoint_choice::may_add_reading(const endpoint& where, double held) const
{
    const double held_by_others = std::max(0.0, held - where.outstanding);
    const double reading_share =
        this->own.readings / std::max(1.0, static_cast<double>(this->own.outstanding));
    const double reading_limit = std::max(1.0, where.long_share * where.load.capacity());
    const double free_slots = reading_limit - where.readings - held_by_others * reading_share;
    if (free_slots < 1.0) {
        return false;
    }
    // All routers see the same slots become free, with a delay. If each took them, readings would
    // fill the slots of lookups and queue at the endpoint. So each takes slots in proportion to its
    // share of the requests; fractions of a slot are decided by a draw that differs by router and
    // is valid for a second.
    const auto period = static_cast<std::uint64_t>(this->now.time_since_epoch() / draw_period);
    const std::uint64_t draw = mix(period ^ mix(where.identity ^ this->settings.router_seed));
    return free_slots * this->own_share + unit_fraction(draw) >= 1.0;
}

// Requests and work in flight, each relative to the endpoint's capacity.
double endpoint_choice::load_of(const endpoint& where) const
{
    const double work = where.work + this->others.of(where.host).work;
    const double held = std::max(where.held(this->now, this->settings), this->requests_at(where));
    return held / where.capacity() + this->load_of_work(work, where);
}

double endpoint_choice::load_of_work(double work, const endpoint& where) const
{
    return work / this->settings.typical_work / where.capacity();
}

// Requests in flight there, of this router and its peers.
double endpoint_choice::requests_at(const endpoint& where) const
{
    const auto by_peers = this->others.of(where.host).requests;
    return static_cast<double>(where.outstanding + by_peers);
}

// The endpoint that is likely to have the prompt's prefix cached, or the next one as its overflow;
// null if both are full or loaded well above the mean.
const endpoint* endpoint_choice::choose_warm(const std::vector<endpoint*>& subset) const
{
    if (this->wanted.prefix_hash == 0) {
        return nullptr;
    }
    const double max_load = this->max_load_when_warm(subset);
    for (const endpoint* where : ranked_first(subset, this->wanted.prefix_hash)) {
        if (where != nullptr && this->has_room(*where) && this->load_of(*where) < max_load) {
            return where;
        }
    }
    return nullptr;
}

double endpoint_choice::max_load_when_warm(const std::vector<endpoint*>& subset) const
{
    double total = 0.0;
    for (const endpoint* where : subset) {
        total += this->load_of(*where);
    }
    const double mean = subset.empty() ? 0.0 : total / static_cast<double>(subset.size());
    return std::max(this->settings.affinity_free_share, this->settings.affinity_load_factor * mean);
}

// Power of two choices: the less loaded of two endpoints drawn at random. Always taking the least
// loaded one would make all routers choose the same endpoint until its next report.
std::optional<endpoint_choice::candidate>
endpoint_choice::better_of_two(const std::vector<endpoint*>& among, std::uint64_t random) const
{
    std::vector<const endpoint*> open;
    std::copy_if(among.begin(), among.end(), std::back_inserter(open),
                 [this](const endpoint* where) { return this->has_room(*where); });
    if (open.empty()) {
        return std::nullopt;
    }
    const std::size_t first = mix(random) % open.size();
    const candidate one = this->weigh(*open[first]);
    if (open.size() == 1) {
        return one;
    }
    const std::size_t step = 1 + mix(random + 1) % (open.size() - 1);
    const candidate other = this->weigh(*open[(first + step) % open.size()]);
    return other.score < one.score ? other : one;
}

endpoint_choice::candidate endpoint_choice::weigh(const endpoint& where) const
{
    return {&where, this->load_of(where)};
}

} // namespace pearhaven::decision
