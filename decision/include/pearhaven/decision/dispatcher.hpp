#ifndef PEARHAVEN_DECISION_DISPATCHER_HPP
#define PEARHAVEN_DECISION_DISPATCHER_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/crashing_parts.hpp"
#include "pearhaven/decision/endpoint_filling_kinds.hpp"
#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/fair_queue.hpp"
#include "pearhaven/decision/load_forecast.hpp"
#include "pearhaven/decision/lost_runs.hpp"
#include "pearhaven/decision/overload_policy.hpp"
#include "pearhaven/decision/peer_forwarding.hpp"
#include "pearhaven/decision/reachability.hpp"
#include "pearhaven/decision/response_times.hpp"
#include "pearhaven/decision/retry_budget.hpp"
#include "pearhaven/decision/retry_savings.hpp"
#include "pearhaven/decision/rollout_exposure.hpp"
#include "pearhaven/decision/session_token.hpp"
#include "pearhaven/decision/size_choice.hpp"
#include "pearhaven/decision/speed_reference.hpp"
#include "pearhaven/decision/suspects.hpp"
#include "pearhaven/decision/time.hpp"
#include "pearhaven/decision/usual_runs.hpp"
#include "pearhaven/decision/version_choice.hpp"
#include "pearhaven/decision/work.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace pearhaven::decision {

// Numbers the attempts of one request, from 1, so that late events of an earlier attempt can be
// recognized.
using attempt_number = std::uint32_t;

// Whether the request ran, as reported with a final failure.
enum class run_state : std::uint8_t {
    not_run, // no endpoint ran any part of it
    ran,     // it ran, but its answer cannot be delivered
    unknown, // it may have run
};

enum class failure_code : std::uint8_t {
    unknown_model,
    model_refused, // an endpoint that serves the target does not have the model that was named
    not_allowed,
    version_withdrawn,
    session_ended, // the session's version is withdrawn or no longer allowed
    team_limit,
    overloaded,
    shed, // the answer was forecast to begin after the deadline, so it was not sent
    deadline_passed,
    no_endpoint,
    config_unconfirmed, // this router cannot confirm that its configuration is in force
    request_quarantined,
    endpoint_failed,
    answer_broken, // part of the answer was delivered and the rest is lost
    stopping,
    already_ran,     // an earlier send of the same claimed request ran
    in_progress,     // another send of the claimed request is in progress
    outcome_unknown, // another send of the claimed request may have run
};

// The final answer to a request that was given up. It is sent at once.
struct failure {
    failure_code code = failure_code::overloaded;
    run_state run = run_state::not_run;
    bool resend = true;     // whether sending the same request again can succeed
    duration retry_after{}; // when to send it again; zero if `resend` is false or there is no need
                            // to wait
    std::string detail;

    friend bool operator==(const failure&, const failure&) = default;
};

// How a run continues after its connection is lost.
enum class continuation : std::uint8_t {
    same_run, // the endpoint keeps the run: a new connection resumes it
    none,     // the run is lost with its connection; nothing can be appended to what was delivered
    another_run, // another endpoint can start a run that continues after what was delivered
};

// A request as the dispatcher sees it. The body stays with the caller's thread.
struct arrival {
    ticket_number ticket = 0;
    std::string team;
    std::string key_sha256; // digest of the caller's key; empty if no key was required

    // It has no key and its route is not public, so it may run only while no keys are needed.
    bool needs_open_access = false;

    std::string asked; // model, version or cascade; with `is_service`, the service name
    std::string kind;  // requests of one kind take similar time; if empty, `asked` is the kind
    bool is_service = false;
    bool idempotent = true;
    bool streamed = false; // the answer is delivered in pieces as they arrive
    std::optional<session> bound;

    // Identifies the session of a caller without a token; 0 if there is none.
    std::uint64_t session_key = 0;
    work_estimate work{};
    std::uint32_t priority = 5;
    instant deadline;
    std::uint64_t prefix_hash = 0;

    // Cost added to `work` where they are not cached; independent of the model.
    std::vector<prompt_part> parts;

    // Fingerprints of the names of the prompt's shared parts, regardless of their positions.
    std::vector<std::uint64_t> part_names;
    std::uint64_t fingerprint = 0;
    continuation on_loss = continuation::same_run;

    // Max endpoints that may run it; 0 to use the dispatcher's settings.
    std::uint32_t max_attempts = 0;

