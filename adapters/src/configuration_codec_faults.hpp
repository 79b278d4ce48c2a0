#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_FAULTS_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_FAULTS_HPP

#include "pearhaven/adapters/configuration_codec.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// Line numbers of a field's name and of its value in the source text.
struct field_lines {
    int key = 0;
    int value = 0;
};

// Line numbers by field path; the path of a complete document is empty.
using line_map = std::map<std::string, field_lines>;

// Field paths in display form: spec.versions.model[1].
std::string member_path(const std::string& parent, std::string_view key);
std::string element_path(const std::string& parent, std::size_t index);

// JSON text of a value for display in a fault, truncated when long.
std::string shown(const nlohmann::json& value);

// Collects the faults of one object and determines the line of each.
class fault_collector {
public:
    // Both arguments must outlive the collector. Without line information, faults have line 0.
    fault_collector(const std::string& file, const line_map& lines);

    // Adds a fault in the value at the path. If there is no such value, its line is that of the
    // nearest enclosing field.
    void add(const std::string& path, std::string found, std::string allowed);

    // Adds a fault in the name of the field itself.
    void add_at_key(const std::string& path, std::string found, std::string allowed);

    [[nodiscard]] bool empty() const { return this->faults.empty(); }
    [[nodiscard]] std::vector<configuration_fault> take() { return std::move(this->faults); }

private:
    [[nodiscard]] int nearest_line(std::string path) const;

    const std::string& file;
    const line_map& lines;
    std::vector<configuration_fault> faults;
};

} // namespace pearhaven::adapters

#endif
