#include "pearhaven/decision/overload_policy.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

constexpr std::uint32_t least_urgent_priority = 4;
constexpr std::uint32_t urgencies_per_priority = 2;

// Requests are ordered by cost of waiting once the backlog exceeds this part of their objective.
constexpr int ordering_backlog_divisor = 4;

// A request that has used more than this part of its objective goes before the others.
constexpr int pressing_wait_divisor = 2;

constexpr duration min_retry_after = std::chrono::milliseconds(100);

// Callers do not wait longer than this part of the time left before they send again.
constexpr int retry_time_divisor = 3;

// Range over which the retry delays of different requests are spread, so that callers refused at
// the same time do not return at the same time.
constexpr double min_retry_spread = 0.75;
constexpr double max_retry_spread = 1.25;

// Longer times are treated as this one, so that sums of times do not overflow.
constexpr duration max_time = std::chrono::hours(24 * 365);

duration limited(duration time)
{
    return std::clamp(time, duration::zero(), max_time);
}

duration scaled(duration time, double factor)
{
    const std::chrono::duration<double, duration::period> product = time * factor;
    return product < max_time ? std::chrono::duration_cast<duration>(product) : max_time;
}

bool is_valid_work(double work_ms)
{
    return std::isfinite(work_ms) && work_ms >= 0.0;
}

duration time_left(const request_terms& terms)
{
    return terms.deadline - terms.waited;
}

duration answer_time(const request_terms& terms, const run_forecast& forecast)
{
    const bool is_known = std::isfinite(forecast.answer_pace) && forecast.answer_pace > 0.0;
    const double factor = is_known ? forecast.answer_pace : 1.0;
    return scaled(std::chrono::milliseconds(1), terms.answer_ms * factor);
}

bool ends_in_time(const request_terms& terms, const run_forecast& forecast)
{
    const auto first_piece = limited(forecast.largest.value_or(duration::zero()));
    return terms.deadline == duration::zero() ||
           first_piece + answer_time(terms, forecast) <= time_left(terms);
}

// A stream that has begun is continued by the same model. A request that has run is not sent to the
// smallest model, whose answer may be the one that was dropped.
bool is_made_cheaper(const request_terms& terms, const run_forecast& forecast)
{
    const bool is_largest = terms.sizes > 1 && terms.size + 1 == terms.sizes;
    return is_largest && !terms.delivered && !terms.may_have_run && !ends_in_time(terms, forecast);
}

// The forecast for the fastest run that the request may get. A request that was refused before is
// compared with an endpoint without a backlog, so that it is refused only if nothing could meet its
// deadline.
std::optional<duration> fastest_first_piece(const request_terms& terms,
                                            const run_forecast& forecast)
{
    auto fastest = forecast.first_piece;
    if (terms.sizes > 1 && forecast.smallest && (!fastest || *forecast.smallest < *fastest)) {
        fastest = forecast.smallest;
    }
    if (fastest && terms.refusals > 0) {
        fastest = limited(*fastest) - limited(forecast.backlog);
    }
    return fastest ? std::make_optional(limited(*fastest)) : std::nullopt;
}

// How far the first piece is expected beyond the deadline; nothing if the request has to be run.
std::optional<duration> excess_to_refuse(const request_terms& terms, const run_forecast& forecast)
{
    const bool is_protected = terms.may_have_run || terms.delivered || !terms.may_run_again;
    if (is_protected || terms.deadline == duration::zero()) {
        return std::nullopt;
    }
    const auto first_piece = fastest_first_piece(terms, forecast);
    if (!first_piece) {
        return std::nullopt;
    }
    const auto excess = *first_piece - time_left(terms);
    const bool is_beyond = excess > duration::zero() && excess > limited(forecast.error);
    return is_beyond ? std::make_optional(excess) : std::nullopt;
}

duration retry_delay(duration excess, const request_terms& terms)
{
    const double spread = min_retry_spread + (max_retry_spread - min_retry_spread) *
                                                 unit_fraction(mix(terms.fingerprint));
    const auto wanted = std::max(scaled(excess, spread), min_retry_after);
    return std::min(wanted, limited(time_left(terms) / retry_time_divisor));
}

// Whether the request goes after others of its priority.
bool is_ordered_back(const request_terms& terms, const run_forecast& forecast)
{
    if (terms.objective == duration::zero() ||
        forecast.backlog <= terms.objective / ordering_backlog_divisor) {
        return false;
    }
    if (terms.waited >= terms.objective) {
        return true;
    }
    const auto first_piece = limited(forecast.first_piece.value_or(duration::zero()));
    const bool is_pressing = terms.waited > terms.objective / pressing_wait_divisor &&
                             terms.waited + first_piece <= terms.objective;
    return !is_pressing && forecast.usual_work_ms && terms.work_ms > *forecast.usual_work_ms;
}

} // namespace

normalized_terms normalize(const request_terms& stated)
{
    normalized_terms result{stated, false};
    auto& terms = result.terms;
    result.odd = stated.priority > least_urgent_priority || stated.objective <= duration::zero() ||
                 stated.deadline <= duration::zero() || stated.waited < duration::zero() ||
                 !is_valid_work(stated.work_ms) || !is_valid_work(stated.answer_ms);
    terms.priority = std::min(stated.priority, least_urgent_priority);
    terms.objective = limited(stated.objective);
    terms.deadline = limited(stated.deadline);
    terms.waited = limited(stated.waited);
    terms.work_ms = is_valid_work(stated.work_ms) ? stated.work_ms : 0.0;
    terms.answer_ms = is_valid_work(stated.answer_ms) ? stated.answer_ms : 0.0;
    return result;
}

bool largest_ends_in_time(const request_terms& stated, const run_forecast& forecast)
{
    return ends_in_time(normalize(stated).terms, forecast);
}

overload_verdict judge_load(const request_terms& stated, const run_forecast& forecast)
{
    const auto [terms, odd] = normalize(stated);
    overload_verdict verdict;
    verdict.odd_terms = odd;
    verdict.ordered_back = is_ordered_back(terms, forecast);
    verdict.urgency = terms.priority * urgencies_per_priority + (verdict.ordered_back ? 1 : 0);
    if (const auto excess = excess_to_refuse(terms, forecast)) {
        verdict.action = overload_action::refuse;
        verdict.retry_after = retry_delay(*excess, terms);
    } else if (is_made_cheaper(terms, forecast)) {
        verdict.action = overload_action::cheaper;
    }
    return verdict;
}

} // namespace pearhaven::decision
