#ifndef PEARHAVEN_DECISION_WORK_HPP
#define PEARHAVEN_DECISION_WORK_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pearhaven::decision {

// How a request loads an engine: a short question, or long text to read or write.
enum class work_class : std::uint8_t { lookup, reading };

// The expected cost of a request for an engine. `tokens` counts generated tokens; a prompt token
// counts as a fraction of one, since engines read far faster than they write.
struct work_estimate {
    work_class kind = work_class::lookup;
    double tokens = 0.0;
    double prefill = 0.0; // the part of `tokens` done before the answer begins; zero if unknown

    friend bool operator==(const work_estimate&, const work_estimate&) = default;
};

// Estimates the work of a request. `max_tokens` is the caller's limit for the answer, or 0 if there
// is none. A declared class is used as it is; otherwise a long prompt or a long answer makes the
// request a reading.
[[nodiscard]] work_estimate estimate_work(std::size_t prompt_bytes, std::uint32_t max_tokens,
                                          std::optional<work_class> declared);

// The same measure for a run whose token counts are known.
[[nodiscard]] double measured_work(std::uint64_t prompt_tokens, std::uint64_t completion_tokens);

} // namespace pearhaven::decision

#endif
