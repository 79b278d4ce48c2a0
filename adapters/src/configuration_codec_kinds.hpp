#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_KINDS_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_KINDS_HPP

#include "configuration_codec_faults.hpp"
#include "configuration_codec_rules.hpp"

#include "pearhaven/decision/configuration.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::adapters {

struct field_schema {
    std::string name;
    value_rule_ptr rule;
    bool required = false;
};

// Parts of a valid object, in canonical form.
struct object_parts {
    std::string name;
    decision::labels tags;
    nlohmann::json spec;
};

// The fields that objects of one kind may have, and how such an object is added to a configuration.
struct kind_schema {
    std::string kind;
    std::vector<field_schema> fields;

    // Checks the fields of one object against each other; called when each field is valid by
    // itself.
    void (*check_consistency)(const object_parts& object, fault_collector& faults);
    void (*add_to)(decision::configuration_builder& builder, const object_parts& object);
};

const std::vector<kind_schema>& kind_schemas();

// Null for an unknown kind.
const kind_schema* find_kind(std::string_view kind);

// "one of team, version, ..."
std::string allowed_kinds();

// Checks the spec against the fields of the kind and returns its canonical form.
nlohmann::json check_spec(const kind_schema& schema, const nlohmann::json& spec,
                          fault_collector& faults);

} // namespace pearhaven::adapters

#endif
