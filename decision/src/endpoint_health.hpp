#ifndef PEARHAVEN_DECISION_ENDPOINT_HEALTH_HPP
#define PEARHAVEN_DECISION_ENDPOINT_HEALTH_HPP

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>

namespace pearhaven::decision {

// Whether one endpoint is to be left alone for a while. After an ejection it is tried with one
// request at a time until one ends well.
class endpoint_health {
public:
    enum class verdict : std::uint8_t {
        keep,
        eject,          // certain: nothing can run there
        eject_if_spare, // only while enough other endpoints are left
        returned,       // the trial after an ejection went well
    };

    // What the result of an attempt calls for. `others_outstanding` are the attempts that are
    // still under way at the endpoint.
    verdict on_result(attempt_result result, std::uint32_t others_outstanding, instant now,
                      const endpoint_table_settings& settings);

    void on_started(instant now);
    void eject(instant now, const endpoint_table_settings& settings);

    [[nodiscard]] bool is_ejected(instant now) const { return now < this->ejected_until; }

    // Whether no attempt has ended well since the last ejection.
    [[nodiscard]] bool on_trial() const { return this->returning; }

    // Whether the answer to an attempt on trial is to be awaited before another is sent.
    [[nodiscard]] bool trial_under_way(instant now) const
    {
        return this->returning && this->trials > 0 && now < this->next_trial;
    }

private:
    verdict on_silence(std::uint32_t others_outstanding);
    verdict on_success(bool was_trial, instant now);

    std::uint32_t failures = 0;  // in a row
    std::uint32_t ejections = 0; // in a row
    std::uint32_t trials = 0;    // attempts under way that were sent on trial
    instant next_trial{};
    bool returning = false;
    instant ejected_until{};
    instant returned_at{};
    bool connections_silent = false;
    std::uint32_t older_attempts = 0; // under way since before the first connection went silent
};

} // namespace pearhaven::decision

#endif
