#ifndef PEARHAVEN_DECISION_DISPATCHER_HPP
#define PEARHAVEN_DECISION_DISPATCHER_HPP

#include "pearhaven/decision/answer_lengths.hpp"
#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/fair_queue.hpp"
#include "pearhaven/decision/retry_budget.hpp"
#include "pearhaven/decision/rollout_exposure.hpp"
#include "pearhaven/decision/session_token.hpp"
#include "pearhaven/decision/size_choice.hpp"
#include "pearhaven/decision/speed_reference.hpp"
#include "pearhaven/decision/suspects.hpp"
#include "pearhaven/decision/time.hpp"
#include "pearhaven/decision/version_choice.hpp"
#include "pearhaven/decision/work.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::decision {

// Numbers the attempts of one request, from 1. A late event of an earlier attempt is told by it.
using attempt_number = std::uint32_t;

// What a final failure answer says about the work itself.
enum class run_state : std::uint8_t {
    not_run, // no endpoint ran any of it
    ran,     // it ran, and its answer cannot be delivered
    unknown, // it may have run
};

enum class failure_code : std::uint8_t {
    unknown_model,
    not_allowed,
    version_withdrawn,
    session_ended, // the session's version is withdrawn or no longer allowed
    team_limit,
    overloaded,
    deadline_passed,
    no_endpoint,
    not_in_touch, // this router cannot tell whether its configuration is in force
    request_quarantined,
    endpoint_failed,
    answer_broken, // part of the answer was delivered and the rest cannot be had
    stopping,
    already_ran,     // a send of the same claimed request ran before
    in_progress,     // another send of it is under way
    outcome_unknown, // another send of it may have run
};

// The final answer to a request that was given up. It is due at once.
struct failure {
    failure_code code = failure_code::overloaded;
    run_state run = run_state::not_run;
    bool resend = true;     // whether sending the same request again can help
    duration retry_after{}; // when to come back; zero where resending does not help
    std::string detail;

    friend bool operator==(const failure&, const failure&) = default;
};

// How a run goes on when its connection is lost.
enum class continuation : std::uint8_t {
    same_run,     // the endpoint keeps the run: a fresh connection takes it up again
    none,         // the run is lost with its connection; what was delivered cannot be added to
    at_other_run, // another endpoint can begin a run that goes on after what was delivered
};

// A request as the dispatcher sees it. The text of the request stays with the caller's thread.
struct arrival {
    ticket_number ticket = 0;
    std::string team;
    std::string key_sha256; // of the key that the caller showed; empty where it needed none
    std::string asked;      // model, version, cascade or, with `is_service`, service name
    std::string kind; // requests of one kind take about as long; empty: those of one `asked` do
    bool is_service = false;
    bool idempotent = true;
    bool streamed = false; // pieces of the answer reach the caller as they come
    std::optional<session> bound;
    std::uint64_t session_key = 0; // names the session of a caller that carries no token; 0: none
    work_estimate work{};
    std::uint32_t priority = 5;
    instant deadline;
    std::uint64_t prefix_hash = 0;
    std::vector<prompt_part> parts; // on top of `work` where they are not cached; not by model
    std::uint64_t fingerprint = 0;
    continuation on_loss = continuation::same_run;
    std::uint32_t max_attempts =
        0;                    // endpoints that may run it; 0: as the dispatcher's settings say
    std::uint32_t sizes = 0;  // models of different size that may answer; 0 or 1: no choice
    bool long_prompt = false; // reading it takes an engine longer than writing the answer
    duration objective{};     // time from arrival to the answer's beginning; zero: none
    friend bool operator==(const arrival&, const arrival&) = default;
};

// How an attempt ended, as its adapter saw it.
struct attempt_end {
    ticket_number ticket = 0;
    attempt_number attempt = 0;
    attempt_result result = attempt_result::failed;
    bool endpoint_leaving = false; // the refusal said that the endpoint is leaving
    bool run_lost = false;         // the endpoint no longer knows the run, as after a restart
    bool answer_began =
        false; // on this connection: the endpoint is alive, however silent it is now
    bool answered_error = false; // the run ended with an error of the endpoint's own
    bool answered_badly = false; // finished, but with an answer that says the endpoint failed
    std::uint64_t tokens = 0;    // tokens of this run that have come so far
    duration first_token{};      // zero where none came
    double actual_work = 0.0;    // zero where it is not known
    friend bool operator==(const attempt_end&, const attempt_end&) = default;
};

// Starts a new run of the request.
struct start_attempt {
    ticket_number ticket = 0;
    attempt_number attempt = 0;
    std::string address;
    std::string version;    // version or service name
    std::uint32_t size = 0; // place of the model among the request's sizes, 0 the smallest
    friend bool operator==(const start_attempt&, const start_attempt&) = default;
};

