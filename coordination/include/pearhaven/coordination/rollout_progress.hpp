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

// How far a roll-out has come. Written only by compare-and-swap, so that its states follow each
// other in one order for all routers; `bad` and `finished` are final.
enum class progress_state : std::uint8_t {
    staged,       // callers are granted step by step
    load_trial,   // one endpoint is filled with long answers, to see whether the version bears it
    full_traffic, // all new work goes to the new version, which is still watched
    finished,     // the old version is not needed any more
    bad,          // nothing new goes to the new version
};

struct progress_record {
    std::uint64_t run = 0;         // names this attempt: the store's revision of its order
    std::uint32_t step = 0;        // of the staged part
    std::uint32_t routers = 0;     // among which each step's callers are divided
    std::uint32_t session_ppm = 0; // of the sessions, in a million, that move before all do
    progress_state state = progress_state::staged;
    std::uint32_t fill_ppm = 1'000'000; // of the requests that may fill an endpoint, that do

    friend bool operator==(const progress_record&, const progress_record&) = default;
};

// What one router has seen of the new version in one part of an attempt. Parts are counted apart:
// the good answers of a quiet one would hide the bad ones of the next.
struct router_evidence {
    std::uint64_t run = 0;
    progress_state state = progress_state::staged;
    decision::run_counts seen;
    decision::run_counts speed;    // slow answers count as bad
    decision::run_counts earlier;  // as `seen`, of the parts before
    double long_answer_rate = 0.0; // long answers begun by this router each second
    decision::load_counts
        under_load{}; // of all parts; see `rollout_progress_settings::load_per_slot`

    friend bool operator==(const router_evidence&, const router_evidence&) = default;
};

// An operator's order to move a model's traffic to another version.
struct model_rollout_order {
    std::string from;
    std::string to;
    std::uint64_t run = 0;
    decision::duration time{}; // in which it is to be done
    std::uint32_t slots = 0;   // requests that one endpoint of the new version runs at once

    friend bool operator==(const model_rollout_order&, const model_rollout_order&) = default;
};

struct rollout_progress_settings {
    // Callers of the whole fleet that may have met the new version by each step. A version of which
    // a third of the answers fail is found out by about twenty of them.
    std::vector<std::uint32_t> step_callers = {20, 45, 75, 110};

    // Parts of the order's time: on each step, until all traffic may go over at the earliest, and
    // until the old version may stop. Sessions change their version only in the second half. A
    // quarter is left for a store that is away meanwhile.
    double step_part = 0.125;
    double whole_part = 0.505;
    double finish_part = 0.75;

    // Part of the order's time for which all traffic is on the new version before the old one may
    // stop, at least. With the longest trial a good version is then done in 0.9 of the time.
    double least_whole_part = 0.08;

    // Part of the order's time at which doubt is decided. A version that has more bad or slow
    // answers than a good one is not finished before; if it has at this moment still, it is given
    // up: it is more likely bad than good, and everybody would meet it.
    double decision_part = 0.95;

    // Part of the order's time from which a sample of the sessions moves, before all others do. A
    // session that moves has mostly sent requests to the old version a moment ago, at some other
    // router, and in the first half of the order none may change its version. Moved then, chosen
    // few by a rate that one router had measured in its first two seconds, 258 sessions of a fleet
    // of 80 routers moved in place of ten, and four changed in their midst, where three may. From
    // the middle on any session may move, as long as it stays moved: so the sample is chosen by
    // name, alike at every router, and never gets smaller.
    double sample_part = 0.505;

    // For which the sample is watched before all traffic moves, where no endpoint is filled.
    double least_sample_part = 0.06;

    // Requests of the sample each second, of the whole fleet, and at most which part of the
    // sessions it takes. The rate finds a version of which a third of the answers fail within a
    // second. The bound holds where one router's rate is far below the others'.
    double sample_rate = 20.0;
    double most_sampled = 0.1;

    // A version can be sound while its endpoints are half empty and fail beyond; at the load of an
    // ordinary hour nothing shows it, and the first crowd after the roll-out finds it out. So
    // before all traffic moves, the long answers of all routers go to one endpoint, until it has
    // got so many for each of its slots. Long answers stay long enough to add up, and their short
    // prompts keep no one else waiting.
    double load_per_slot = 1.25;

    // The shortest time in which an endpoint is filled. Routers hear of each other's requests there
    // some tenths of a second late: many of them would send it several times what it bears
    // meanwhile. Where callers are more, a part of them fill it.
    decision::duration least_fill_time = std::chrono::seconds(1);
    double least_load_per_slot = 0.5; // that can be reached; with less the trial shows nothing