    // Another router forwarded it, so it may not be forwarded again.
    bool forwarded = false;

    // With `forwarded`: refused unless it can start at once, as the other router can wait as well.
    bool only_at_once = false;
    std::uint32_t sizes = 0;  // number of model sizes that may answer; 0 or 1 for no choice
    bool long_prompt = false; // prefill takes an engine longer than generating the answer
    duration objective{}; // target time from arrival to the first piece of the answer; zero if none
    bool continues_answer = false; // the caller already has the beginning of the answer

    // Whole and resumed requests of one route are different kinds. If empty, the kind is the route.
    std::string route;

    friend bool operator==(const arrival&, const arrival&) = default;
};

// How an attempt ended, as observed by its adapter.
struct attempt_end {
    ticket_number ticket = 0;
    attempt_number attempt = 0;
    attempt_result result = attempt_result::failed;
    bool endpoint_leaving = false; // the refusal reported that the endpoint is leaving
    bool model_refused = false;    // the refusal is about the request, not about the endpoint
    bool run_lost = false; // the endpoint no longer knows the run, for example after a restart

    // On this connection: the endpoint is alive, even if it is silent now.
    bool answer_began = false;
    bool connection_lost = false; // before the answer ended: the endpoint may have crashed
    bool answered_error = false;  // the run ended with an error reported by the endpoint

    // Finished, but with an answer that reports a failure of the endpoint.
    bool answer_reports_failure = false;
    std::uint64_t tokens = 0; // tokens of this run received so far
    duration first_token{};   // zero if none was received
    double actual_work = 0.0; // zero if unknown
    friend bool operator==(const attempt_end&, const attempt_end&) = default;
};

// Starts a new run of the request.
struct start_attempt {
    ticket_number ticket = 0;
    attempt_number attempt = 0;
    std::string address;
    std::string version;    // version or service name; empty if forwarded
    std::uint32_t size = 0; // index among the request's model sizes, 0 for the smallest

    // `address` is that of another router, which takes over the request.
    bool forwarded = false;

    // Tells the endpoint how to order its queue, 0 for the first to 9 for the last. If it is not
    // set, the request's priority does.
    std::optional<std::uint32_t> urgency = std::nullopt;
    bool only_at_once = false; // with `forwarded`: if that router can start the request at once
    friend bool operator==(const start_attempt&, const start_attempt&) = default;
};

// Resumes the attempt's run on a new connection, after the last token received.
struct resume_attempt {
    ticket_number ticket = 0;
    attempt_number attempt = 0;
    std::string address;
    std::uint64_t offset = 0;
    friend bool operator==(const resume_attempt&, const resume_attempt&) = default;
};

