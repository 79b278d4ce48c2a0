#include "pearhaven/decision/endpoint_table.hpp"

#include "endpoint_choice.hpp"
#include "endpoint_directory.hpp"
#include "peer_loads.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pearhaven::decision {

namespace {

constexpr duration slowness_check_interval = std::chrono::seconds(1);

// Requests per second of an endpoint that states no limit. Enough for any queue to end at once.
constexpr double unlimited_rate = 1e12;

// The listed host, with its current leaving state.
endpoint_host current_host(const endpoint_directory& directory, const endpoint& where)
{
    endpoint_host host = where.host;
    host.leaving = directory.is_leaving(where);
    return host;
}

// Whether the endpoint is known and has that incarnation; without one, any incarnation matches.
bool has_incarnation(const endpoint* where, std::optional<std::uint64_t> incarnation)
{
    return where != nullptr &&
           incarnation.value_or(where->host.incarnation) == where->host.incarnation;
}

// An unknown incarnation on either side matches.
bool may_describe(const endpoint* where, const load_report& report)
{
    if (where == nullptr) {
        return false;
    }
    const auto known = where->host.incarnation;
    return report.incarnation == 0 || known == 0 || report.incarnation == known;
}

bool is_lost_connection(attempt_result result, bool answered)
{
    return result == attempt_result::unreachable || result == attempt_result::went_silent ||
           (result == attempt_result::failed && !answered);
}

} // namespace

class endpoint_table::state {
public:
    explicit state(endpoint_table_settings chosen) : settings(std::move(chosen)) {}

    std::vector<ended_incarnation> apply(host_list_changes changes);
    void started(endpoint& where, work_class kind, double work, instant now);
    void ended(endpoint& where, work_class kind, double work, attempt_result result,
               duration first_token, bool answered, instant now);
    [[nodiscard]] std::optional<std::string> choose(const placement& wanted, instant now,
                                                    std::uint64_t random);
    [[nodiscard]] const endpoint* concentration_endpoint(const placement& wanted, instant now);

    // The request must outlive the choice.
    [[nodiscard]] endpoint_choice choice_for(const placement& wanted, instant now) const
    {
        return {this->settings,  wanted,        this->own,   this->others, this->prompts,
                this->directory, this->brittle, this->place, now};
    }
    [[nodiscard]] std::optional<limited_access> access(const placement& wanted, instant now);
    void add_used(std::set<std::string>& used, const std::string& name, bool is_service,
                  instant now);

    const endpoint_table_settings settings;
    endpoint_directory directory{this->settings};
    peer_loads others;
    prompt_map prompts;
    brittle_groups brittle;
    fleet_place place;

    // Prompt parts of peers' requests are cached at their endpoints.
    void record_peer_parts(const std::vector<endpoint_load>& loads, instant now);

    // What peers know of the limits that the endpoints state.
    std::vector<peer_limit_change> record_peer_limits(const std::vector<endpoint_load>& loads,
                                                      instant now);

    // What the endpoint states about its refusals is presumed of others of its group.
    void record_refusal_limit(const endpoint& where, instant now);

    // Requests in flight there, of this router and of the peers that report to it.
    [[nodiscard]] double requests_at(const endpoint& where) const
    {
        return static_cast<double>(where.outstanding + this->others.of(where.host).requests);
    }

    // Factor that extrapolates from the routers that report here to all `routers`.
    [[nodiscard]] double extrapolation_factor(std::size_t routers) const;

    // The same for an endpoint that is being filled, for which more routers report their load.
    [[nodiscard]] double extrapolation_factor_when_filling(std::size_t routers) const;

private:
    void remove_attempt(endpoint& where, work_class kind, double work, instant now);
    void apply_verdict(endpoint& where, endpoint_health::verdict verdict, instant now);
    bool is_slow(endpoint& where, work_class kind, duration first_token, bool on_trial,
                 instant now) const;
    [[nodiscard]] std::optional<double> usual_first_token(const endpoint& where,
                                                          work_class kind) const;
    void record_refusal(endpoint& where, instant now);
    [[nodiscard]] bool can_spare(const endpoint& where, instant now) const;
    void apply_fleet_size(instant now);

    own_load own;
    std::size_t shared_by = 1; // number of routers by which request limits are divided
};

