#include "pearhaven/coordination/rollout_progress.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

namespace {

constexpr double million = 1e6;

// After a write the store's own word is waited for this long. Until it comes another write could
// only meet a conflict.
constexpr decision::duration write_pause = std::chrono::milliseconds(500);

// Probability that a good version is rejected by one of the tests by load. Each level has a test of
// its own, so that it is smaller than that of the others.
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

} // namespace

rollout_progress::rollout_progress(rollout_progress_settings chosen, model_rollout_order order,
                                   decision::instant now)
    : settings(std::move(chosen)), what(std::move(order)), began(now), step_began(now)
{}

decision::duration rollout_progress::part(double share) const
{
    return std::chrono::duration_cast<decision::duration>(this->what.time * share);
}

void rollout_progress::on_record(const std::optional<progress_record>& record,
                                 store_revision revision, decision::instant now)
{
    const bool other_run = record && record->run != this->what.run;
    this->held_revision = revision;
    this->unreadable_since.reset();
    if (!record || other_run) {
        // An earlier attempt's record is written over by this one's first.
        this->held.reset();
        return;
    }
    this->retry_at = now;
    const bool is_next =
        !this->held || record->state != this->held->state || record->step != this->held->step;
    if (is_next) {
        this->step_began = now;
    }
    this->held = record;
}

void rollout_progress::on_unreadable_record(store_revision revision, decision::instant now)
{
    if (!this->held && revision < this->what.run) {
        this->on_record(std::nullopt, revision, now);
        return;
    }
    this->held_revision = revision;
    this->unreadable_since = this->unreadable_since.value_or(now);
}

void rollout_progress::on_evidence(const std::string& router, const router_evidence& told)
{
    if (told.run != this->what.run) {
        return;
    }
    this->others[router] = told;
    this->others_under_load = {};
    for (const auto& [other, known] : this->others) {
        this->others_under_load += known.under_load;
    }
}

void rollout_progress::on_own_evidence(const decision::run_counts& seen,
                                       const decision::run_counts& speed, bool tripped,
                                       const decision::load_counts& under_load)
{
    const auto part = this->part_of_course();
    auto earlier = this->own.earlier;
    if (part != this->own.state) {
        earlier += this->own.seen;
    }
    this->own = {this->what.run, part, seen, speed, earlier, this->own.long_answer_rate,
                 under_load};
    this->own_tripped = this->own_tripped || tripped;
}

progress_state rollout_progress::part_of_course() const
{
    return this->held ? this->held->state : progress_state::staged;
}

bool rollout_progress::is_whole() const
{
    return this->part_of_course() == progress_state::full_traffic;
}

void rollout_progress::on_written(decision::instant now)
{
    this->writing = false;
    this->retry_at = now + write_pause;
}

// What all routers have counted of one kind in the present part.
decision::run_counts
rollout_progress::in_this_part(decision::run_counts router_evidence::*kind) const
{
    auto sum = this->own.*kind;
    for (const auto& [router, told] : this->others) {
        if (told.state == this->part_of_course()) {
            sum += told.*kind;
        }
    }
    return sum;
}

// What all routers have seen since the order.
decision::run_counts rollout_progress::all_seen_ever() const
{
    auto sum = this->own.seen;
    sum += this->own.earlier;
    for (const auto& [router, told] : this->others) {
        sum += told.seen;
        sum += told.earlier;
    }
    return sum;
}

// A version that fails under one part's load only shows it in that part; one that fails a few
// requests, by their kind, shows it over all of them.
bool rollout_progress::is_bad() const
{
    const auto test = this->error_test();
    return this->own_tripped || this->load_ratio() >= this->load_test().rejects_from() ||
           this->is_slow(this->in_this_part(&router_evidence::speed)) ||
           test.judge(this->in_this_part(&router_evidence::seen)) ==
               decision::test_verdict::rejected ||
           test.judge(this->all_seen_ever()) == decision::test_verdict::rejected;
}

bool rollout_progress::is_doubtful() const
{
    const auto test = this->error_test();
    return test.log_ratio(this->in_this_part(&router_evidence::seen)) > 0.0 ||
           test.log_ratio(this->all_seen_ever()) > 0.0;
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

// Counted over all parts: an answer that was begun in the trial may fail after it.
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

bool rollout_progress::has_shown_load(std::uint64_t runs) const
{
    return this->loaded_runs(this->all_under_load()) >= runs;
}

// Nobody knows from which load on a version fails, so each level is tested with all those above it.
// Tested together, the good answers of an endpoint that fills up hide the bad ones of the full one.
double rollout_progress::load_ratio(std::uint64_t least_failures) const
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
        if (from_level.bad >= least_failures) {
            highest = std::max(highest, test.log_ratio(from_level));
        }
    }
    return highest;
}

