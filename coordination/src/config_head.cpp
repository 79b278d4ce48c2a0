#include "pearhaven/coordination/config_head.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace pearhaven::coordination {

namespace {

using name_view = std::pair<std::string_view, std::string_view>;

name_view name_of(const config_object& object)
{
    return {object.kind, object.name};
}

bool comes_before(const config_object& left, const config_object& right)
{
    return name_of(left) < name_of(right);
}

bool is_deleted(const config_object& object)
{
    return object.body.empty();
}

using object_name = std::pair<std::string, std::string>;

// Merges sorted objects with the last version of each changed one.
std::vector<config_object> merge(const std::vector<config_object>& objects,
                                 const std::map<object_name, const config_object*>& touched)
{
    std::vector<config_object> merged;
    merged.reserve(objects.size() + touched.size());
    auto next = touched.begin();
    const auto take_next = [&] {
        if (!is_deleted(*next->second)) {
            merged.push_back(*next->second);
        }
        ++next;
    };
    for (const config_object& object : objects) {
        while (next != touched.end() && comes_before(*next->second, object)) {
            take_next();
        }
        if (next != touched.end() && !comes_before(object, *next->second)) {
            take_next();
        } else {
            merged.push_back(object);
        }
    }
    while (next != touched.end()) {
        take_next();
    }
    return merged;
}

} // namespace

config_state::config_state(std::uint64_t revision, const std::vector<config_object>& objects)
    : revision_number(revision)
{
    std::map<object_name, const config_object*> last;
    for (const config_object& object : objects) {
        last[{object.kind, object.name}] = &object;
    }
    this->object_list = merge({}, last);
}

const config_object* config_state::find(std::string_view kind, std::string_view name) const
{
    const name_view wanted(kind, name);
    const auto found = std::lower_bound(
        this->object_list.begin(), this->object_list.end(), wanted,
        [](const config_object& object, const name_view& key) { return name_of(object) < key; });
    return found != this->object_list.end() && name_of(*found) == wanted ? &*found : nullptr;
}

boost::intrusive_ptr<const config_state>
config_state::after(const std::vector<config_change>& changes) const
{
    std::map<object_name, const config_object*> touched;
    std::uint64_t reached = this->revision_number;
    for (const config_change& change : changes) {
        if (change.revision <= reached) {
            continue;
        }
        if (change.revision != reached + 1) {
            break;
        }
        reached = change.revision;
        for (const config_object& object : change.objects) {
            touched[{object.kind, object.name}] = &object;
        }
    }
    const boost::intrusive_ptr<config_state> next(new config_state);
    next->revision_number = reached;
    next->object_list = merge(this->object_list, touched);
    return next;
}

void snapshot_assembly::add_page(const std::string& key, std::vector<config_object> objects)
{
    this->pages[key] = std::move(objects);
}

bool snapshot_assembly::is_complete() const
{
    return std::all_of(this->target.pages.begin(), this->target.pages.end(),
                       [this](const std::string& key) { return this->pages.count(key) != 0; });
}

config_state_ptr snapshot_assembly::build() const
{
    std::vector<config_object> objects;
    for (const auto& [key, page] : this->pages) {
        objects.insert(objects.end(), page.begin(), page.end());
    }
    return config_state(this->target.snapshot_revision, objects).after(this->target.changes);
}

} // namespace pearhaven::coordination