struct cancel_attempt {
    ticket_number ticket = 0;
    attempt_number attempt = 0;
    std::string address;
    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

// The answer is complete: it has to be billed, then its end is sent to the caller.
struct complete_request {
    ticket_number ticket = 0;
    std::string address;
    std::string version;
    friend bool operator==(const complete_request&, const complete_request&) = default;
};

struct give_up_request {
    ticket_number ticket = 0;
    failure why;
    friend bool operator==(const give_up_request&, const give_up_request&) = default;
};

// Tells the other routers that the endpoint is leaving.
struct announce_leaving {
    std::string address;
    std::uint64_t incarnation = 0;
    friend bool operator==(const announce_leaving&, const announce_leaving&) = default;
};

// Tells the other routers the suspect status of the request with this fingerprint.
struct announce_suspect_status {
    std::uint64_t fingerprint = 0;
    suspect_table::suspect_status suspect_status = suspect_table::suspect_status::clear;
    friend bool operator==(const announce_suspect_status&,
                           const announce_suspect_status&) = default;
};

// Tells the other routers that a run may have crashed its endpoint.
struct announce_lost_run {
    lost_run run;
    friend bool operator==(const announce_lost_run&, const announce_lost_run&) = default;
};

// Tells the other routers that a request of which a run was lost has run to its end since.
struct announce_finished_run {
    std::uint64_t fingerprint = 0;
    friend bool operator==(const announce_finished_run&, const announce_finished_run&) = default;
};

// Tells the other routers that a part of the prompt may have crashed the endpoint.
struct announce_lost_prompt {
    lost_prompt prompt;
    friend bool operator==(const announce_lost_prompt&, const announce_lost_prompt&) = default;
};

// Tells the other routers that an answer was given on the parts of the prompt.
struct announce_answered_prompt {
    answered_prompt prompt;
    friend bool operator==(const announce_answered_prompt&,
                           const announce_answered_prompt&) = default;
};

// The request is sent although a part of its prompt is quarantined, to find out whether it still
// crashes endpoints.
struct report_quarantine_test {
    ticket_number ticket = 0;
    std::uint64_t part = 0;
    friend bool operator==(const report_quarantine_test&, const report_quarantine_test&) = default;
};

// Whether this router can open connections to endpoints of the target; it changed.
struct report_reachability {
    std::string target; // model or service, as requested
    bool reachable = false;
    friend bool operator==(const report_reachability&, const report_reachability&) = default;
};

// A small model's answer is delivered although its confidence is below the configured one, because
// a run of the largest model is forecast to begin its answer too late.
struct report_cheaper_answer {
    ticket_number ticket = 0;
    double confidence = 0.0;
    duration forecast{}; // time to the first piece of the largest model's answer
    friend bool operator==(const report_cheaper_answer&, const report_cheaper_answer&) = default;
};

// What overload changed for a request that is served.
enum class load_measure : std::uint8_t {
    made_cheaper, // answered by the smallest model, since the largest one's answer would end late
    ordered_back, // sent with a later urgency than others of its priority
    odd_terms,    // a term was out of range and was replaced
};

struct report_load_measure {
    ticket_number ticket = 0;
    load_measure measure = load_measure::made_cheaper;
    friend bool operator==(const report_load_measure&, const report_load_measure&) = default;
};

// A request that may run once, and may have run, was about to be sent again. It was given up
// instead, so this counts faults of whatever queued it again.
struct report_repeat_prevented {
    ticket_number ticket = 0;
    friend bool operator==(const report_repeat_prevented&,
                           const report_repeat_prevented&) = default;
};

using dispatch_action =
    std::variant<start_attempt, resume_attempt, cancel_attempt, complete_request, give_up_request,
                 announce_leaving, announce_suspect_status, announce_lost_run,
                 announce_finished_run, announce_lost_prompt, announce_answered_prompt,
                 report_quarantine_test, report_reachability, report_cheaper_answer,
                 report_load_measure, report_repeat_prevented>;

struct dispatcher_settings {
    endpoint_table_settings endpoints;
    fair_queue_settings queue;
    duration max_queue_wait = std::chrono::seconds(30);
    duration config_expiry_grace = std::chrono::seconds(1); // then queued requests are given up
    double retry_share = 0.1;            // retries earned by each finished request
    double retry_share_on_arrival = 0.0; // retries earned by each admitted request
    double retry_burst = 20.0;           // retries allowed beyond those shares, per router
    double fleet_retry_burst = 0.0;      // for all routers together; zero for no limit

    // Retries that a router may save beyond its burst, relative to the requests for the target that
    // it admitted in the last 10 s.
    double retry_savings_share = 0.0;
    size_choice_settings sizes;

    // Relative to the largest model's work for the same request.
    double small_model_work_factor = 0.1;
    std::uint32_t max_refusals = 16; // refusals of one request by endpoints, before it ran
    std::uint32_t max_resumes = 3;   // new connections for one run

    // Lost runs of one request; limits how many endpoints it can crash.
    std::uint32_t max_losses = 2;

    // How long a stream whose caller has a part of it waits for an endpoint that continues it, from
    // the loss of its run.
    duration max_continuation_wait = std::chrono::seconds(3);

    lost_run_settings lost_runs;
    crashing_part_settings crashing_parts;

    // Time from the quarantine of a part to its first test, and from each test to the next one,
    // relative to the time before it.
    duration first_quarantine_test = std::chrono::seconds(2);
    int quarantine_test_factor = 4;

    // Whether requests to a model that have an objective are refused, answered by a smaller model
    // or delayed by forecast; see `overload_policy.hpp`. Requires work to be stated in
    // milliseconds.
    bool sheds_load = false;

    reachability_settings reached;
    peer_forwarding_settings forwarding;

    // Peers that may refuse a forwarded request before this router tries the endpoints itself.
    std::uint32_t max_forwardings = 3;

    // Multiple of the time in which answers of the kind usually begin.
    double first_response_timeout_factor = 2.0;

    std::uint64_t seed = 1;
};

// The schedule of a planned stop.
struct planned_stop {
    instant last_admission; // no new requests are admitted from then on
    instant end;            // requests still unanswered by then are cut off

