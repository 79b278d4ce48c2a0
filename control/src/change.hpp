#ifndef PEARHAVEN_CONTROL_CHANGE_HPP
#define PEARHAVEN_CONTROL_CHANGE_HPP

#include "command.hpp"

#include "pearhaven/coordination/config_head.hpp"

#include <string>
#include <vector>

namespace pearhaven::control {

// A change of one object. An empty body stands for an object that does not exist.
struct object_change {
    coordination::config_object before;
    coordination::config_object after;

    [[nodiscard]] std::string verb() const; // created, changed or deleted

    friend bool operator==(const object_change&, const object_change&) = default;
};

// Returns a change for each wanted object that differs from its version in the state.
std::vector<object_change> find_changes(const coordination::config_state& state,
                                        const std::vector<coordination::config_object>& wanted);

// Returns false and prints the reason when --wait is given without the operator key, which is
// needed to query the routers. Checked before anything is changed.
bool has_valid_wait_settings(command_context& context);

// Writes the wanted objects as one atomic change and prints the result. An empty body deletes the
// object. With --wait, returns once every live router has applied the change, or after the timeout.
exit_code submit_change(command_context& context, const loaded_configuration& seen,
                        const std::vector<coordination::config_object>& wanted);

} // namespace pearhaven::control

#endif