// Continues the run of the attempt on a fresh connection, from the token after those that have
// come.
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

// The request's answer is whole; it has to be billed, then its end goes to the caller.
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

// Other routers should know that the endpoint is leaving.
struct announce_leaving {
    std::string address;
    std::uint64_t incarnation = 0;
    friend bool operator==(const announce_leaving&, const announce_leaving&) = default;
};

// Other routers should know how the request with this fingerprint stands.
struct announce_standing {
    std::uint64_t fingerprint = 0;
    suspect_table::standing standing = suspect_table::standing::clear;
    friend bool operator==(const announce_standing&, const announce_standing&) = default;
};

using dispatch_action =
    std::variant<start_attempt, resume_attempt, cancel_attempt, complete_request, give_up_request,
                 announce_leaving, announce_standing>;

struct dispatcher_settings {
    endpoint_table_settings endpoints;
    fair_queue_settings queue;
    duration longest_queue_wait = std::chrono::seconds(30);
    duration out_of_touch_patience = std::chrono::seconds(1); // queued work is given up after that
    double retry_share = 0.1;            // retries that each finished request pays for
    double retry_share_on_arrival = 0.0; // retries that each admitted request pays for
    double retry_burst = 20.0;           // retries allowed beyond those shares, for one router
    double fleet_retry_burst = 0.0;      // for all routers together; zero: no bound
    size_choice_settings sizes;
    double small_model_work = 0.1;   // of the largest model's work, for the same request
    std::uint32_t max_refusals = 16; // endpoints that turned one request away before it ran
    std::uint32_t max_resumes = 3;   // fresh connections for one run
    std::uint32_t max_losses =
        2; // broken runs of one request; bounds the endpoints that it can crash
    double usual_patience = 2.0; // times that answers of a kind usually take to begin
    std::uint64_t seed = 1;
};

// The times of a planned stop.
struct planned_stop {
    instant last_admission; // nothing new is taken from then on
    instant end;            // what is not answered by then is broken off

    friend bool operator==(const planned_stop&, const planned_stop&) = default;
};

// What became of some hosts of the list; all others are as before.
struct host_changes {
    std::vector<endpoint_host> present;
    std::vector<std::string> gone; // addresses

    friend bool operator==(const host_changes&, const host_changes&) = default;
};

// Decides for every request of one router when, where and on which version it runs, and what
// becomes of it when that fails. Event in, actions out: each event function may add actions, which
// the caller takes with `take_actions` and carries out in order. Every admitted ticket gets exactly
// one `complete_request` or `give_up_request`, unless its caller is gone.
//
// A request is what the configuration in force at its arrival made of it: its target, times, number
// of attempts, models. But what the operator removes meanwhile, a version, a service, a team or a
// key, binds every start: while a request waits, retries or escalates, nothing is sent for it any
// more, and it is refused with a status that says whether it may have run. What was sent before
// goes on.
class dispatcher {
public:
    explicit dispatcher(dispatcher_settings settings);

    void on_configuration(configuration_ptr current, instant now);
    void on_hosts(const std::vector<endpoint_host>& hosts, instant now);

    // As `on_hosts` with a list so changed. The cost does not grow with the other hosts. Tells the
    // lives that ended by it; whoever keeps connections to them must not use these for what the
    // actions then start.
    std::vector<ended_incarnation> on_host_changes(const host_changes& changes, instant now);

    // False for a report that says nothing of the endpoint as it is known now.
    bool on_load_report(const std::string& address, const load_report& report, instant now);

    // Another router says what it holds at the endpoints.
    void on_loads_told(const std::string& router, std::vector<endpoint_load> loads, instant now);

    // Another router or the endpoint itself says that the endpoint is leaving.
    void on_endpoint_leaving(const std::string& address, std::uint64_t incarnation, instant now);
    void on_standing_told(std::uint64_t fingerprint, suspect_table::standing standing, instant now);

    // Another router's evidence has tripped this attempt at rolling the version out.
    void on_peer_trip(const std::string& version, std::uint64_t run, instant now);

    // Until when this router may take its configuration for the one in force. A time and not a yes
    // or no: a process that was paused finds on waking that it has passed, before it hears
    // anything.
    void on_touch(instant until, instant now);

    // This router's place among all live routers, which all count alike.
    void on_fleet(std::size_t rank, std::size_t size);

    void on_arrival(arrival request, instant now);
    void on_attempt_end(const attempt_end& end, instant now);