    // Runs that have to begin or fail with the endpoint's load at that level or above: for the
    // trial to end early, and to have shown anything at its end. Requests that the endpoint holds
    // unread are no load: they wait for their prompts to be read. Of a version of which a third of
    // the answers fail under load, the fewer ones miss it one time in twenty-five.
    std::uint64_t many_loaded_runs = 16;
    std::uint64_t enough_loaded_runs = 8;
    std::size_t loaded_level = decision::load_levels / 2;

    // Part of the order's time for which the trial collects its callers, at most; and for which it
    // goes on where it has not shown enough, or where there are more bad answers than a good
    // version has but too few to tell.
    double load_part = 0.2;
    double longest_load_part = 0.34;

    // Part of the order's time after which no trial holds up the version any longer. Until then one
    // that has not shown enough does, where callers could show it: they lose less by a version that
    // is late than by one that was never tried under load.
    double end_of_trials_part = 1.5;

    // Failures under load that put a version in doubt, where they are more than a good one has. One
    // alone may be an endpoint's.
    std::uint64_t doubtful_loaded_failures = 2;

    // Part of the order's time after which each router tells its rate of long answers, from which
    // the trial's length is worked out: just before the trial, so that the rates are fresh.
    double rate_part = 0.45;

    // Routers that tell it. In a larger fleet these stand for the others: each report is a write of
    // the store, and wakes whoever watches it.
    std::size_t most_rates_told = 32;

    double base_error_rate = 0.03; // of a good version
    double max_error_rate = 0.15;  // of a bad one

    // Shares of slow answers, by the pace of streams or the time of whole ones. A good version's
    // begin with cold caches, and more so when all traffic comes at once.
    double base_slow_rate = 0.25;
    double max_slow_rate = 0.6;
    double base_slow_rate_whole = 0.38;
    double max_slow_rate_whole = 0.62;

    // Time between two reports of a router's evidence. It bounds the store's load.
    decision::duration report_period = std::chrono::milliseconds(700);

    // Each further router waits so much longer before it writes what all of them want written, as
    // far as the first ones go.
    decision::duration turn = std::chrono::milliseconds(400);
    std::size_t turns = 8;

    // The same for those after them, from when they came to want it: what hundreds of routers learn
    // at one moment, as the last evidence of a trial, they would else all write at that moment.
    decision::duration late_turn = std::chrono::milliseconds(25);
    decision::duration longest_late_wait = std::chrono::seconds(2);
};

// What a router serves of the model each second, and sees of the trial under load.
struct request_rates {
    double requests = 0.0;
    double long_answers = 0.0;

    friend bool operator==(const request_rates&, const request_rates&) = default;
};

// What a course goes by: counts of all routers, as far as they have told them, and how much more
// likely a bad version is than a good one to give these, as logarithms.
struct rollout_observation {
    decision::run_counts in_state;
    decision::run_counts total;
    decision::run_counts speed; // in this part
    decision::load_counts under_load{};
    double state_ratio = 0.0;
    double total_ratio = 0.0;
    double speed_ratio = 0.0;
    double load_ratio = 0.0;
    std::size_t reporters = 0; // routers that have told anything
    decision::duration since_order{};
    decision::duration since_step{};

    friend bool operator==(const rollout_observation&, const rollout_observation&) = default;
};

// What a course wants done. Of the writes at most one is under way at a time.
struct progress_actions {
    std::optional<progress_record> write_record; // over the record at `record_revision`
    store_revision record_revision = 0;
    std::optional<router_evidence> report; // in place of this router's earlier one
    bool trip = false;                     // the new version gets nothing new here, at once
};

// Takes one roll-out from its order to its end without a leader. Every router follows the same
// record and the same evidence, and any of them may write the next step: compare-and-swap lets one
// win, and waiting by rank mostly leaves the write to the first. So no router's death or pause
// holds a roll-out up, and there is no lease that a paused holder could act on after its end.
//
// Each router tests the evidence of all together, and its own at once, and stops sending before
// anything is written.
class rollout_progress {
public:
    rollout_progress(rollout_progress_settings settings, model_rollout_order order,
                     decision::instant now);

    [[nodiscard]] const model_rollout_order& order() const { return this->what; }

    // The record as the store holds it; none where it has no record yet.
    void on_record(const std::optional<progress_record>& record, store_revision revision,
                   decision::instant now);

    // The store's value at `revision` is no record. A course that knows what the record said goes
    // on by that, and writes it again in its turn. One that does not know it waits: it begins
    // nothing and writes nothing until `on_record` tells of a record, or of none. A value from
    // before the order cannot be a record of it, and is written over.
    void on_unreadable_record(store_revision revision, decision::instant now);

    void on_evidence(const std::string& router, const router_evidence& told);
    void on_own_evidence(const decision::run_counts& seen, const decision::run_counts& speed,
                         bool tripped, const decision::load_counts& under_load = {});

