#include "pearhaven/router/event_relay.hpp"

#include "relayed_request.hpp"

#include "pearhaven/adapters/log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

namespace pearhaven::router {

namespace {

using adapters::head_verdict;
using adapters::milliseconds;
using decision::attempt_result;
using decision::duration;
using decision::ticket_number;

// Logged status of a stream that broke off after its head was sent to the caller.
constexpr int status_ok = 200;

// Maximum number of endpoints whose last activity is remembered.
constexpr std::size_t max_tracked_endpoints = 4096;

// Retry delay for callers whose request has waited for a configuration in vain.
constexpr duration behind_retry_delay = std::chrono::milliseconds(300);

// Part of the memory for answers up to which endpoints' failures are kept for their callers, while
// other endpoints are asked.
constexpr std::size_t parts_for_kept_failures = 2;

// Bytes of a caller-supplied request target that are logged.
constexpr std::size_t max_logged_target = 100;

adapters::outbound_target target_of(const decision::endpoint_host& endpoint)
{
    const auto& reached = endpoint.reached_at.empty() ? endpoint.address : endpoint.reached_at;
    const auto colon = reached.rfind(':');
    adapters::outbound_target target;
    target.pool = endpoint.address;
    target.host = reached.substr(0, colon);
    target.port = static_cast<std::uint16_t>(
        colon == std::string::npos ? 0 : std::strtoul(reached.c_str() + colon + 1, nullptr, 10));
    return target;
}

attempt_result result_of(const adapters::outbound_failure& how)
{
    switch (how.why) {
    case adapters::outbound_fault::not_connected:
        return attempt_result::unreachable;
    case adapters::outbound_fault::silent:
        return attempt_result::went_silent;
    case adapters::outbound_fault::connection_lost:
    case adapters::outbound_fault::malformed:
    case adapters::outbound_fault::no_memory:
        break;
    }
    return attempt_result::failed;
}

// Fingerprints in hexadecimal, separated by commas.
std::string text_of(const std::vector<std::uint64_t>& fingerprints)
{
    return fmt::format("{:016x}", fmt::join(fingerprints, ","));
}

const char* name_of(attempt_result result)
{
    switch (result) {
    case attempt_result::finished:
        return "finished";
    case attempt_result::refused:
        return "refused";
    case attempt_result::unreachable:
        return "unreachable";
    case attempt_result::failed:
        return "failed";
    case attempt_result::went_silent:
        return "silent";
    case attempt_result::cancelled:
        return "cancelled";
    }
    return "";
}

// The session's name in log lines. It is the same on all routers, so that a session's requests can
// be found across their logs. Empty if the request belongs to no session.
std::string session_name(const decision::arrival& work)
{
    return work.session_key == 0 ? std::string() : fmt::format("{:016x}", work.session_key);
}

const char* counter_of(decision::load_measure measure)
{
    switch (measure) {
    case decision::load_measure::made_cheaper:
        return "pearhaven_requests_made_cheaper";
    case decision::load_measure::ordered_back:
        return "pearhaven_requests_ordered_back";
    case decision::load_measure::odd_terms:
        return "pearhaven_requests_with_odd_terms";
    }
    return "";
}

adapters::metric_labels labels_of(const relayed_request& relayed)
{
    return {{"route", relayed.request.route},
            {"priority", std::to_string(relayed.request.work.priority)}};
}

bool is_refusal(answer_meaning meaning)
{
    return meaning == answer_meaning::refused || meaning == answer_meaning::refused_leaving ||
           meaning == answer_meaning::refused_other_process ||
           meaning == answer_meaning::refused_model;
}

// A request that waits for a configuration, until a time at which it is refused.
struct waiting_caller {
    adapters::inbound_exchange_ptr caller;
    decision::instant until;
};

// When an endpoint last sent something, and which incarnation of it. Activity of an earlier
// incarnation does not show that a restarted endpoint with the same address is alive.
struct endpoint_activity {
    std::uint64_t incarnation = 0;
    decision::instant at;
};

} // namespace

class event_relay::state
    : public boost::intrusive_ref_counter<state, boost::thread_unsafe_counter> {
public:
    state(adapters::event_loop& event_loop, adapters::http_outbound& client,
          decision::dispatcher& request_dispatcher, const caller_dialect& wire_dialect,
          adapters::metrics& relay_metrics, const event_relay_settings& chosen)
        : loop(event_loop), endpoints(client), dispatcher(request_dispatcher),
          dialect(wire_dialect), counts(relay_metrics), settings(chosen)
    {}

    void admit(const adapters::inbound_exchange_ptr& caller);
    void admit_waiting();
    void run_actions();
    void caller_gone(adapters::inbound_exchange& caller);
    void room(adapters::inbound_exchange& caller);
    void resume_those_with_room();

    // Events of one attempt's answer. `attempt` identifies late events of an earlier attempt.
    void on_connected(ticket_number ticket, decision::attempt_number attempt);
    head_verdict on_head(ticket_number ticket, decision::attempt_number attempt,
                         const adapters::http_response_head& head);
    void on_body(ticket_number ticket, decision::attempt_number attempt, std::string_view piece);
    void on_end(ticket_number ticket, decision::attempt_number attempt);
    bool on_silence(ticket_number ticket, decision::attempt_number attempt);
    void on_failure(ticket_number ticket, decision::attempt_number attempt,
                    const adapters::outbound_failure& how);
    [[nodiscard]] std::size_t held_bytes(ticket_number ticket, decision::attempt_number attempt);
    void release_held(ticket_number ticket, decision::attempt_number attempt);

    adapters::event_loop& loop;
    adapters::http_outbound& endpoints;
    decision::dispatcher& dispatcher;
    const caller_dialect& dialect;
    adapters::metrics& counts;
    event_relay_settings settings;
    run_report_listener* run_reports = nullptr;

    // References to a request stay valid across calls into its caller and into `endpoints`, which
    // never call back. `run_actions`, and whatever calls it, may invalidate them.
    std::unordered_map<ticket_number, relayed_request> requests;
    std::unordered_map<const adapters::inbound_exchange*, ticket_number> tickets;
    std::set<ticket_number> paused; // whose endpoints are not read

    // Requests that wait for a configuration, in the order of their arrival.
    std::deque<waiting_caller> waiting;

private:
    [[nodiscard]] relayed_request* find(ticket_number ticket, decision::attempt_number attempt);
    void carry_out(const decision::start_attempt& action);
    void carry_out(const decision::resume_attempt& action);
    void carry_out(const decision::cancel_attempt& action);
    void carry_out(const decision::complete_request& action);
    void carry_out(const decision::give_up_request& action);
    // Announcements for other routers. The program that embeds the relay sends them.
    void carry_out(const decision::announce_leaving& /*action*/) {}
    void carry_out(const decision::announce_suspect_status& /*action*/) {}
    void carry_out(const decision::announce_lost_run& action);
    void carry_out(const decision::announce_lost_prompt& action);
    void carry_out(const decision::announce_answered_prompt& action);
    void carry_out(const decision::report_quarantine_test& action);
    void carry_out(const decision::announce_finished_run& action);
    void carry_out(const decision::report_reachability& action);
    void carry_out(const decision::report_cheaper_answer& action);
    void carry_out(const decision::report_load_measure& action);
    void carry_out(const decision::report_repeat_prevented& action);

    [[nodiscard]] std::optional<decision::endpoint_host>
    find_endpoint(const decision::start_attempt& action) const;
    [[nodiscard]] bool is_nothing_heard() const;
    [[nodiscard]] std::uint64_t own_revision() const;
    [[nodiscard]] bool lacks_used_configuration() const;
    void record_used_configuration(const relayed_request& relayed);
    bool wait_or_refuse(const adapters::inbound_exchange_ptr& caller,
                        const std::variant<routed_request, local_answer>& read);
    void refuse_as_behind(adapters::inbound_exchange& caller);
    [[nodiscard]] bool is_behind(const adapters::inbound_exchange& caller) const;
    void resume(ticket_number ticket);
    void set_timeouts(const relayed_request& relayed, adapters::outbound_request& sent) const;
    void apply_notice(ticket_number ticket, const relayed_request& relayed);
    void log_unwanted_send(const relayed_request& relayed) const;
    void log_brittle_refusal(const relayed_request& relayed) const;
    static void log_limit(std::string_view event, std::string_view unit,
                          std::optional<double> limit, const relayed_request& relayed);
    void end_attempt(relayed_request& relayed, decision::attempt_end end,
                     const adapters::outbound_failure& how = {});
    void cut_off(ticket_number ticket, relayed_request& relayed);
    void pass_events(ticket_number ticket, relayed_request& relayed, std::string_view piece);
    void begin_answer(relayed_request& relayed);
    void buffer(ticket_number ticket, relayed_request& relayed, std::string_view piece);
    void forward_buffered(relayed_request& relayed);
    void keep_failed_answer(relayed_request& relayed);
    void discard(ticket_number ticket, relayed_request& relayed, std::size_t bytes);
    static void log_endless_answer(const relayed_request& relayed);
    [[nodiscard]] local_answer answer_to_forward(const relayed_request& relayed) const;
    void log_shed(const relayed_request& relayed, const decision::failure& why);
    void log_local_answer(const adapters::inbound_exchange& caller, const local_answer& answer);
    void log_end(const relayed_request& relayed, const std::string& outcome, int status);
    void publish_forecast_error(std::uint32_t size);
    void record_activity(relayed_attempt& attempt);
    static void record_attempt(relayed_request& relayed, const std::string& result);
    void forget(ticket_number ticket);

    ticket_number last_ticket = 0;
    std::unordered_map<std::string, endpoint_activity> last_activity; // by endpoint address
    decision::instant last_heard; // when any endpoint or peer last sent something

    // Newest configuration by which another router has run a request of this one, and since when.
    std::uint64_t used_revision = 0;
    decision::instant used_since;
    bool running = false;
};

namespace {

// Passes the events of one exchange to the relay. It may be called after the relay has been
// destroyed.
class attempt_listener final : public adapters::outbound_listener {
public:
    attempt_listener(boost::intrusive_ptr<event_relay::state> relay_state, ticket_number ticket,
                     decision::attempt_number attempt);
    void on_connected() override;
    head_verdict on_head(const adapters::http_response_head& head) override;
    void on_body(std::string_view piece) override;
    void on_end() override;
    bool on_silence() override;
    void on_failure(const adapters::outbound_failure& how) override;
    [[nodiscard]] std::size_t held_bytes() const override;
    void release_held() override;

private:
    boost::intrusive_ptr<event_relay::state> relay;
    ticket_number ticket;
    decision::attempt_number attempt;
};

} // namespace

relayed_request* event_relay::state::find(ticket_number ticket, decision::attempt_number attempt)
{
    const auto found = this->requests.find(ticket);
    const bool current = found != this->requests.end() && found->second.attempt.number == attempt;
    return current ? &found->second : nullptr;
}

void event_relay::state::admit(const adapters::inbound_exchange_ptr& caller)
{
    auto understood = this->dialect.read(*caller, this->dispatcher.current().get());
    if (this->lacks_used_configuration() && this->wait_or_refuse(caller, understood)) {
        return;
    }
    if (const auto* own = std::get_if<local_answer>(&understood)) {
        this->log_local_answer(*caller, *own);
        caller->answer(own->status, own->fields, own->body);
        return;
    }
    const auto ticket = ++this->last_ticket;
    relayed_request relayed;
    relayed.caller = caller;
    relayed.request = std::get<routed_request>(std::move(understood));
    relayed.request.work.ticket = ticket;
    relayed.last_event = relayed.request.last_event;
    auto work = relayed.request.work;
    this->tickets.emplace(caller.get(), ticket);
    this->requests.emplace(ticket, std::move(relayed));
    this->dispatcher.on_arrival(std::move(work), this->loop.now());
    this->run_actions();
}

// Whether the request is not admitted now, because this router's configuration is behind. A request
// that another router has handed on is refused at once, since that router has others to ask, and so
// is one that comes in a stop.
bool event_relay::state::wait_or_refuse(const adapters::inbound_exchange_ptr& caller,
                                        const std::variant<routed_request, local_answer>& read)
{
    const auto* routed = std::get_if<routed_request>(&read);
    const bool is_forwarded = this->dialect.is_forwarded(*caller);
    if (is_forwarded && routed == nullptr) {
        return false;
    }
    if (is_forwarded || this->dispatcher.is_stopping()) {
        this->refuse_as_behind(*caller);
        return true;
    }
    const auto latest = caller->arrived() + this->settings.max_configuration_wait;
    this->waiting.push_back(
        {caller, routed == nullptr ? latest : std::min(latest, routed->work.deadline)});
    return true;
}

// Those that have waited for too long are refused.
void event_relay::state::admit_waiting()
{
    const bool behind = this->lacks_used_configuration();
    const auto all = std::exchange(this->waiting, {});
    for (const auto& one : all) {
        if (!behind) {
            this->admit(one.caller);
        } else if (this->loop.now() >= one.until) {
            this->refuse_as_behind(*one.caller);
        } else {
            this->waiting.push_back(one);
        }
    }
}

std::uint64_t event_relay::state::own_revision() const
{
    const auto& current = this->dispatcher.current();
    return current ? current->revision() : 0;
}

// Whether a request that is run now could be run by an older configuration than an earlier one.
bool event_relay::state::lacks_used_configuration() const
{
    return this->own_revision() < this->used_revision &&
           this->loop.now() - this->used_since < this->settings.max_time_behind;
}

void event_relay::state::record_used_configuration(const relayed_request& relayed)
{
    const auto revision = relayed.attempt.facts.configuration;
    if (revision <= this->used_revision) {
        return;
    }
    this->used_revision = revision;
    this->used_since = this->loop.now();
    if (this->lacks_used_configuration()) {
        this->counts.add("pearhaven_configuration_behind", {});
        adapters::log_change("configuration_behind", {{"id", relayed.request.id},
                                                      {"own", std::to_string(this->own_revision())},
                                                      {"used", std::to_string(revision)},
                                                      {"by", relayed.attempt.endpoint.address}});
    }
}

void event_relay::state::refuse_as_behind(adapters::inbound_exchange& caller)
{
    const auto answer = this->dialect.refuse(
        {}, {decision::failure_code::config_unconfirmed, decision::run_state::not_run, true,
             behind_retry_delay, "another router has a newer configuration"});
    this->log_local_answer(caller, answer);
    caller.answer(answer.status, answer.fields, answer.body);
}

// Actions can trigger events, which produce further actions. The outermost call executes them all
// in order.
void event_relay::state::run_actions()
{
    if (this->running) {
        return;
    }
    this->running = true;
    for (auto actions = this->dispatcher.take_actions(); !actions.empty();
         actions = this->dispatcher.take_actions()) {
        for (const auto& action : actions) {
            std::visit([this](const auto& one) { this->carry_out(one); }, action);
        }
    }
    this->running = false;
}

void event_relay::state::carry_out(const decision::start_attempt& action)
{
    const auto found = this->requests.find(action.ticket);
    if (found == this->requests.end()) {
        return;
    }
    auto& relayed = found->second;
    relayed.attempt = {};
    relayed.attempt.number = action.attempt;
    relayed.attempt.started = this->loop.now();
    relayed.attempt.forwarded = action.forwarded;
    const auto endpoint = this->find_endpoint(action);
    if (!endpoint) {
        this->dispatcher.on_attempt_end(
            {action.ticket, action.attempt, attempt_result::unreachable}, this->loop.now());
        return;
    }
    relayed.attempt.endpoint = *endpoint;
    relayed.attempt.size = action.size;
    relayed.attempt.target_label = action.forwarded ? "forwarded" : action.version;
    attempt_terms terms;
    terms.endpoint = *endpoint;
    terms.time_left = relayed.request.work.deadline - this->loop.now();
    terms.last_event = relayed.last_event;
    terms.forwarded = action.forwarded;
    terms.only_at_once = action.only_at_once;
    terms.urgency = action.urgency;
    if (!action.forwarded && action.size < relayed.request.models.size()) {
        terms.model = relayed.request.models[action.size];
        relayed.attempt.target_label += "/" + std::to_string(action.size);
    }
    this->log_unwanted_send(relayed);
    auto sent = this->dialect.write(*relayed.caller, relayed.request, terms);
    this->set_timeouts(relayed, sent);
    relayed.attempt.exchange = this->endpoints.start(
        target_of(*endpoint), std::move(sent),
        new attempt_listener(boost::intrusive_ptr<state>(this), action.ticket, action.attempt));
}

// The endpoint of the attempt, or the router that takes it over; nothing if it is not known any
// more.
std::optional<decision::endpoint_host>
event_relay::state::find_endpoint(const decision::start_attempt& action) const
{
    if (!action.forwarded) {
        return this->dispatcher.endpoints().find(action.address);
    }
    decision::endpoint_host peer;
    peer.address = action.address;
    return peer;
}

// Whether all endpoints that are asked have been silent for so long that the router itself may be
// cut off from them.
bool event_relay::state::is_nothing_heard() const
{
    const auto now = this->loop.polled_until();
    if (now - this->last_heard <= this->settings.common_silence) {
        return false;
    }
    std::set<std::string_view> silent;
    for (const auto& [ticket, relayed] : this->requests) {
        const auto& attempt = relayed.attempt;
        const bool waits = attempt.number != 0 && !attempt.forwarded &&
                           now - attempt.started > this->settings.common_silence;
        if (waits) {
            silent.insert(attempt.endpoint.address);
        }
    }
    return silent.size() > 1;
}

// The timeouts for a silent endpoint apply only if another endpoint may be asked. Otherwise waiting
// may still yield the answer, and giving up cannot.
void event_relay::state::set_timeouts(const relayed_request& relayed,
                                      adapters::outbound_request& sent) const
{
    const auto& request = relayed.request;
    const auto left = request.work.deadline - this->loop.now();
    const bool has_other = decision::may_run_again(request.kind) && !relayed.attempt.forwarded &&
                           relayed.attempt.number < std::max(request.work.max_attempts, 1U);
    sent.connect_time = std::min(this->settings.connect_time, left);
    // The dispatcher ends requests at their deadline. These later timeouts are a fallback.
    sent.answer_time = left + this->settings.min_answer_timeout;
    sent.progress_time = left + this->settings.min_answer_timeout;
    // The endpoint may just have closed a reused connection. A request that must not run twice
    // could then not be sent again, although it never arrived.
    sent.fresh_connection = !decision::may_run_again(request.kind) || this->is_nothing_heard();
    if (!has_other) {
        return;
    }
    const bool streamed = decision::is_streamed(request.kind);
    const double part =
        streamed ? this->settings.stream_timeout_ratio : this->settings.plain_timeout_ratio;
    const auto timeout = this->dispatcher.first_response_timeout(request.work, part);
    if (timeout > duration::zero()) {
        sent.answer_time = std::min(left, std::max(timeout, this->settings.min_answer_timeout));
    }
    if (streamed && request.longest_pause > duration::zero()) {
        const auto pause = std::chrono::duration_cast<duration>(request.longest_pause *
                                                                this->settings.pause_timeout_ratio);
        sent.progress_time = std::min(left, std::max(pause, this->settings.min_answer_timeout));
    }
}

void event_relay::state::carry_out(const decision::resume_attempt& action)
{
    // Requests in this relay never resume a run: a run is lost with its connection.
    decision::attempt_end lost;
    lost.ticket = action.ticket;
    lost.attempt = action.attempt;
    lost.result = attempt_result::failed;
    lost.run_lost = true;
    this->dispatcher.on_attempt_end(lost, this->loop.now());
}

void event_relay::state::carry_out(const decision::cancel_attempt& action)
{
    if (auto* relayed = this->find(action.ticket, action.attempt)) {
        this->endpoints.cancel(relayed->attempt.exchange);
        record_attempt(*relayed, "cancelled");
        relayed->attempt.number = 0;
    }
}

void event_relay::state::carry_out(const decision::complete_request& action)
{
    const auto found = this->requests.find(action.ticket);
    if (found == this->requests.end()) {
        return;
    }
    auto& relayed = found->second;
    if (relayed.attempt.use == answer_use::forwarded) {
        this->begin_answer(relayed);
        relayed.caller->end();
        this->log_end(relayed, "answered", relayed.attempt.head.status);
    } else {
        const auto answer = this->answer_to_forward(relayed);
        relayed.caller->answer(answer.status, answer.fields, answer.body);
        this->log_end(relayed, "answered", answer.status);
    }
    this->forget(action.ticket);
}

void event_relay::state::carry_out(const decision::give_up_request& action)
{
    const auto found = this->requests.find(action.ticket);
    if (found == this->requests.end()) {
        return;
    }
    auto& relayed = found->second;
    if (action.why.code == decision::failure_code::shed) {
        this->log_shed(relayed, action.why);
    }
    if (relayed.began) {
        relayed.caller->abort();
        this->log_end(relayed, "broken: " + action.why.detail, status_ok);
    } else if (relayed.failed_answer) {
        const auto& own = *relayed.failed_answer;
        relayed.caller->answer(own.status, own.fields, own.body);
        this->log_end(relayed, "endpoint's failure: " + action.why.detail, own.status);
    } else {
        const auto answer = this->dialect.refuse(relayed.request, action.why);
        relayed.caller->answer(answer.status, answer.fields, answer.body);
        this->log_end(relayed, "given up: " + action.why.detail, answer.status);
    }
    this->forget(action.ticket);
}

void event_relay::state::carry_out(const decision::announce_lost_run& action)
{
    if (this->run_reports != nullptr) {
        this->run_reports->on_lost_run(action.run);
    }
}

void event_relay::state::carry_out(const decision::announce_finished_run& action)
{
    if (this->run_reports != nullptr) {
        this->run_reports->on_finished_run(action.fingerprint);
    }
}

void event_relay::state::carry_out(const decision::announce_lost_prompt& action)
{
    if (this->run_reports != nullptr) {
        this->run_reports->on_lost_prompt(action.prompt);
    }
}

void event_relay::state::carry_out(const decision::announce_answered_prompt& action)
{
    if (this->run_reports != nullptr) {
        this->run_reports->on_answered_prompt(action.prompt);
    }
}

void event_relay::state::carry_out(const decision::report_quarantine_test& action)
{
    const auto found = this->requests.find(action.ticket);
    const auto id = found == this->requests.end() ? "" : found->second.request.id;
    adapters::log_change("quarantine_tested",
                         {{"part", fmt::format("{:016x}", action.part)}, {"id", id}});
}

void event_relay::state::carry_out(const decision::report_reachability& action)
{
    adapters::log_change(action.reachable ? "endpoints_reachable" : "endpoints_unreachable",
                         {{"target", action.target}});
}

void event_relay::state::carry_out(const decision::report_cheaper_answer& action)
{
    const auto found = this->requests.find(action.ticket);
    const bool is_open = found != this->requests.end();
    const auto id = is_open ? found->second.request.id : "";
    const auto route = is_open ? found->second.request.route : "";
    this->counts.add("pearhaven_cheaper_answers", {{"route", route}});
    adapters::log_change("cheaper_answer", {{"id", id},
                                            {"route", route},
                                            {"confidence", fmt::format("{}", action.confidence)},
                                            {"forecast_ms", milliseconds(action.forecast)}});
}

void event_relay::state::publish_forecast_error(std::uint32_t size)
{
    const auto error = this->dispatcher.forecast_error(size);
    if (error > duration::zero()) {
        this->counts.set("pearhaven_forecast_error_seconds", {{"size", std::to_string(size)}},
                         std::chrono::duration<double>(error).count());
    }
}

void event_relay::state::carry_out(const decision::report_load_measure& action)
{
    const auto found = this->requests.find(action.ticket);
    if (found != this->requests.end()) {
        this->counts.add(counter_of(action.measure), labels_of(found->second));
    }
}

void event_relay::state::carry_out(const decision::report_repeat_prevented& action)
{
    this->counts.add("pearhaven_repeats_prevented", {});
    const auto found = this->requests.find(action.ticket);
    if (found != this->requests.end()) {
        adapters::log_warning("repeat_prevented", {{"id", found->second.request.id},
                                                   {"route", found->second.request.route},
                                                   {"attempts", found->second.history}});
    }
}

void event_relay::state::log_shed(const relayed_request& relayed, const decision::failure& why)
{
    this->counts.add("pearhaven_requests_shed", labels_of(relayed));
    adapters::log_change("request_shed",
                         {{"id", relayed.request.id},
                          {"route", relayed.request.route},
                          {"team", relayed.request.work.team},
                          {"priority", std::to_string(relayed.request.work.priority)},
                          {"retry_after_ms", milliseconds(why.retry_after)},
                          {"why", why.detail}});
}

void event_relay::state::on_connected(ticket_number ticket, decision::attempt_number attempt)
{
    this->dispatcher.on_connected(ticket, attempt);
}

head_verdict event_relay::state::on_head(ticket_number ticket, decision::attempt_number attempt,
                                         const adapters::http_response_head& head)
{
    auto* relayed = this->find(ticket, attempt);
    if (relayed == nullptr) {
        return head_verdict::drop;
    }
    auto& current = relayed->attempt;
    this->last_heard = this->loop.now();
    current.facts = current.forwarded ? this->dialect.judge_forwarded(relayed->request, head)
                                      : this->dialect.judge(relayed->request, head);
    if (current.facts.meaning == answer_meaning::of_other_request) {
        return head_verdict::skip;
    }
    // The process that was meant refuses the request for what it is.
    if (current.facts.meaning == answer_meaning::refused_other_process &&
        current.facts.process == current.endpoint.address) {
        current.facts.meaning = answer_meaning::refused_model;
    }
    this->apply_notice(ticket, *relayed);
    this->record_used_configuration(*relayed);
    current.head = head;
    current.head_bytes = adapters::allocated_bytes(head.fields);
    current.first_token = this->loop.now() - current.started;
    if (is_refusal(current.facts.meaning)) {
        current.use = answer_use::discarded;
        return head_verdict::take;
    }
    const bool success = current.facts.meaning == answer_meaning::success;
    if (success && !relayed->began && !current.forwarded) {
        const bool accepted = this->dispatcher.accepts_answer(
            ticket, attempt, current.facts.confidence, this->loop.now());
        this->publish_forecast_error(current.size);
        if (!accepted) {
            record_attempt(*relayed,
                           "poor" + std::to_string(static_cast<int>(current.facts.confidence)));
            adapters::log_change("answer_dropped",
                                 {{"id", relayed->request.id},
                                  {"endpoint", current.endpoint.address},
                                  {"incarnation", std::to_string(current.endpoint.incarnation)},
                                  {"parts", text_of(relayed->request.work.part_names)}});
            current.number = 0;
            this->run_actions();
            return head_verdict::drop;
        }
    }
    const bool forwards = success && decision::is_streamed(relayed->request.kind);
    current.use = forwards ? answer_use::forwarded : answer_use::buffered;
    return head_verdict::take;
}

void event_relay::state::apply_notice(ticket_number ticket, const relayed_request& relayed)
{
    const auto& current = relayed.attempt;
    const auto& notice = current.facts.notice;
    if (notice && notice->rest) {
        this->counts.add("pearhaven_endpoint_rests_stated", {});
        adapters::log_change("endpoint_rest",
                             {{"endpoint", current.endpoint.address},
                              {"incarnation", std::to_string(current.endpoint.incarnation)},
                              {"rest_ms", adapters::milliseconds(*notice->rest)},
                              {"id", relayed.request.id}});
    }
    if (notice && notice->leaving) {
        this->counts.add("pearhaven_leaving_answers", {});
        adapters::log_change("endpoint_leaving",
                             {{"endpoint", current.endpoint.address},
                              {"incarnation", std::to_string(current.endpoint.incarnation)},
                              {"id", relayed.request.id}});
    }
    if (!notice) {
        return;
    }
    const auto changes =
        this->dispatcher.on_endpoint_notice(ticket, current.number, *notice, this->loop.now());
    if (changes.requests) {
        this->counts.add("pearhaven_endpoint_limits_stated", {});
        log_limit("endpoint_limit", "requests_per_s", notice->request_limit, relayed);
    }
    if (changes.refusals) {
        this->counts.add("pearhaven_endpoint_refusal_limits_stated", {});
        log_limit("endpoint_refusal_limit", "refusals_per_s", notice->refusal_limit, relayed);
    }
}

void event_relay::state::log_limit(std::string_view event, std::string_view unit,
                                   std::optional<double> limit, const relayed_request& relayed)
{
    const auto& endpoint = relayed.attempt.endpoint;
    adapters::log_change(event, {{"endpoint", endpoint.address},
                                 {"incarnation", std::to_string(endpoint.incarnation)},
                                 {unit, limit ? fmt::format("{}", *limit) : "none"},
                                 {"id", relayed.request.id}});
}

// The routers' lines together show how much of the limit each of them used.
void event_relay::state::log_brittle_refusal(const relayed_request& relayed) const
{
    const auto& endpoint = relayed.attempt.endpoint;
    const auto& table = this->dispatcher.endpoints();
    const auto limit = table.refusal_limit_of(endpoint.address);
    if (!limit) {
        return;
    }
    this->counts.add("pearhaven_refusals_by_brittle_endpoints", {});
    adapters::log_change(
        "brittle_endpoint_refused",
        {{"id", relayed.request.id},
         {"endpoint", endpoint.address},
         {"incarnation", std::to_string(endpoint.incarnation)},
         {"refusals_per_s", fmt::format("{}", *limit)},
         {"known_requests", fmt::format("{}", table.requests_at(endpoint.address))},
         {"attempt", std::to_string(relayed.attempt.number)}});
}

void event_relay::state::log_unwanted_send(const relayed_request& relayed) const
{
    const auto& endpoint = relayed.attempt.endpoint;
    if (const auto limit = this->dispatcher.endpoints().request_limit_of(endpoint.address)) {
        this->counts.add("pearhaven_requests_to_limited_endpoints", {});
        adapters::log_change("limited_endpoint_used",
                             {{"id", relayed.request.id},
                              {"endpoint", endpoint.address},
                              {"incarnation", std::to_string(endpoint.incarnation)},
                              {"requests_per_s", fmt::format("{}", *limit)},
                              {"attempt", std::to_string(relayed.attempt.number)}});
    }
    const auto rest = this->dispatcher.endpoints().rests_until(endpoint.address) - this->loop.now();
    if (rest > duration::zero()) {
        this->counts.add("pearhaven_requests_to_resting_endpoints", {});
        adapters::log_change("resting_endpoint_used",
                             {{"id", relayed.request.id},
                              {"endpoint", endpoint.address},
                              {"incarnation", std::to_string(endpoint.incarnation)},
                              {"rest_left_ms", adapters::milliseconds(rest)},
                              {"attempt", std::to_string(relayed.attempt.number)}});
    }
}

void event_relay::state::on_body(ticket_number ticket, decision::attempt_number attempt,
                                 std::string_view piece)
{
    auto* relayed = this->find(ticket, attempt);
    if (relayed == nullptr) {
        return;
    }
    this->record_activity(relayed->attempt);
    this->dispatcher.on_piece(ticket, attempt, this->loop.now());
    if (relayed->attempt.use == answer_use::forwarded) {
        if (decision::is_streamed(relayed->request.kind)) {
            this->pass_events(ticket, *relayed, piece);
        } else {
            relayed->caller->write(piece);
        }
    } else if (relayed->attempt.use == answer_use::buffered) {
        this->buffer(ticket, *relayed, piece);
    } else if (relayed->attempt.use == answer_use::discarded) {
        this->discard(ticket, *relayed, piece.size());
    }
    const auto found = this->requests.find(ticket);
    if (found != this->requests.end() && this->is_behind(*found->second.caller)) {
        this->endpoints.pause(found->second.attempt.exchange, true);
        this->paused.insert(ticket);
    }
}

// Whether the caller takes its answer so slowly that no more may be held for it.
bool event_relay::state::is_behind(const adapters::inbound_exchange& caller) const
{
    const auto unsent = caller.unsent();
    return unsent > this->settings.max_unsent_with_room ||
           (unsent > this->settings.max_unsent && !caller.has_room());
}

void event_relay::state::resume(ticket_number ticket)
{
    this->paused.erase(ticket);
    this->endpoints.pause(this->requests.at(ticket).attempt.exchange, false);
}

// Other callers may have taken their answers, or left.
void event_relay::state::resume_those_with_room()
{
    const auto stopped = this->paused;
    for (const auto ticket : stopped) {
        if (!this->is_behind(*this->requests.at(ticket).caller)) {
            this->resume(ticket);
        }
    }
}

void event_relay::state::buffer(ticket_number ticket, relayed_request& relayed,
                                std::string_view piece)
{
    auto& current = relayed.attempt;
    current.buffered.append(piece);
    if (current.buffered.size() <= this->settings.max_buffered) {
        return;
    }
    if (current.facts.meaning == answer_meaning::success) {
        this->forward_buffered(relayed);
    } else {
        this->log_endless_answer(relayed);
        this->endpoints.cancel(current.exchange);
        decision::attempt_end end{ticket, current.number, attempt_result::failed};
        end.answer_began = true;
        end.answered_error = true;
        end.answer_reports_failure = true;
        this->end_attempt(relayed, end);
    }
}

void event_relay::state::forward_buffered(relayed_request& relayed)
{
    auto& current = relayed.attempt;
    current.use = answer_use::forwarded;
    this->begin_answer(relayed);
    relayed.caller->write(current.buffered);
    current.buffered.clear();
    current.buffered.shrink_to_fit();
}

std::size_t event_relay::state::held_bytes(ticket_number ticket, decision::attempt_number attempt)
{
    const auto* relayed = this->find(ticket, attempt);
    if (relayed == nullptr) {
        return 0;
    }
    const auto& current = relayed->attempt;
    return current.buffered.capacity() + current.events.allocated_bytes() + current.head_bytes;
}

// A plain answer can be passed on before it is whole. A part of an event cannot.
void event_relay::state::release_held(ticket_number ticket, decision::attempt_number attempt)
{
    auto* relayed = this->find(ticket, attempt);
    if (relayed != nullptr && relayed->attempt.use == answer_use::buffered &&
        relayed->attempt.facts.meaning == answer_meaning::success) {
        this->forward_buffered(*relayed);
    }
}

// Keeps an endpoint's failure, unless the answers hold too much already.
void event_relay::state::keep_failed_answer(relayed_request& relayed)
{
    auto answer = this->answer_to_forward(relayed);
    relayed.failed_answer.reset();
    relayed.failed_answer_charge = adapters::byte_charge(this->endpoints.held_bytes());
    const auto bytes = answer.body.capacity() + adapters::allocated_bytes(answer.fields);
    if (this->endpoints.held_bytes()->value() + bytes <=
        this->endpoints.max_held_bytes() / parts_for_kept_failures) {
        relayed.failed_answer_charge.set(bytes);
        relayed.failed_answer = std::move(answer);
    }
}

// The head has already said that the request did not run.
void event_relay::state::discard(ticket_number ticket, relayed_request& relayed, std::size_t bytes)
{
    auto& current = relayed.attempt;
    current.discarded_bytes += bytes;
    if (current.discarded_bytes > this->settings.max_buffered) {
        this->log_endless_answer(relayed);
        this->endpoints.cancel(current.exchange);
        this->on_end(ticket, current.number);
    }
}

void event_relay::state::log_endless_answer(const relayed_request& relayed)
{
    const auto& current = relayed.attempt;
    adapters::log_warning("answer_too_long", {{"id", relayed.request.id},
                                              {"endpoint", current.endpoint.address},
                                              {"status", std::to_string(current.head.status)}});
}

void event_relay::state::begin_answer(relayed_request& relayed)
{
    if (!relayed.began) {
        relayed.began = true;
        relayed.first_piece = this->loop.now();
        relayed.last_piece = relayed.first_piece;
        relayed.caller->begin(
            relayed.attempt.head.status,
            this->dialect.forwarded_fields(relayed.request, relayed.attempt.head));
    }
}

// An endpoint that resumes a stream must continue at the next event. Repeated events are skipped.
// After a gap, the rest of the run is useless.
void event_relay::state::pass_events(ticket_number ticket, relayed_request& relayed,
                                     std::string_view piece)
{
    auto& current = relayed.attempt;
    for (const auto& event : current.events.feed(piece)) {
        const auto expected = relayed.last_event + 1;
        if (current.invalid || (event.id && *event.id < expected)) {
            continue;
        }
        if (event.id && *event.id > expected && relayed.last_event > 0) {
            current.invalid = true;
            continue;
        }
        this->begin_answer(relayed);
        const auto now = this->loop.now();
        relayed.longest_pause = std::max(relayed.longest_pause, now - relayed.last_piece);
        relayed.last_piece = now;
        relayed.caller->write(event.bytes);
        relayed.last_event = event.id.value_or(relayed.last_event);
        ++current.tokens;
        if (const auto pace = current.pace.on_piece(now)) {
            this->dispatcher.on_pace(ticket, current.number, *pace);
        }
    }
    current.invalid = current.invalid || current.events.part_size() > this->settings.max_event_size;
    if (current.invalid) {
        adapters::log_warning("stream_gap", {{"id", relayed.request.id},
                                             {"endpoint", current.endpoint.address},
                                             {"after", std::to_string(relayed.last_event)},
                                             {"part", std::to_string(current.events.part_size())}});
        this->endpoints.cancel(current.exchange);
        this->end_attempt(relayed, {ticket, current.number, attempt_result::failed});
    }
}

// The endpoint's buffered answer. One that is not shown to be an endpoint's is replaced: its status
// could say that the request succeeded, or that it has not run.
local_answer event_relay::state::answer_to_forward(const relayed_request& relayed) const
{
    const auto& current = relayed.attempt;
    if (current.facts.meaning != answer_meaning::unproven) {
        return {current.head.status, this->dialect.forwarded_fields(relayed.request, current.head),
                current.buffered};
    }
    this->counts.add("pearhaven_answers_without_proof", {});
    adapters::log_warning("answer_without_proof",
                          {{"id", relayed.request.id},
                           {"endpoint", current.endpoint.address},
                           {"status", std::to_string(current.head.status)}});
    decision::failure why;
    why.code = decision::failure_code::endpoint_failed;
    why.run = decision::run_state::unknown;
    why.detail = "the endpoint's answer has no proof of its origin";
    return this->dialect.refuse(relayed.request, why);
}

void event_relay::state::on_end(ticket_number ticket, decision::attempt_number attempt)
{
    auto* relayed = this->find(ticket, attempt);
    if (relayed == nullptr) {
        return;
    }
    const auto& current = relayed->attempt;
    decision::attempt_end end;
    end.ticket = ticket;
    end.attempt = attempt;
    end.answer_began = true;
    end.first_token = current.first_token;
    if (is_refusal(current.facts.meaning)) {
        end.result = attempt_result::refused;
        end.endpoint_leaving = current.facts.meaning == answer_meaning::refused_leaving ||
                               current.facts.meaning == answer_meaning::refused_other_process;
        end.model_refused = current.facts.meaning == answer_meaning::refused_model;
        this->log_brittle_refusal(*relayed);
    } else if (current.facts.meaning == answer_meaning::endpoint_error ||
               current.facts.meaning == answer_meaning::unproven) {
        const bool repeatable = decision::may_run_again(relayed->request.kind);
        end.result = repeatable ? attempt_result::failed : attempt_result::finished;
        if (repeatable) {
            this->keep_failed_answer(*relayed);
        }
        end.answered_error = repeatable;
        end.answer_reports_failure = true;
    } else if (current.events.has_part()) {
        end.result = attempt_result::failed;
        end.connection_lost = current.head.ends_with_connection;
    } else {
        end.result = attempt_result::finished;
    }
    this->end_attempt(*relayed, end);
}

// An endpoint that is silent on one connection may be busy with other requests' prompts. It is
// given up if no connection of it shows activity, or if its silence is too long even for a busy
// endpoint, and only if the request may move to another endpoint.
bool event_relay::state::on_silence(ticket_number ticket, decision::attempt_number attempt)
{
    auto* relayed = this->find(ticket, attempt);
    if (relayed == nullptr) {
        return true;
    }
    if (relayed->attempt.use == answer_use::discarded) {
        return true;
    }
    if (!this->dispatcher.can_retry(ticket, this->loop.now())) {
        return false;
    }
    ++relayed->attempt.silences;
    const auto activity = this->last_activity.find(relayed->attempt.endpoint.address);
    const bool is_alive =
        activity != this->last_activity.end() &&
        activity->second.incarnation == relayed->attempt.endpoint.incarnation &&
        this->loop.polled_until() - activity->second.at < this->settings.liveness_window;
    return !is_alive || relayed->attempt.silences >= this->settings.max_silences;
}

void event_relay::state::on_failure(ticket_number ticket, decision::attempt_number attempt,
                                    const adapters::outbound_failure& how)
{
    auto* relayed = this->find(ticket, attempt);
    if (relayed == nullptr) {
        return;
    }
    if (relayed->began && !decision::is_streamed(relayed->request.kind)) {
        this->cut_off(ticket, *relayed);
        return;
    }
    if (relayed->attempt.use == answer_use::discarded) {
        this->on_end(ticket, attempt);
        return;
    }
    decision::attempt_end end;
    end.ticket = ticket;
    end.attempt = attempt;
    end.result = result_of(how);
    end.answer_began = how.answer_began;
    end.connection_lost = how.why == adapters::outbound_fault::connection_lost;
    this->end_attempt(*relayed, end, how);
}

// A plain answer that was too long to buffer broke off. The part that the caller has received
// cannot be taken back, so the caller's connection is closed.
void event_relay::state::cut_off(ticket_number ticket, relayed_request& relayed)
{
    this->dispatcher.on_caller_gone(ticket, this->loop.now());
    relayed.caller->abort();
    this->log_end(relayed, "broken: the endpoint was lost in the middle of the answer",
                  relayed.attempt.head.status);
    this->forget(ticket);
    this->run_actions();
}

void event_relay::state::end_attempt(relayed_request& relayed, decision::attempt_end end,
                                     const adapters::outbound_failure& how)
{
    auto& current = relayed.attempt;
    end.tokens = current.tokens;
    if (const auto pace = current.pace.at_end()) {
        this->dispatcher.on_pace(end.ticket, end.attempt, *pace);
    }
    record_attempt(relayed, name_of(end.result));
    if (end.result != attempt_result::finished) {
        this->counts.add("pearhaven_attempts_lost", {{"result", name_of(end.result)}});
        adapters::log_change("attempt_lost",
                             {{"id", relayed.request.id},
                              {"request", fmt::format("{:016x}", relayed.request.work.fingerprint)},
                              {"endpoint", current.endpoint.address},
                              {"incarnation", std::to_string(current.endpoint.incarnation)},
                              {"result", name_of(end.result)},
                              {"reused", how.was_reused ? "true" : "false"},
                              {"unacknowledged", how.unacknowledged ? "true" : "false"},
                              {"connection_lost", end.connection_lost ? "true" : "false"},
                              {"answer_began", end.answer_began ? "true" : "false"},
                              {"status", std::to_string(current.head.status)},
                              {"events", std::to_string(current.tokens)},
                              {"parts", text_of(relayed.request.work.part_names)},
                              {"after_ms", milliseconds(this->loop.now() - current.started)}});
    }
    if (end.result == attempt_result::went_silent) {
        // Other connections to the endpoint may be broken for the same reason.
        this->endpoints.forget(current.endpoint.address);
    }
    if (end.result != attempt_result::finished) {
        current.number = 0;
    }
    this->dispatcher.on_attempt_end(end, this->loop.now());
    this->run_actions();
}

// Endpoints change during the lifetime of the process. Entries dropped here are recreated by the
// next piece.
void event_relay::state::record_activity(relayed_attempt& attempt)
{
    if (this->last_activity.size() >= max_tracked_endpoints) {
        this->last_activity.clear();
    }
    this->last_heard = this->loop.now();
    this->last_activity[attempt.endpoint.address] = {attempt.endpoint.incarnation,
                                                     this->loop.now()};
    attempt.silences = 0;
}

void event_relay::state::record_attempt(relayed_request& relayed, const std::string& result)
{
    const auto& current = relayed.attempt;
    relayed.history.append(relayed.history.empty() ? "" : " ");
    relayed.history.append(current.endpoint.address).append("(").append(current.target_label);
    relayed.history.append("):").append(result);
}

void event_relay::state::log_local_answer(const adapters::inbound_exchange& caller,
                                          const local_answer& answer)
{
    this->counts.add("pearhaven_requests_answered_here",
                     {{"status", std::to_string(answer.status)}});
    adapters::log_change("request_refused",
                         {{"id", this->dialect.name_of(caller)},
                          {"target", caller.head().target.substr(0, max_logged_target)},
                          {"status", std::to_string(answer.status)},
                          {"config", std::to_string(this->own_revision())},
                          {"why", answer.body.substr(0, answer.body.find('\n'))}});
}

void event_relay::state::log_end(const relayed_request& relayed, const std::string& outcome,
                                 int status)
{
    const auto arrived = relayed.caller->arrived();
    const auto waited = this->loop.now() - arrived;
    const auto first = relayed.began ? relayed.first_piece - arrived : duration::zero();
    this->counts.add("pearhaven_requests_ended",
                     {{"route", relayed.request.route}, {"status", std::to_string(status)}});
    this->counts.observe("pearhaven_request_seconds", {{"team", relayed.request.work.team}},
                         waited);
    adapters::log_change("request_ended", {{"id", relayed.request.id},
                                           {"route", relayed.request.route},
                                           {"team", relayed.request.work.team},
                                           {"session", session_name(relayed.request.work)},
                                           {"outcome", outcome},
                                           {"status", std::to_string(status)},
                                           {"waited_ms", milliseconds(waited)},
                                           {"first_ms", milliseconds(first)},
                                           {"pause_ms", milliseconds(relayed.longest_pause)},
                                           {"events", std::to_string(relayed.last_event)},
                                           {"config", std::to_string(this->own_revision())},
                                           {"attempts", relayed.history}});
}

void event_relay::state::forget(ticket_number ticket)
{
    const auto found = this->requests.find(ticket);
    if (found != this->requests.end()) {
        this->tickets.erase(found->second.caller.get());
        this->paused.erase(ticket);
        this->requests.erase(found);
    }
}

void event_relay::state::caller_gone(adapters::inbound_exchange& caller)
{
    const auto found = this->tickets.find(&caller);
    if (found == this->tickets.end()) {
        std::erase_if(this->waiting,
                      [&caller](const auto& one) { return one.caller.get() == &caller; });
        return;
    }
    const auto ticket = found->second;
    this->dispatcher.on_caller_gone(ticket, this->loop.now());
    this->run_actions();
    const auto relayed = this->requests.find(ticket);
    if (relayed != this->requests.end()) {
        this->endpoints.cancel(relayed->second.attempt.exchange);
        this->log_end(relayed->second, "caller left", 0);
    }
    this->forget(ticket);
}

void event_relay::state::room(adapters::inbound_exchange& caller)
{
    const auto found = this->tickets.find(&caller);
    if (found != this->tickets.end()) {
        this->resume(found->second);
    }
}

namespace {

attempt_listener::attempt_listener(boost::intrusive_ptr<event_relay::state> relay_state,
                                   ticket_number of, decision::attempt_number number)
    : relay(std::move(relay_state)), ticket(of), attempt(number)
{}

void attempt_listener::on_connected()
{
    this->relay->on_connected(this->ticket, this->attempt);
}

head_verdict attempt_listener::on_head(const adapters::http_response_head& head)
{
    return this->relay->on_head(this->ticket, this->attempt, head);
}

void attempt_listener::on_body(std::string_view piece)
{
    this->relay->on_body(this->ticket, this->attempt, piece);
}

void attempt_listener::on_end()
{
    this->relay->on_end(this->ticket, this->attempt);
}

bool attempt_listener::on_silence()
{
    return this->relay->on_silence(this->ticket, this->attempt);
}

void attempt_listener::on_failure(const adapters::outbound_failure& how)
{
    this->relay->on_failure(this->ticket, this->attempt, how);
}

std::size_t attempt_listener::held_bytes() const
{
    return this->relay->held_bytes(this->ticket, this->attempt);
}

void attempt_listener::release_held()
{
    this->relay->release_held(this->ticket, this->attempt);
}

} // namespace

event_relay::event_relay(adapters::event_loop& loop, adapters::http_outbound& endpoints,
                         decision::dispatcher& dispatcher, const caller_dialect& dialect,
                         adapters::metrics& counts, const event_relay_settings& settings)
    : inner(new state(loop, endpoints, dispatcher, dialect, counts, settings))
{}

event_relay::~event_relay() = default;

bool event_relay::accepts_connection()
{
    return this->inner->loop.lag() <= this->inner->settings.max_lag_when_crowded ||
           !this->inner->dispatcher.is_crowded();
}

void event_relay::on_request(adapters::inbound_exchange_ptr caller)
{
    this->inner->admit(caller);
}

void event_relay::on_caller_gone(adapters::inbound_exchange& caller)
{
    this->inner->caller_gone(caller);
}

void event_relay::on_flushed(adapters::inbound_exchange& caller)
{
    this->inner->room(caller);
}

void event_relay::report_runs_to(run_report_listener& listener)
{
    this->inner->run_reports = &listener;
}

void event_relay::run_actions()
{
    this->inner->run_actions();
    this->inner->admit_waiting();
}

void event_relay::tick()
{
    const auto& loop = this->inner->loop;
    this->inner->admit_waiting();
    this->inner->resume_those_with_room();
    this->inner->dispatcher.on_tick(loop.now(), loop.polled_until());
    this->inner->run_actions();
}

std::size_t event_relay::in_flight() const
{
    return this->inner->requests.size() + this->inner->waiting.size();
}

} // namespace pearhaven::router