// Requests at replaced processes are no longer in flight.
std::vector<ended_incarnation> endpoint_table::state::apply(host_list_changes changes)
{
    this->own.outstanding -= changes.outstanding_lost;
    this->own.readings -= changes.readings_lost;
    return std::move(changes.ended);
}

void endpoint_table::state::record_peer_parts(const std::vector<endpoint_load>& loads, instant now)
{
    for (const auto& load : loads) {
        const endpoint* where = this->directory.find(load.address);
        if (where == nullptr) {
            continue;
        }
        for (const auto part : load.parts) {
            this->prompts.record({where->identity, load.incarnation}, part, now);
        }
    }
}

double endpoint_table::state::extrapolation_factor(std::size_t routers) const
{
    return this->others.extrapolation_with(this->own.outstanding, routers);
}

double endpoint_table::state::extrapolation_factor_when_filling(std::size_t routers) const
{
    const auto peers = std::max<std::size_t>(routers, 1) - 1;
    const auto usual = static_cast<double>(std::clamp<std::size_t>(peers, 1, load_fanout));
    const auto filling = static_cast<double>(std::min(peers, load_fanout_when_filling));
    const double reach = std::min(1.0, static_cast<double>(this->others.routers()) / usual);
    return static_cast<double>(peers + 1) / (1.0 + reach * filling);
}

void endpoint_table::state::started(endpoint& where, work_class kind, double work, instant now)
{
    const std::uint32_t reading = kind == work_class::reading ? 1 : 0;
    ++where.outstanding;
    ++this->own.outstanding;
    where.readings += reading;
    this->own.readings += reading;
    where.work += work;
    where.load.on_started(now);
    where.health.on_started(now);
    where.cold.on_started(cold_share_of(where, this->place), now);
    where.stated_limit.on_started(now);
    where.refusals.on_started(known_requests_at(where, this->others, this->place), now);
}

void endpoint_table::state::ended(endpoint& where, work_class kind, double work,
                                  attempt_result result, duration first_token, bool answered,
                                  instant now)
{
    if (where.outstanding == 0) {
        return;
    }
    const double in_use = where.outstanding;
    where.refusals.on_ended(known_requests_at(where, this->others, this->place),
                            result == attempt_result::finished, now);
    this->remove_attempt(where, kind, work, now);
    const bool on_trial = where.health.on_trial();
    auto verdict = where.health.on_result(result, where.outstanding, now, this->settings);
    if (is_lost_connection(result, answered)) {
        where.health.doubt(now + this->settings.doubt_time);
    }
    if (result == attempt_result::finished) {
        where.limit.on_finished(kind, in_use, first_token, now, this->settings);
        if (this->is_slow(where, kind, first_token, on_trial, now)) {
            verdict = endpoint_health::verdict::eject_if_spare;
        }
    }
    if (result == attempt_result::refused) {
        where.limit.on_refused(now, this->settings);
        this->record_refusal(where, now);
    }
    this->apply_verdict(where, verdict, now);
}

void endpoint_table::state::record_refusal(endpoint& where, instant now)
{
    const auto there = known_requests_at(where, this->others, this->place);
    where.refusals.on_refused(there, where.capacity(), now);
    const auto group = this->brittle.find(where.group);
    if (group != this->brittle.end()) {
        group->second.on_refused(where.refusals.there_at_most(there),
                                 where.refusals.min_part_left_by_refusal(), where.capacity(), now);
    }
}

void endpoint_table::state::record_refusal_limit(const endpoint& where, instant now)
{
    const auto limit = where.refusals.limit();
    const auto group = this->brittle.find(where.group);
    if (limit) {
        this->brittle[where.group].on_statement(limit, now);
    } else if (group != this->brittle.end() && !group->second.limit(now)) {
        this->brittle.erase(group);
    }
}

void endpoint_table::state::remove_attempt(endpoint& where, work_class kind, double work,
                                           instant now)
{
    const std::uint32_t reading = kind == work_class::reading && where.readings > 0 ? 1 : 0;
    --where.outstanding;
    --this->own.outstanding;
    where.readings -= reading;
    this->own.readings -= reading;
    where.work = where.outstanding == 0 ? 0.0 : std::max(0.0, where.work - work);
    where.load.on_ended(now);
}

