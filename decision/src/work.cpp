#include "pearhaven/decision/work.hpp"

namespace pearhaven::decision {

namespace {

constexpr double bytes_per_token = 4.0;
// Engines read a prompt in large batches; a prompt token costs about a tenth of a generated one.
constexpr double prefill_weight = 0.1;
constexpr std::size_t min_reading_prompt_bytes = 16'384;
constexpr std::uint32_t min_reading_answer_tokens = 512;
// Expected answer length if the caller sets no limit.
constexpr double default_lookup_answer_tokens = 64.0;
constexpr double default_reading_answer_tokens = 512.0;

work_class classify(std::size_t prompt_bytes, std::uint32_t max_tokens)
{
    const bool is_long =
        prompt_bytes >= min_reading_prompt_bytes || max_tokens >= min_reading_answer_tokens;
    return is_long ? work_class::reading : work_class::lookup;
}

double expected_answer_tokens(work_class kind, std::uint32_t max_tokens)
{
    if (max_tokens != 0) {
        return max_tokens;
    }
    return kind == work_class::reading ? default_reading_answer_tokens
                                       : default_lookup_answer_tokens;
}

} // namespace

work_estimate estimate_work(std::size_t prompt_bytes, std::uint32_t max_tokens,
                            std::optional<work_class> declared)
{
    const work_class kind = declared.value_or(classify(prompt_bytes, max_tokens));
    const double prompt_tokens = static_cast<double>(prompt_bytes) / bytes_per_token;
    return {kind, prompt_tokens * prefill_weight + expected_answer_tokens(kind, max_tokens)};
}

double measured_work(std::uint64_t prompt_tokens, std::uint64_t completion_tokens)
{
    return static_cast<double>(prompt_tokens) * prefill_weight +
           static_cast<double>(completion_tokens);
}

} // namespace pearhaven::decision
