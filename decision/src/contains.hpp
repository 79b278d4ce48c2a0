#ifndef PEARHAVEN_DECISION_CONTAINS_HPP
#define PEARHAVEN_DECISION_CONTAINS_HPP

#include <algorithm>
#include <string>
#include <vector>

namespace pearhaven::decision {

// Linear search, for short lists of names.
inline bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace pearhaven::decision

#endif
