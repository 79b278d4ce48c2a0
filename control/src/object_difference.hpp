#ifndef PEARHAVEN_CONTROL_OBJECT_DIFFERENCE_HPP
#define PEARHAVEN_CONTROL_OBJECT_DIFFERENCE_HPP

#include "pearhaven/coordination/peer_message.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace pearhaven::control {

// One field that differs between two bodies of an object. Values are JSON; null stands for a
// missing field.
struct field_difference {
    std::string path; // spec.versions.model
    nlohmann::json before;
    nlohmann::json after;

    friend bool operator==(const field_difference&, const field_difference&) = default;
};

// Compares two bodies field by field. A list counts as one value. An empty body, as of a deleted
// object, has no fields.
std::vector<field_difference> differences(const std::string& before, const std::string& after);

// Formats a value for people: JSON, or "nothing" for null.
std::string value_text(const nlohmann::json& value);

// "team/deposits"
std::string object_text(const std::string& kind, const std::string& name);

// Returns the object's body as JSON, with its kind and name. A body that cannot be parsed is
// included as text.
nlohmann::json object_json(const coordination::config_object& object);

} // namespace pearhaven::control

#endif
