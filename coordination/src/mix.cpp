#include "mix.hpp"

#include <xxhash.h>

#include <array>

namespace pearhaven::coordination {

std::uint64_t mix(std::uint64_t seed, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t next_random(std::uint64_t& sequence)
{
    sequence += 0x9e3779b97f4a7c15U;
    std::uint64_t word = sequence;
    word = (word ^ (word >> 30U)) * 0xbf58476d1ce4e5b9U;
    word = (word ^ (word >> 27U)) * 0x94d049bb133111ebU;
    return word ^ (word >> 31U);
}

std::string content_name(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    std::string name;
    for (const unsigned char byte : canonical.digest) {
        name.push_back(digits[byte >> 4U]);
        name.push_back(digits[byte & 0xfU]);
    }
    return name;
}

} // namespace pearhaven::coordination
