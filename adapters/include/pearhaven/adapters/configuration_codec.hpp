#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_HPP

#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/decision/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// One fault in a configuration text: where it is, what was found and what is allowed there.
struct configuration_fault {
    std::string file;
    int line = 0; // 1-based; 0 when there is no line information
    std::string field;
    std::string found;
    std::string allowed;

    friend bool operator==(const configuration_fault&, const configuration_fault&) = default;
};

// Location of an object in its source file.
struct object_location {
    std::string file;
    int line = 0;

    friend bool operator==(const object_location&, const object_location&) = default;
};

struct parsed_objects {
    std::vector<coordination::config_object> objects; // bodies are canonical JSON
    std::vector<object_location> places;              // by object index
    std::vector<configuration_fault> faults;
};

// Parses a YAML text of one or more documents into stored objects. Reports all faults together; the
// objects are valid only when there are no faults.
parsed_objects parse_yaml(std::string_view text, const std::string& file);

// Validates the JSON body of one stored object, as received from the store or from operator tools.
// For a deleted object, whose body is empty, checks only the kind and the name.
std::vector<configuration_fault> check_object(const coordination::config_object& object);

// Builds the typed configuration. Objects that cannot be parsed are skipped and reported, so that a
// router can use all the others.
struct built_configuration {
    decision::configuration_ptr configuration;
    std::vector<configuration_fault> faults;
};
built_configuration build_configuration(std::uint64_t revision,
                                        const std::vector<coordination::config_object>& objects);

// Checks references between objects: a rollout that names a missing version, two teams with the
// same key, and so on.
std::vector<configuration_fault>
check_references(const std::vector<coordination::config_object>& objects);

// One line for display: "teams.yaml:12: spec.weight: found "heavy", allowed a number above 0".
std::string to_string(const configuration_fault& fault);

// Lower-case hexadecimal SHA-256, the form in which team keys are stored.
std::string sha256_hex(std::string_view text);

} // namespace pearhaven::adapters

#endif
