#include "pearhaven/coordination/rollout_progress.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pearhaven::coordination {

namespace {

constexpr double million = 1e6;

// Time to wait for the store's watch update after a write. Until it arrives another write would
// only conflict.
constexpr decision::duration write_pause = std::chrono::milliseconds(500);

// Probability that a good version is rejected by one of the load tests. Each load level has its own
// test, so it is lower than for the other tests.
constexpr double load_false_alarm = 0.0025;

bool is_final(const std::optional<progress_record>& record)
{
    return record &&
           (record->state == progress_state::finished || record->state == progress_state::bad);
}

decision::rollout_state to_rollout_state(progress_state state)
{
    switch (state) {
    case progress_state::staged:
    case progress_state::load_trial:
        return decision::rollout_state::running;
    case progress_state::full_traffic:
    case progress_state::finished:
        return decision::rollout_state::done;
    case progress_state::bad:
        break;
    }
    return decision::rollout_state::rolled_back;
}

// Whether the record is one of an earlier attempt, or of an earlier part of the same one.
bool is_older(const progress_record& record, const progress_record& known)
{
    const auto position = [](const progress_record& one) {
        return std::make_tuple(one.run, one.state, one.step, one.session_ppm > 0);
    };
    return position(record) < position(known);
}

} // namespace

rollout_progress::rollout_progress(rollout_progress_settings chosen, model_rollout_order order,
                                   decision::instant now)
    : settings(std::move(chosen)), ordered(std::move(order)), began(now), step_began(now)
{}

decision::duration rollout_progress::order_fraction(double fraction) const
{
    return std::chrono::duration_cast<decision::duration>(this->ordered.time * fraction);
}

void rollout_progress::on_record(const std::optional<progress_record>& record,
                                 store_revision revision, decision::instant now)
{
    this->stored_revision = revision;
    // A record never goes back, except with a store that returns from an older copy.
    if (this->stored && (!record || is_older(*record, *this->stored))) {
        this->unreadable_since = this->unreadable_since.value_or(now);
        return;
    }
    const bool other_run = record && record->run != this->ordered.run;
    this->unreadable_since.reset();
    if (!record || other_run) {
        // The first record of this attempt overwrites that of an earlier one.
        this->stored.reset();
        return;
    }
    this->retry_at = now;
    const bool is_next =
        !this->stored || record->state != this->stored->state || record->step != this->stored->step;
    if (is_next) {
        this->step_began = now;
    }
    this->stored = record;
}

void rollout_progress::on_unreadable_record(store_revision revision, decision::instant now)
{
    if (!this->stored && revision < this->ordered.run) {
        this->on_record(std::nullopt, revision, now);
        return;
    }
    this->stored_revision = revision;
    this->unreadable_since = this->unreadable_since.value_or(now);
}

void rollout_progress::on_evidence(const std::string& router, const router_evidence& evidence)
{
    if (evidence.run != this->ordered.run) {
        return;
    }
    this->others[router] = evidence;
    this->others_under_load = {};
    for (const auto& [other, known] : this->others) {
        this->others_under_load += known.under_load;
    }
}

void rollout_progress::on_own_evidence(const decision::run_counts& seen,
                                       const decision::run_counts& speed, bool tripped,
                                       const decision::load_counts& under_load)
{
    const auto state = this->current_state();
    auto earlier = this->own.earlier;
    if (state != this->own.state) {
        earlier += this->own.seen;
    }
    this->own = {this->ordered.run,          state,     seen, speed, earlier,
                 this->own.long_answer_rate, under_load};
    this->is_tripped = this->is_tripped || tripped;
}

progress_state rollout_progress::current_state() const
{
    return this->stored ? this->stored->state : progress_state::staged;
}

bool rollout_progress::is_full_traffic() const
{
    return this->current_state() == progress_state::full_traffic;
}

void rollout_progress::on_written(decision::instant now)
{
    this->writing = false;
    this->retry_at = now + write_pause;
}

