#ifndef PEARHAVEN_DECISION_LABEL_INDEX_HPP
#define PEARHAVEN_DECISION_LABEL_INDEX_HPP

#include "pearhaven/decision/configuration.hpp"

#include <map>
#include <set>
#include <string>

namespace pearhaven::decision {

using name_set = std::set<std::string>;

// Names of labelled objects, found by a selector without asking all objects.
class label_index {
public:
    void add(const labels& tags, const std::string& name);
    void remove(const labels& tags, const std::string& name);

    // At least the names of all objects that the selector matches, all of them added before.
    [[nodiscard]] name_set candidates(const selector& chosen) const;

private:
    std::map<std::string, std::map<std::string, name_set>> by_label; // by label, then value
    name_set all;
};

// Names of selectors, found by the labels of an object without asking all selectors.
class selector_index {
public:
    void add(const selector& chosen, const std::string& name);
    void remove(const selector& chosen, const std::string& name);

    // At least the names of all selectors that match the labels, all of them added before.
    [[nodiscard]] name_set candidates(const labels& tags) const;

private:
    std::map<std::string, std::map<std::string, name_set>> by_label; // of the first requirement
    name_set without_requirement;
};

} // namespace pearhaven::decision

#endif
