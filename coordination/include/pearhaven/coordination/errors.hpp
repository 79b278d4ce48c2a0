#ifndef PEARHAVEN_COORDINATION_ERRORS_HPP
#define PEARHAVEN_COORDINATION_ERRORS_HPP

#include <system_error>

namespace pearhaven::coordination {

// Why a coordinated step was not taken. Of these only `outcome_unknown` leaves open whether it was.
enum class coordination_error {
    conflict = 1,      // another got there first
    stale_view,        // too old a view to tell whether it conflicts: look again
    too_large,         // does not fit into the store's values
    unreadable,        // the stored value cannot be read, and is not overwritten
    store_unavailable, // certainly not applied
    outcome_unknown,   // may have been applied
};

std::error_code make_error_code(coordination_error error);

} // namespace pearhaven::coordination

template <>
struct std::is_error_code_enum<pearhaven::coordination::coordination_error> : std::true_type {};

#endif
