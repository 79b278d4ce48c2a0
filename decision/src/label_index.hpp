#ifndef PEARHAVEN_DECISION_LABEL_INDEX_HPP
#define PEARHAVEN_DECISION_LABEL_INDEX_HPP

#include "pearhaven/decision/configuration.hpp"

#include <map>
#include <set>
#include <string>

namespace pearhaven::decision {

using name_set = std::set<std::string>;

// Finds labelled objects by a selector without scanning all objects.
class label_index {
public:
    void add(const labels& tags, const std::string& name);
    void remove(const labels& tags, const std::string& name);

    // A superset of the names of all added objects that the selector matches.
    [[nodiscard]] name_set candidates(const selector& chosen) const;

private:
    std::map<std::string, std::map<std::string, name_set>> by_label; // by label, then value
    name_set all;
};

// Finds selectors by the labels of an object without scanning all selectors.
class selector_index {
public:
    void add(const selector& chosen, const std::string& name);
    void remove(const selector& chosen, const std::string& name);

    // A superset of the names of all added selectors that match the labels.
    [[nodiscard]] name_set candidates(const labels& tags) const;

private:
    // Keyed by label and value of the first requirement.
    std::map<std::string, std::map<std::string, name_set>> by_label;
    name_set without_requirement;
};

} // namespace pearhaven::decision

#endif
