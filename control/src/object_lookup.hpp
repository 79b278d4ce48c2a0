#ifndef PEARHAVEN_CONTROL_OBJECT_LOOKUP_HPP
#define PEARHAVEN_CONTROL_OBJECT_LOOKUP_HPP

#include "command.hpp"

#include "pearhaven/coordination/config_head.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace pearhaven::control {

// Returns false and prints the known kinds when the kind is unknown.
bool check_kind(command_context& context, const std::string& kind);

// Returns null and prints an error when the object does not exist.
const coordination::config_object* find_object(command_context& context,
                                               const coordination::config_state& state,
                                               const std::string& kind, const std::string& name);

// Returns the object with its body changed by the edit, in canonical form. Returns nothing and
// prints the reason when the stored body cannot be parsed or the edited object has a fault.
std::optional<coordination::config_object>
edit_object(command_context& context, const coordination::config_object& object,
            const std::function<void(nlohmann::json&)>& edit);

} // namespace pearhaven::control

#endif
