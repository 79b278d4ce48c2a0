#include "stored_values_json.hpp"

namespace pearhaven::adapters {

using nlohmann::json;

std::string to_stored_text(const json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, json::error_handler_t::replace);
}

const json& field(const json& object, const char* name)
{
    const auto found = object.is_object() ? object.find(name) : object.end();
    if (found == object.end()) {
        throw malformed_value();
    }
    return *found;
}

const json& list(const json& value)
{
    if (!value.is_array()) {
        throw malformed_value();
    }
    return value;
}

std::string text_field(const json& object, const char* name)
{
    const json& value = field(object, name);
    if (!value.is_string()) {
        throw malformed_value();
    }
    return value.get<std::string>();
}

double number_field(const json& object, const char* name)
{
    const json& value = field(object, name);
    if (!value.is_number()) {
        throw malformed_value();
    }
    return value.get<double>();
}

std::uint64_t count_field(const json& object, const char* name, std::uint64_t max)
{
    const json& value = field(object, name);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throw malformed_value();
    }
    return value.get<std::uint64_t>();
}

} // namespace pearhaven::adapters
