#include "fleet_worker.hpp"

#include "clock.hpp"

#include "pearhaven/adapters/authenticator.hpp"
#include "pearhaven/adapters/configuration_codec.hpp"
#include "pearhaven/adapters/log.hpp"
#include "pearhaven/adapters/stored_values.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <string>
#include <utility>

namespace pearhaven::router {

namespace {

using coordination::member_state;

constexpr std::size_t ring_capacity = 16384;
constexpr std::chrono::milliseconds tick_period{20};
constexpr std::chrono::milliseconds members_period{200};

// Maximum age of the last confirmation of the configuration for new work to start.
constexpr decision::duration freshness_bound = std::chrono::seconds(3);

// During a store outage that all live peers agree on, how long each agreement allows new work.
constexpr decision::duration outage_agreement_lifetime = std::chrono::milliseconds(500);

// Smaller extensions of the validity are not reported.
constexpr decision::duration min_validity_step = std::chrono::milliseconds(100);

coordination::config_replica_settings replica_settings_of(const fleet_worker::dependencies& deps)
{
    coordination::config_replica_settings chosen;
    chosen.self = deps.incarnation;
    chosen.zone = deps.settings.zone;
    chosen.seed = deps.seed;
    chosen.freshness_bound = freshness_bound;
    return chosen;
}

coordination::bill_ledger_settings ledger_settings_of(const fleet_worker::dependencies& deps)
{
    coordination::bill_ledger_settings chosen;
    chosen.self = deps.incarnation;
    chosen.zone = deps.settings.zone;
    return chosen;
}

coordination::once_claims_settings claims_settings_of(const fleet_worker::dependencies& deps)
{
    coordination::once_claims_settings chosen;
    chosen.self = deps.incarnation;
    return chosen;
}

coordination::fact_table_settings facts_settings_of(const fleet_worker::dependencies& deps)
{
    coordination::fact_table_settings chosen;
    chosen.self = deps.incarnation;
    chosen.seed = deps.seed;
    return chosen;
}

// Parses `IP:port` of a router in the settings.
coordination::member_address to_seed(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {"", text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

// Returns 0, which quarantines no request, for a subject that is not a number: such a fact does not
// come from one of this fleet's routers.
std::uint64_t fingerprint_of(const coordination::fact& fact)
{
    std::uint64_t number = 0;
    std::from_chars(fact.subject.data(), fact.subject.data() + fact.subject.size(), number);
    return number;
}

decision::failure to_failure(const coordination::claim_decided& decided)
{
    using coordination::claim_verdict;
    using decision::failure_code;
    using decision::run_state;
    constexpr decision::duration soon = std::chrono::seconds(1);
    constexpr decision::duration later = std::chrono::seconds(5);
    switch (decided.verdict) {
    case claim_verdict::ran:
        return {failure_code::already_ran, run_state::ran, false, decision::duration::zero(),
                "an earlier send of this request ran: " + decided.outcome};
    case claim_verdict::unknown:
        return {failure_code::outcome_unknown, run_state::unknown, false,
                decision::duration::zero(), "an earlier send of this request may have run"};
    case claim_verdict::in_progress:
        return {failure_code::in_progress, run_state::unknown, true, soon,
                "another send of this request is under way"};
    case claim_verdict::granted:
    case claim_verdict::unavailable:
        break;
    }
    return {failure_code::config_unconfirmed, run_state::not_run, true, later,
            "the key-value service cannot be reached to claim this request"};
}

coordination::member_address to_member(const peer_message_received& event)
{
    return {event.from, event.reply_to.host, event.reply_to.port};
}

const char* part_name(fleet_part part)
{
    switch (part) {
    case fleet_part::configuration:
        return "configuration";
    case fleet_part::membership:
        return "membership";
    case fleet_part::claims:
        return "claims";
    case fleet_part::bills:
        return "bills";
    case fleet_part::facts:
        return "facts";
    case fleet_part::rollouts:
        return "rollouts";
    }
    return "other";
}

} // namespace

std::string state_name(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

fleet_worker::fleet_worker(const dependencies& all_dependencies)
    : deps(all_dependencies), ring(ring_capacity), head_codec(adapters::make_config_head_codec()),
      bill_codec(adapters::make_bill_page_codec()), claim_codec(adapters::make_claim_codec()),
      member_codec(adapters::make_member_codec()), duty_codec(adapters::make_duty_codec()),
      replica(replica_settings_of(this->deps), *this->head_codec, now()),
      ledger(ledger_settings_of(this->deps), *this->bill_codec),
      claims(claims_settings_of(this->deps), *this->claim_codec),
      facts(facts_settings_of(this->deps)),
      rollouts(this->deps.incarnation, this->deps.seed, *this->duty_codec, *this->head_codec, now())
{}

fleet_worker::~fleet_worker()
{
    this->stop();
}

void fleet_worker::start(routing_sink& routing_events, adapters::peer_link& peer_link,
                         std::uint16_t operator_port)
{
    this->routing = &routing_events;
    this->link = &peer_link;
    this->own_operator_port = operator_port;
    this->thread = std::thread([this] { this->run(); });
}

void fleet_worker::stop()
{
    this->ring.close();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool fleet_worker::submit(fleet_event event)
{
    return this->ring.push(std::move(event));
}

void fleet_worker::join_fleet()
{
    coordination::membership_settings chosen;
    chosen.self.id = this->deps.incarnation;
    chosen.self.host = this->deps.settings.host;
    chosen.self.peer_port = this->link->port();
    chosen.self.operator_port = this->own_operator_port;
    chosen.self.zone = this->deps.settings.zone;
    chosen.seed = this->deps.seed;
    chosen.registration.time_to_live = this->deps.settings.member_lease;
    for (const auto& peer : this->deps.settings.peers) {
        chosen.seeds.push_back(to_seed(peer));
    }
    this->fleet.emplace(std::move(chosen), *this->member_codec, now());
}

// Passes the live members to all components that depend on them. It is repeated periodically: this
// is cheap, and no change can be missed.
void fleet_worker::update_members()
{
    const auto moment = now();
    const auto live = this->fleet->live();
    const auto readers = this->fleet->readers();
    std::vector<coordination::config_peer> peers;
    std::vector<coordination::member_address> addresses;
    std::set<coordination::incarnation_id> ids;
    for (const auto& one : live) {
        peers.push_back({coordination::address_of(one), one.zone, readers.count(one.id) > 0});
        addresses.push_back(coordination::address_of(one));
        ids.insert(one.id);
    }
    this->replica.set_reader(this->fleet->is_reader(), moment);
    this->rollouts.set_candidate(this->fleet->is_reader()); // only few routers poll the duty's key
    this->replica.set_peers(std::move(peers), moment);
    this->ledger.set_peers(live);
    this->claims.set_live(std::move(ids));
    this->facts.set_peers(addresses, moment);
    const auto below = [this](const coordination::member& one) {
        return one.id < this->deps.incarnation;
    };
    const auto rank = static_cast<std::size_t>(std::count_if(live.begin(), live.end(), below));
    const fleet_changed place{rank, live.size() + 1};
    if (place != this->reported_position) {
        this->reported_position = place;
        this->routing->submit(place);
    }
}

void fleet_worker::run()
{
    this->join_fleet();
    while (!this->ring.is_closed_and_empty()) {
        auto event = this->ring.pop_for(tick_period);
        if (event) {
            std::visit([this](auto& what) { this->handle(what); }, *event);
        }
        if (now() >= this->next_tick) {
            this->next_tick = now() + tick_period;
            this->tick();
        }
        this->carry_out_all();
    }
}

void fleet_worker::tick()
{
    const auto moment = now();
    this->fleet->on_tick(moment);
    if (moment >= this->next_members) {
        this->next_members = moment + members_period;
        this->update_members();
    }
    this->replica.on_tick(moment);
    this->claims.on_tick(moment);
    this->facts.on_tick(moment);
    this->ledger.on_tick(moment);
    this->update_rollouts();
    this->report_config_validity();
    this->publish_view();
}

void fleet_worker::update_rollouts()
{
    const auto current = this->deps.configuration.get();
    const auto stored = this->replica.current();
    rollout_inputs inputs;
    inputs.current = current.get();
    inputs.stored = stored.get();
    inputs.facts = &this->facts;
    inputs.live.insert(this->deps.incarnation);
    if (this->rollouts.holds_duty()) { // the long list is copied only when it is needed
        for (const auto& one : this->fleet->live()) {
            inputs.live.insert(one.id);
        }
    }
    this->rollouts.on_tick(inputs, now());
}

void fleet_worker::handle(store_replied& event)
{
    switch (event.part) {
    case fleet_part::configuration:
        this->replica.on_reply(event.tag, event.reply, now());
        this->report_config_validity();
        break;
    case fleet_part::bills:
        this->ledger.on_reply(event.tag, event.reply, now());
        break;
    case fleet_part::membership:
        this->fleet->on_reply(event.tag, event.reply, now());
        break;
    case fleet_part::claims:
        this->claims.on_reply(event.tag, event.reply, now());
        break;
    case fleet_part::rollouts:
        this->rollouts.on_reply(event.tag, event.reply, now());
        break;
    case fleet_part::facts:
        break; // facts make no store calls
    }
}

void fleet_worker::handle(peer_message_received& event)
{
    const auto from = to_member(event);
    this->fleet->on_message(from, event.message, now());
    this->replica.on_message(from, event.message, now());
    this->facts.on_message(event.message, now());
    this->ledger.on_message(from, event.message, now());
}

void fleet_worker::handle(bill_due& event)
{
    auto request = event.what.request;
    this->unbilled.emplace(request, std::move(event));
    this->ledger.on_bill(this->unbilled.find(request)->second.what, now());
}

void fleet_worker::handle(claim_requested& event)
{
    const auto number =
        this->claims.claim(event.team, event.key, adapters::random_identifier(), now());
    this->claimants.emplace(number, std::move(event.caller));
}

void fleet_worker::handle(claim_settled& event)
{
    auto end = coordination::claim_state::unknown;
    if (event.run == decision::run_state::ran) {
        end = coordination::claim_state::ran;
    } else if (event.run == decision::run_state::not_run) {
        end = coordination::claim_state::not_run;
    }
    this->claims.settle(event.claim, end, event.outcome, now());
}

void fleet_worker::handle(fact_observed& event)
{
    const auto& fact = event.what;
    this->facts.publish(fact.kind, fact.subject, fact.value, fact.time_to_live, now());
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::fact_learned& action)
{
    using coordination::fact_kind;
    using status = decision::suspect_table::suspect_status;
    const auto& fact = action.learned;
    if (fact.author == this->deps.incarnation) {
        return;
    }
    switch (fact.kind) {
    case fact_kind::endpoint_leaving:
        this->routing->submit(
            endpoint_leaving_reported{fact.subject, static_cast<std::uint64_t>(fact.value)});
        break;
    case fact_kind::request_quarantined:
        this->routing->submit(suspect_status_reported{fingerprint_of(fact), status::quarantined});
        break;
    case fact_kind::request_suspect:
        this->routing->submit(suspect_status_reported{fingerprint_of(fact), status::suspect});
        break;
    case fact_kind::version_tripped:
        this->routing->submit(
            version_trip_reported{fact.subject, static_cast<std::uint64_t>(fact.value)});
        break;
    case fact_kind::exposure_spent:
        break;
    }
}

// Nothing to do: the components that use facts expire them on their own.
void fleet_worker::carry_out(fleet_part /*part*/, const coordination::fact_removed& /*action*/) {}

void fleet_worker::handle(leave_begun& event)
{
    if (!event.is_over) {
        this->fleet->leave(now());
        this->rollouts.release();
        return;
    }
    this->fleet->depart(now());
    this->carry_out_all();
    this->left = true;
    this->publish_view();
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::claim_decided& action)
{
    const auto found = this->claimants.find(action.claim);
    const auto caller = found->second;
    this->claimants.erase(found);
    claim_answer answer;
    if (action.verdict == coordination::claim_verdict::granted) {
        answer.granted = action.claim;
    } else {
        answer.why = to_failure(action);
    }
    caller->push(answer);
    // A caller that has stopped waiting dispatches nothing. Its claim must not block the next send.
    if (answer.granted && caller->claim_abandoned.load()) {
        this->claims.settle(action.claim, coordination::claim_state::not_run, "", now());
    }
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::member_changed& action)
{
    const auto& changed = action.changed;
    adapters::log_change("member_changed",
                         {{"member", changed.id}, {"state", state_name(changed.state)}});
    if (changed.state == member_state::dead) {
        this->ledger.on_member_dead(changed.id, now());
    }
    this->update_members();
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::bill_safe& action)
{
    // Several callers may wait for one bill if several resends of a request completed.
    const auto [first, last] = this->unbilled.equal_range(action.request);
    for (auto waiting = first; waiting != last; ++waiting) {
        waiting->second.caller->push(std::move(waiting->second.ending));
    }
    this->unbilled.erase(first, last);
}

void fleet_worker::carry_out(fleet_part part, const coordination::store_call& action)
{
    this->deps.counts.add("pearhaven_store_calls_total", {{"part", part_name(part)}});
    this->deps.store.submit(action.request,
                            [this, part, tag = action.tag](const coordination::kv_reply& reply) {
                                this->submit(store_replied{part, tag, reply});
                            });
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::send_message& action)
{
    this->link->send({action.to.host, action.to.port}, action.message);
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::unreadable_value& action)
{
    this->deps.counts.add("pearhaven_unreadable_values_total", {});
    adapters::log_warning("stored_value_unreadable", {{"key", action.key}});
}

void fleet_worker::carry_out(fleet_part /*part*/, const coordination::config_applied& action)
{
    auto built = adapters::build_configuration(action.state->revision(), action.state->objects());
    for (const auto& fault : built.faults) {
        adapters::log_warning("configuration_object_ignored",
                              {{"fault", adapters::to_string(fault)}});
    }
    // Caller threads admit requests by the published configuration, and the dispatcher checks them
    // against its own. The dispatcher must get a new configuration first: otherwise it refuses
    // callers whose team or key it does not know yet.
    this->routing->submit(configuration_changed{built.configuration});
    this->deps.configuration.set(std::move(built.configuration));
    this->fleet->set_config_revision(action.state->revision());
    adapters::log_change("configuration_in_force",
                         {{"revision", std::to_string(action.state->revision())}});
}

template <class Part>
void fleet_worker::carry_out_part(fleet_part part, Part& source)
{
    for (const auto& action : source.take_actions()) {
        std::visit([this, part](const auto& what) { this->carry_out(part, what); }, action);
    }
}

void fleet_worker::carry_out_all()
{
    this->carry_out_part(fleet_part::configuration, this->replica);
    this->carry_out_part(fleet_part::bills, this->ledger);
    this->carry_out_part(fleet_part::claims, this->claims);
    this->carry_out_part(fleet_part::membership, *this->fleet);
    this->carry_out_part(fleet_part::facts, this->facts);
    this->carry_out_part(fleet_part::rollouts, this->rollouts);
}

decision::instant fleet_worker::config_valid_until(decision::instant moment) const
{
    if (!this->replica.is_ready() || !this->replica.may_take_new_work(moment)) {
        return moment;
    }
    const auto age = this->replica.confirmed_age(moment);
    const bool is_confirmed = age && *age < freshness_bound;
    return moment + (is_confirmed ? freshness_bound - *age : outage_agreement_lifetime);
}

void fleet_worker::report_config_validity()
{
    const auto moment = now();
    const auto until = this->config_valid_until(moment);
    const bool in_touch = until > moment;
    const bool is_change =
        until - this->reported_until >= min_validity_step || in_touch != this->was_in_touch;
    if (!is_change) {
        return;
    }
    this->carry_out_all(); // a newer configuration must arrive before its validity
    this->reported_until = until;
    this->routing->submit(config_validity_changed{until});
    if (in_touch != this->was_in_touch) {
        this->was_in_touch = in_touch;
        adapters::log_change(in_touch ? "configuration_confirmed" : "configuration_unconfirmed",
                             {{"revision", std::to_string(this->replica.current()->revision())}});
    }
}

void fleet_worker::publish_view()
{
    fleet_view fresh;
    fresh.revision = this->replica.current()->revision();
    fresh.confirmed_age = this->replica.confirmed_age(now());
    fresh.ready = this->replica.is_ready();
    fresh.in_touch = this->was_in_touch;
    fresh.outage_agreed = this->replica.is_outage_agreed(now());
    fresh.left = this->left;
    fresh.members = this->fleet->live();
    fresh.bills_waiting = this->ledger.waiting();
    this->latest_view.set(std::move(fresh));
}

} // namespace pearhaven::router
