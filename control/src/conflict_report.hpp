#ifndef PEARHAVEN_CONTROL_CONFLICT_REPORT_HPP
#define PEARHAVEN_CONTROL_CONFLICT_REPORT_HPP

#include "command.hpp"

#include "pearhaven/coordination/config_writer.hpp"

namespace pearhaven::control {

// Prints for each object in conflict who changed it, when and in which revision, with the values of
// both changes. The stored values are read again, and omitted when that read fails.
exit_code report_conflict(command_context& context, const coordination::config_edit& edit,
                          const coordination::config_write_done& refused);

} // namespace pearhaven::control

#endif
