#ifndef PEARHAVEN_DECISION_MIX_HPP
#define PEARHAVEN_DECISION_MIX_HPP

#include <cstdint>

namespace pearhaven::decision {

// Spreads the bits of a number over all of them, the same in every process: for draws that all
// routers are to agree on, or that a test is to repeat.
constexpr std::uint64_t mix(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

} // namespace pearhaven::decision

#endif