// Sum of one kind of counts over all routers in the current state.
decision::run_counts
rollout_progress::in_current_state(decision::run_counts router_evidence::*kind) const
{
    auto sum = this->own.*kind;
    for (const auto& [router, evidence] : this->others) {
        if (evidence.state == this->current_state()) {
            sum += evidence.*kind;
        }
    }
    return sum;
}

// Sum of the run counts of all routers since the order.
decision::run_counts rollout_progress::all_runs() const
{
    auto sum = this->own.seen;
    sum += this->own.earlier;
    for (const auto& [router, evidence] : this->others) {
        sum += evidence.seen;
        sum += evidence.earlier;
    }
    return sum;
}

// A version that fails only under the load of one state shows it only in that state; one that fails
// a few kinds of requests shows it over all states.
bool rollout_progress::is_bad() const
{
    const auto test = this->error_test();
    return this->is_tripped || this->load_ratio() >= this->load_test().rejects_from() ||
           this->is_slow(this->in_current_state(&router_evidence::speed)) ||
           test.judge(this->in_current_state(&router_evidence::seen)) ==
               decision::test_verdict::rejected ||
           test.judge(this->all_runs()) == decision::test_verdict::rejected;
}

bool rollout_progress::is_inconclusive() const
{
    const auto test = this->error_test();
    return test.log_ratio(this->in_current_state(&router_evidence::seen)) > 0.0 ||
           test.log_ratio(this->all_runs()) > 0.0;
}

decision::sequential_test rollout_progress::error_test(double false_alarm) const
{
    decision::error_guard guard;
    guard.false_alarm = false_alarm;
    guard.base_rate = this->settings.base_error_rate;
    guard.max_rate = this->settings.max_error_rate;
    return decision::sequential_test(guard);
}

decision::sequential_test rollout_progress::load_test() const
{
    return this->error_test(load_false_alarm);
}

// Counted over all states: an answer that was started in the trial may fail after it.
decision::load_counts rollout_progress::all_under_load() const
{
    auto sum = this->own.under_load;
    sum += this->others_under_load;
    return sum;
}

std::uint64_t rollout_progress::loaded_runs(const decision::load_counts& seen) const
{
    return decision::counts_from(seen, this->settings.loaded_level).total();
}

bool rollout_progress::has_loaded_runs(std::uint64_t runs) const
{
    return this->loaded_runs(this->all_under_load()) >= runs;
}

// The load at which a version starts to fail is unknown, so each level is tested together with all
// higher ones. In a single test the good answers of a filling endpoint would hide the bad ones of
// the full endpoint.
double rollout_progress::load_ratio(std::uint64_t min_failures) const
{
    const auto seen = this->all_under_load();
    if (decision::counts_from(seen, 0).bad == 0) {
        return 0.0;
    }
    const auto test = this->load_test();
    decision::run_counts from_level;
    double highest = 0.0;
    for (std::size_t level = decision::load_levels; level-- > 0;) {
        from_level += seen.at(level);
        if (from_level.bad >= min_failures) {
            highest = std::max(highest, test.log_ratio(from_level));
        }
    }
    return highest;
}

bool rollout_progress::is_inconclusive_under_load() const
{
    return this->load_ratio(this->settings.inconclusive_loaded_failures) > 0.0;
}

decision::sequential_test rollout_progress::speed_test() const
{
    decision::error_guard guard;
    guard.base_rate = this->is_full_traffic() ? this->settings.base_slow_rate_full_traffic
                                              : this->settings.base_slow_rate;
    guard.max_rate = this->is_full_traffic() ? this->settings.max_slow_rate_full_traffic
                                             : this->settings.max_slow_rate;
    return decision::sequential_test(guard);
}

bool rollout_progress::is_slow(const decision::run_counts& speed) const
{
    return this->speed_test().judge(speed) == decision::test_verdict::rejected;
}

bool rollout_progress::seems_slow() const
{
    return this->speed_test().log_ratio(this->in_current_state(&router_evidence::speed)) > 0.0;
}

bool rollout_progress::sample_seems_slow() const
{
    return this->speed_test().log_ratio(this->in_current_state(&router_evidence::speed)) >=
           this->settings.min_slow_ratio;
}

