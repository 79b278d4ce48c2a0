#ifndef PEARHAVEN_CONTROL_ERRORS_HPP
#define PEARHAVEN_CONTROL_ERRORS_HPP

#include <system_error>

namespace pearhaven::control {

// Status that the process ends with. Part of the operators' interface: scripts rely on it.
enum class exit_code {
    ok = 0,
    failed = 1,                 // refused, or could not be carried out; nothing was changed
    usage = 2,                  // wrong command line, or a configuration with faults
    conflict = 3,               // another operator changed the same object first
    not_applied_everywhere = 4, // accepted, but not in force on every router in time
    outcome_unknown = 5,        // may or may not have been accepted
};

// Why a command could not be carried out.
enum class control_error {
    store_unavailable = 1,
    store_unreadable, // a value in the store that this program does not understand
    conflict,
    stale_view,
    too_large,
    outcome_unknown,
};

std::error_code make_error_code(control_error error);

// Turns an error of the layers below into one of this layer's. No error stays none.
std::error_code to_control_error(std::error_code error);

exit_code to_exit_code(std::error_code error);

} // namespace pearhaven::control

template <>
struct std::is_error_code_enum<pearhaven::control::control_error> : std::true_type {};

#endif
