#ifndef PEARHAVEN_CONTROL_ERRORS_HPP
#define PEARHAVEN_CONTROL_ERRORS_HPP

#include <system_error>

namespace pearhaven::control {

// Exit status of the process. Operators' scripts rely on these values.
enum class exit_code {
    ok = 0,
    failed = 1,                 // rejected or failed; nothing was changed
    usage = 2,                  // wrong command line, or faults in the configuration
    conflict = 3,               // another operator changed the same object first
    not_applied_everywhere = 4, // accepted, but not confirmed by every router in time
    outcome_unknown = 5,        // may or may not have been accepted
};

// Reasons for which a command fails.
enum class control_error {
    store_unavailable = 1,
    store_unreadable, // a stored value that this program cannot decode
    conflict,
    stale_view,
    too_large,
    outcome_unknown,
};

std::error_code make_error_code(control_error error);

// Maps errors of the coordination layer to control_error. Other values are returned unchanged.
std::error_code to_control_error(std::error_code error);

exit_code to_exit_code(std::error_code error);

} // namespace pearhaven::control

template <>
struct std::is_error_code_enum<pearhaven::control::control_error> : std::true_type {};

#endif
