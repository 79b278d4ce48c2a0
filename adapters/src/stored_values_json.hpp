#ifndef PEARHAVEN_ADAPTERS_STORED_VALUES_JSON_HPP
#define PEARHAVEN_ADAPTERS_STORED_VALUES_JSON_HPP

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// Thrown on reading a stored value that lacks a field or has a field of a wrong type.
class malformed_value : public std::exception {};

std::string to_stored_text(const nlohmann::json& value);

// Strict readers: nlohmann::json would convert -1 to a huge count or null to an empty list; these
// throw `malformed_value` instead.
const nlohmann::json& field(const nlohmann::json& object, const char* name);
const nlohmann::json& list(const nlohmann::json& value);
std::string text_field(const nlohmann::json& object, const char* name);
double number_field(const nlohmann::json& object, const char* name);
std::uint64_t count_field(const nlohmann::json& object, const char* name,
                          std::uint64_t max = std::numeric_limits<std::uint64_t>::max());

template <class Value>
std::vector<Value> read_list(const nlohmann::json& value, Value (*read_one)(const nlohmann::json&))
{
    std::vector<Value> values;
    for (const auto& item : list(value)) {
        values.push_back(read_one(item));
    }
    return values;
}

template <class Value>
nlohmann::json to_list(const std::vector<Value>& values, nlohmann::json (*write_one)(const Value&))
{
    nlohmann::json written = nlohmann::json::array();
    for (const auto& value : values) {
        written.push_back(write_one(value));
    }
    return written;
}

// Name under which an enumerator is stored.
template <class Enum>
struct stored_name {
    Enum value;
    const char* name;
};

template <class Enum, std::size_t Count>
std::string write_name(const std::array<stored_name<Enum>, Count>& names, Enum value)
{
    for (const auto& known : names) {
        if (known.value == value) {
            return known.name;
        }
    }
    return {};
}

template <class Enum, std::size_t Count>
Enum read_name(const std::array<stored_name<Enum>, Count>& names, const std::string& name)
{
    for (const auto& known : names) {
        if (known.name == name) {
            return known.value;
        }
    }
    throw malformed_value();
}

// Returns nothing for a malformed value, so that one such value cannot end the process that reads
// it.
template <class Value>
std::optional<Value> read_stored_text(std::string_view text,
                                      Value (*read_value)(const nlohmann::json&))
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    try {
        return read_value(parsed);
    } catch (const malformed_value&) {
        return std::nullopt;
    }
}

} // namespace pearhaven::adapters

#endif
