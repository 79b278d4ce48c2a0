#ifndef PEARHAVEN_ADAPTERS_SRC_HOST_LIST_HPP
#define PEARHAVEN_ADAPTERS_SRC_HOST_LIST_HPP

#include "pearhaven/adapters/platform.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pearhaven::adapters {

// The body of the host list's answer. Nothing where it is no list; an entry that names no host that
// can be reached is left out.
[[nodiscard]] std::optional<std::vector<listed_host>> read_host_list(const std::string& body);

} // namespace pearhaven::adapters

#endif
