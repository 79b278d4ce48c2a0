#include "dispatch_failures.hpp"

#include "pearhaven/decision/overload_policy.hpp"

#include <chrono>
#include <string>
#include <utility>

// Overload: the inputs of the overload policy for a request, and what its verdict changes.

namespace pearhaven::decision {

namespace {

std::string ms_text(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) +
           " ms";
}

// The inputs of a refusal, for the log.
std::string detail_of(const request_terms& terms, const run_forecast& forecast)
{
    const auto first_piece =
        forecast.first_piece ? ms_text(*forecast.first_piece) : std::string("no time");
    return "the first piece of the answer is forecast in " + first_piece + " with an error of " +
           ms_text(forecast.error) + ", the deadline is in " +
           ms_text(terms.deadline - terms.waited) + " (priority " + std::to_string(terms.priority) +
           ")";
}

} // namespace

bool dispatcher::sheds(const arrival& request) const
{
    return this->settings.sheds_load && !request.is_service && request.objective > duration::zero();
}

request_terms dispatcher::terms_of(const request_state& state, instant now) const
{
    const auto& request = state.request;
    request_terms terms;
    terms.priority = request.priority;
    terms.objective = request.objective;
    terms.deadline = request.deadline - state.arrived;
    terms.waited = now - state.arrived;
    terms.sizes = request.sizes;
    terms.size = state.size;
    terms.work_ms = request.work.tokens;
    terms.answer_ms = request.work.tokens - request.work.prefill;
    terms.may_run_again = request.idempotent;
    terms.may_have_run = state.may_have_run;
    terms.delivered = state.delivered || request.continues_answer;
    terms.refusals = state.refusals;
    terms.fingerprint = request.fingerprint;
    return terms;
}

run_forecast dispatcher::forecast_of(const request_state& state, instant now) const
{
    const auto& request = state.request;
    run_forecast expected;
    expected.backlog = this->backlog_for(state, now);
    const auto first_piece = [&](std::uint32_t size) {
        return this->forecast.first_piece(kind_of(request), size, expected.backlog, now);
    };
    expected.first_piece = first_piece(state.size);
    if (request.sizes > 1) {
        expected.smallest = first_piece(0);
        expected.largest = first_piece(request.sizes - 1);
    }
    expected.error = this->forecast_error(state.size);
    expected.usual_work_ms = this->usual_by_kind.work_ms(kind_of(request));
    expected.answer_pace = this->usual_by_kind.answer_pace(kind_of(request)).value_or(1.0);
    return expected;
}

void dispatcher::report_odd_terms(const request_state& state, instant now)
{
    if (this->sheds(state.request) && normalize(this->terms_of(state, now)).odd) {
        this->actions.emplace_back(
            report_load_measure{state.request.ticket, load_measure::odd_terms});
    }
}

// Why the request is refused by forecast; nothing if it is not. It has not run.
std::optional<failure> dispatcher::shed_failure(const request_state& state, instant now) const
{
    if (!this->sheds(state.request)) {
        return std::nullopt;
    }
    const auto terms = this->terms_of(state, now);
    const auto expected = this->forecast_of(state, now);
    const auto verdict = judge_load(terms, expected);
    if (verdict.action != overload_action::refuse) {
        return std::nullopt;
    }
    return retryable_failure(failure_code::shed, verdict.retry_after, detail_of(terms, expected));
}

// Moves the request to the smallest model where the largest one's answer would be cut off at the
// deadline. A test of a quarantined part needs the largest model. A run that is concentrated on the
// endpoint of a load trial still uses the largest model, whose load the trial measures.
void dispatcher::make_cheaper(request_state& state, instant now) const
{
    if (!this->sheds(state.request) || state.is_quarantine_test) {
        return;
    }
    const auto verdict = judge_load(this->terms_of(state, now), this->forecast_of(state, now));
    if (verdict.action == overload_action::cheaper) {
        state.size = 0;
        state.was_made_cheaper = true;
    }
}

// Whether a run of the largest model would end after the deadline.
bool dispatcher::would_end_late(const request_state& state, instant now) const
{
    return this->sheds(state.request) &&
           !largest_ends_in_time(this->terms_of(state, now), this->forecast_of(state, now));
}

// The urgency that the endpoint is told; nothing if it is the request's priority.
std::optional<std::uint32_t> dispatcher::urgency_of(request_state& state, instant now)
{
    if (!this->sheds(state.request) || state.forwarded) {
        return std::nullopt;
    }
    const auto ticket = state.request.ticket;
    if (std::exchange(state.was_made_cheaper, false) && !state.concentrated) {
        this->actions.emplace_back(report_load_measure{ticket, load_measure::made_cheaper});
    }
    const auto verdict = judge_load(this->terms_of(state, now), this->forecast_of(state, now));
    if (verdict.ordered_back) {
        this->actions.emplace_back(report_load_measure{ticket, load_measure::ordered_back});
    }
    return verdict.urgency;
}

// Learned from the largest model alone: a small model's tokens wait for the steps of larger ones in
// the same batch, so its pace does not scale with its size. A pace that has become too high is
// corrected by the shorter answers of the kind, which still end in time.
void dispatcher::record_answer_pace(const request_state& state, instant now)
{
    const auto& request = state.request;
    const bool is_whole =
        state.answer_begun && state.losses == 0 && !state.forwarded && !request.continues_answer;
    if (this->sheds(request) && is_whole && state.size + 1 >= request.sizes) {
        const double answer_ms = request.work.tokens - request.work.prefill;
        this->usual_by_kind.on_answer(kind_of(request), answer_ms, now - state.answer_begun_at);
    }
}

} // namespace pearhaven::decision
