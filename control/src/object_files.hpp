#ifndef PEARHAVEN_CONTROL_OBJECT_FILES_HPP
#define PEARHAVEN_CONTROL_OBJECT_FILES_HPP

#include "command.hpp"

#include "pearhaven/coordination/peer_message.hpp"

#include <optional>
#include <vector>

namespace pearhaven::control {

// Reads the objects of all files named on the command line. Returns nothing when a file cannot be
// read or has a fault, or when two files hold the same object; all faults are printed together.
std::optional<std::vector<coordination::config_object>> read_object_files(command_context& context);

} // namespace pearhaven::control

#endif