bool rollout_progress::is_doubtful_under_load() const
{
    return this->load_ratio(this->settings.doubtful_loaded_failures) > 0.0;
}

decision::sequential_test rollout_progress::speed_test() const
{
    decision::error_guard guard;
    guard.base_rate =
        this->is_whole() ? this->settings.base_slow_rate_whole : this->settings.base_slow_rate;
    guard.max_rate =
        this->is_whole() ? this->settings.max_slow_rate_whole : this->settings.max_slow_rate;
    return decision::sequential_test(guard);
}

bool rollout_progress::is_slow(const decision::run_counts& speed) const
{
    return this->speed_test().judge(speed) == decision::test_verdict::rejected;
}

bool rollout_progress::seems_slow() const
{
    return this->speed_test().log_ratio(this->in_this_part(&router_evidence::speed)) > 0.0;
}

// Good ends alone change nobody's mind: they go along with the next bad one. Slow answers are told
// where they are more than a good version has; each report wakes every router.
bool rollout_progress::has_news() const
{
    const bool same_part =
        this->reported.run == this->what.run && this->reported.state == this->own.state;
    const auto told_bad = same_part ? this->reported.seen.bad : 0;
    const auto told_slow = same_part ? this->reported.speed.bad : 0;
    const double slow_rate =
        this->is_whole() ? this->settings.base_slow_rate_whole : this->settings.base_slow_rate;
    const auto& speed = this->own.speed;
    const bool leans_slow =
        static_cast<double>(speed.bad) > (slow_rate + 0.05) * static_cast<double>(speed.total());
    // Where the end is held up by doubt, the good answers are what everybody waits for.
    const auto told = same_part ? this->reported.seen.total() : 0;
    const bool clears_doubt = this->is_whole() && (this->is_doubtful() || this->seems_slow()) &&
                              this->own.seen.total() > told;
    return this->own.seen.bad > told_bad || (speed.bad > told_slow && leans_slow) || clears_doubt ||
           this->has_loaded_news() || this->rate_has_fallen();
}

// The trial ends by what all routers have seen of it, the good answers as well.
bool rollout_progress::has_loaded_news() const
{
    const bool is_awaited =
        this->part_of_course() == progress_state::load_trial &&
        (!this->has_shown_load(this->settings.many_loaded_runs) || this->load_ratio() > 0.0);
    const auto told =
        this->reported.run == this->what.run ? this->loaded_runs(this->reported.under_load) : 0;
    return is_awaited && this->loaded_runs(this->own.under_load) > told;
}

// The routers that tell are spread evenly over the ranks: those of a zone follow each other.
bool rollout_progress::rate_is_due(std::size_t rank, std::size_t size, decision::instant now) const
{
    const auto told = std::min(this->settings.most_rates_told, size);
    const bool tells = size == 0 || rank * told / size != (rank + 1) * told / size;
    return tells && !this->told_rate && now - this->began >= this->part(this->settings.rate_part);
}

// Where callers become too few to fill the endpoint, the trial is not to wait for them.
bool rollout_progress::rate_has_fallen() const
{
    return this->part_of_course() == progress_state::load_trial && this->told_rate &&
           this->own.long_answer_rate < this->reported.long_answer_rate / 2.0;
}

// Long answers of the whole fleet in a second. Callers are spread unevenly, so one router's rate
// says little of the others'. Routers that have not told theirs are taken to be like those that
// have.
double rollout_progress::fleet_rate(std::size_t size) const
{
    double sum = this->own.long_answer_rate;
    double heard = 1.0;
    for (const auto& [router, told] : this->others) {
        if (told.long_answer_rate > 0.0) {
            sum += told.long_answer_rate;
            heard += 1.0;
        }
    }
    return sum / heard * std::max(heard, static_cast<double>(size));
}

// Whether the long answers of all routers can fill one endpoint in the time that a trial may take.
bool rollout_progress::can_fill(std::size_t size) const
{
    const auto most = this->part(this->settings.longest_load_part);
    const double callers = this->fleet_rate(size) * std::chrono::duration<double>(most).count();
    return this->what.slots > 0 && callers >= this->settings.least_load_per_slot * this->what.slots;
}