    // The answer to a write that was asked for has come, or none will. Another is made once the
    // record has changed, or after a while.
    void on_written(decision::instant now);

    // `rank` is this router's place among `size` live ones.
    [[nodiscard]] progress_actions on_tick(std::size_t rank, std::size_t size,
                                           const request_rates& rates, decision::instant now);

    [[nodiscard]] const std::optional<progress_record>& record() const { return this->held; }

    // Whether it can neither begin nor go on, for a record that it cannot read.
    [[nodiscard]] bool waits_for_record() const { return this->unreadable_since && !this->held; }

    [[nodiscard]] const router_evidence& own_evidence() const { return this->own; }

    // What its decisions go by now, for the log.
    [[nodiscard]] rollout_observation observation(decision::instant now) const;

    // For the router's configuration.
    [[nodiscard]] decision::rollout plan(const std::string& name) const;

private:
    [[nodiscard]] bool is_bad() const;
    [[nodiscard]] bool is_doubtful() const;
    [[nodiscard]] decision::sequential_test
    error_test(double false_alarm = decision::error_guard().false_alarm) const;
    [[nodiscard]] decision::sequential_test load_test() const;
    [[nodiscard]] decision::run_counts
    in_this_part(decision::run_counts router_evidence::*kind) const;
    [[nodiscard]] decision::run_counts all_seen_ever() const;
    [[nodiscard]] bool is_slow(const decision::run_counts& speed) const;
    [[nodiscard]] decision::sequential_test speed_test() const;
    [[nodiscard]] bool seems_slow() const;
    [[nodiscard]] bool is_whole() const;
    [[nodiscard]] progress_state part_of_course() const;
    [[nodiscard]] bool has_news() const;
    [[nodiscard]] bool rate_is_due(std::size_t rank, std::size_t size, decision::instant now) const;
    [[nodiscard]] double fleet_rate(std::size_t size) const;
    [[nodiscard]] bool can_fill(std::size_t size) const;
    [[nodiscard]] decision::duration load_time(std::size_t size) const;
    [[nodiscard]] std::uint32_t fill_ppm(std::size_t size) const;
    [[nodiscard]] bool trial_is_over(std::size_t size, decision::instant now) const;
    [[nodiscard]] decision::load_counts all_under_load() const;
    [[nodiscard]] std::uint64_t loaded_runs(const decision::load_counts& seen) const;
    [[nodiscard]] bool has_shown_load(std::uint64_t runs) const;
    [[nodiscard]] double load_ratio(std::uint64_t least_failures = 0) const;
    [[nodiscard]] bool is_doubtful_under_load() const;
    [[nodiscard]] bool has_loaded_news() const;
    [[nodiscard]] bool rate_has_fallen() const;
    [[nodiscard]] progress_record first_record(std::size_t size) const;
    [[nodiscard]] std::uint32_t sample_ppm(std::size_t size, double request_rate) const;
    [[nodiscard]] std::optional<progress_state>
    state_after_staged(std::size_t size, decision::duration elapsed) const;
    [[nodiscard]] std::optional<progress_record>
    next_record(std::size_t size, const request_rates& rates, decision::instant now) const;
    [[nodiscard]] std::optional<progress_record> mended_record(decision::instant now) const;
    [[nodiscard]] bool has_late_turn(const std::optional<progress_record>& next, std::size_t rank,
                                     decision::instant now);
    void ask_for_write(const std::optional<progress_record>& record, decision::instant now,
                       progress_actions& wanted);
    [[nodiscard]] std::optional<progress_state> next_state(std::size_t size,
                                                           decision::instant now) const;
    [[nodiscard]] std::optional<progress_state> state_after_trial(std::size_t size,
                                                                  decision::instant now) const;
    [[nodiscard]] std::optional<progress_state> state_after_whole(decision::duration in_step,
                                                                  decision::duration elapsed) const;
    [[nodiscard]] decision::duration part(double share) const;

    rollout_progress_settings settings;
    model_rollout_order what;
    decision::instant began;
    std::optional<progress_record> held;
    store_revision held_revision = 0;
    std::optional<decision::instant> unreadable_since; // while the store's value is no record
    decision::instant step_began;
    std::map<std::string, router_evidence> others; // by router
    decision::load_counts others_under_load{};     // of all of them
    router_evidence own;
    bool own_tripped = false;
    bool told_trip = false;
    router_evidence reported;
    bool told_rate = false;
    decision::instant next_report;
    bool writing = false;
    decision::instant retry_at;
    std::optional<progress_record> due_step; // that it would write
    decision::instant due_since;
};

} // namespace pearhaven::coordination

#endif
