#ifndef PEARHAVEN_COORDINATION_ROLLOUT_PROGRESS_HPP
#define PEARHAVEN_COORDINATION_ROLLOUT_PROGRESS_HPP

#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/rollout_evidence.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::coordination {

// State of a rollout. It is written only by compare-and-swap, so all routers see its changes in the
// same order; `bad` and `finished` are final.
enum class progress_state : std::uint8_t {
    staged,       // callers are admitted to the new version step by step
    load_trial,   // one endpoint is filled with long answers, to test the version under load
    full_traffic, // all new requests go to the new version, which is still monitored
    finished,     // the old version is no longer needed
    bad,          // the new version gets no new requests
};

struct progress_record {
    std::uint64_t run = 0;         // identifies this attempt: the store's revision of its order
    std::uint32_t step = 0;        // index into `step_callers` while staged
    std::uint32_t routers = 0;     // routers that share each step's callers
    std::uint32_t session_ppm = 0; // sessions per million that move before all others
    progress_state state = progress_state::staged;
    // requests per million, of those eligible to fill the endpoint, that are sent to it
    std::uint32_t fill_ppm = 1'000'000;

    friend bool operator==(const progress_record&, const progress_record&) = default;
};

// What one router has observed of the new version in the current state of an attempt. States are
// counted separately: good answers under light load would hide bad ones in the next state.
struct router_evidence {
    std::uint64_t run = 0;
    progress_state state = progress_state::staged;
    decision::run_counts seen;
    decision::run_counts speed;    // slow answers count as bad
    decision::run_counts earlier;  // like `seen`, for the earlier states
    double long_answer_rate = 0.0; // long answers started by this router per second
    // over all states; see `rollout_progress_settings::load_per_slot`
    decision::load_counts under_load{};

    friend bool operator==(const router_evidence&, const router_evidence&) = default;
};

// An operator's order to move a model's traffic to another version.
struct model_rollout_order {
    std::string from;
    std::string to;
    std::uint64_t run = 0;
    decision::duration time{}; // time within which the rollout has to be complete
    std::uint32_t slots = 0;   // concurrent requests of one endpoint of the new version

    friend bool operator==(const model_rollout_order&, const model_rollout_order&) = default;
};

struct rollout_progress_settings {
    // Cumulative number of callers in the fleet that may have used the new version by each step.
    // About twenty callers are enough to detect a version that fails a third of its answers.
    std::vector<std::uint32_t> step_callers = {20, 45, 75, 110};

    // Fractions of the order's time: the length of each step, the earliest start of the load trial,
    // and the earliest time at which the old version may stop. Sessions change their version only
    // in the second half. The last quarter is reserve for an outage of the store, but for a version
    // whose speed is not known.
    double step_fraction = 0.125;
    double trial_start_fraction = 0.505;
    double finish_fraction = 0.75;

    // Minimum fraction of the order's time for which the new version serves all traffic before the
    // old one may stop. With the longest trial, a good version then finishes within 0.9 of the
    // time.
    double min_full_traffic_fraction = 0.08;

    // Fraction of the order's time at which an inconclusive result is decided. A version with more
    // bad or slow answers than a good one does not finish earlier; if that is still the case at
    // this time, it is rejected, since it is more likely bad than good and would affect every
    // caller.
    double decision_fraction = 0.95;

    // Fraction of the order's time after which a sample of the sessions moves, ahead of all others.
    // A session that moves has usually sent requests to the old version shortly before, through
    // other routers, and must not change its version in the first half of the order. When a small
    // share was moved in the first half, computed from the rate that one router had measured in its
    // first two seconds, 258 sessions of a fleet of 80 routers moved instead of ten, and four
    // changed their version during the session where at most three may. From the middle of the
    // order any session may move if it does not move back, so the sample is chosen by session name,
    // is the same on every router and never shrinks.
    double sample_fraction = 0.505;

    // Minimum fraction of the order's time for which the sample is monitored before all traffic
    // moves, if no endpoint is filled.
    double min_sample_fraction = 0.06;

