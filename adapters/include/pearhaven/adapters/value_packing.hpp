#ifndef PEARHAVEN_ADAPTERS_VALUE_PACKING_HPP
#define PEARHAVEN_ADAPTERS_VALUE_PACKING_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// Compresses bytes for transfer between routers.
[[nodiscard]] std::string pack(std::string_view bytes);

// Returns the bytes that were packed; nothing if the text is not exactly one packed value, or holds
// more than `max_bytes`.
[[nodiscard]] std::optional<std::string> unpack(std::string_view packed, std::size_t max_bytes);

} // namespace pearhaven::adapters

#endif
