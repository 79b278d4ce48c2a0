#ifndef PEARHAVEN_DECISION_WORK_HPP
#define PEARHAVEN_DECISION_WORK_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pearhaven::decision {

// How a request weighs on an engine: a short question, or long material read and written.
enum class work_class : std::uint8_t { lookup, reading };

// What a request is expected to cost an engine. `tokens` counts generated tokens; a prompt token
// counts for a part of one, since engines read far faster than they write.
struct work_estimate {
    work_class kind = work_class::lookup;
    double tokens = 0.0;
    double prefill = 0.0; // of `tokens`, what is done once the answer begins; zero where unknown

    friend bool operator==(const work_estimate&, const work_estimate&) = default;
};

// The expected work of a request. `max_tokens` is the caller's bound on the answer; 0 where none is
// stated. A stated class is believed; else long prompts and long answers make a reading.
[[nodiscard]] work_estimate estimate_work(std::size_t prompt_bytes, std::uint32_t max_tokens,
                                          std::optional<work_class> declared);

// The same measure for a run whose numbers of tokens are known.
[[nodiscard]] double measured_work(std::uint64_t prompt_tokens, std::uint64_t completion_tokens);

} // namespace pearhaven::decision

#endif
