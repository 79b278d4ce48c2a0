#ifndef PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_RULES_HPP
#define PEARHAVEN_ADAPTERS_CONFIGURATION_CODEC_RULES_HPP

#include "configuration_codec_faults.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// Says which JSON values a field takes.
class value_rule {
public:
    virtual ~value_rule() = default;

    // In words, as the end of a sentence: "a number above 0".
    [[nodiscard]] virtual std::string allowed() const = 0;

    // The value in its canonical form. What it returns counts only when no fault was added.
    virtual nlohmann::json check(const nlohmann::json& value, const std::string& path,
                                 fault_collector& faults) const = 0;
};

using value_rule_ptr = std::shared_ptr<const value_rule>;

// true or false.
value_rule_ptr flag();

// Whole numbers between the two, both included.
value_rule_ptr whole_number(std::uint64_t least, std::uint64_t most);

// Real numbers between the two; `above` leaves the lower one out, `between` leaves out both.
value_rule_ptr number_at_least(double least, double most);
value_rule_ptr number_above(double least, double most);
value_rule_ptr number_between(double least, double most);

// Name of an object: lower-case letters, digits and hyphens, at most 63, no hyphen at the start.
value_rule_ptr object_name();
bool is_object_name(const std::string& text);

// An object's name, or the empty text.
value_rule_ptr optional_object_name();

// SHA-256 in lower-case hexadecimal.
value_rule_ptr sha256_digest();

// One of the HTTP methods that a plain service can be called with.
value_rule_ptr http_method();

// A list of at least `least` values.
value_rule_ptr list_of(value_rule_ptr element, std::size_t least);

// A map from label names to texts.
value_rule_ptr label_map();

// `all`, or a map from label names to a text or a list of texts. Canonical: sorted lists.
value_rule_ptr selector_map();

} // namespace pearhaven::adapters

#endif