bool rollout_progress::is_speed_tested() const
{
    return this->in_current_state(&router_evidence::speed).total() >=
               this->settings.min_speed_results &&
           !this->seems_slow();
}

// A version does not get all traffic for lack of results: few callers meet the sample, and a slow
// version's answers come late.
bool rollout_progress::may_get_full_traffic(decision::duration elapsed) const
{
    return this->is_speed_tested() ||
           (elapsed >= this->order_fraction(this->settings.untested_speed_fraction) &&
            !this->sample_seems_slow());
}

// Each router reports its first results, also if it knows enough of them: others may not.
bool rollout_progress::has_awaited_speed_results() const
{
    const auto state = this->current_state();
    const bool is_sampling =
        state == progress_state::staged && this->stored && this->stored->session_ppm > 0;
    const bool same_state =
        this->reported.run == this->ordered.run && this->reported.state == this->own.state;
    const auto reported_results = same_state ? this->reported.speed.total() : 0;
    return (is_sampling || state == progress_state::load_trial) &&
           this->own.speed.total() > reported_results &&
           reported_results < this->settings.min_speed_results;
}

// Good results are reported with the next bad one, but for the first ones that show the speed. Slow
// answers are reported when they are more than a good version has, since each report wakes every
// router.
bool rollout_progress::has_reportable_changes() const
{
    const bool same_state =
        this->reported.run == this->ordered.run && this->reported.state == this->own.state;
    const auto reported_bad = same_state ? this->reported.seen.bad : 0;
    const auto reported_slow = same_state ? this->reported.speed.bad : 0;
    const double slow_rate = this->is_full_traffic() ? this->settings.base_slow_rate_full_traffic
                                                     : this->settings.base_slow_rate;
    const auto& speed = this->own.speed;
    const bool is_above_base_rate =
        static_cast<double>(speed.bad) > (slow_rate + 0.05) * static_cast<double>(speed.total());
    // When inconclusive results delay the end, all routers wait for the good answers.
    const auto reported_runs = same_state ? this->reported.seen.total() : 0;
    const bool is_awaited_result = this->is_full_traffic() &&
                                   (this->is_inconclusive() || this->seems_slow()) &&
                                   this->own.seen.total() > reported_runs;
    return this->own.seen.bad > reported_bad || (speed.bad > reported_slow && is_above_base_rate) ||
           is_awaited_result || this->has_trial_changes() || this->rate_has_fallen();
}

// The trial ends by the counts of all routers, which include the good answers.
bool rollout_progress::has_trial_changes() const
{
    const bool is_awaited =
        this->current_state() == progress_state::load_trial &&
        (!this->has_loaded_runs(this->settings.early_end_loaded_runs) || this->load_ratio() > 0.0);
    const auto reported_runs =
        this->reported.run == this->ordered.run ? this->loaded_runs(this->reported.under_load) : 0;
    return is_awaited && this->loaded_runs(this->own.under_load) > reported_runs;
}

// The reporting routers are spread evenly over the ranks, since routers of the same availability
// zone have consecutive ranks.
bool rollout_progress::is_sampled_reporter(std::size_t rank, std::size_t size) const
{
    const auto reporters = std::min(this->settings.max_rate_reporters, size);
    return size == 0 || rank * reporters / size != (rank + 1) * reporters / size;
}

bool rollout_progress::is_rate_report_due(decision::instant now) const
{
    return !this->rate_reported &&
           now - this->began >= this->order_fraction(this->settings.rate_report_fraction);
}

// If callers become too few to fill the endpoint, the trial must not wait for them.
bool rollout_progress::rate_has_fallen() const
{
    return this->current_state() == progress_state::load_trial && this->rate_reported &&
           this->own.long_answer_rate < this->reported.long_answer_rate / 2.0;
}

// Long answers of the whole fleet per second. Callers are spread unevenly, so one router's rate is
// a poor estimate of the others'. Routers that have not reported are assumed to have the average
// rate of those that have.
double rollout_progress::fleet_rate(std::size_t size) const
{
    double sum = this->own.long_answer_rate;
    double reporting = 1.0;
    for (const auto& [router, evidence] : this->others) {
        if (evidence.long_answer_rate > 0.0) {
            sum += evidence.long_answer_rate;
            reporting += 1.0;
        }
    }
    return sum / reporting * std::max(reporting, static_cast<double>(size));
}

