#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_YAML_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_YAML_HPP

#include "configuration_codec_faults.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// One YAML document as JSON, with the lines that its fields stood on.
struct yaml_document {
    nlohmann::json value;
    line_map lines;
};

struct yaml_documents {
    std::vector<yaml_document> documents; // without the empty ones
    std::vector<configuration_fault> faults;
};

// Reads plain scalars as YAML's core schema does (true, 12, 0.5, null, else text); quoted ones are
// always text. Faults: a text that is no YAML, a field given twice, a field name that is no scalar,
// and a text past the limits of size, depth or number of values.
yaml_documents read_yaml(std::string_view text, const std::string& file);

} // namespace pearhaven::adapters

#endif