void endpoint_table::state::apply_verdict(endpoint& where, endpoint_health::verdict verdict,
                                          instant now)
{
    using health_verdict = endpoint_health::verdict;
    if (verdict == health_verdict::returned) {
        where.limit.restart();
        return;
    }
    const bool ejects = verdict == health_verdict::eject ||
                        (verdict == health_verdict::eject_if_spare && this->can_spare(where, now));
    if (ejects) {
        where.health.eject(now, this->settings);
        if (verdict == health_verdict::eject) {
            // Nothing answered there, so its process may have been restarted.
            where.cold.begin(where.health.ejected_until(), where.cold_time);
        }
        where.first_tokens = {};
    }
}

// If most endpoints fail or are slow, the cause lies elsewhere, such as a bad version; ejecting
// them would overload the rest.
bool endpoint_table::state::can_spare(const endpoint& where, instant now) const
{
    const auto& peers = this->directory.peers_of(where);
    const auto ejected = std::count_if(peers.begin(), peers.end(), [&](const endpoint* peer) {
        return peer != &where && peer->health.is_ejected(now);
    });
    const auto used = static_cast<double>(std::min(peers.size(), this->settings.subset_size));
    const double max_ejected = std::max(1.0, std::floor(this->settings.max_ejected_share * used));
    return peers.size() > 1 && static_cast<double>(ejected + 1) <= max_ejected;
}

// A single answer proves slowness only during a trial, when the endpoint is already suspected;
// otherwise several samples are needed.
bool endpoint_table::state::is_slow(endpoint& where, work_class kind, duration first_token,
                                    bool on_trial, instant now) const
{
    if (first_token <= duration::zero()) {
        return false;
    }
    first_token_mean& own_mean = where.first_token(kind);
    own_mean.add(static_cast<double>(first_token.count()));
    const bool has_enough_samples = own_mean.samples >= this->settings.slow_samples;
    if (!on_trial && (!has_enough_samples || now < where.next_slowness_check)) {
        return false;
    }
    where.next_slowness_check = now + slowness_check_interval;
    const auto usual = this->usual_first_token(where, kind);
    return usual && own_mean.mean > this->settings.slow_factor * *usual;
}