// Whether the long answers of all routers can fill one endpoint within the maximum time of a trial.
bool rollout_progress::can_fill(std::size_t size) const
{
    const auto max_time = this->order_fraction(this->settings.max_trial_fraction);
    const double callers = this->fleet_rate(size) * std::chrono::duration<double>(max_time).count();
    return this->ordered.slots > 0 &&
           callers >= this->settings.min_load_per_slot * this->ordered.slots;
}

// The time in which the long answers of all routers fill one endpoint.
decision::duration rollout_progress::load_time(std::size_t size) const
{
    const double rate = std::max(this->fleet_rate(size), 0.1);
    const std::chrono::duration<double> wanted(this->settings.load_per_slot * this->ordered.slots /
                                               rate);
    const auto time = std::min(std::chrono::duration_cast<decision::duration>(wanted),
                               this->order_fraction(this->settings.max_fill_fraction));
    return std::max(time, this->settings.min_fill_time);
}

// The share of eligible requests, per million, that fills the endpoint in the minimum fill time.
std::uint32_t rollout_progress::fill_ppm(std::size_t size) const
{
    const double seconds = std::chrono::duration<double>(this->settings.min_fill_time).count();
    const double callers = std::max(this->fleet_rate(size), 0.1) * seconds;
    const double share = this->settings.load_per_slot * this->ordered.slots / callers;
    return static_cast<std::uint32_t>(std::clamp(share, 1.0 / million, 1.0) * million);
}

bool rollout_progress::trial_is_over(std::size_t size, decision::instant now) const
{
    if (this->is_inconclusive_under_load()) {
        return false;
    }
    const auto in_trial = now - this->step_began;
    const bool has_callers = in_trial >= this->load_time(size);
    const bool is_decided = has_callers &&
                            this->has_loaded_runs(this->settings.early_end_loaded_runs) &&
                            !this->is_inconclusive() && this->load_ratio() <= 0.0;
    const bool is_long = in_trial >= this->order_fraction(this->settings.max_trial_fraction);
    const bool is_awaited =
        !this->has_loaded_runs(this->settings.min_loaded_runs) && this->can_fill(size) &&
        now - this->began < this->order_fraction(this->settings.trials_end_fraction);
    return is_decided || (is_long && !is_awaited);
}

progress_record rollout_progress::first_record(std::size_t size) const
{
    progress_record first;
    first.run = this->ordered.run;
    first.routers = static_cast<std::uint32_t>(std::max<std::size_t>(size, 1));
    return first;
}

std::uint32_t rollout_progress::sample_ppm(std::size_t size, double request_rate) const
{
    const double rate =
        std::max(request_rate, 0.1) * static_cast<double>(std::max<std::size_t>(size, 1));
    const double share =
        std::min(this->settings.max_sample_share, this->settings.sample_rate / rate);
    return std::max(static_cast<std::uint32_t>(share * million), 1U);
}

std::optional<progress_record> rollout_progress::next_record(std::size_t size,
                                                             const request_rates& rates,
                                                             decision::instant now) const
{
    if (this->waits_for_record()) {
        return std::nullopt;
    }
    if (!this->stored) {
        return this->first_record(size);
    }
    auto next = *this->stored;
    if (this->is_bad()) {
        next.state = progress_state::bad;
        return next;
    }
    const bool step_over =
        now - this->step_began >= this->order_fraction(this->settings.step_fraction);
    const bool is_last = next.step + 1 >= this->settings.step_callers.size();
    if (next.state == progress_state::staged && step_over && !is_last) {
        ++next.step;
        return next;
    }
    const bool sample_due =
        now - this->began >= this->order_fraction(this->settings.sample_fraction);
    if (next.state == progress_state::staged && sample_due && next.session_ppm == 0) {
        next.session_ppm = this->sample_ppm(size, rates.requests);
        return next;
    }
    const auto state = this->next_state(size, now);
    next.state = state.value_or(next.state);
    if (state == progress_state::load_trial) {
        next.fill_ppm = this->fill_ppm(size);
    }
    return state ? std::make_optional(next) : std::nullopt;
}