    friend bool operator==(const planned_stop&, const planned_stop&) = default;
};

// Changes to some of the listed hosts; all others are unchanged.
struct host_changes {
    std::vector<endpoint_host> present;
    std::vector<std::string> gone; // addresses

    friend bool operator==(const host_changes&, const host_changes&) = default;
};

// Decides for every request of one router when, on which endpoint and on which version it runs, and
// how to proceed when that fails. Events in, actions out: each event function may add actions,
// which the caller takes with `take_actions` and performs in order. Every admitted ticket gets
// exactly one `complete_request` or `give_up_request`, unless its caller disconnects.
//
// A request keeps what the configuration at its arrival defined: its target, deadlines, number of
// attempts and models. Anything that the operator removes meanwhile (a version, a service, a team
// or a key) prevents further starts: while a request is queued, retried or escalated to a larger
// model, nothing more is sent for it, and it is refused with a status that reports whether it may
// have run. Attempts already sent continue.
class dispatcher {
public:
    explicit dispatcher(dispatcher_settings settings);

    void on_configuration(configuration_ptr current, instant now);
    void on_hosts(const std::vector<endpoint_host>& hosts, instant now);

    // Like `on_hosts` with a list changed in this way, but the cost is independent of the unchanged
    // hosts. Returns the incarnations that ended; connections to them must not be used for attempts
    // that the resulting actions start.
    std::vector<ended_incarnation> on_host_changes(const host_changes& changes, instant now);

    // Both at once. A queued request is never judged by the new configuration with the old hosts,
    // which need not serve a version that the configuration adds. `current` is null if the
    // configuration is unchanged.
    std::vector<ended_incarnation> on_changes(configuration_ptr current,
                                              const host_changes& changes, instant now);

    // Returns false if the report does not apply to the endpoint's current incarnation.
    bool on_load_report(const std::string& address, const load_report& report, instant now);

    // Another router reported its load on the endpoints. Returns the limits of endpoints that the
    // report changes.
    std::vector<peer_limit_change> on_peer_loads(const std::string& router,
                                                 std::vector<endpoint_load> loads, instant now);

    // Another router, or the endpoint itself, reported that the endpoint is leaving.
    void on_endpoint_leaving(const std::string& address, std::uint64_t incarnation, instant now);
    void on_peer_suspect_status(std::uint64_t fingerprint,
                                suspect_table::suspect_status suspect_status, instant now);

    // Another router lost a run, or completed one of a request that it had lost runs of.
    void on_peer_lost_run(const lost_run& lost, instant now);
    void on_peer_finished_run(std::uint64_t fingerprint);

    // Another router lost the run of a prompt, or an answer was given to it on one.
    void on_peer_lost_prompt(const lost_prompt& lost, instant now);
    void on_peer_answered_prompt(const answered_prompt& answered, instant now);

    // Whether the routers' shared record holds the request, or the part of a prompt, as
    // quarantined.
    void on_shared_quarantine(std::uint64_t fingerprint, bool quarantined, instant now);

    [[nodiscard]] bool has_shared_quarantine(std::uint64_t fingerprint) const
    {
        return this->shared_quarantines.count(fingerprint) > 0;
    }

    // Whether this router is the one that tests the quarantined part: it sends a request with it
    // from time to time.
    void set_quarantine_tester(std::uint64_t part, bool is_tester, instant now);

    // The parts that this router refuses by its own evidence, also while the store is away.
    void set_quarantined_parts(const std::vector<std::uint64_t>& parts);

    // The routers that may take over requests that this router cannot start, by the address at
    // which they accept callers' requests.
    void set_peer(const std::string& name, const std::string& address)
    {
        this->forwarding.set_peer(name, address);
    }
    void drop_peer(const std::string& name)
    {
        this->forwarding.drop_peer(name);
        this->table.drop_peer(name);
    }

    // Whether this router holds many more requests than those that report their loads to it.
    [[nodiscard]] bool is_crowded() const;

    // Another router's evidence ended this attempt at rolling out the version.
    void on_peer_trip(const std::string& version, std::uint64_t run, instant now);

    // Sets until when this router may treat its configuration as the one in force. A time, not a
    // flag, so that a process resuming from a pause sees that it has expired before it processes
    // any other event.
    void on_config_confirmed(instant until, instant now);

    // Sets this router's rank among all live routers, which all count equally.
    void on_fleet(std::size_t rank, std::size_t size);