    // Requests of the sample per second in the whole fleet, and the maximum share of the sessions
    // in it. This rate detects a version that fails a third of its answers within a second. The
    // maximum matters when one router's rate is far below that of the others.
    double sample_rate = 20.0;
    double max_sample_share = 0.1;

    // A version can work while its endpoints are half empty and fail under higher load; normal
    // traffic does not reveal that, and the first peak after the rollout would. So before all
    // traffic moves, the long answers of all routers go to one endpoint until it has this many for
    // each of its slots. Long answers run long enough to accumulate, and their short prompts do not
    // delay other requests.
    double load_per_slot = 1.25;

    // Minimum time over which an endpoint is filled. Routers learn of each other's requests to it
    // some tenths of a second late, and many routers could meanwhile send it several times its
    // capacity. If there are more callers than needed, only a share of them fill it.
    decision::duration min_fill_time = std::chrono::seconds(1);
    double min_load_per_slot = 0.5; // below this the trial proves nothing

    // Runs that must start or fail while the endpoint's load is at `loaded_level` or above: the
    // number that ends the trial early, and the minimum for the trial to be conclusive at its end.
    // Requests that the endpoint has queued but not read do not count as load, since they wait for
    // their prompts to be read. If a version fails a third of its answers under load, the smaller
    // number misses it one time in twenty-five.
    std::uint64_t early_end_loaded_runs = 16;
    std::uint64_t min_loaded_runs = 8;
    std::size_t loaded_level = decision::load_levels / 2;

    // Fractions of the order's time: the maximum for filling the trial's endpoint, and the maximum
    // for the trial when it has not had enough load, or has more bad answers than a good version
    // but too few for a verdict.
    double max_fill_fraction = 0.2;
    double max_trial_fraction = 0.34;

    // Fraction of the order's time after which a trial no longer delays the version. Until then a
    // trial without enough load does delay it if there are enough callers to provide that load: a
    // late version costs callers less than one that was never tested under load.
    double trials_end_fraction = 1.5;

    // Failures under load that make the result inconclusive if they are more than a good version
    // has. A single failure may be caused by the endpoint.
    std::uint64_t inconclusive_loaded_failures = 2;

    // Fraction of the order's time after which each router reports its rate of long answers, from
    // which the trial's length is computed. It is just before the trial, so that the rates are
    // recent.
    double rate_report_fraction = 0.45;

    // Maximum number of routers that report their rate, or good speed results. In a larger fleet
    // they represent the others: each report is a write to the store and wakes every watcher.
    std::size_t max_rate_reporters = 32;

    double base_error_rate = 0.03; // of a good version
    double max_error_rate = 0.15;  // of a bad one

    // Shares of slow answers of a good and of a bad version, judged by the token rate of streams or
    // the duration of complete answers. A good version starts with cold caches, which shows more
    // when all traffic arrives at once.
    double base_slow_rate = 0.25;
    double max_slow_rate = 0.6;
    double base_slow_rate_full_traffic = 0.38;
    double max_slow_rate_full_traffic = 0.62;

    // Answers whose speed is known, of all routers, that a version needs before it gets all
    // traffic, and the fraction of the order's time after which it gets all traffic without them.
    // Without them, a version that answers several times slower got all traffic for as long as its
    // first answers took, and was finished if these were few. If nothing shows its speed, the rest
    // of the order limits how many callers meet it.
    std::uint64_t min_speed_results = 8;
    double untested_speed_fraction = 0.8;

    // Logarithm of the likelihood ratio of a slow version to a good one from which the sample seems
    // slow. One slow answer does not reach it: every fifth answer of a good version is slow. Two
    // without a quick one do.
    double min_slow_ratio = 1.0;

    // Fraction of the order's time after which no load trial begins. A version that waits for speed
    // results must not begin one, late, because its callers have become more.
    double latest_trial_start_fraction = 0.65;

    // Minimum time between two reports of a router's bad results, and between two of its good ones.
    // It bounds the store's load.
    decision::duration report_period = std::chrono::milliseconds(700);

    // Minimum time between two reports of any kind. Until the store's watch has told the first one,
    // another write of the same key would conflict, and its results would be lost.
    decision::duration report_echo_time = std::chrono::milliseconds(300);

