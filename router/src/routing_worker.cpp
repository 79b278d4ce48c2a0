#include "routing_worker.hpp"

#include "engine_event.hpp"

#include "clock.hpp"
#include "rollout_subject.hpp"
#include "service_attempt.hpp"

#include "pearhaven/adapters/authenticator.hpp"
#include "pearhaven/adapters/log.hpp"
#include "pearhaven/adapters/platform.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace pearhaven::router {

namespace {

constexpr std::size_t ring_capacity = 16384;
constexpr std::chrono::milliseconds tick_period{20};
constexpr std::chrono::milliseconds view_period{200};
constexpr std::chrono::milliseconds load_timeout{1000};
constexpr std::size_t max_load_body = 4096;
constexpr decision::duration leaving_lifetime = std::chrono::minutes(10);
constexpr decision::duration standing_lifetime = std::chrono::hours(1);

// A rollout's counts are republished periodically, so that they outlive the fact's time to live.
constexpr std::chrono::milliseconds rollouts_period{200};
constexpr decision::duration rollout_repeat = std::chrono::minutes(1);
constexpr decision::duration rollout_lifetime = std::chrono::minutes(10);

decision::dispatcher_settings dispatcher_settings_of(const router_settings& settings,
                                                     std::uint64_t seed)
{
    decision::dispatcher_settings chosen;
    chosen.endpoints.zone = settings.zone;
    chosen.endpoints.router_seed = seed;
    chosen.seed = seed;
    return chosen;
}

decision::endpoint_host to_endpoint(const adapters::listed_host& host)
{
    return {host.address, host.name, host.zone, host.incarnation, host.leaving, host.tags};
}

} // namespace

routing_worker::routing_worker(const router_settings& chosen, adapters::http_client& http_client,
                               fleet_sink& fleet_events, adapters::metrics& process_metrics,
                               std::uint64_t seed)
    : settings(chosen), client(http_client), fleet(fleet_events), counts(process_metrics),
      dispatcher(dispatcher_settings_of(chosen, seed)), ring(ring_capacity)
{}

routing_worker::~routing_worker()
{
    this->stop();
}

