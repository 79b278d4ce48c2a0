#ifndef PEARHAVEN_CONTROL_CONFLICT_REPORT_HPP
#define PEARHAVEN_CONTROL_CONFLICT_REPORT_HPP

#include "command.hpp"

#include "pearhaven/coordination/config_writer.hpp"

namespace pearhaven::control {

// Says of each object that another changed first who did, when and in which revision, with both
// values. The other's values are read anew; they are left out when that fails.
exit_code report_conflict(command_context& context, const coordination::config_edit& edit,
                          const coordination::config_write_done& refused);

} // namespace pearhaven::control

#endif