    // The difference of the routers' common time from this router's clock.
    void set_clock_offset(duration offset) { this->table.set_clock_offset(offset); }

    void on_arrival(arrival request, instant now);
    void on_attempt_end(const attempt_end& end, instant now);

    // The attempt's answer has begun, with the model's own confidence in it, 0 to 100. Returns
    // whether to deliver the answer. If false, nothing of it may reach the caller: the dispatcher
    // considers the run ended, its connection must be closed, and a larger model gets the request.
    // An answer is never dropped if no other run may start.
    [[nodiscard]] bool accepts_answer(ticket_number ticket, attempt_number attempt,
                                      double confidence, instant now);

    // An answer to the attempt began with this notice. Call it before the answer's other events.
    // Returns which of the endpoint's limits it changes. The endpoint's leaving is announced to the
    // other routers when it is first stated.
    limit_changes on_endpoint_notice(ticket_number ticket, attempt_number attempt,
                                     const endpoint_notice& notice, instant now);

    // A new connection for the attempt was established.
    void on_connected(ticket_number ticket, attempt_number attempt);

    // A piece of the attempt's answer arrived.
    void on_piece(ticket_number ticket, attempt_number attempt, instant now);

    // Reports the typical time between two pieces of the attempt's answer, once there are enough
    // samples or at the end. This detects a version that generates slowly: a single piece may be
    // delayed by other callers' prompts, but the median of several is not.
    void on_pace(ticket_number ticket, attempt_number attempt, duration between_pieces);

    // How long to wait for the answer to begin before another endpoint may be tried: the given part
    // of the objective, but at least a multiple of the 90th percentile for requests of this kind.
    // Zero for a request without an objective.
    [[nodiscard]] duration first_response_timeout(const arrival& request,
                                                  double objective_share) const;

    // Whether the request would get another attempt if the current one were given up now. If not,
    // waiting for the current one is all that is left; that is also so once the operator has
    // removed the request's target, team or key.
    [[nodiscard]] bool can_retry(ticket_number ticket, instant now) const;
    void on_caller_gone(ticket_number ticket, instant now);

    // The router is about to stop. Until the last admission it accepts requests that are expected
    // to finish in time, judging by earlier requests, and those that another router can continue.
    // Queued and running requests proceed.
    void begin_stop(const planned_stop& times) { this->stop = times; }
    [[nodiscard]] bool is_stopping() const { return this->stop.has_value(); }

    // Gives up all remaining requests. Those that never ran are reported as not run.
    void end_stop(instant now);

    // `events_read_until`: all events that endpoints sent before then have been processed.
    // Deadlines of runs are compared with it and not with the clock, because an answer may have
    // arrived that has not been read yet.
    void on_tick(instant now, instant events_read_until);
    void on_tick(instant now) { this->on_tick(now, now); }

    [[nodiscard]] std::vector<dispatch_action> take_actions();

    // This router's load on the endpoints that it helps to fill, without the parts of the prompts.
    [[nodiscard]] std::vector<endpoint_load> concentrated_loads() const;
    [[nodiscard]] std::size_t in_flight() const { return this->requests.size(); }
    [[nodiscard]] std::size_t queued() const
    {
        return this->queue.size() + this->interrupted.size();
    }

    // Fingerprints of the requests that crash endpoints, by the lost runs known to this router.
    [[nodiscard]] std::vector<std::uint64_t> quarantined_requests(instant now) const
    {
        return this->lost_runs.quarantined(now);
    }

    // Parts of prompts that crash endpoints, by the crashes known to this router. A router knows
    // all crashes of a target only if the others report them to it.
    [[nodiscard]] std::vector<crashing_part> crashing_parts(instant now)
    {
        return this->crashes.crashing_parts(now);
    }
    [[nodiscard]] const endpoint_table& endpoints() const { return this->table; }
    [[nodiscard]] const configuration_ptr& current() const { return this->config; }

    // Requests per second for the model or service that this router admits, smoothed over a few
    // seconds.
    [[nodiscard]] double arrival_rate(const std::string& asked) const;

    // The part of that rate that keeps a slot for long and may be repeated elsewhere.
    [[nodiscard]] double long_arrival_rate(const std::string& asked) const;
    [[nodiscard]] std::vector<rollout_report> rollouts() const { return this->exposure.reports(); }

