#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_FAULTS_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_FAULTS_HPP

#include "pearhaven/adapters/configuration_codec.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// Lines of a field's name and of its value in the text that it was read from.
struct field_lines {
    int key = 0;
    int value = 0;
};

// Lines by field path; the path of a whole document is empty.
using line_map = std::map<std::string, field_lines>;

// Paths are written as people read them: spec.versions.model[1].
std::string member_path(const std::string& parent, std::string_view key);
std::string element_path(const std::string& parent, std::size_t index);

// A value as a fault shows it: JSON, cut short when it is long.
std::string shown(const nlohmann::json& value);

// Gathers the faults of one object, and finds the line of each.
class fault_collector {
public:
    // Both must outlive the collector. Without lines, faults name line 0.
    fault_collector(const std::string& file, const line_map& lines);

    // A fault in the value at the path; at the nearest field around it where nothing is there.
    void add(const std::string& path, std::string found, std::string allowed);

    // A fault in the name of the field itself.
    void add_at_key(const std::string& path, std::string found, std::string allowed);

    [[nodiscard]] bool empty() const { return this->faults.empty(); }
    [[nodiscard]] std::vector<configuration_fault> take() { return std::move(this->faults); }

private:
    [[nodiscard]] int line_around(std::string path) const;

    const std::string& file;
    const line_map& lines;
    std::vector<configuration_fault> faults;
};

} // namespace pearhaven::adapters

#endif
