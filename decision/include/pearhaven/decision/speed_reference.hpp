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
    // Of the answers of a model, the part that keeps to the reference.
    double share_within = 0.8;

    // Times the reference from which an answer counts as slow, and what is allowed on top: a new
    // connection or a busy host adds so much to any time. Without that, versions that answer within
    // a millisecond were told apart by noise, and a good one was rolled back.
    double factor = 1.0;
    duration noise = std::chrono::milliseconds(10);
};

// A time of a model's answers that a stated part of them keeps to, as a measure for another version
// of it. Means would not do: waits behind long prompts stretch some answers tenfold, and a version
// that is slow for half of its answers moves a mean less than such a wait does.
class speed_reference {
public:
    explicit speed_reference(const speed_reference_settings& chosen = {}) : settings(chosen) {}

    // An answer of a version that no roll-out watches.
    void learn(const std::string& model, std::uint32_t size, duration time);

    // Whether an answer took longer; nothing while too little is known.
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