    // Mean error of the forecast time to the first piece, by model size; zero if unknown.
    [[nodiscard]] duration forecast_error(std::uint32_t size) const
    {
        return this->forecast.error(size);
    }

private:
    struct avoided_endpoint {
        std::string address;
        std::uint64_t incarnation = 0;
    };

    struct request_state {
        arrival request;
        attempt_number attempt = 0;
        std::string address;           // where the attempt runs; empty while queued
        std::uint64_t incarnation = 0; // of the endpoint at `address`
        std::string version;
        std::vector<avoided_endpoint> avoid; // endpoints that refused or lost it

        // After that they may be tried again, as they may be the only ones left.
        instant avoid_until;
        std::uint32_t resumes = 0;
        std::uint32_t refusals = 0;
        bool forwarded = false;                   // the current attempt is at another router
        bool only_at_once = false;                // and only if it starts there at once
        std::uint32_t forwardings = 0;            // attempts at other routers
        std::uint32_t losses = 0;                 // runs that were lost
        instant lost_at;                          // time of the last loss
        attempt_number crash_counted_attempt = 0; // last attempt that was counted in a crash
        bool delivered = false;                   // tokens have reached the caller
        instant not_before;                       // earliest start of the next attempt
        bool owes_retry = false;                  // the next attempt has to be paid for first
        bool may_have_run = false;
        bool has_unrefused_attempt = false; // the last attempt was sent, and has not been refused
        std::uint32_t runs = 0;             // attempts that were sent and not refused
        std::uint32_t size = 0;             // model size for the next attempt
        instant arrived;
        instant sent_at;            // start of the current attempt
        duration backlog{};         // known at that time, with `dispatcher_settings::sheds_load`
        bool concentrated = false;  // the current attempt goes to the endpoint that is being filled
        bool was_displaced = false; // the endpoint that is being filled refused it

        // `size` before the filled endpoint made it the largest.
        std::uint32_t size_before_concentration = 0;
        std::size_t load_level = 0; // with `concentrated`: load level of the endpoint at the start
        bool answer_begun = false;  // the current attempt's answer has begun
        instant answer_begun_at;

        // The current attempt has answered to its end, or for longer than an endpoint takes to
        // crash on a part of its prompt.
        bool is_prompt_answered = false;
        bool was_made_cheaper = false;   // `size` was lowered, and the run has not started yet
        bool is_quarantine_test = false; // sent although a part of its prompt is quarantined

        // Work that the endpoint still has to do for the current attempt.
        double outstanding_work = 0.0;
        double prefill_work = 0.0;      // the part of it that is done once the answer begins
        std::vector<prompt_part> parts; // of the current attempt, specific to the model
        rollout_context rollouts;
    };

    // A run that this router ended, or gave up as silent, before its prompt was answered. Its
    // endpoint may crash because of it afterwards.
    struct left_run {
        lost_prompt prompt;
        instant at;
    };

    struct quarantine_test {
        instant next;
        duration wait{}; // from the next test to the one after it
    };

    struct arrival_counter {
        std::uint32_t in_period = 0;
        double per_second = 0.0;
    };

    struct target_arrivals {
        arrival_counter all;
        arrival_counter endpoint_filling; // see `rollout_context::fills_endpoint`
    };

    struct target_retries {
        retry_budget budget;
        retry_savings savings;
        double extra = 0.0; // savings when the budget was last used
    };

    struct start_choice {
        std::string address;
        std::string version;
        std::string exposed_by;
        bool concentrated = false;
        bool forwarded = false;
        bool only_at_once = false;
    };