void routing_worker::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void routing_worker::stop()
{
    this->ring.close();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool routing_worker::submit(routing_event event)
{
    return this->ring.push(std::move(event));
}

bool routing_worker::offer(routing_event& event)
{
    return this->ring.try_push(event);
}

routing_view routing_worker::view() const
{
    const std::lock_guard guard(this->view_mutex);
    return this->latest_view;
}

void routing_worker::run()
{
    while (!this->ring.is_closed_and_empty()) {
        auto event = this->ring.pop_for(tick_period);
        if (event) {
            std::visit([this](auto& what) { this->handle(what); }, *event);
        }
        if (now() >= this->next_tick) {
            this->next_tick = now() + tick_period;
            const auto processed_until = now();
            this->handle_waiting();
            this->dispatcher.on_tick(now(), processed_until);
            this->poll_when_due();
        }
        this->carry_out();
    }
}

// Handles the events that have arrived by now, before the dispatcher checks for timeouts.
void routing_worker::handle_waiting()
{
    for (auto waiting = this->ring.size(); waiting > 0; --waiting) {
        if (auto event = this->ring.pop_for(std::chrono::milliseconds::zero())) {
            std::visit([this](auto& what) { this->handle(what); }, *event);
        }
    }
}

void routing_worker::handle(request_arrived& event)
{
    this->records.emplace(event.what.ticket, request_record{event.caller, nullptr, {}, 0.0});
    this->dispatcher.on_arrival(std::move(event.what), now());
}

void routing_worker::handle(caller_gone& event)
{
    this->dispatcher.on_caller_gone(event.ticket, now());
    this->carry_out();
    this->records.erase(event.ticket);
}

void routing_worker::handle(configuration_changed& event)
{
    this->dispatcher.on_configuration(event.current, now());
    this->evacuations.on_configuration(
        *event.current, {"configuration", decision::duration::zero(), event.current->revision()});
    this->carry_out();
    // Set only after the dispatcher has applied it: once an operator sees that a withdrawal is in
    // force, the withdrawn version must not be started again.
    this->revision_in_force.store(event.current->revision());
}

void routing_worker::handle(config_validity_changed& event)
{
    this->dispatcher.on_config_confirmed(event.until, now());
}

void routing_worker::handle(hosts_listed& event)
{
    this->dispatcher.on_hosts(event.hosts, now());
}

void routing_worker::handle(load_reported& event)
{
    if (!this->dispatcher.on_load_report(event.address, event.report, now())) {
        this->counts.add("pearhaven_load_reports_dropped_total", {});
    }
}

void routing_worker::handle(endpoint_leaving_reported& event)
{
    this->dispatcher.on_endpoint_leaving(event.address, event.incarnation, now());
}

void routing_worker::handle(suspect_status_reported& event)
{
    this->dispatcher.on_peer_suspect_status(event.fingerprint, event.status, now());
}

void routing_worker::handle(fleet_changed& event)
{
    this->dispatcher.on_fleet(event.rank, event.size);
}

void routing_worker::handle(version_trip_reported& event)
{
    this->dispatcher.on_peer_trip(event.version, event.run, now());
}

void routing_worker::handle(drain_begun& begun)
{
    this->dispatcher.begin_stop(begun.times);
}

void routing_worker::handle(attempt_ended& ended)
{
    const auto found = this->records.find(ended.end.ticket);
    if (found == this->records.end()) {
        return;
    }
    if (ended.used.completion_tokens > 0) {
        ended.end.actual_work =
            decision::measured_work(ended.used.prompt_tokens, ended.used.completion_tokens);
    }
    const auto end = ended.end;
    found->second.last = std::move(ended);
    this->dispatcher.on_attempt_end(end, now());
}

void routing_worker::carry_out()
{
    for (const auto& action : this->dispatcher.take_actions()) {
        std::visit([this](const auto& what) { this->carry_out(what); }, action);
    }
}

void routing_worker::carry_out(const decision::start_attempt& action)
{
    auto& record = this->records.at(action.ticket);
    record.caller->push(run_started{action.version});
    this->counts.add("pearhaven_attempts_total", {{"target", action.version}});
    if (record.caller->is_service) {
        this->start_service(record, action);
        return;
    }
    this->start_engine(record, action);
}

void routing_worker::start_engine(request_record& record, const decision::start_attempt& action)
{
    const auto& caller = record.caller;
    const auto suffix =
        "." + adapters::random_identifier().substr(0, 8) + "." + std::to_string(action.attempt);
    record.run = engine_run_ptr(new engine_run(caller->request_id + suffix, action.version));
    const auto* version = this->dispatcher.current()->find_version(action.version);
    record.cost_per_token = version == nullptr ? 0.0 : version->cost_per_token;
    adapters::http_request request;
    request.method = "POST";
    request.url = "http://" + action.address + "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Run-Id", record.run->id()},
                       {"X-Request-Id", caller->request_id},
                       {"X-Priority", std::to_string(caller->priority)}};
    request.body = "{\"model\":" + nlohmann::json(action.version).dump() + "," + caller->body;
    request.connect_timeout = this->settings.connect_timeout;
    request.first_byte_timeout = this->settings.first_byte_timeout;
    request.progress_timeout = this->settings.progress_timeout;
    request.fresh_connection = !caller->idempotent;
    request.may_resend = caller->idempotent;
    caller->transfer = this->client.start(
        std::move(request), new engine_attempt(*this, caller, record.run, action.attempt, false));
}

void routing_worker::start_service(request_record& record, const decision::start_attempt& action)
{
    const auto& caller = record.caller;
    adapters::http_request request;
    request.method = caller->method;
    request.url = "http://" + action.address + caller->path;
    request.headers = {{"X-Run-Id", caller->request_id + "." + std::to_string(action.attempt)},
                       {"X-Request-Id", caller->request_id}};
    if (!caller->content_type.empty()) {
        request.headers.emplace_back("Content-Type", caller->content_type);
    }
    request.body = caller->body;
    request.connect_timeout = this->settings.connect_timeout;
    request.first_byte_timeout = this->settings.service_timeout;
    request.progress_timeout = this->settings.service_timeout;
    // If a service closes an idle connection just as a call is sent, it is unknown whether the call
    // ran. Calls that must not be repeated use a fresh connection and are sent once.
    request.fresh_connection = !caller->idempotent;
    request.may_resend = caller->idempotent;
    caller->transfer =
        this->client.start(std::move(request), new service_attempt(*this, caller, action.attempt));
}

