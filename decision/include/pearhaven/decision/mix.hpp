#ifndef PEARHAVEN_DECISION_MIX_HPP
#define PEARHAVEN_DECISION_MIX_HPP

#include <cstdint>

namespace pearhaven::decision {

// A 64-bit mixing function with the same result in every process, for pseudo-random draws on which
// all routers must agree or which a test must repeat.
constexpr std::uint64_t mix(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

// The random number as a fraction from 0 (inclusive) to 1 (exclusive).
constexpr double unit_fraction(std::uint64_t random)
{
    constexpr unsigned kept_bits = 53;
    return static_cast<double>(random >> (64U - kept_bits)) /
           static_cast<double>(std::uint64_t{1} << kept_bits);
}

} // namespace pearhaven::decision

#endif