// How long they take.
decision::duration rollout_progress::load_time(std::size_t size) const
{
    const double rate = std::max(this->fleet_rate(size), 0.1);
    const std::chrono::duration<double> wanted(this->settings.load_per_slot * this->what.slots /
                                               rate);
    const auto time = std::min(std::chrono::duration_cast<decision::duration>(wanted),
                               this->part(this->settings.load_part));
    return std::max(time, this->settings.least_fill_time);
}

// So many of the requests that may fill the endpoint as fill it in the least time.
std::uint32_t rollout_progress::fill_ppm(std::size_t size) const
{
    const double seconds = std::chrono::duration<double>(this->settings.least_fill_time).count();
    const double callers = std::max(this->fleet_rate(size), 0.1) * seconds;
    const double share = this->settings.load_per_slot * this->what.slots / callers;
    return static_cast<std::uint32_t>(std::clamp(share, 1.0 / million, 1.0) * million);
}

bool rollout_progress::trial_is_over(std::size_t size, decision::instant now) const
{
    if (this->is_doubtful_under_load()) {
        return false;
    }
    const auto in_trial = now - this->step_began;
    const bool has_callers = in_trial >= this->load_time(size);
    const bool is_decided = has_callers && this->has_shown_load(this->settings.many_loaded_runs) &&
                            !this->is_doubtful() && this->load_ratio() <= 0.0;
    const bool is_long = in_trial >= this->part(this->settings.longest_load_part);
    const bool is_awaited = !this->has_shown_load(this->settings.enough_loaded_runs) &&
                            this->can_fill(size) &&
                            now - this->began < this->part(this->settings.end_of_trials_part);
    return is_decided || (is_long && !is_awaited);
}

progress_record rollout_progress::first_record(std::size_t size) const
{
    progress_record first;
    first.run = this->what.run;
    first.routers = static_cast<std::uint32_t>(std::max<std::size_t>(size, 1));
    return first;
}

std::uint32_t rollout_progress::sample_ppm(std::size_t size, double request_rate) const
{
    const double rate =
        std::max(request_rate, 0.1) * static_cast<double>(std::max<std::size_t>(size, 1));
    const double share = std::min(this->settings.most_sampled, this->settings.sample_rate / rate);
    return std::max(static_cast<std::uint32_t>(share * million), 1U);
}

