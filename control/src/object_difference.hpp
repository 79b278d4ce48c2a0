#ifndef PEARHAVEN_CONTROL_OBJECT_DIFFERENCE_HPP
#define PEARHAVEN_CONTROL_OBJECT_DIFFERENCE_HPP

#include "pearhaven/coordination/peer_message.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace pearhaven::control {

// One field that differs between two bodies of an object. Values are JSON; null where there is no
// such field.
struct field_difference {
    std::string path; // spec.versions.model
    nlohmann::json before;
    nlohmann::json after;

    friend bool operator==(const field_difference&, const field_difference&) = default;
};

// Lists count as one value. An empty body, which is that of a deleted object, has no fields.
std::vector<field_difference> differences(const std::string& before, const std::string& after);

// A value as people read it: JSON, and "nothing" for null.
std::string value_text(const nlohmann::json& value);

// "team/deposits"
std::string object_text(const std::string& kind, const std::string& name);

// The object's body as JSON, with its kind and name; what cannot be read comes as text.
nlohmann::json object_json(const coordination::config_object& object);

} // namespace pearhaven::control

#endif
