#ifndef PEARHAVEN_ADAPTERS_SRC_HOST_LIST_HPP
#define PEARHAVEN_ADAPTERS_SRC_HOST_LIST_HPP

#include "pearhaven/adapters/platform.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pearhaven::adapters {

// Parses the body of a host list response. Returns nothing if it is not a list; entries without a
// reachable host are skipped.
[[nodiscard]] std::optional<std::vector<listed_host>> read_host_list(const std::string& body);

} // namespace pearhaven::adapters

#endif