    [[nodiscard]] std::optional<failure> admission_failure(const request_state& probe,
                                                           instant now) const;
    [[nodiscard]] std::optional<failure> stop_failure(const arrival& request, instant now) const;
    [[nodiscard]] std::optional<failure> late_run_failure(const arrival& request,
                                                          instant now) const;
    [[nodiscard]] duration time_to_answer(const arrival& request, instant now) const;
    [[nodiscard]] std::optional<failure> load_failure(const arrival& request, instant now) const;
    [[nodiscard]] std::optional<failure> caller_failure(const arrival& request) const;
    [[nodiscard]] std::optional<failure> quarantine_failure(const request_state& state,
                                                            instant now) const;
    [[nodiscard]] bool is_quarantined_part(std::uint64_t part) const;
    [[nodiscard]] std::optional<std::uint64_t> part_to_test(const arrival& request,
                                                            instant now) const;
    void begin_quarantine_test(request_state& state, std::uint64_t part, instant now);
    [[nodiscard]] std::optional<failure> target_failure(const request_state& state,
                                                        instant now) const;
    [[nodiscard]] std::optional<failure> limit_failure(const request_state& state,
                                                       const placement& wanted, instant now) const;
    [[nodiscard]] bool sheds(const arrival& request) const;
    [[nodiscard]] request_terms terms_of(const request_state& state, instant now) const;
    [[nodiscard]] run_forecast forecast_of(const request_state& state, instant now) const;
    void report_odd_terms(const request_state& state, instant now);
    [[nodiscard]] std::optional<failure> shed_failure(const request_state& state,
                                                      instant now) const;
    void choose_size(request_state& state, instant now) const;
    void make_cheaper(request_state& state, instant now) const;
    [[nodiscard]] bool would_end_late(const request_state& state, instant now) const;
    [[nodiscard]] std::optional<std::uint32_t> urgency_of(request_state& state, instant now);
    void record_answer_pace(const request_state& state, instant now);

    [[nodiscard]] bool is_cut_off_from(const arrival& request, const std::string& target) const;
    void refuse_if_queued(ticket_number ticket);
    [[nodiscard]] bool may_forward(const request_state& state) const;
    [[nodiscard]] std::optional<start_choice> find_peer(const request_state& state, instant now);

    // A router that may start at once what has to wait here for a share of the endpoints.
    [[nodiscard]] std::optional<start_choice>
    find_peer_with_share(const request_state& state, const placement& wanted, instant now);
    void record_reachability(const request_state& state, const attempt_end& end, instant now);
    [[nodiscard]] std::optional<start_choice> find_start(const request_state& state, instant now);
    [[nodiscard]] rollout_choice choose_version(const request_state& state, instant now) const;
    [[nodiscard]] placement placement_for(const request_state& state, const std::string& target,
                                          instant now) const;
    [[nodiscard]] bool is_config_valid(instant now) const { return now < this->config_valid_until; }
    [[nodiscard]] bool is_config_grace_over(instant now) const;
    [[nodiscard]] bool is_suspect(const request_state& state, instant now) const;
    void add_avoided(const request_state& state, placement& wanted) const;
    [[nodiscard]] bool is_on_current_incarnation(const request_state& state) const;
    void isolate_suspect(const request_state& state, placement& wanted, instant now) const;
    [[nodiscard]] duration expected_wait() const;
    [[nodiscard]] bool may_concentrate(const request_state& state,
                                       const std::string& version) const;

    [[nodiscard]] double weight_of(const std::string& team) const;
    bool enqueue(const request_state& state);
    void dispatch(instant now);
    void dispatch_entry(ticket_number ticket, instant now);
    void start(request_state& state, const start_choice& where, instant now);
    void after_finish(request_state& state, const attempt_end& end, instant now);
    void after_refusal(request_state& state, const attempt_end& end, instant now);
    void after_model_refusal(request_state& state, instant now);
    void after_break(request_state& state, const attempt_end& end, instant now);
    void after_loss(request_state& state, const attempt_end& end, instant now);
    void resume(request_state& state, const attempt_end& end);
    void retry(request_state& state);
    [[nodiscard]] bool awaits_continuation(const request_state& state, instant now) const;
    void wait_to_continue(request_state& state, bool owes_retry, instant now);
    void queue_interrupted(instant now);
    [[nodiscard]] std::optional<failure> queued_failure(const request_state& state,
                                                        instant now) const;
    [[nodiscard]] static std::optional<failure> repeat_failure(const request_state& state);
    [[nodiscard]] bool may_start(const request_state& state, instant now) const;
    void record_first_token(const request_state& state, duration first_token);
    void evaluate_speed(const request_state& state, speed_reference& reference, duration time);
    [[nodiscard]] static speed_reference_settings pace_settings();
    [[nodiscard]] bool has_time_for_run(const arrival& request, instant now) const;
    void cancel_run(const request_state& state, instant now);
    [[nodiscard]] double size_factor(const request_state& state) const;
    [[nodiscard]] std::vector<prompt_part> parts_of(const request_state& state) const;
    [[nodiscard]] double work_of(const request_state& state) const;
    void record_answer_begin(request_state& state, instant now);
    void record_loaded_run(const request_state& state, bool good);
    [[nodiscard]] target_retries& retries_of(const arrival& request);
    [[nodiscard]] retry_budget& budget_of(const arrival& request, instant now);
    void record_admission(const arrival& request, instant now);
    void update_burst(target_retries& target, const std::string& asked, instant now) const;
    [[nodiscard]] bool can_spend_retry(const arrival& request, instant now) const;

