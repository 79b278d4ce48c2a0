#include "concurrency_limit.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

constexpr double restart_share = 0.25;
// Engines batch: a small batch wastes the engine, and a full one naturally has slower first tokens.
// Latency alone therefore never reduces the limit below this share of the ceiling.
constexpr double min_share_when_late = 0.25;
constexpr double recent_weight = 0.3;
// The baseline latency follows faster samples quickly and slower ones hardly at all, so that an
// overload does not become the baseline before it is noticed.
constexpr double faster_sample_weight = 0.1;
constexpr double slower_sample_weight = 0.005;
// Latency increases below this do not justify a smaller batch.
constexpr double min_lateness_us = 100'000.0;

double blend(double before, double sample, double weight)
{
    return before == 0.0 ? sample : before + weight * (sample - before);
}

} // namespace

concurrency_limit::concurrency_limit(double ceiling)
    : max_limit(std::max(ceiling, 1.0)), current(this->max_limit)
{}

void concurrency_limit::set_ceiling(double ceiling)
{
    const bool at_ceiling = this->current >= this->max_limit;
    this->max_limit = std::max(ceiling, 1.0);
    this->current = at_ceiling ? this->max_limit : std::min(this->current, this->max_limit);
}

void concurrency_limit::restart()
{
    this->current = std::max(1.0, this->max_limit * restart_share);
    this->latency = {};
}

void concurrency_limit::on_finished(work_class kind, double in_use, duration first_token,
                                    instant now, const endpoint_table_settings& settings)
{
    if (first_token > duration::zero() && this->is_late(kind, first_token, settings)) {
        const double min_limit = std::max(1.0, this->max_limit * min_share_when_late);
        this->reduce(settings.latency_backoff, min_limit, now, settings);
        return;
    }
    // A limit that is not reached gives no information about how much load the endpoint sustains.
    if (in_use >= this->current / 2.0) {
        this->current = std::min(this->max_limit, this->current + 1.0 / this->current);
    }
}

void concurrency_limit::on_refused(instant now, const endpoint_table_settings& settings)
{
    this->reduce(settings.refusal_backoff, 1.0, now, settings);
}

bool concurrency_limit::is_late(work_class kind, duration first_token,
                                const endpoint_table_settings& settings)
{
    const auto sample = static_cast<double>(first_token.count());
    latency_track& track = this->latency.at(static_cast<std::size_t>(kind));
    track.recent = blend(track.recent, sample, recent_weight);
    const bool late =
        track.recent > settings.latency_tolerance * track.baseline + min_lateness_us &&
        track.baseline > 0.0;
    const double weight = sample < track.baseline ? faster_sample_weight : slower_sample_weight;
    track.baseline = blend(track.baseline, sample, weight);
    return late;
}

// At most one reduction per interval: a burst of refusals indicates one overload, not several.
void concurrency_limit::reduce(double factor, double min_limit, instant now,
                               const endpoint_table_settings& settings)
{
    if (now < this->next_reduction) {
        return;
    }
    this->next_reduction = now + settings.backoff_interval;
    this->current = std::min(this->current, std::max(min_limit, this->current * factor));
}

} // namespace pearhaven::decision