void routing_worker::carry_out(const decision::resume_attempt& action)
{
    auto& record = this->records.at(action.ticket);
    this->counts.add("pearhaven_resumes_total", {{"target", record.run->version()}});
    adapters::http_request request;
    request.url = "http://" + action.address + "/v1/runs/" + record.run->id() +
                  "/resume?offset=" + std::to_string(action.offset);
    request.connect_timeout = this->settings.connect_timeout;
    request.first_byte_timeout = this->settings.first_byte_timeout;
    request.progress_timeout = this->settings.progress_timeout;
    request.fresh_connection = true;
    record.caller->transfer =
        this->client.start(std::move(request), new engine_attempt(*this, record.caller, record.run,
                                                                  action.attempt, true));
}

void routing_worker::carry_out(const decision::cancel_attempt& action)
{
    const auto& record = this->records.at(action.ticket);
    this->client.cancel(record.caller->transfer);
    if (record.run) {
        adapters::http_request request;
        request.method = "DELETE";
        request.url = "http://" + action.address + "/v1/runs/" + record.run->id();
        request.total_timeout = load_timeout;
        adapters::fetch(this->client, std::move(request), max_load_body,
                        [](const adapters::http_answer&) {});
    }
}

coordination::bill routing_worker::make_bill(const request_record& record,
                                             const decision::complete_request& action) const
{
    coordination::bill bill;
    bill.request = record.caller->request_id;
    bill.team = record.caller->team;
    bill.endpoint = action.address;
    if (record.caller->is_service) {
        bill.version = "services/" + action.version;
        return bill;
    }
    bill.version = action.version;
    bill.prompt_tokens = record.last.used.prompt_tokens;
    bill.completion_tokens = record.last.used.completion_tokens;
    bill.cost =
        record.cost_per_token * static_cast<double>(bill.prompt_tokens + bill.completion_tokens);
    return bill;
}

void routing_worker::carry_out(const decision::complete_request& action)
{
    const auto found = this->records.find(action.ticket);
    auto& record = found->second;
    bill_due due;
    due.what = this->make_bill(record, action);
    due.caller = record.caller;
    due.ending = answer_complete{record.last.used, std::move(record.last.last_event)};
    this->fleet.submit(std::move(due));
    this->records.erase(found);
}

void routing_worker::carry_out(const decision::give_up_request& action)
{
    const auto found = this->records.find(action.ticket);
    found->second.caller->push(answer_failed{action.why});
    this->records.erase(found);
}

void routing_worker::carry_out(const decision::announce_leaving& action)
{
    coordination::fact fact;
    fact.kind = coordination::fact_kind::endpoint_leaving;
    fact.subject = action.address;
    fact.value = static_cast<double>(action.incarnation);
    fact.time_to_live = leaving_lifetime;
    this->fleet.submit(fact_observed{std::move(fact)});
}

void routing_worker::carry_out(const decision::announce_suspect_status& action)
{
    using status = decision::suspect_table::suspect_status;
    if (action.suspect_status == status::clear) {
        return;
    }
    coordination::fact fact;
    fact.kind = action.suspect_status == status::quarantined
                    ? coordination::fact_kind::request_quarantined
                    : coordination::fact_kind::request_suspect;
    fact.subject = std::to_string(action.fingerprint);
    fact.time_to_live = standing_lifetime;
    this->fleet.submit(fact_observed{std::move(fact)});
}

void routing_worker::carry_out(const decision::report_reachability& action)
{
    adapters::log_change(action.reachable ? "endpoints_reachable" : "endpoints_unreachable",
                         {{"target", action.target}});
}

void routing_worker::carry_out(const decision::report_repeat_prevented& action)
{
    this->counts.add("pearhaven_repeats_prevented", {});
    adapters::log_warning("repeat_prevented", {{"ticket", std::to_string(action.ticket)}});
}