    // Additional delay per rank before a router writes a record that all routers want to write, for
    // the first `delayed_ranks` routers.
    decision::duration rank_delay = std::chrono::milliseconds(400);
    std::size_t delayed_ranks = 8;

    // Additional delay per rank for the routers after those, counted from when they first wanted
    // the write. Otherwise hundreds of routers that learn the same fact at once, such as the last
    // evidence of a trial, would all write at the same moment.
    decision::duration late_rank_delay = std::chrono::milliseconds(25);
    decision::duration max_late_delay = std::chrono::seconds(2);
};

// A router's requests for the model per second.
struct request_rates {
    double requests = 0.0;
    double long_answers = 0.0;

    friend bool operator==(const request_rates&, const request_rates&) = default;
};

// The basis of a rollout's decisions: counts over all routers that have reported, and logarithms of
// the likelihood ratio of a bad version to a good one given these counts.
struct rollout_observation {
    decision::run_counts in_state;
    decision::run_counts total;
    decision::run_counts speed; // in the current state
    decision::load_counts under_load{};
    double state_ratio = 0.0;
    double total_ratio = 0.0;
    double speed_ratio = 0.0;
    double load_ratio = 0.0;
    std::size_t reporters = 0; // routers that have reported evidence
    decision::duration since_order{};
    decision::duration since_step{};

    friend bool operator==(const rollout_observation&, const rollout_observation&) = default;
};

// Actions that a rollout requests. At most one write of the record is in flight at a time.
struct progress_actions {
    std::optional<progress_record> write_record; // replaces the record at `record_revision`
    store_revision record_revision = 0;
    std::optional<router_evidence> report; // replaces this router's earlier report
    bool trip = false; // this router stops sending new requests to the new version at once
};

// Advances one rollout from its order to its end without a leader. Every router follows the same
// record and the same evidence, and any of them may write the next step: compare-and-swap lets one
// write succeed, and a delay by rank mostly leaves the write to the first router. So the death or
// pause of a router does not delay a rollout, and there is no lease on which a paused holder could
// act after its expiry.
//
// Each router tests the combined evidence of all routers as well as its own, and stops sending
// requests to a bad version before the record is written.
class rollout_progress {
public:
    rollout_progress(rollout_progress_settings settings, model_rollout_order order,
                     decision::instant now);

    [[nodiscard]] const model_rollout_order& order() const { return this->ordered; }

    // The record in the store, or none if the store has no record yet.
    void on_record(const std::optional<progress_record>& record, store_revision revision,
                   decision::instant now);

    // The store's value at `revision` cannot be parsed as a record. If the last record is known,
    // the rollout continues from it and writes it again after its delay by rank. If it is not
    // known, the rollout does not start or write anything until `on_record` supplies a record or
    // none. A value older than the order cannot be its record and is overwritten.
    void on_unreadable_record(store_revision revision, decision::instant now);

    void on_evidence(const std::string& router, const router_evidence& evidence);
    void on_own_evidence(const decision::run_counts& seen, const decision::run_counts& speed,
                         bool tripped, const decision::load_counts& under_load = {});

    // The requested write has completed or will get no reply. Another is requested once the record
    // has changed or after a delay.
    void on_written(decision::instant now);

    // `rank` is this router's index among `size` live ones.
    [[nodiscard]] progress_actions on_tick(std::size_t rank, std::size_t size,
                                           const request_rates& rates, decision::instant now);

    [[nodiscard]] const std::optional<progress_record>& record() const { return this->stored; }

    // Whether the rollout cannot start or continue because its record is unreadable.
    [[nodiscard]] bool waits_for_record() const { return this->unreadable_since && !this->stored; }

    [[nodiscard]] const router_evidence& own_evidence() const { return this->own; }

    // The current basis of the rollout's decisions, for the log.
    [[nodiscard]] rollout_observation observation(decision::instant now) const;

