#ifndef PEARHAVEN_DECISION_SIZE_CHOICE_HPP
#define PEARHAVEN_DECISION_SIZE_CHOICE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>

namespace pearhaven::decision {

// When a small model's answer is good enough. A small model reads and writes several times faster
// than a large one, so trying it first costs a request little, and most engine time is spent on the
// requests that it cannot answer.
struct size_choice_settings {
    bool tries_smallest = true; // false: the largest model answers all

    // Opinion of its own answer, 0 to 100, from which a smaller model's answer is delivered.
    double min_confidence = 50.0;

    // Taken off it for each step of priority below the most urgent: a dearer answer is worth more
    // of the large models' time.
    double confidence_step = 0.0;

    // Part of the objective after which an answer that has begun is delivered whatever its quality:
    // another run would be late.
    double latest_change = 0.6;

    friend bool operator==(const size_choice_settings&, const size_choice_settings&) = default;
};

struct size_question {
    std::uint32_t sizes = 0;    // models that may answer
    std::uint32_t size = 0;     // the one that has begun to, 0 the smallest
    std::uint32_t priority = 0; // 0 is most urgent
    double confidence = 0.0;
    duration waited{};
    duration objective{}; // zero: none

    friend bool operator==(const size_question&, const size_question&) = default;
};

// The size to try first, 0 the smallest.
[[nodiscard]] std::uint32_t first_size(std::uint32_t sizes, const size_choice_settings& settings);

// The size to go on with, once an answer has begun: the same one to deliver the answer, or the
// largest one. Sizes between are passed over: what a small model cannot answer a middle one mostly
// cannot either, and the request would wait for both.
[[nodiscard]] std::uint32_t next_size(const size_question& question,
                                      const size_choice_settings& settings);

} // namespace pearhaven::decision

#endif
