#ifndef PEARHAVEN_DECISION_ENDPOINT_HEALTH_HPP
#define PEARHAVEN_DECISION_ENDPOINT_HEALTH_HPP

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>

namespace pearhaven::decision {

// Decides on the temporary ejection of an endpoint. After an ejection it is tried with one request
// at a time until one succeeds.
class endpoint_health {
public:
    enum class verdict : std::uint8_t {
        keep,
        eject,          // unconditionally: nothing can run there
        eject_if_spare, // only if enough other endpoints remain
        returned,       // the trial after an ejection succeeded
    };

    // Returns the consequence of an attempt's result. `others_outstanding` are the attempts still
    // in flight at the endpoint.
    verdict on_result(attempt_result result, std::uint32_t others_outstanding, instant now,
                      const endpoint_table_settings& settings);

    void on_started(instant now);
    void eject(instant now, const endpoint_table_settings& settings);

    [[nodiscard]] bool is_ejected(instant now) const { return now < this->ejection_end; }

    [[nodiscard]] instant ejected_until() const { return this->ejection_end; }

    // The last connection was lost: until then, or until an attempt succeeds, others are better.
    void doubt(instant until) { this->doubted_until = until; }
    [[nodiscard]] bool is_in_doubt(instant now) const { return now < this->doubted_until; }

    // Whether no attempt has succeeded since the last ejection.
    [[nodiscard]] bool on_trial() const { return this->returning; }

    // Whether the result of a trial attempt must be awaited before sending another.
    [[nodiscard]] bool trial_under_way(instant now) const
    {
        return this->returning && this->trials > 0 && now < this->next_trial;
    }

private:
    verdict on_silence(std::uint32_t others_outstanding);
    verdict on_success(bool was_trial, instant now);

    std::uint32_t failures = 0;  // consecutive
    std::uint32_t ejections = 0; // consecutive
    std::uint32_t trials = 0;    // trial attempts in flight
    instant next_trial{};
    bool returning = false;
    instant ejection_end{};
    instant doubted_until{};
    instant returned_at{};
    bool connections_silent = false;
    std::uint32_t older_attempts = 0; // in flight since before the first connection went silent
};

} // namespace pearhaven::decision

#endif
