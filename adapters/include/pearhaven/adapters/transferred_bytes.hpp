#ifndef PEARHAVEN_ADAPTERS_TRANSFERRED_BYTES_HPP
#define PEARHAVEN_ADAPTERS_TRANSFERRED_BYTES_HPP

#include <cstdint>

namespace pearhaven::adapters {

// Payload bytes of connections, since they were first counted.
struct transferred_bytes {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;

    friend bool operator==(const transferred_bytes&, const transferred_bytes&) = default;
};

} // namespace pearhaven::adapters

#endif
