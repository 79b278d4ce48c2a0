#include "label_index.hpp"

namespace pearhaven::decision {

namespace {

using names_by_label = std::map<std::string, std::map<std::string, name_set>>;

void insert(names_by_label& index, const std::string& label, const std::string& value,
            const std::string& name)
{
    index[label][value].insert(name);
}

void erase(names_by_label& index, const std::string& label, const std::string& value,
           const std::string& name)
{
    const auto values = index.find(label);
    if (values == index.end()) {
        return;
    }
    const auto names = values->second.find(value);
    if (names == values->second.end()) {
        return;
    }
    names->second.erase(name);
    if (names->second.empty()) {
        values->second.erase(names);
    }
    if (values->second.empty()) {
        index.erase(values);
    }
}

void collect(const names_by_label& index, const std::string& label, const std::string& value,
             name_set& found)
{
    const auto values = index.find(label);
    if (values == index.end()) {
        return;
    }
    const auto names = values->second.find(value);
    if (names != values->second.end()) {
        found.insert(names->second.begin(), names->second.end());
    }
}

} // namespace

void label_index::add(const labels& tags, const std::string& name)
{
    this->all.insert(name);
    for (const auto& [label, value] : tags) {
        insert(this->by_label, label, value, name);
    }
}

void label_index::remove(const labels& tags, const std::string& name)
{
    this->all.erase(name);
    for (const auto& [label, value] : tags) {
        erase(this->by_label, label, value, name);
    }
}

// An object that matches the selector also meets its first requirement.
name_set label_index::candidates(const selector& chosen) const
{
    const auto& requirements = chosen.requirements();
    if (requirements.empty()) {
        return this->all;
    }
    name_set found;
    const auto& [label, values] = *requirements.begin();
    for (const auto& value : values) {
        collect(this->by_label, label, value, found);
    }
    return found;
}

void selector_index::add(const selector& chosen, const std::string& name)
{
    const auto& requirements = chosen.requirements();
    if (requirements.empty()) {
        this->without_requirement.insert(name);
        return;
    }
    const auto& [label, values] = *requirements.begin();
    for (const auto& value : values) {
        insert(this->by_label, label, value, name);
    }
}

void selector_index::remove(const selector& chosen, const std::string& name)
{
    const auto& requirements = chosen.requirements();
    if (requirements.empty()) {
        this->without_requirement.erase(name);
        return;
    }
    const auto& [label, values] = *requirements.begin();
    for (const auto& value : values) {
        erase(this->by_label, label, value, name);
    }
}

name_set selector_index::candidates(const labels& tags) const
{
    name_set found = this->without_requirement;
    for (const auto& [label, value] : tags) {
        collect(this->by_label, label, value, found);
    }
    return found;
}

} // namespace pearhaven::decision