    // The forecast time from now to the first piece of a run of this size; nothing if unknown.
    [[nodiscard]] std::optional<duration>
    expected_first_piece(const request_state& state, std::uint32_t size, instant now) const;

    // The present backlog at the endpoints that the request's next run may use.
    [[nodiscard]] duration backlog_for(const request_state& state, instant now) const;
    [[nodiscard]] duration backlog_at(const request_state& state, const std::string& target,
                                      instant now) const;
    [[nodiscard]] static size_question question_of(const request_state& state, instant now);
    [[nodiscard]] bool is_larger_run_late(const request_state& state, size_question question,
                                          instant now);
    [[nodiscard]] double router_burst(const std::string& asked) const;
    [[nodiscard]] bool has_runs_left(const request_state& state) const;
    void record_version_refusal(request_state& state) const;
    void record_version_loss(request_state& state, const attempt_end& end, instant now);
    [[nodiscard]] bool is_blocked_by_others(const request_state& state, instant now) const;
    void record_lost_run(const request_state& state, const attempt_end& end, instant now);
    void record_finished_run(const arrival& request);
    [[nodiscard]] lost_prompt prompt_of(const request_state& state, instant now) const;
    [[nodiscard]] bool may_have_crashed(const request_state& state) const;
    void record_lost_prompt(const lost_prompt& lost, instant now);
    void record_left_run(const request_state& state, instant now, bool has_just_begun = false);
    void record_left_runs_as_lost(const std::string& address, std::uint64_t incarnation,
                                  duration within, instant now);
    void record_answered_prompt(request_state& state, instant now);
    void record_endpoint_answer(const request_state& state);
    void record_ended_incarnations(const std::vector<ended_incarnation>& ended, instant now);
    void mark_crash_suspects(const std::string& address, std::uint64_t incarnation, instant now);
    void record_attempt_end(const request_state& state, attempt_result result, duration first_token,
                            instant now, bool answered = false);
    static void update_rate(arrival_counter& counted, double seconds);
    void record_finished_work(double work, instant now);
    void give_up_all_queued(const failure& why);
    void give_up_overdue(instant now, instant events_read_until);
    void give_up(ticket_number ticket, failure why);
    void forget(ticket_number ticket);
    void publish_suspect_statuses();
    std::uint64_t next_random();

    dispatcher_settings settings;
    configuration_ptr config;
    endpoint_table table;
    fair_queue queue;
    std::map<std::string, target_retries> retries; // by requested model or service
    suspect_table suspects;
    lost_run_table lost_runs;
    crashing_part_table crashes;
    std::deque<left_run> left_runs;
    std::unordered_set<std::uint64_t> quarantined_parts;
    std::unordered_map<std::uint64_t, quarantine_test> quarantine_tests; // by part
    reachability reached;
    peer_forwarding forwarding;
    std::unordered_set<std::uint64_t> shared_quarantines; // of requests and of parts
    std::map<ticket_number, request_state> requests;

    // Streams that have begun and cannot continue now. They are not in the queue, where they would
    // hold up requests of their team that can start.
    std::set<ticket_number> interrupted;
    std::map<std::string, target_arrivals> arrivals_by_target;
    std::map<std::string, std::uint32_t> team_in_flight;
    speed_reference first_tokens; // of answers delivered in one piece
    speed_reference paces{pace_settings()};
    response_times completion_times;     // from arrival to the end of the answer
    response_times first_response_times; // from an attempt's start to the beginning of its answer
    endpoint_filling_kinds filling_kinds;
    load_forecast forecast;   // with `dispatcher_settings::sheds_load`
    usual_runs usual_by_kind; // of requests that may be shed
    rollout_exposure exposure;
    std::vector<dispatch_action> actions;
    std::optional<planned_stop> stop;
    std::size_t fleet_rank = 0;
    std::size_t fleet_size = 1;
    instant config_valid_until;
    instant last_overdue_check;
    instant rate_period_start;
    double work_in_period = 0.0;
    double work_per_second = 0.0;
    std::uint64_t random_state;
};

} // namespace pearhaven::decision

#endif
