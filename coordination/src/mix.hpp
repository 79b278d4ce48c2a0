#ifndef PEARHAVEN_COORDINATION_MIX_HPP
#define PEARHAVEN_COORDINATION_MIX_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pearhaven::coordination {

// Hash of the text with the seed, evenly distributed; the same on every machine.
std::uint64_t mix(std::uint64_t seed, std::string_view text);

// Next number of the splitmix64 sequence whose state is given.
std::uint64_t next_random(std::uint64_t& sequence);

// 128-bit digest in hexadecimal. Names content among trusted writers; it does not protect against
// forgery.
std::string content_name(std::string_view text);

} // namespace pearhaven::coordination

#endif
