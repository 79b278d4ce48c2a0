#ifndef PEARHAVEN_DECISION_OVERLOAD_POLICY_HPP
#define PEARHAVEN_DECISION_OVERLOAD_POLICY_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <optional>

// Which requests are refused, answered by a smaller model or delayed when there is too little
// capacity. Pure functions on values: the same input gives the same decision on every router.

namespace pearhaven::decision {

// What is known about a request without its endpoints. Times are relative to its arrival.
struct request_terms {
    std::uint32_t priority = 0; // 0 is the most urgent
    duration objective{};       // until the first piece of the answer; zero for none
    duration deadline{};        // until the end of the answer; zero for none
    duration waited{};          // since its arrival
    std::uint32_t sizes = 0;    // number of model sizes that may answer
    std::uint32_t size = 0;     // the one that the next run would use; 0 is the smallest
    double work_ms = 0.0;       // of a run by the largest model
    double answer_ms = 0.0;     // the part of `work_ms` that writes the answer
    bool may_run_again = true;
    bool may_have_run = false;  // an earlier attempt reached an endpoint that did not refuse it
    bool delivered = false;     // the caller has a part of the answer
    std::uint32_t refusals = 0; // earlier attempts that were refused
    std::uint64_t fingerprint = 0;

    friend bool operator==(const request_terms&, const request_terms&) = default;
};

// What is expected of a run that is sent now. Times to the first piece are missing while there are
// too few samples.
struct run_forecast {
    std::optional<duration> first_piece; // of the size in `request_terms::size`
    std::optional<duration> smallest;    // of the smallest size
    std::optional<duration> largest;     // of the largest size
    duration error{};                    // mean error of `first_piece`
    duration backlog{};                  // included in all of them
    std::optional<double> usual_work_ms; // of requests of the kind
    double answer_pace = 1.0;            // time to write an answer, relative to its `answer_ms`

    friend bool operator==(const run_forecast&, const run_forecast&) = default;
};

enum class overload_action : std::uint8_t {
    run,
    cheaper, // run by the smallest model
    refuse,
};

struct overload_verdict {
    overload_action action = overload_action::run;
    duration retry_after{};    // with `refuse`
    std::uint32_t urgency = 0; // 0 is served first, 9 last
    bool ordered_back = false; // `urgency` is later than the priority alone would give
    bool odd_terms = false;    // a term was out of range and was replaced

    friend bool operator==(const overload_verdict&, const overload_verdict&) = default;
};

struct normalized_terms {
    request_terms terms;
    bool odd = false; // at least one term was replaced

    friend bool operator==(const normalized_terms&, const normalized_terms&) = default;
};

// Replaces terms that are out of range: an unknown priority by the least urgent one, an objective
// or deadline of zero or less by none, work that is not a number or negative by 0.
[[nodiscard]] normalized_terms normalize(const request_terms& stated);

// Whether the largest model's answer would end before the deadline. Without a forecast only the
// time to write the answer counts.
[[nodiscard]] bool largest_ends_in_time(const request_terms& stated, const run_forecast& forecast);

// Decides for a request that is about to be queued or sent.
[[nodiscard]] overload_verdict judge_load(const request_terms& stated,
                                          const run_forecast& forecast);

} // namespace pearhaven::decision

#endif
