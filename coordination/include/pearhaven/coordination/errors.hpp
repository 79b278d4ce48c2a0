#ifndef PEARHAVEN_COORDINATION_ERRORS_HPP
#define PEARHAVEN_COORDINATION_ERRORS_HPP

#include <system_error>

namespace pearhaven::coordination {

// Why a coordinated operation was not applied. Only `outcome_unknown` leaves open whether it was.
enum class coordination_error {
    conflict = 1,      // another change was applied first
    stale_view,        // the view is too old to check for conflicts: read again
    too_large,         // exceeds the store's maximum value size
    unreadable,        // the stored value cannot be decoded and is not overwritten
    store_unavailable, // certainly not applied
    outcome_unknown,   // may have been applied
};

std::error_code make_error_code(coordination_error error);

} // namespace pearhaven::coordination

template <>
struct std::is_error_code_enum<pearhaven::coordination::coordination_error> : std::true_type {};

#endif
