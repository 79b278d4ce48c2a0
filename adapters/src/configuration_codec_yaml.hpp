#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_YAML_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_YAML_HPP

#include "configuration_codec_faults.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// One YAML document as JSON, with the line numbers of its fields.
struct yaml_document {
    nlohmann::json value;
    line_map lines;
};

struct yaml_documents {
    std::vector<yaml_document> documents; // without empty documents
    std::vector<configuration_fault> faults;
};

// Reads plain scalars according to the YAML core schema (true, 12, 0.5, null, otherwise text);
// quoted scalars are always text. Faults are text that is not YAML, duplicate fields, field names
// that are not scalars, and text that exceeds the limits of size, depth or number of values.
yaml_documents read_yaml(std::string_view text, const std::string& file);

} // namespace pearhaven::adapters

#endif