    // The attempt's answer has begun, with the model's own opinion of it, 0 to 100. Whether the
    // answer is to be delivered. If not, nothing of it may reach the caller: the run is over for
    // the dispatcher, its connection is to be closed, and a larger model gets the request. An
    // answer is never dropped where no other run may begin.
    [[nodiscard]] bool accepts_answer(ticket_number ticket, attempt_number attempt,
                                      double confidence, instant now);

    // The usual time between two pieces of the attempt's answer, once enough of them have come to
    // tell, or at its end. It tells a version that writes slowly: single pieces wait for other
    // callers' prompts, the middle one of several does not.
    void on_pace(ticket_number ticket, attempt_number attempt, duration between_pieces);

    // How long an endpoint may be silent before its answer to the request begins, where another one
    // may be asked: this part of the objective, and in any case well over the time by which nine of
    // ten answers of the kind began. Zero for a request without an objective.
    [[nodiscard]] duration patience_before_answer(const arrival& request,
                                                  double part_of_objective) const;

    // Whether the request would get another attempt if its present one were given up now. If not,
    // waiting on is its only hope: so it is, too, once the operator has removed what it asks for.
    [[nodiscard]] bool may_move(ticket_number ticket, instant now) const;
    void on_caller_gone(ticket_number ticket, instant now);

    // The router will stop. Until the last admission it takes what it can carry to its end, as far
    // as earlier requests tell, and what another router can go on with; what is queued or running
    // goes on.
    void begin_stop(const planned_stop& times) { this->stop = times; }

    // Gives up all that is left. What never ran is said not to have run.
    void end_stop(instant now);

    // `heard_until`: all that had come by then from endpoints has been told. A run is past its
    // deadline by it, and not by the clock: an answer may have come that nobody has read yet.
    void on_tick(instant now, instant heard_until);
    void on_tick(instant now) { this->on_tick(now, now); }

    [[nodiscard]] std::vector<dispatch_action> take_actions();

    // What this router holds at endpoints that it helps to fill. Without the parts of the prompts.
    [[nodiscard]] std::vector<endpoint_load> filling_loads() const;
    [[nodiscard]] std::size_t in_flight() const { return this->requests.size(); }
    [[nodiscard]] std::size_t queued() const { return this->queue.size(); }
    [[nodiscard]] const endpoint_table& endpoints() const { return this->table; }
    [[nodiscard]] const configuration_ptr& current() const { return this->config; }

    // Requests for the model or service that this router admits each second, over some seconds.
    [[nodiscard]] double arrival_rate(const std::string& asked) const;

    // Of these, the ones that keep a slot for long and may be repeated elsewhere.
    [[nodiscard]] double long_arrival_rate(const std::string& asked) const;
    [[nodiscard]] std::vector<rollout_report> rollouts() const { return this->exposure.reports(); }

private:
    struct avoided_endpoint {
        std::string address;
        std::uint64_t incarnation = 0;
    };

    struct request_state {
        arrival what;
        attempt_number attempt = 0;
        std::string address;           // where the attempt runs; empty while queued
        std::uint64_t incarnation = 0; // of the endpoint that it was sent to
        std::string version;
        std::vector<avoided_endpoint> avoid; // that refused or lost it
        instant avoid_until;                 // then it may go to them again, as the only ones left
        std::uint32_t resumes = 0;
        std::uint32_t refusals = 0;
        std::uint32_t losses = 0;          // runs that broke off
        instant lost_at;                   // when a run of it broke off last
        attempt_number struck_attempt = 0; // attempt that was last counted as part of a crash
        bool delivered = false;            // tokens have reached the caller
        bool may_have_run = false;
        std::uint32_t runs = 0; // attempts that were sent and not refused
        std::uint32_t size = 0; // of the model that the next attempt asks for
        instant arrived;
        instant sent_at;                // the present attempt
        bool concentrated = false;      // the present attempt helps to fill one endpoint
        bool was_crowded_out = false;   // the endpoint that is being filled has refused it
        std::uint32_t own_size = 0;     // `size`, before that endpoint made it the largest
        std::size_t load_level = 0;     // if so: of that endpoint when it was sent
        bool writing = false;           // the present attempt's answer has begun
        double held_work = 0.0;         // of the present attempt, that its endpoint still has to do
        double reading = 0.0;           // of that, what is done once the answer begins
        std::vector<prompt_part> parts; // of the present attempt, by model
        rollout_context rollouts;
    };

    struct counted_arrivals {
        std::uint32_t in_period = 0;
        double per_second = 0.0;
    };

    struct target_arrivals {
        counted_arrivals all;
        counted_arrivals that_fill; // of these, see `rollout_context::fills_endpoint`
    };

    struct chosen_start {
        std::string address;
        std::string version;
        std::string exposed_by;
        bool concentrated = false;
    };

