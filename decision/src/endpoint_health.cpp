#include "endpoint_health.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

// After this time a trial shows that the endpoint is reachable; it may just be a long answer, and
// waiting for its end would leave the endpoint idle for minutes.
constexpr duration trial_timeout = std::chrono::seconds(3);

} // namespace

endpoint_health::verdict endpoint_health::on_result(attempt_result result,
                                                    std::uint32_t others_outstanding, instant now,
                                                    const endpoint_table_settings& settings)
{
    const bool was_trial = this->returning && this->trials > 0;
    this->trials -= this->trials > 0 ? 1 : 0;
    switch (result) {
    case attempt_result::finished:
    case attempt_result::refused:
        return this->on_success(was_trial, now);
    case attempt_result::unreachable:
        return verdict::eject;
    case attempt_result::failed:
        ++this->failures;
        return was_trial || this->failures >= settings.failures_to_eject ? verdict::eject_if_spare
                                                                         : verdict::keep;
    case attempt_result::went_silent:
        return this->on_silence(others_outstanding);
    case attempt_result::cancelled:
        return verdict::keep;
    }
    return verdict::keep;
}

void endpoint_health::on_started(instant now)
{
    if (this->returning && !this->is_ejected(now)) {
        ++this->trials;
        this->next_trial = now + trial_timeout;
    }
}

void endpoint_health::eject(instant now, const endpoint_table_settings& settings)
{
    // Attempts that were sent together fail together and cause one ejection.
    if (this->is_ejected(now)) {
        return;
    }
    if (!this->returning && now - this->returned_at > settings.max_ejection_time) {
        this->ejections = 0;
    }
    constexpr std::uint32_t max_doublings = 16;
    const duration wanted = settings.initial_ejection_time *
                            (std::int64_t{1} << std::min(this->ejections, max_doublings));
    this->ejection_end = now + std::min(wanted, settings.max_ejection_time);
    ++this->ejections;
    this->returning = true;
    this->trials = 0;
    this->failures = 0;
    this->connections_silent = false;
}

// Connections can go silent for good while the endpoint is healthy, because a device in between has
// lost their state; then all open connections hang at about the same time. Ejecting the endpoint,
// or several at once in the worst case, would be wrong. So the attempts then in flight are not
// counted against it. Later attempts had a fresh connection: if one of them goes silent too and
// nothing has finished in between, the endpoint itself hangs.
endpoint_health::verdict endpoint_health::on_silence(std::uint32_t others_outstanding)
{
    if (!this->connections_silent) {
        this->connections_silent = true;
        this->older_attempts = others_outstanding;
        return verdict::keep;
    }
    this->older_attempts = std::min(this->older_attempts, others_outstanding + 1);
    if (this->older_attempts > 0) {
        --this->older_attempts;
        return verdict::keep;
    }
    return verdict::eject;
}

endpoint_health::verdict endpoint_health::on_success(bool was_trial, instant now)
{
    this->failures = 0;
    this->connections_silent = false;
    this->doubted_until = {};
    if (!was_trial) {
        return verdict::keep;
    }
    this->returning = false;
    this->returned_at = now;
    return verdict::returned;
}

} // namespace pearhaven::decision
