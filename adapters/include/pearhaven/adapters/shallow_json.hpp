#ifndef PEARHAVEN_ADAPTERS_SHALLOW_JSON_HPP
#define PEARHAVEN_ADAPTERS_SHALLOW_JSON_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace pearhaven::adapters {

enum class json_fault : std::uint8_t { none, malformed, too_deep };

// JSON that may be copied, compared and printed: each of these goes down a call for each level, and
// text of some hundred kilobytes holds more levels than a stack has room for.
struct shallow_json {
    nlohmann::json value; // `discarded` where there is a fault
    json_fault fault = json_fault::none;
};

// Levels that no object of a configuration and no page of ours has.
inline constexpr int max_json_depth = 16;

[[nodiscard]] shallow_json parse_shallow_json(const std::string& text,
                                              int deepest = max_json_depth);

} // namespace pearhaven::adapters

#endif