// The next state, once the current one has lasted long enough.
std::optional<progress_state> rollout_progress::next_state(std::size_t size,
                                                           decision::instant now) const
{
    const auto elapsed = now - this->began;
    const auto in_step = now - this->step_began;
    const bool step_over = in_step >= this->order_fraction(this->settings.step_fraction);
    switch (this->stored->state) {
    case progress_state::staged:
        if (step_over && this->stored->session_ppm > 0) {
            return this->state_after_staged(size, elapsed);
        }
        break;
    case progress_state::load_trial:
        return this->state_after_trial(size, now);
    case progress_state::full_traffic:
        return this->state_after_full_traffic(in_step, elapsed);
    case progress_state::finished:
    case progress_state::bad:
        break;
    }
    return std::nullopt;
}

// The sample stays active while the endpoint is being filled.
std::optional<progress_state> rollout_progress::state_after_staged(std::size_t size,
                                                                   decision::duration elapsed) const
{
    const bool fills = elapsed < this->order_fraction(this->settings.latest_trial_start_fraction) &&
                       this->can_fill(size);
    const auto due = this->order_fraction(fills ? this->settings.trial_start_fraction
                                                : this->settings.sample_fraction +
                                                      this->settings.min_sample_fraction);
    if (elapsed < due) {
        return std::nullopt;
    }
    if (fills) {
        return progress_state::load_trial;
    }
    return this->may_get_full_traffic(elapsed) ? std::make_optional(progress_state::full_traffic)
                                               : this->state_if_slow(elapsed);
}

// A version that seems slow when the result is decided is rejected.
std::optional<progress_state> rollout_progress::state_if_slow(decision::duration elapsed) const
{
    const bool is_due = elapsed >= this->order_fraction(this->settings.decision_fraction);
    return is_due && this->sample_seems_slow() ? std::make_optional(progress_state::bad)
                                               : std::nullopt;
}

// A version with inconclusive results under load does not get all traffic to gather more of
// them: spread over all endpoints, that traffic loads none of them.
std::optional<progress_state> rollout_progress::state_after_trial(std::size_t size,
                                                                  decision::instant now) const
{
    const auto elapsed = now - this->began;
    if (this->trial_is_over(size, now) && this->may_get_full_traffic(elapsed)) {
        return progress_state::full_traffic;
    }
    const bool is_due = elapsed >= this->order_fraction(this->settings.decision_fraction);
    return is_due && this->is_inconclusive_under_load() ? std::make_optional(progress_state::bad)
                                                        : this->state_if_slow(elapsed);
}

// Requires a minimum time at full traffic and no inconclusive result. Otherwise a version with half
// of its answers slow could get all traffic two seconds before the end of its order and finish
// before the answers that show it arrive.
std::optional<progress_state>
rollout_progress::state_after_full_traffic(decision::duration in_step,
                                           decision::duration elapsed) const
{
    // No endpoint is being filled any more, so no further answer could resolve the result.
    if (this->is_inconclusive_under_load()) {
        return progress_state::bad;
    }
    const bool is_over =
        in_step >= this->order_fraction(this->settings.min_full_traffic_fraction) &&
        elapsed >= this->order_fraction(this->settings.finish_fraction);
    if (!is_over) {
        return std::nullopt;
    }
    if (!this->is_inconclusive() && !this->seems_slow()) {
        return progress_state::finished;
    }
    const bool is_due = elapsed >= this->order_fraction(this->settings.decision_fraction);
    return is_due ? std::make_optional(progress_state::bad) : std::nullopt;
}

// The record that the store held before its value became unreadable. Routers that start meanwhile
// wait for it, and after the last step no other write would follow.
std::optional<progress_record> rollout_progress::restored_record(decision::instant now) const
{
    const bool is_due = this->unreadable_since && now >= *this->unreadable_since;
    return is_due ? this->stored : std::nullopt;
}

