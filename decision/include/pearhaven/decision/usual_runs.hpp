#ifndef PEARHAVEN_DECISION_USUAL_RUNS_HPP
#define PEARHAVEN_DECISION_USUAL_RUNS_HPP

#include "pearhaven/decision/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace pearhaven::decision {

// Means over the latest requests of each kind: their work, and the time that their answers took
// relative to the declared work.
class usual_runs {
public:
    void on_request(const std::string& kind, double work_ms);

    // An answer with this declared work was written in this time. Ignored without declared work.
    void on_answer(const std::string& kind, double answer_ms, duration time);

    [[nodiscard]] std::optional<double> work_ms(const std::string& kind) const;

    // Time to write an answer relative to its declared work; nothing without samples.
    [[nodiscard]] std::optional<double> answer_pace(const std::string& kind) const;

private:
    struct means {
        std::optional<double> work_ms;
        std::optional<double> answer_pace;
    };

    means& of(const std::string& kind);

    std::map<std::string, means> kinds;
};

} // namespace pearhaven::decision

#endif
