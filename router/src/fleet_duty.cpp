#include "fleet_duty.hpp"

#include "clock.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"
#include "pearhaven/adapters/log.hpp"
#include "pearhaven/adapters/stored_values.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::router {

namespace {

using coordination::member_state;

constexpr std::size_t ring_capacity = 16384;
constexpr std::chrono::milliseconds tick_period{20};

coordination::config_replica_settings replica_settings_of(const fleet_duty::ports& all)
{
    coordination::config_replica_settings chosen;
    chosen.self = all.incarnation;
    chosen.zone = all.settings.zone;
    chosen.seed = all.seed;
    return chosen;
}

coordination::bill_ledger_settings ledger_settings_of(const fleet_duty::ports& all)
{
    coordination::bill_ledger_settings chosen;
    chosen.self = all.incarnation;
    chosen.zone = all.settings.zone;
    return chosen;
}

coordination::member_address to_member(const peer_spoke& event)
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

fleet_duty::fleet_duty(const ports& all_ports)
    : all(all_ports), ring(ring_capacity), head_codec(adapters::make_config_head_codec()),
      bill_codec(adapters::make_bill_page_codec()),
      replica(replica_settings_of(this->all), *this->head_codec, now()),
      ledger(ledger_settings_of(this->all), *this->bill_codec)
{}

fleet_duty::~fleet_duty()
{
    this->stop();
}

void fleet_duty::start(routing_sink& routing_events, adapters::peer_link& peer_link,
                       std::uint16_t operator_port)
{
    this->routing = &routing_events;
    this->link = &peer_link;
    this->own_operator_port = operator_port;
    this->thread = std::thread([this] { this->run(); });
}

void fleet_duty::stop()
{
    this->ring.close();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool fleet_duty::submit(fleet_event event)
{
    return this->ring.push(std::move(event));
}

void fleet_duty::run()
{
    this->replica.set_reader(true, now());
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

void fleet_duty::tick()
{
    const auto moment = now();
    this->replica.on_tick(moment);
    this->ledger.on_tick(moment);
    this->tell_touch();
    this->publish_view();
}

void fleet_duty::handle(store_replied& event)
{
    switch (event.part) {
    case fleet_part::configuration:
        this->replica.on_reply(event.tag, event.reply, now());
        this->tell_touch();
        break;
    case fleet_part::bills:
        this->ledger.on_reply(event.tag, event.reply, now());
        break;
    case fleet_part::membership:
    case fleet_part::claims:
        break;
    }
}

void fleet_duty::handle(peer_spoke& event)
{
    const auto from = to_member(event);
    this->replica.on_message(from, event.message, now());
    this->ledger.on_message(from, event.message, now());
}

void fleet_duty::handle(bill_due& event)
{
    auto request = event.what.request;
    this->unbilled.emplace(request, std::move(event));
    this->ledger.on_bill(this->unbilled.find(request)->second.what, now());
}

// Claims are kept by a part of their own; without one, work that must run at most once is refused.
void fleet_duty::handle(claim_wanted& event)
{
    claim_answer answer;
    answer.why = {decision::failure_code::not_in_touch, decision::run_state::not_run, true,
                  std::chrono::seconds(5), "claims cannot be made at present"};
    event.caller->push(std::move(answer));
}

void fleet_duty::handle(claim_settled& /*event*/) {}

void fleet_duty::handle(fact_found& /*event*/) {}

void fleet_duty::handle(leave_begun& /*event*/)
{
    this->left = true;
    this->publish_view();
}

void fleet_duty::carry_out(fleet_part /*part*/, const coordination::bill_safe& action)
{
    // Several callers may wait for one bill: resends of one request that all ran to their end.
    const auto [first, last] = this->unbilled.equal_range(action.request);
    for (auto waiting = first; waiting != last; ++waiting) {
        waiting->second.caller->push(std::move(waiting->second.ending));
    }
    this->unbilled.erase(first, last);
}

void fleet_duty::carry_out(fleet_part part, const coordination::store_call& action)
{
    this->all.counts.add("pearhaven_store_calls_total", {{"part", part_name(part)}});
    this->all.store.submit(action.request,
                           [this, part, tag = action.tag](const coordination::kv_reply& reply) {
                               this->submit(store_replied{part, tag, reply});
                           });
}

void fleet_duty::carry_out(fleet_part /*part*/, const coordination::send_message& action)
{
    this->link->send({action.to.host, action.to.port}, action.message);
}

void fleet_duty::carry_out(fleet_part /*part*/, const coordination::unreadable_value& action)
{
    this->all.counts.add("pearhaven_unreadable_values_total", {});
    adapters::log_warning("stored_value_unreadable", {{"key", action.key}});
}

void fleet_duty::carry_out(fleet_part /*part*/, const coordination::config_in_force& action)
{
    auto built = adapters::build_configuration(action.state->revision(), action.state->objects());
    for (const auto& fault : built.faults) {
        adapters::log_warning("configuration_object_ignored",
                              {{"fault", adapters::to_string(fault)}});
    }
    this->all.configuration.set(built.configuration);
    this->routing->submit(configuration_changed{std::move(built.configuration)});
    adapters::log_change("configuration_in_force",
                         {{"revision", std::to_string(action.state->revision())}});
}

template <class Part>
void fleet_duty::carry_out_part(fleet_part part, Part& source)
{
    for (const auto& action : source.take_actions()) {
        std::visit([this, part](const auto& what) { this->carry_out(part, what); }, action);
    }
}

void fleet_duty::carry_out_all()
{
    this->carry_out_part(fleet_part::configuration, this->replica);
    this->carry_out_part(fleet_part::bills, this->ledger);
}

void fleet_duty::tell_touch()
{
    const bool in_touch = this->replica.is_ready() && this->replica.may_take_new_work(now());
    if (this->told_touch == in_touch) {
        return;
    }
    this->carry_out_all(); // a newer configuration goes ahead of the word that it is in force
    this->told_touch = in_touch;
    this->routing->submit(touch_changed{in_touch});
    adapters::log_change(in_touch ? "configuration_confirmed" : "configuration_unconfirmed",
                         {{"revision", std::to_string(this->replica.current()->revision())}});
}

void fleet_duty::publish_view()
{
    fleet_view fresh;
    fresh.revision = this->replica.current()->revision();
    fresh.confirmed_age = this->replica.confirmed_age(now());
    fresh.ready = this->replica.is_ready();
    fresh.in_touch = this->told_touch.value_or(false);
    fresh.outage_agreed = this->replica.is_outage_agreed(now());
    fresh.left = this->left;
    fresh.bills_waiting = this->ledger.waiting();
    this->latest_view.set(std::move(fresh));
}

} // namespace pearhaven::router