// The median over the other endpoints.
std::optional<double> endpoint_table::state::usual_first_token(const endpoint& where,
                                                               work_class kind) const
{
    std::vector<double> means;
    for (endpoint* peer : this->directory.peers_of(where)) {
        const first_token_mean& known = peer->first_token(kind);
        if (peer != &where && known.samples >= this->settings.slow_samples) {
            means.push_back(known.mean);
        }
    }
    if (means.empty()) {
        return std::nullopt;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

std::optional<std::string> endpoint_table::state::choose(const placement& wanted, instant now,
                                                         std::uint64_t random)
{
    const route& from = this->directory.route_for(wanted.version_or_service, wanted.is_service);
    this->apply_fleet_size(now);
    this->others.expire(now, this->settings.peer_load_lifetime);
    this->prompts.expire(now);
    const endpoint* const chosen = this->choice_for(wanted, now).choose(from, random);
    return chosen == nullptr ? std::nullopt : std::make_optional(chosen->host.address);
}

// Endpoints with a request limit are few, and the fleet's size changes rarely.
void endpoint_table::state::apply_fleet_size(instant now)
{
    if (this->shared_by == this->place.size) {
        return;
    }
    this->shared_by = this->place.size;
    this->directory.for_each(
        [&](endpoint& where) { where.stated_limit.set_fleet_size(this->shared_by, now); });
}

std::optional<limited_access> endpoint_table::state::access(const placement& wanted, instant now)
{
    const route& from = this->directory.route_for(wanted.version_or_service, wanted.is_service);
    limited_access found{instant::max(), 0.0};
    for (const auto* side : {&from.local, &from.remote}) {
        for (const endpoint* where : *side) {
            const bool has_rate = where->stated_limit.rate().has_value();
            const auto opens = opens_at(*where, this->place, this->brittle, now);
            if (!has_rate && opens <= now) {
                return std::nullopt;
            }
            found.opens = std::min(found.opens, opens);
            found.requests_per_s += has_rate ? where->stated_limit.own_rate() : unlimited_rate;
        }
    }
    return found.opens == instant::max() ? std::nullopt : std::make_optional(found);
}

std::vector<peer_limit_change>
endpoint_table::state::record_peer_limits(const std::vector<endpoint_load>& loads, instant now)
{
    std::vector<peer_limit_change> changes;
    for (const auto& load : loads) {
        const bool has_limit = load.limit || load.refusal_limit || load.room;
        endpoint* where = has_limit ? this->directory.find(load.address) : nullptr;
        if (!has_incarnation(where, load.incarnation)) {
            continue;
        }
        if (load.limit && where->stated_limit.on_peer(load.limit->rate, now - load.limit->age, now,
                                                      turn_place_of(*where, this->place))) {
            changes.push_back({load.address, load.incarnation, false, *load.limit});
        }
        if (load.refusal_limit) {
            if (where->refusals.on_peer(load.refusal_limit->rate, now - load.refusal_limit->age)) {
                changes.push_back({load.address, load.incarnation, true, *load.refusal_limit});
            }
            this->record_refusal_limit(*where, now);
        }
        if (load.room) {
            where->refusals.on_peer_room(load.room->requests, now - load.room->age);
        }
    }
    return changes;
}

const endpoint* endpoint_table::state::concentration_endpoint(const placement& wanted, instant now)
{
    const route& from = this->directory.route_for(wanted.version_or_service, wanted.is_service);
    return this->choice_for(wanted, now).concentration_endpoint(from);
}

void endpoint_table::state::add_used(std::set<std::string>& used, const std::string& name,
                                     bool is_service, instant now)
{
    const route& from = this->directory.route_for(name, is_service);
    for (const endpoint* where : subset_of(from, {}, now, this->settings)) {
        used.insert(where->host.address);
    }
}

endpoint_table::endpoint_table(endpoint_table_settings settings)
    : inner(std::make_unique<endpoint_table::state>(std::move(settings)))
{}

endpoint_table::~endpoint_table() = default;

void endpoint_table::configure(const configuration& current, instant now)
{
    this->inner->directory.configure(current, now);
}

void endpoint_table::on_fleet(std::size_t rank, std::size_t size)
{
    this->inner->place.rank = rank;
    this->inner->place.size = std::max<std::size_t>(size, 1);
}

void endpoint_table::set_clock_offset(duration offset)
{
    this->inner->place.clock_offset = offset;
}

std::vector<ended_incarnation> endpoint_table::set_hosts(const std::vector<endpoint_host>& hosts,
                                                         instant now)
{
    return this->inner->apply(this->inner->directory.set_hosts(hosts, now));
}

std::vector<ended_incarnation> endpoint_table::set_host(const endpoint_host& host, instant now)
{
    return this->inner->apply(this->inner->directory.set_host(host, now));
}

std::vector<ended_incarnation> endpoint_table::drop_host(const std::string& address, instant now)
{
    return this->inner->apply(this->inner->directory.drop_host(address, now));
}

void endpoint_table::mark_leaving(const std::string& address, std::uint64_t incarnation,
                                  instant now)
{
    this->inner->directory.mark_leaving(address, incarnation, now);
}

void endpoint_table::started(const std::string& address, work_class kind, double work,
                             const std::vector<prompt_part>& parts, instant now)
{
    if (endpoint* where = this->inner->directory.find(address)) {
        this->inner->started(*where, kind, work, now);
        where->add(parts);
        for (const auto& part : parts) {
            this->inner->prompts.record(where->current_incarnation(), part.key, now);
        }
    }
}

void endpoint_table::ended(const std::string& address, work_class kind, double work,
                           attempt_result result, duration first_token, instant now,
                           std::optional<std::uint64_t> incarnation,
                           const std::vector<prompt_part>& parts, bool answered)
{
    endpoint* where = this->inner->directory.find(address);
    if (has_incarnation(where, incarnation)) {
        where->remove(parts);
        this->inner->ended(*where, kind, work, result, first_token, answered, now);
    }
}

limit_changes endpoint_table::noticed(const std::string& address, std::uint64_t incarnation,
                                      const endpoint_notice& notice, instant sent, instant now)
{
    endpoint* where = this->inner->directory.find(address);
    if (!has_incarnation(where, incarnation)) {
        return {};
    }
    if (notice.leaving) {
        this->inner->directory.mark_leaving(address, incarnation, now);
    }
    where->rests_until = std::max(where->rests_until, now + notice.rest.value_or(duration::zero()));
    limit_changes changes;
    changes.requests = where->stated_limit.on_answer(notice.request_limit, sent, now,
                                                     turn_place_of(*where, this->inner->place));
    changes.refusals = where->refusals.on_answer(notice.refusal_limit, sent, now);
    this->inner->record_refusal_limit(*where, now);
    return changes;
}

bool endpoint_table::is_leaving(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where != nullptr && this->inner->directory.is_leaving(*where);
}

instant endpoint_table::rests_until(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where == nullptr ? instant{} : where->rests_until;
}

std::optional<double> endpoint_table::request_limit_of(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where == nullptr ? std::nullopt : where->stated_limit.rate();
}

std::optional<double> endpoint_table::refusal_limit_of(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where == nullptr ? std::nullopt : where->refusals.limit();
}

double endpoint_table::requests_at(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where == nullptr ? 0.0 : this->inner->requests_at(*where);
}

void endpoint_table::work_completed(const std::string& address, double work,
                                    std::optional<std::uint64_t> incarnation)
{
    endpoint* where = this->inner->directory.find(address);
    if (has_incarnation(where, incarnation)) {
        where->work = std::max(0.0, where->work - work);
    }
}

void endpoint_table::answer_began(const std::string& address, std::uint64_t incarnation)
{
    endpoint* where = this->inner->directory.find(address);
    if (has_incarnation(where, incarnation)) {
        ++where->writing;
    }
}

void endpoint_table::answer_ended(const std::string& address, std::uint64_t incarnation)
{
    endpoint* where = this->inner->directory.find(address);
    if (has_incarnation(where, incarnation) && where->writing > 0) {
        --where->writing;
    }
}

bool endpoint_table::reported(const std::string& address, const load_report& report, instant now)
{
    endpoint* where = this->inner->directory.find(address);
    if (!may_describe(where, report)) {
        return false;
    }
    where->load.on_report(report, now);
    return true;
}

std::optional<std::string> endpoint_table::choose(const placement& wanted, instant now,
                                                  std::uint64_t random) const
{
    return this->inner->choose(wanted, now, random);
}

bool endpoint_table::serves(const placement& wanted, instant /*now*/) const
{
    const route& known =
        this->inner->directory.route_for(wanted.version_or_service, wanted.is_service);
    const auto stays = [](const endpoint* where) { return !where->load.draining(); };
    return std::any_of(known.local.begin(), known.local.end(), stays) ||
           std::any_of(known.remote.begin(), known.remote.end(), stays);
}

std::size_t endpoint_table::endpoint_count(const std::string& name, bool is_service) const
{
    const route& known = this->inner->directory.route_for(name, is_service);
    return known.local.size() + known.remote.size();
}

std::vector<peer_limit_change> endpoint_table::peer_reported(const std::string& router,
                                                             std::vector<endpoint_load> loads,
                                                             instant now)
{
    this->inner->record_peer_parts(loads, now);
    auto changes = this->inner->record_peer_limits(loads, now);
    this->inner->others.on_report(router, std::move(loads), now);
    return changes;
}

void endpoint_table::drop_peer(const std::string& router)
{
    this->inner->others.drop(router);
}

bool endpoint_table::has_room_for_others(const placement& wanted, bool if_uncertain,
                                         instant now) const
{
    const route& from =
        this->inner->directory.route_for(wanted.version_or_service, wanted.is_service);
    return this->inner->choice_for(wanted, now).has_room_for_others(from, if_uncertain);
}

std::int64_t endpoint_table::peer_requests() const
{
    return this->inner->others.requests();
}

std::optional<limited_access> endpoint_table::access(const placement& wanted, instant now) const
{
    return this->inner->access(wanted, now);
}

double endpoint_table::cold_work_at(const std::string& address,
                                    const std::vector<prompt_part>& parts, instant now) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where == nullptr ? 0.0 : cold_work(parts, this->inner->prompts, *where, 0.0, now);
}

double endpoint_table::work_at(const std::string& address, std::size_t routers) const
{
    const endpoint* where = this->inner->directory.find(address);
    if (where == nullptr) {
        return 0.0;
    }
    const double known = where->work + this->inner->others.of(where->host).work;
    return known * this->inner->extrapolation_factor(routers);
}

duration endpoint_table::backlog(const placement& wanted, std::size_t routers, instant now) const
{
    const route& from =
        this->inner->directory.route_for(wanted.version_or_service, wanted.is_service);
    this->inner->others.expire(now, this->inner->settings.peer_load_lifetime);
    const auto subset = subset_of(from, wanted.avoid, now, this->inner->settings);
    if (subset.empty()) {
        return duration::zero();
    }
    double work = 0.0;
    for (const endpoint* where : subset) {
        work += where->work + this->inner->others.of(where->host).work;
    }
    const double mean = work / static_cast<double>(subset.size());
    const std::chrono::duration<double, std::milli> time(
        mean * this->inner->extrapolation_factor(routers));
    return std::chrono::duration_cast<duration>(time);
}

double endpoint_table::writing_per_slot(const std::string& address, std::size_t routers) const
{
    const endpoint* where = this->inner->directory.find(address);
    if (where == nullptr || where->capacity() <= 0.0) {
        return 0.0;
    }
    const auto by_peers = this->inner->others.of(where->host).writing;
    const auto known = static_cast<double>(where->writing + by_peers);
    return known * this->inner->extrapolation_factor_when_filling(routers) / where->capacity();
}

bool endpoint_table::has_concentrated_room(const placement& wanted, std::size_t routers,
                                           instant now) const
{
    const endpoint* where = this->inner->concentration_endpoint(wanted, now);
    if (where == nullptr) {
        return false;
    }
    return this->inner->requests_at(*where) *
               this->inner->extrapolation_factor_when_filling(routers) <
           this->inner->settings.concentrated_per_slot * where->capacity();
}

double endpoint_table::concentrated_requests(const std::string& version, instant now) const
{
    placement wanted;
    wanted.version_or_service = version;
    wanted.concentrated = true;
    const endpoint* where = this->inner->concentration_endpoint(wanted, now);
    return where == nullptr ? 0.0 : this->inner->requests_at(*where);
}

std::vector<endpoint_load> endpoint_table::own_loads(instant now) const
{
    std::vector<endpoint_load> held;
    for (const auto& [address, known] : this->inner->directory.all()) {
        const bool in_doubt = known.health.is_in_doubt(now);
        const auto limit = known.stated_limit.report(now);
        const auto refusal_limit = known.refusals.report(now);
        const auto room = known.refusals.reported_room(now);
        if (known.outstanding > 0 || in_doubt || limit || refusal_limit) {
            held.push_back({address, known.outstanding, known.work, known.host.incarnation,
                            known.distinct_parts(), known.writing, in_doubt, limit, refusal_limit,
                            room});
        }
    }
    return held;
}

std::optional<endpoint_host> endpoint_table::find(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    if (where == nullptr) {
        return std::nullopt;
    }
    return current_host(this->inner->directory, *where);
}

std::uint64_t endpoint_table::incarnation_of(const std::string& address) const
{
    const endpoint* where = this->inner->directory.find(address);
    return where == nullptr ? 0 : where->host.incarnation;
}

std::vector<std::string> endpoint_table::addresses() const
{
    std::vector<std::string> all;
    for (const auto& [address, known] : this->inner->directory.all()) {
        if (known.listed) {
            all.push_back(address);
        }
    }
    return all;
}

std::vector<std::string> endpoint_table::used_addresses(instant now) const
{
    std::set<std::string> used;
    for (const auto& [name, object] : this->inner->directory.served_versions()) {
        this->inner->add_used(used, name, false, now);
    }
    for (const auto& [name, object] : this->inner->directory.served_services()) {
        this->inner->add_used(used, name, true, now);
    }
    return {used.begin(), used.end()};
}

std::vector<endpoint_table::endpoint_status> endpoint_table::status(instant now) const
{
    std::vector<endpoint_status> all;
    for (const auto& [address, known] : this->inner->directory.all()) {
        const endpoint_host host = current_host(this->inner->directory, known);
        all.push_back({host, known.outstanding, known.limit.value(), known.health.is_ejected(now),
                       host.leaving});
    }
    return all;
}

} // namespace pearhaven::decision