std::optional<progress_record> rollout_progress::next_record(std::size_t size,
                                                             const request_rates& rates,
                                                             decision::instant now) const
{
    if (this->waits_for_record()) {
        return std::nullopt;
    }
    if (!this->held) {
        return this->first_record(size);
    }
    auto next = *this->held;
    if (this->is_bad()) {
        next.state = progress_state::bad;
        return next;
    }
    const bool step_over = now - this->step_began >= this->part(this->settings.step_part);
    const bool is_last = next.step + 1 >= this->settings.step_callers.size();
    if (next.state == progress_state::staged && step_over && !is_last) {
        ++next.step;
        return next;
    }
    const bool sample_due = now - this->began >= this->part(this->settings.sample_part);
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

// The state that follows once the present one has lasted long enough.
std::optional<progress_state> rollout_progress::next_state(std::size_t size,
                                                           decision::instant now) const
{
    const auto elapsed = now - this->began;
    const auto in_step = now - this->step_began;
    const bool step_over = in_step >= this->part(this->settings.step_part);
    switch (this->held->state) {
    case progress_state::staged:
        if (step_over && this->held->session_ppm > 0) {
            return this->state_after_staged(size, elapsed);
        }
        break;
    case progress_state::load_trial:
        return this->state_after_trial(size, now);
    case progress_state::full_traffic:
        return this->state_after_whole(in_step, elapsed);
    case progress_state::finished:
    case progress_state::bad:
        break;
    }
    return std::nullopt;
}

// The sample goes on beside the endpoint that is being filled.
std::optional<progress_state> rollout_progress::state_after_staged(std::size_t size,
                                                                   decision::duration elapsed) const
{
    const bool fills = this->can_fill(size);
    const auto due =
        this->part(fills ? this->settings.whole_part
                         : this->settings.sample_part + this->settings.least_sample_part);
    if (elapsed < due) {
        return std::nullopt;
    }
    return fills ? progress_state::load_trial : progress_state::full_traffic;
}

// A version in doubt under load does not get all traffic to show more: spread over all endpoints,
// it loads none of them.
std::optional<progress_state> rollout_progress::state_after_trial(std::size_t size,
                                                                  decision::instant now) const
{
    if (this->trial_is_over(size, now)) {
        return progress_state::full_traffic;
    }
    const bool is_due = now - this->began >= this->part(this->settings.decision_part);
    return is_due && this->is_doubtful_under_load() ? std::make_optional(progress_state::bad)
                                                    : std::nullopt;
}

// A version with half of its answers slow got all traffic for two seconds before the end of its
// order; the answers that would have told came after it was finished.
std::optional<progress_state> rollout_progress::state_after_whole(decision::duration in_step,
                                                                  decision::duration elapsed) const
{
    // No endpoint is filled any more: nothing that is still to come could clear the doubt.
    if (this->is_doubtful_under_load()) {
        return progress_state::bad;
    }
    const bool is_over = in_step >= this->part(this->settings.least_whole_part) &&
                         elapsed >= this->part(this->settings.finish_part);
    if (!is_over) {
        return std::nullopt;
    }
    if (!this->is_doubtful() && !this->seems_slow()) {
        return progress_state::finished;
    }
    const bool is_due = elapsed >= this->part(this->settings.decision_part);
    return is_due ? std::make_optional(progress_state::bad) : std::nullopt;
}

// What the store held before its value became unreadable. Routers that start meanwhile wait for it,
// and after the last step no other write would come.
std::optional<progress_record> rollout_progress::mended_record(decision::instant now) const
{
    const bool is_due = this->unreadable_since && now >= *this->unreadable_since;
    return is_due ? this->held : std::nullopt;
}

void rollout_progress::ask_for_write(const std::optional<progress_record>& record,
                                     decision::instant now, progress_actions& wanted)
{
    if (!record || this->writing || now < this->retry_at) {
        return;
    }
    this->writing = true;
    wanted.write_record = record;
    wanted.record_revision = this->held_revision;
}

bool rollout_progress::has_late_turn(const std::optional<progress_record>& next, std::size_t rank,
                                     decision::instant now)
{
    const bool is_same = next && this->due_step && next->state == this->due_step->state &&
                         next->step == this->due_step->step;
    if (!is_same) {
        this->due_step = next;
        this->due_since = now;
    }
    const auto late = static_cast<std::int64_t>(rank - std::min(rank, this->settings.turns));
    return now - this->due_since >=
           std::min(this->settings.late_turn * late, this->settings.longest_late_wait);
}

progress_actions rollout_progress::on_tick(std::size_t rank, std::size_t size,
                                           const request_rates& rates, decision::instant now)
{
    progress_actions actions;
    // What is wanted now was wanted a turn ago by those before this router: they have had theirs.
    const auto turns =
        this->settings.turn * static_cast<std::int64_t>(std::min(rank, this->settings.turns));
    const auto mended = this->mended_record(now - turns);
    if (is_final(this->held)) {
        this->ask_for_write(mended, now, actions);
        return actions;
    }
    if (this->is_bad() && !this->told_trip) {
        this->told_trip = true;
        actions.trip = true;
    }
    this->own.run = this->what.run;
    this->own.long_answer_rate = rates.long_answers;
    const bool tells_rate = this->rate_is_due(rank, size, now);
    if ((this->has_news() || tells_rate) && now >= this->next_report) {
        this->told_rate = this->told_rate || tells_rate;
        this->reported = this->own;
        this->next_report = now + this->settings.report_period;
        actions.report = this->own;
    }
    const auto next = this->next_record(size, rates, this->is_bad() ? now : now - turns);
    const bool first_waits = !this->held && now - this->began < turns;
    if (this->has_late_turn(next, rank, now) && !first_waits) {
        this->ask_for_write(next ? next : mended, now, actions);
    }
    return actions;
}

rollout_observation rollout_progress::observation(decision::instant now) const
{
    rollout_observation seen;
    seen.in_state = this->in_this_part(&router_evidence::seen);
    seen.total = this->all_seen_ever();
    seen.speed = this->in_this_part(&router_evidence::speed);
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
    made.from = this->what.from;
    made.to = this->what.to;
    made.step_callers = this->settings.step_callers;
    made.base_error_rate = this->settings.base_error_rate;
    made.max_error_rate = this->settings.max_error_rate;
    if (this->held) {
        made.run = this->held->run;
        made.step = this->held->step;
        made.routers = this->held->routers;
        made.session_ppm = this->held->session_ppm;
        made.state = to_rollout_state(this->held->state);
        made.fill_ppm = this->held->fill_ppm;
        made.fills_endpoint = this->held->state == progress_state::load_trial;
    }
    return made;
}

} // namespace pearhaven::coordination