void rollout_progress::request_write(const std::optional<progress_record>& record,
                                     decision::instant now, progress_actions& wanted)
{
    if (!record || this->writing || now < this->retry_at) {
        return;
    }
    this->writing = true;
    wanted.write_record = record;
    wanted.record_revision = this->stored_revision;
}

bool rollout_progress::is_late_delay_over(const std::optional<progress_record>& next,
                                          std::size_t rank, decision::instant now)
{
    const bool is_same = next && this->due_record && next->state == this->due_record->state &&
                         next->step == this->due_record->step;
    if (!is_same) {
        this->due_record = next;
        this->due_since = now;
    }
    const auto late =
        static_cast<std::int64_t>(rank - std::min(rank, this->settings.delayed_ranks));
    return now - this->due_since >=
           std::min(this->settings.late_rank_delay * late, this->settings.max_late_delay);
}

progress_actions rollout_progress::on_tick(std::size_t rank, std::size_t size,
                                           const request_rates& rates, decision::instant now)
{
    progress_actions actions;
    // Evaluating the state as it was `rank_wait` ago gives routers of lower rank time to write
    // first.
    const auto rank_wait = this->settings.rank_delay *
                           static_cast<std::int64_t>(std::min(rank, this->settings.delayed_ranks));
    const auto restored = this->restored_record(now - rank_wait);
    if (is_final(this->stored)) {
        this->request_write(restored, now, actions);
        return actions;
    }
    if (this->is_bad() && !this->trip_requested) {
        this->trip_requested = true;
        actions.trip = true;
    }
    this->own.run = this->ordered.run;
    this->own.long_answer_rate = rates.long_answers;
    const bool is_reporter = this->is_sampled_reporter(rank, size);
    const bool reports_rate = is_reporter && this->is_rate_report_due(now);
    const bool reports_speed =
        is_reporter && this->has_awaited_speed_results() && now >= this->next_speed_report;
    const bool reports_changes =
        (this->has_reportable_changes() || reports_rate) && now >= this->next_report;
    if (reports_changes || reports_speed) {
        this->rate_reported = this->rate_reported || reports_rate;
        this->reported = this->own;
        this->next_speed_report = now + this->settings.report_period;
        this->next_report =
            reports_changes ? this->next_speed_report
                            : std::max(this->next_report, now + this->settings.report_echo_time);
        actions.report = this->own;
    }
    const auto next = this->next_record(size, rates, this->is_bad() ? now : now - rank_wait);
    const bool first_waits = !this->stored && now - this->began < rank_wait;
    if (this->is_late_delay_over(next, rank, now) && !first_waits) {
        this->request_write(next ? next : restored, now, actions);
    }
    return actions;
}

rollout_observation rollout_progress::observation(decision::instant now) const
{
    rollout_observation seen;
    seen.in_state = this->in_current_state(&router_evidence::seen);
    seen.total = this->all_runs();
    seen.speed = this->in_current_state(&router_evidence::speed);
    seen.under_load = this->all_under_load();
    seen.state_ratio = this->error_test().log_ratio(seen.in_state);
    seen.total_ratio = this->error_test().log_ratio(seen.total);
    seen.speed_ratio = this->speed_test().log_ratio(seen.speed);
    seen.load_ratio = this->load_ratio();
    seen.reporters = this->others.size();
    seen.since_order = now - this->began;
    seen.since_step = now - this->step_began;
    return seen;
}

decision::rollout rollout_progress::plan(const std::string& name) const
{
    decision::rollout made;
    made.name = name;
    made.from = this->ordered.from;
    made.to = this->ordered.to;
    made.step_callers = this->settings.step_callers;
    made.base_error_rate = this->settings.base_error_rate;
    made.max_error_rate = this->settings.max_error_rate;
    if (this->stored) {
        made.run = this->stored->run;
        made.step = this->stored->step;
        made.routers = this->stored->routers;
        made.session_ppm = this->stored->session_ppm;
        made.state = to_rollout_state(this->stored->state);
        made.fill_ppm = this->stored->fill_ppm;
        made.fills_endpoint = this->stored->state == progress_state::load_trial;
    }
    return made;
}

} // namespace pearhaven::coordination
