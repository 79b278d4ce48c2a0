#include "pearhaven/coordination/rollout_course.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

namespace {

constexpr double million = 1e6;

// After a write the store's own word is waited for this long. Until it comes another write could
// only meet a conflict.
constexpr decision::duration write_pause = std::chrono::milliseconds(500);

bool is_final(const std::optional<course_record>& record)
{
    return record &&
           (record->state == course_state::finished || record->state == course_state::bad);
}

decision::rollout_state to_rollout_state(course_state state)
{
    switch (state) {
    case course_state::staged:
        return decision::rollout_state::running;
    case course_state::whole:
    case course_state::finished:
        return decision::rollout_state::done;
    case course_state::bad:
        break;
    }
    return decision::rollout_state::rolled_back;
}

} // namespace

rollout_course::rollout_course(course_settings chosen, course_order order, decision::instant now)
    : settings(std::move(chosen)), what(std::move(order)), began(now), step_began(now)
{}

decision::duration rollout_course::part(double share) const
{
    return std::chrono::duration_cast<decision::duration>(this->what.time * share);
}

void rollout_course::on_record(const std::optional<course_record>& record, store_revision revision,
                               decision::instant now)
{
    const bool other_run = record && record->run != this->what.run;
    this->held_revision = revision;
    if (!record || other_run) {
        // An earlier attempt's record is written over by this one's first.
        this->held.reset();
        return;
    }
    this->retry_at = now;
    if (record != this->held) {
        this->step_began = now;
    }
    this->held = record;
}

void rollout_course::on_evidence(const std::string& router, const course_evidence& told)
{
    if (told.run == this->what.run) {
        this->others[router] = told;
    }
}

void rollout_course::on_own_evidence(const decision::run_counts& seen,
                                     const decision::run_counts& speed, bool tripped)
{
    this->own = {this->what.run, seen, speed, this->is_whole()};
    this->own_tripped = this->own_tripped || tripped;
}

bool rollout_course::is_whole() const
{
    return this->held && this->held->state == course_state::whole;
}

void rollout_course::on_written(decision::instant now)
{
    this->writing = false;
    this->retry_at = now + write_pause;
}

bool rollout_course::is_bad() const
{
    decision::run_counts seen = this->own.seen;
    decision::run_counts speed = this->own.speed;
    for (const auto& [router, told] : this->others) {
        seen.good += told.seen.good;
        seen.bad += told.seen.bad;
        if (told.whole == this->is_whole()) {
            speed.good += told.speed.good;
            speed.bad += told.speed.bad;
        }
    }
    decision::error_guard guard;
    guard.base_rate = this->settings.base_error_rate;
    guard.max_rate = this->settings.max_error_rate;
    const decision::sequential_test test(guard);
    return this->own_tripped || this->is_slow(speed) ||
           test.judge(seen) == decision::test_verdict::rejected;
}

bool rollout_course::is_slow(const decision::run_counts& speed) const
{
    decision::error_guard guard;
    guard.base_rate =
        this->is_whole() ? this->settings.base_slow_rate_whole : this->settings.base_slow_rate;
    guard.max_rate =
        this->is_whole() ? this->settings.max_slow_rate_whole : this->settings.max_slow_rate;
    return decision::sequential_test(guard).judge(speed) == decision::test_verdict::rejected;
}

// Good ends alone change nobody's mind: they go along with the next bad one. Slow answers are told
// where they are more than a good version has; each report wakes every router.
bool rollout_course::has_news() const
{
    const bool same_run = this->reported.run == this->what.run;
    const auto told_bad = same_run ? this->reported.seen.bad : 0;
    const bool same_part = same_run && this->reported.whole == this->own.whole;
    const auto told_slow = same_part ? this->reported.speed.bad : 0;
    const double slow_rate =
        this->is_whole() ? this->settings.base_slow_rate_whole : this->settings.base_slow_rate;
    const auto& speed = this->own.speed;
    const bool leans_slow =
        static_cast<double>(speed.bad) > (slow_rate + 0.05) * static_cast<double>(speed.total());
    return this->own.seen.bad > told_bad || (speed.bad > told_slow && leans_slow);
}

std::optional<course_record> rollout_course::next_record(std::size_t size, double request_rate,
                                                         decision::instant now) const
{
    if (!this->held) {
        course_record first;
        first.run = this->what.run;
        first.routers = static_cast<std::uint32_t>(std::max<std::size_t>(size, 1));
        const double rate = std::max(request_rate, 0.1) * first.routers;
        const double share =
            std::min(this->settings.most_sessions, this->settings.session_rate / rate);
        first.session_ppm = static_cast<std::uint32_t>(share * million);
        return first;
    }
    auto next = *this->held;
    if (this->is_bad()) {
        next.state = course_state::bad;
        return next;
    }
    const auto elapsed = now - this->began;
    const bool step_over = now - this->step_began >= this->part(this->settings.step_part);
    const bool is_last = next.step + 1 >= this->settings.step_callers.size();
    if (next.state == course_state::staged && step_over && !is_last) {
        ++next.step;
        return next;
    }
    if (next.state == course_state::staged && step_over &&
        elapsed >= this->part(this->settings.whole_part)) {
        next.state = course_state::whole;
        return next;
    }
    if (next.state == course_state::whole && step_over &&
        elapsed >= this->part(this->settings.finish_part)) {
        next.state = course_state::finished;
        return next;
    }
    return std::nullopt;
}

course_actions rollout_course::on_tick(std::size_t rank, std::size_t size, double request_rate,
                                       decision::instant now)
{
    course_actions wanted;
    if (is_final(this->held)) {
        return wanted;
    }
    if (this->is_bad() && !this->told_trip) {
        this->told_trip = true;
        wanted.trip = true;
    }
    if (this->has_news() && now >= this->next_report) {
        this->reported = this->own;
        this->next_report = now + this->settings.report_period;
        wanted.report = this->own;
    }
    // What is wanted now was wanted a turn ago by those before this router: they have had theirs.
    const auto turns =
        this->settings.turn * static_cast<std::int64_t>(std::min<std::size_t>(rank, 8));
    const auto next = this->next_record(size, request_rate, this->is_bad() ? now : now - turns);
    const bool first_waits = !this->held && now - this->began < turns;
    if (next && !first_waits && !this->writing && now >= this->retry_at) {
        this->writing = true;
        wanted.write_record = next;
        wanted.record_revision = this->held_revision;
    }
    return wanted;
}

decision::rollout rollout_course::plan(const std::string& name) const
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
    }
    return made;
}

} // namespace pearhaven::coordination
