#ifndef PEARHAVEN_CONTROL_CHANGE_HPP
#define PEARHAVEN_CONTROL_CHANGE_HPP

#include "command.hpp"

#include "pearhaven/coordination/config_head.hpp"

#include <string>
#include <vector>

namespace pearhaven::control {

// One object that is to become another; empty bodies stand for objects that are not there.
struct object_change {
    coordination::config_object before;
    coordination::config_object after;

    [[nodiscard]] std::string verb() const; // created, changed or deleted

    friend bool operator==(const object_change&, const object_change&) = default;
};

// Those of the wanted objects that differ from what the state holds.
std::vector<object_change> find_changes(const coordination::config_state& state,
                                        const std::vector<coordination::config_object>& wanted);

// Whether the command was called in a way that it can be carried out; says why not. Looked at
// before anything is changed.
bool has_valid_wait_settings(command_context& context);

// Brings the wanted objects into force as one change, all or nothing, and says what came of it. An
// empty body deletes. With --wait, returns when the change is in force on every live router.
exit_code submit_change(command_context& context, const loaded_configuration& seen,
                        const std::vector<coordination::config_object>& wanted);

} // namespace pearhaven::control

#endif
