#include "pearhaven/adapters/configuration_codec.hpp"

#include "configuration_codec_faults.hpp"
#include "configuration_codec_kinds.hpp"
#include "configuration_codec_yaml.hpp"

#include "pearhaven/adapters/shallow_json.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace pearhaven::adapters {

namespace {

using nlohmann::json;

constexpr std::size_t max_body_bytes = 64U << 10U;

const line_map no_lines;

std::string object_key(const std::string& kind, const std::string& name)
{
    return kind + "/" + name;
}

decision::labels to_labels(const json& map)
{
    return map.get<decision::labels>();
}

void check_root_fields(const json& root, const std::vector<std::string>& known,
                       fault_collector& faults)
{
    for (const auto& [name, value] : root.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            std::string allowed = "only";
            for (const auto& field : known) {
                allowed += (&field == &known.front() ? " " : ", ") + field;
            }
            faults.add_at_key(name, "an unknown field", std::move(allowed));
        }
    }
}

// Checks the labels and the spec below `root`. Returns nothing if there is a fault.
std::optional<object_parts> check_parts(const kind_schema& schema, const std::string& name,
                                        const json& root, fault_collector& faults)
{
    const json labels = root.value("labels", json::object());
    const json spec = root.value("spec", json::object());
    label_map()->check(labels, "labels", faults);
    json canonical = check_spec(schema, spec, faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    object_parts parts{name, to_labels(labels), std::move(canonical)};
    schema.check_consistency(parts, faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    return parts;
}

void check_size(const std::string& body, fault_collector& faults)
{
    if (body.size() > max_body_bytes) {
        faults.add("", std::to_string(body.size()) + " bytes",
                   "an object of at most " + std::to_string(max_body_bytes) + " bytes");
    }
}

std::string canonical_body(const object_parts& parts, fault_collector& faults)
{
    try {
        std::string body = json{{"labels", parts.tags}, {"spec", parts.spec}}.dump();
        check_size(body, faults);
        return body;
    } catch (const json::exception&) {
        faults.add("", "text that is not valid UTF-8", "valid UTF-8");
        return {};
    }
}

const kind_schema* check_kind(const json& kind, fault_collector& faults)
{
    const kind_schema* const schema =
        kind.is_string() ? find_kind(kind.get_ref<const std::string&>()) : nullptr;
    if (schema == nullptr) {
        faults.add("kind", shown(kind), allowed_kinds());
    }
    return schema;
}

// Converts one YAML document to a stored object. Returns nothing if there is a fault.
std::optional<coordination::config_object> read_document(const json& root, fault_collector& faults)
{
    if (!root.is_object()) {
        faults.add("", shown(root), "a map with kind, name, labels and spec");
        return std::nullopt;
    }
    check_root_fields(root, {"kind", "name", "labels", "spec"}, faults);
    const json name = root.value("name", json());
    object_name()->check(name, "name", faults);
    const kind_schema* const schema = check_kind(root.value("kind", json()), faults);
    if (schema == nullptr) {
        return std::nullopt;
    }
    const std::string known_name = name.is_string() ? name.get<std::string>() : std::string();
    const auto parts = check_parts(*schema, known_name, root, faults);
    if (!parts) {
        return std::nullopt;
    }
    std::string body = canonical_body(*parts, faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    return coordination::config_object{schema->kind, parts->name, std::move(body)};
}

// Rejects bodies nested deeper than any valid object: printing them recursively would overflow the
// stack.
std::optional<json> parse_body(const std::string& body, fault_collector& faults)
{
    check_size(body, faults);
    if (!faults.empty()) {
        return std::nullopt;
    }
    auto read = parse_shallow_json(body);
    const bool too_deep = read.fault == json_fault::too_deep;
    if (!read.value.is_object()) {
        faults.add("", too_deep ? "deeper nesting than any object has" : "text that is no JSON map",
                   "a JSON map with labels and spec");
        return std::nullopt;
    }
    return std::move(read.value);
}

// Returns the parts of a stored object, or nothing if it has a fault or is deleted.
std::optional<object_parts> read_object(const coordination::config_object& object,
                                        fault_collector& faults)
{
    object_name()->check(object.name, "name", faults);
    const kind_schema* const schema = check_kind(object.kind, faults);
    if (schema == nullptr || object.body.empty()) {
        return std::nullopt;
    }
    const auto root = parse_body(object.body, faults);
    if (!root) {
        return std::nullopt;
    }
    check_root_fields(*root, {"labels", "spec"}, faults);
    return check_parts(*schema, object.name, *root, faults);
}

void append(std::vector<configuration_fault>& all, std::vector<configuration_fault> more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

} // namespace

parsed_objects parse_yaml(std::string_view text, const std::string& file)
{
    parsed_objects result;
    yaml_documents read = read_yaml(text, file);
    result.faults = std::move(read.faults);
    std::map<std::string, int> first_line;
    for (const auto& document : read.documents) {
        fault_collector faults(file, document.lines);
        const int line = document.lines.at("").value;
        auto object = read_document(document.value, faults);
        if (object) {
            const auto key = object_key(object->kind, object->name);
            const auto [first, inserted] = first_line.emplace(key, line);
            if (!inserted) {
                faults.add("name", key + " a second time",
                           "each object once (this one is also at line " +
                               std::to_string(first->second) + ")");
            }
            result.objects.push_back(std::move(*object));
            result.places.push_back({file, line});
        }
        append(result.faults, faults.take());
    }
    return result;
}

std::vector<configuration_fault> check_object(const coordination::config_object& object)
{
    const std::string location = object_key(object.kind, object.name);
    fault_collector faults(location, no_lines);
    read_object(object, faults);
    return faults.take();
}

built_configuration build_configuration(std::uint64_t revision,
                                        const std::vector<coordination::config_object>& objects)
{
    built_configuration result;
    decision::configuration_builder builder;
    builder.revision(revision);
    for (const auto& object : objects) {
        const std::string location = object_key(object.kind, object.name);
        fault_collector faults(location, no_lines);
        const auto parts = read_object(object, faults);
        if (parts && faults.empty()) {
            find_kind(object.kind)->add_to(builder, *parts);
        }
        append(result.faults, faults.take());
    }
    result.configuration = builder.build();
    return result;
}

std::string to_string(const configuration_fault& fault)
{
    std::string text = fault.file;
    if (fault.line > 0) {
        text += ":" + std::to_string(fault.line);
    }
    if (!fault.field.empty()) {
        text += ": " + fault.field;
    }
    return text + ": found " + fault.found + ", allowed " + fault.allowed;
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libsodium takes bytes.
    const auto* const bytes = reinterpret_cast<const unsigned char*>(text.data());
    crypto_hash_sha256(digest.data(), bytes, text.size());
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

} // namespace pearhaven::adapters
