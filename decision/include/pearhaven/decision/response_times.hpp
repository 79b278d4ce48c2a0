#ifndef PEARHAVEN_DECISION_RESPONSE_TIMES_HPP
#define PEARHAVEN_DECISION_RESPONSE_TIMES_HPP

#include "pearhaven/decision/time.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace pearhaven::decision {

// Recent response times for each kind of request. The caller chooses what to measure: the time to
// the first piece of the answer, or to its end.
class response_times {
public:
    // Records one response time. The first one of an unknown kind adds the kind.
    void record(const std::string& kind, duration time);

    // The 90th percentile of the recent response times of this kind, or nothing while fewer than
    // eight have been recorded.
    [[nodiscard]] std::optional<duration> ninetieth_percentile(const std::string& kind) const;

    // The longest of the recent response times of this kind, or nothing if none was recorded.
    [[nodiscard]] std::optional<duration> longest(const std::string& kind) const;

private:
    // About what a router sees of a rare kind within half a minute. A running estimate would need
    // less memory, but an unusual first answer would distort it for about a hundred more.
    static constexpr std::size_t max_samples = 32;

    struct recent {
        std::array<duration, max_samples> samples{};
        std::size_t recorded = 0;
    };

    std::unordered_map<std::string, recent> kinds;
};

} // namespace pearhaven::decision

#endif
