#include "object_difference.hpp"

#include "pearhaven/adapters/shallow_json.hpp"

#include <map>
#include <utility>

namespace pearhaven::control {

namespace {

using nlohmann::json;

using field_map = std::map<std::string, json>;

void flatten(const json& value, const std::string& path, field_map& fields)
{
    if (!value.is_object()) {
        fields[path] = value;
        return;
    }
    for (const auto& [name, inner] : value.items()) {
        std::string inner_path = path;
        inner_path.append(path.empty() ? "" : ".").append(name);
        flatten(inner, inner_path, fields);
    }
}

json parse(const std::string& body)
{
    if (body.empty()) {
        return json::object();
    }
    auto read = adapters::parse_shallow_json(body);
    return read.fault == adapters::json_fault::none ? std::move(read.value) : json(body);
}

field_map fields_of(const std::string& body)
{
    field_map fields;
    flatten(parse(body), "", fields);
    return fields;
}

json value_at(const field_map& fields, const std::string& path)
{
    const auto found = fields.find(path);
    return found == fields.end() ? json() : found->second;
}

} // namespace

std::vector<field_difference> differences(const std::string& before, const std::string& after)
{
    const field_map old_fields = fields_of(before);
    const field_map new_fields = fields_of(after);
    field_map all = old_fields;
    all.insert(new_fields.begin(), new_fields.end());
    std::vector<field_difference> found;
    for (const auto& [path, value] : all) {
        json old_value = value_at(old_fields, path);
        json new_value = value_at(new_fields, path);
        if (old_value != new_value) {
            found.push_back({path, std::move(old_value), std::move(new_value)});
        }
    }
    return found;
}

std::string value_text(const json& value)
{
    constexpr int compact = -1;
    return value.is_null() ? "nothing"
                           : value.dump(compact, ' ', false, json::error_handler_t::replace);
}

std::string object_text(const std::string& kind, const std::string& name)
{
    return kind + "/" + name;
}

json object_json(const coordination::config_object& object)
{
    json value = parse(object.body);
    if (!value.is_object()) {
        value = {{"unreadable", std::move(value)}};
    }
    value["kind"] = object.kind;
    value["name"] = object.name;
    return value;
}

} // namespace pearhaven::control