    [[nodiscard]] std::optional<failure> admission_failure(const arrival& request,
                                                           instant now) const;
    [[nodiscard]] std::optional<failure> stop_failure(const arrival& request, instant now) const;
    [[nodiscard]] std::optional<failure> load_failure(const arrival& request, instant now) const;
    [[nodiscard]] std::optional<failure> caller_failure(const arrival& request) const;
    [[nodiscard]] std::optional<failure> target_failure(const request_state& state,
                                                        instant now) const;
    [[nodiscard]] std::optional<chosen_start> find_start(const request_state& state, instant now);
    [[nodiscard]] rollout_choice ask_version(const request_state& state, instant now) const;
    [[nodiscard]] placement place(const request_state& state, const std::string& target,
                                  instant now) const;
    [[nodiscard]] bool is_in_touch(instant now) const { return now < this->in_touch_until; }
    [[nodiscard]] bool is_long_out_of_touch(instant now) const;
    [[nodiscard]] bool is_suspect(const request_state& state, instant now) const;
    void add_avoided(const request_state& state, placement& wanted) const;
    [[nodiscard]] bool runs_at_present_life(const request_state& state) const;
    void keep_suspect_apart(const request_state& state, placement& wanted, instant now) const;
    [[nodiscard]] duration expected_wait() const;
    [[nodiscard]] bool helps_to_fill(const request_state& state, const std::string& version) const;

    [[nodiscard]] double weight_of(const std::string& team) const;
    bool enqueue(const request_state& state);
    void dispatch(instant now);
    void dispatch_entry(ticket_number ticket, instant now);
    void start(request_state& state, const chosen_start& where, instant now);
    void after_finish(request_state& state, const attempt_end& end, instant now);
    void after_refusal(request_state& state, const attempt_end& end, instant now);
    void after_break(request_state& state, const attempt_end& end, instant now);
    void after_loss(request_state& state, const attempt_end& end, instant now);
    void resume(request_state& state, const attempt_end& end);
    void retry(request_state& state);
    void note_speed(const request_state& state, duration first_token);
    void weigh_speed(const request_state& state, speed_reference& reference, duration time);
    [[nodiscard]] static speed_reference_settings pace_settings();
    [[nodiscard]] bool has_time_for_run(const arrival& request, instant now) const;
    void cancel_run(const request_state& state, instant now);
    [[nodiscard]] double size_factor(const request_state& state) const;
    [[nodiscard]] std::vector<prompt_part> parts_of(const request_state& state) const;
    [[nodiscard]] double work_of(const request_state& state) const;
    void note_begun(request_state& state);
    void note_loaded_run(const request_state& state, bool good);
    [[nodiscard]] retry_budget& budget_of(const arrival& request);
    [[nodiscard]] double burst_of_router(const std::string& asked) const;
    [[nodiscard]] bool may_run_once_more(const request_state& state) const;
    void note_version_refused(request_state& state) const;
    void note_version_lost(request_state& state, const attempt_end& end, instant now);
    [[nodiscard]] bool waits_for_others(const request_state& state, instant now) const;
    void blame_crash(const std::string& address, std::uint64_t incarnation, instant now);
    void count_end(const request_state& state, attempt_result result, duration first_token,
                   instant now);
    static void settle_rate(counted_arrivals& counted, double seconds);
    void note_finished_work(double work, instant now);
    void give_up_all_queued(const failure& why);
    void give_up_overdue(instant now, instant heard_until);
    void give_up(ticket_number ticket, failure why);
    void forget(ticket_number ticket);
    void publish_standings();
    std::uint64_t next_random();

    dispatcher_settings settings;
    configuration_ptr config;
    endpoint_table table;
    fair_queue queue;
    std::map<std::string, retry_budget> budgets; // by the model or service asked for
    suspect_table suspects;
    std::map<ticket_number, request_state> requests;
    std::map<std::string, target_arrivals> arrivals_by_target;
    std::map<std::string, std::uint32_t> team_in_flight;
    speed_reference first_tokens; // of answers that come whole
    speed_reference paces{pace_settings()};
    answer_lengths lengths;    // from arrival to the end
    answer_lengths beginnings; // from an attempt's start to its answer's
    rollout_exposure exposure;
    std::vector<dispatch_action> actions;
    std::optional<planned_stop> stop;
    std::size_t fleet_rank = 0;
    std::size_t fleet_size = 1;
    instant in_touch_until;
    instant overdue_checked;
    instant rate_since;
    double work_in_period = 0.0;
    double work_per_second = 0.0;
    std::uint64_t random_state;
};

} // namespace pearhaven::decision

#endif