void routing_worker::poll_when_due()
{
    const auto moment = now();
    if (moment >= this->next_hosts) {
        this->next_hosts = moment + this->settings.host_list_period;
        this->poll_hosts();
    }
    if (moment >= this->next_loads) {
        this->next_loads = moment + this->settings.load_period;
        this->poll_loads();
    }
    if (moment >= this->next_rollouts) {
        this->next_rollouts = moment + rollouts_period;
        this->report_rollouts();
    }
    if (moment >= this->next_view) {
        this->next_view = moment + view_period;
        this->publish_view();
    }
}

void routing_worker::report_rollouts()
{
    const auto moment = now();
    std::map<std::string, reported_rollout> reported;
    for (auto& report : this->dispatcher.rollouts()) {
        const auto before = this->reported_rollouts.find(report.name);
        const bool is_known = before != this->reported_rollouts.end() &&
                              before->second.report == report &&
                              moment - before->second.at < rollout_repeat;
        if (!is_known) {
            this->report_rollout(report);
        }
        const auto at = is_known ? before->second.at : moment;
        auto name = report.name;
        reported.emplace(std::move(name), reported_rollout{std::move(report), at});
    }
    this->reported_rollouts = std::move(reported);
}

void routing_worker::report_rollout(const decision::rollout_report& report)
{
    using coordination::fact_kind;
    const auto publish = [this](fact_kind kind, std::string subject, std::uint64_t value) {
        coordination::fact fact;
        fact.kind = kind;
        fact.subject = std::move(subject);
        fact.value = static_cast<double>(value);
        fact.time_to_live = rollout_lifetime;
        this->fleet.submit(fact_observed{std::move(fact)});
    };
    if (report.tripped) {
        publish(fact_kind::version_tripped, report.to, report.run);
    }
    if (report.state == decision::rollout_state::running && report.run != 0) {
        const auto subject = [&report](const char* what) {
            return rollout_subject(report.name, report.run, what);
        };
        publish(fact_kind::exposure_spent, subject(good_outcomes), report.seen.good);
        publish(fact_kind::exposure_spent, subject(bad_outcomes), report.seen.bad);
        publish(fact_kind::exposure_spent, subject(remaining_callers), report.left);
    }
}

void routing_worker::poll_hosts()
{
    adapters::fetch_host_list(this->client, this->settings.host_list_url,
                              [this](const auto& listed) {
                                  if (!listed) {
                                      return;
                                  }
                                  hosts_listed event;
                                  for (const auto& host : *listed) {
                                      event.hosts.push_back(to_endpoint(host));
                                  }
                                  this->submit(std::move(event));
                              });
}

// Only engines provide load reports. A plain service defines its own paths, so polling it would be
// a call to it.
bool routing_worker::gives_load_reports(const decision::endpoint_host& host) const
{
    const auto& current = this->dispatcher.current();
    if (!current) {
        return false;
    }
    const auto& pools = current->pools();
    return std::any_of(pools.begin(), pools.end(), [&host](const auto& named) {
        return named.second.hosts.matches(host.tags);
    });
}

void routing_worker::poll_loads()
{
    for (const auto& address : this->dispatcher.endpoints().used_addresses(now())) {
        const auto host = this->dispatcher.endpoints().find(address);
        if (!host || !this->gives_load_reports(*host)) {
            continue;
        }
        adapters::http_request request;
        request.url = "http://" + address + "/v1/load";
        request.total_timeout = load_timeout;
        adapters::fetch(this->client, std::move(request), max_load_body,
                        [this, address, asked = host->incarnation](const auto& answer) {
                            const auto load = read_load(answer.body, asked);
                            if (!answer.result.error && load) {
                                this->submit(load_reported{address, *load});
                            }
                        });
    }
}

void routing_worker::publish_view()
{
    routing_view fresh;
    fresh.endpoints = this->dispatcher.endpoints().status(now());
    fresh.in_flight = this->dispatcher.in_flight();
    fresh.queued = this->dispatcher.queued();
    const std::lock_guard guard(this->view_mutex);
    this->latest_view = std::move(fresh);
}

} // namespace pearhaven::router
