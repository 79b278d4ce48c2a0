#include "shares.hpp"

#include <xxhash.h>

#include <cstdint>

namespace pearhaven::standins {

bool in_share(const std::string& name, double share)
{
    constexpr std::uint64_t parts = 1'000'000;
    const auto part = XXH3_64bits(name.data(), name.size()) % parts;
    return static_cast<double>(part) < share * static_cast<double>(parts);
}

} // namespace pearhaven::standins
