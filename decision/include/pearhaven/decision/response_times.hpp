#ifndef PEARHAVEN_DECISION_RESPONSE_TIMES_HPP
#define PEARHAVEN_DECISION_RESPONSE_TIMES_HPP

#include "pearhaven/decision/time.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace pearhaven::decision {

// How long answers of each kind of request took lately. What is measured, up to their beginning or
// their end, is the user's choice.
class response_times {
public:
    // One more answer; a kind that was not known is from now on.
    void record(const std::string& kind, duration time);

    // The time that nine of ten of the last answers of the kind kept to; nothing while fewer than
    // eight are known.
    [[nodiscard]] std::optional<duration> ninetieth_percentile(const std::string& kind) const;

private:
    // As many as a router sees of a rare kind within half a minute. A running estimate would need
    // less memory, but would keep to an odd first answer for a hundred others.
    static constexpr std::size_t max_samples = 32;

    struct recent {
        std::array<duration, max_samples> samples{};
        std::size_t recorded = 0;
    };

    std::unordered_map<std::string, recent> kinds;
};

} // namespace pearhaven::decision

#endif
