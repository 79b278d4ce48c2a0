#ifndef PEARHAVEN_CONTROL_OBJECT_LOOKUP_HPP
#define PEARHAVEN_CONTROL_OBJECT_LOOKUP_HPP

#include "command.hpp"

#include "pearhaven/coordination/config_head.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace pearhaven::control {

// False, and said with the kinds that there are, when there is no such kind.
bool check_kind(command_context& context, const std::string& kind);

// Null, and said, when there is no such object.
const coordination::config_object* find_object(command_context& context,
                                               const coordination::config_state& state,
                                               const std::string& kind, const std::string& name);

// The object with its body changed by the edit, in canonical form. Nothing, and said, when the
// stored body cannot be read or the edit left a fault in it.
std::optional<coordination::config_object>
edit_object(command_context& context, const coordination::config_object& object,
            const std::function<void(nlohmann::json&)>& edit);

} // namespace pearhaven::control

#endif
