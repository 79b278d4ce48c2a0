#ifndef PEARHAVEN_DECISION_SPEED_REFERENCE_HPP
#define PEARHAVEN_DECISION_SPEED_REFERENCE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace pearhaven::decision {

struct speed_reference_settings {
    // Quantile of a model's answer times that is the reference.
    double share_within = 0.8;

    // An answer is slow above the reference times `factor` plus `noise`. The noise covers a new
    // connection or a busy host: without it, versions that answer within a millisecond differed
    // only by noise, and a good one was rolled back.
    double factor = 1.0;
    duration noise = std::chrono::milliseconds(10);
};

// Tracks a quantile of the answer times of a model, as a reference for another version of it. A
// mean is unsuitable: waits behind long prompts stretch some answers tenfold, which moves a mean
// more than a version that is slow for half of its answers.
class speed_reference {
public:
    explicit speed_reference(const speed_reference_settings& chosen = {}) : settings(chosen) {}

    // Adds the time of an answer of a version that no rollout monitors.
    void learn(const std::string& model, std::uint32_t size, duration time);

    // Whether an answer with this time is slow; nothing while there are too few samples.
    [[nodiscard]] std::optional<bool> is_slow(const std::string& model, std::uint32_t size,
                                              duration time) const;

private:
    struct estimate {
        double time = 0.0; // microseconds
        std::uint32_t samples = 0;
    };

    speed_reference_settings settings;
    std::map<std::pair<std::string, std::uint32_t>, estimate> estimates;
};

} // namespace pearhaven::decision

#endif
