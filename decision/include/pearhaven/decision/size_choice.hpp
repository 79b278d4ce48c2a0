#ifndef PEARHAVEN_DECISION_SIZE_CHOICE_HPP
#define PEARHAVEN_DECISION_SIZE_CHOICE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <optional>

namespace pearhaven::decision {

// When a small model's answer is accepted. A small model is several times faster than a large one,
// so trying it first costs a request little and leaves most engine time for the requests that need
// a large model.
struct size_choice_settings {
    bool tries_smallest = true; // false: always use the largest model

    // The confidence, 0 to 100, that a smaller model must report in its answer for it to be
    // delivered.
    double min_confidence = 50.0;

    // Reduction of that confidence per priority step below the most urgent: less urgent requests
    // are worth less of the large models' time.
    double confidence_step = 0.0;

    // Share of the latency objective after which an answer that has begun is delivered whatever its
    // quality, because another run would be late.
    double latest_change = 0.6;

    friend bool operator==(const size_choice_settings&, const size_choice_settings&) = default;
};

struct size_question {
    std::uint32_t sizes = 0;    // number of models in the cascade
    std::uint32_t size = 0;     // the one whose answer has begun; 0 is the smallest
    std::uint32_t priority = 0; // 0 is most urgent
    double confidence = 0.0;
    duration waited{};
    duration objective{}; // zero: none

    // Forecast of the time from now to the first piece of the largest model's answer.
    std::optional<duration> larger_run = {};

    friend bool operator==(const size_question&, const size_question&) = default;
};

// The size to try first; 0 is the smallest.
[[nodiscard]] std::uint32_t first_size(std::uint32_t sizes, const size_choice_settings& settings);

// The size for a request that has one run, whose answer is delivered whatever its confidence. The
// smallest where any confidence of it would be accepted: by priority, or since the largest model's
// answer is forecast too late. `confidence` and `size` of the question are not used.
[[nodiscard]] std::uint32_t single_run_size(const size_question& question,
                                            const size_choice_settings& settings);

// The size to continue with once an answer has begun: the same one to deliver the answer, or the
// largest one. Sizes in between are skipped: a middle model rarely answers what a small one cannot,
// and the request would wait for both. The required confidence falls where the forecast exceeds the
// time left to the objective, and is zero from twice that time on.
[[nodiscard]] std::uint32_t next_size(const size_question& question,
                                      const size_choice_settings& settings);

} // namespace pearhaven::decision

#endif
