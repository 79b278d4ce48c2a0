#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_HPP

#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/decision/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

// One fault in a configuration text, with where it is and what was expected there.
struct configuration_fault {
    std::string file;
    int line = 0; // 1 for the first; 0 where the text has no lines
    std::string field;
    std::string found;
    std::string allowed;

    friend bool operator==(const configuration_fault&, const configuration_fault&) = default;
};

// Where an object was written.
struct object_location {
    std::string file;
    int line = 0;

    friend bool operator==(const object_location&, const object_location&) = default;
};

struct parsed_objects {
    std::vector<coordination::config_object> objects; // bodies are canonical JSON
    std::vector<object_location> places;              // of the object with the same index
    std::vector<configuration_fault> faults;
};

// Reads a YAML text of one or more documents into stored objects. All faults are reported together;
// the objects count only when there is none.
parsed_objects parse_yaml(std::string_view text, const std::string& file);

// Reads one stored object's JSON body. Used on what comes from the store or from operators' tools.
// A deleted object, whose body is empty, has only its kind and name checked.
std::vector<configuration_fault> check_object(const coordination::config_object& object);

// Builds the typed configuration. Objects that do not parse are left out and reported: a router
// goes on with all the others.
struct built_configuration {
    decision::configuration_ptr configuration;
    std::vector<configuration_fault> faults;
};
built_configuration build_configuration(std::uint64_t revision,
                                        const std::vector<coordination::config_object>& objects);

// Faults between objects: a rollout that names no version, two teams with one key, and the like.
std::vector<configuration_fault>
check_references(const std::vector<coordination::config_object>& objects);

// One line for people: "teams.yaml:12: spec.weight: found "heavy", allowed a number above 0".
std::string to_string(const configuration_fault& fault);

// Lower-case hexadecimal SHA-256, the form in which team keys are stored.
std::string sha256_hex(std::string_view text);

} // namespace pearhaven::adapters

#endif