    // The rollout as the router's configuration declares it.
    [[nodiscard]] decision::rollout plan(const std::string& name) const;

private:
    [[nodiscard]] bool is_bad() const;
    [[nodiscard]] bool is_inconclusive() const;
    [[nodiscard]] decision::sequential_test
    error_test(double false_alarm = decision::error_guard().false_alarm) const;
    [[nodiscard]] decision::sequential_test load_test() const;
    [[nodiscard]] decision::run_counts
    in_current_state(decision::run_counts router_evidence::*kind) const;
    [[nodiscard]] decision::run_counts all_runs() const;
    [[nodiscard]] bool is_slow(const decision::run_counts& speed) const;
    [[nodiscard]] decision::sequential_test speed_test() const;
    [[nodiscard]] bool seems_slow() const;
    [[nodiscard]] bool sample_seems_slow() const;
    [[nodiscard]] bool is_speed_tested() const;
    [[nodiscard]] bool may_get_full_traffic(decision::duration elapsed) const;
    [[nodiscard]] bool is_full_traffic() const;
    [[nodiscard]] progress_state current_state() const;
    [[nodiscard]] bool has_reportable_changes() const;
    [[nodiscard]] bool is_sampled_reporter(std::size_t rank, std::size_t size) const;
    [[nodiscard]] bool is_rate_report_due(decision::instant now) const;
    [[nodiscard]] bool has_awaited_speed_results() const;
    [[nodiscard]] double fleet_rate(std::size_t size) const;
    [[nodiscard]] bool can_fill(std::size_t size) const;
    [[nodiscard]] decision::duration load_time(std::size_t size) const;
    [[nodiscard]] std::uint32_t fill_ppm(std::size_t size) const;
    [[nodiscard]] bool trial_is_over(std::size_t size, decision::instant now) const;
    [[nodiscard]] decision::load_counts all_under_load() const;
    [[nodiscard]] std::uint64_t loaded_runs(const decision::load_counts& seen) const;
    [[nodiscard]] bool has_loaded_runs(std::uint64_t runs) const;
    [[nodiscard]] double load_ratio(std::uint64_t min_failures = 0) const;
    [[nodiscard]] bool is_inconclusive_under_load() const;
    [[nodiscard]] bool has_trial_changes() const;
    [[nodiscard]] bool rate_has_fallen() const;
    [[nodiscard]] progress_record first_record(std::size_t size) const;
    [[nodiscard]] std::uint32_t sample_ppm(std::size_t size, double request_rate) const;
    [[nodiscard]] std::optional<progress_state>
    state_after_staged(std::size_t size, decision::duration elapsed) const;
    [[nodiscard]] std::optional<progress_record>
    next_record(std::size_t size, const request_rates& rates, decision::instant now) const;
    [[nodiscard]] std::optional<progress_record> restored_record(decision::instant now) const;
    [[nodiscard]] bool is_late_delay_over(const std::optional<progress_record>& next,
                                          std::size_t rank, decision::instant now);
    void request_write(const std::optional<progress_record>& record, decision::instant now,
                       progress_actions& wanted);
    [[nodiscard]] std::optional<progress_state> next_state(std::size_t size,
                                                           decision::instant now) const;
    [[nodiscard]] std::optional<progress_state> state_after_trial(std::size_t size,
                                                                  decision::instant now) const;
    [[nodiscard]] std::optional<progress_state>
    state_after_full_traffic(decision::duration in_step, decision::duration elapsed) const;
    [[nodiscard]] std::optional<progress_state> state_if_slow(decision::duration elapsed) const;
    [[nodiscard]] decision::duration order_fraction(double fraction) const;

    rollout_progress_settings settings;
    model_rollout_order ordered;
    decision::instant began;
    std::optional<progress_record> stored;
    store_revision stored_revision = 0;
    std::optional<decision::instant> unreadable_since; // while the store's value is unreadable
    decision::instant step_began;
    std::map<std::string, router_evidence> others; // by router
    decision::load_counts others_under_load{};     // sum over `others`
    router_evidence own;
    bool is_tripped = false;
    bool trip_requested = false;
    router_evidence reported;
    bool rate_reported = false;
    decision::instant next_report;
    decision::instant next_speed_report;
    bool writing = false;
    decision::instant retry_at;
    std::optional<progress_record> due_record; // the record that this router would write
    decision::instant due_since;
};

} // namespace pearhaven::coordination

#endif
