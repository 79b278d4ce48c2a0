#ifndef PEARHAVEN_CONTROL_OBJECT_FILES_HPP
#define PEARHAVEN_CONTROL_OBJECT_FILES_HPP

#include "command.hpp"

#include "pearhaven/coordination/peer_message.hpp"

#include <optional>
#include <vector>

namespace pearhaven::control {

// The objects of all files named on the command line. Nothing when one of them cannot be read or
// has a fault, or when two hold the same object: all of that is then said, together.
std::optional<std::vector<coordination::config_object>> read_object_files(command_context& context);

} // namespace pearhaven::control

#endif
