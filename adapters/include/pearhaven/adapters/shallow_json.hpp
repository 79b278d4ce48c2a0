#ifndef PEARHAVEN_ADAPTERS_SHALLOW_JSON_HPP
#define PEARHAVEN_ADAPTERS_SHALLOW_JSON_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace pearhaven::adapters {

enum class json_fault : std::uint8_t { none, malformed, too_deep };

// JSON of bounded depth, safe to copy, compare and print: each of these operations recurses once
// per level, and a text of a few hundred kilobytes can have more levels than fit on the stack.
struct shallow_json {
    nlohmann::json value; // `discarded` if there is a fault
    json_fault fault = json_fault::none;
};

// Deeper than any configuration object or page of this project.
inline constexpr int max_json_depth = 16;

[[nodiscard]] shallow_json parse_shallow_json(const std::string& text,
                                              int max_depth = max_json_depth);

} // namespace pearhaven::adapters

#endif
