#include "object_lookup.hpp"

#include "object_difference.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"
#include "pearhaven/adapters/shallow_json.hpp"

namespace pearhaven::control {

using coordination::config_object;
using nlohmann::json;

bool check_kind(command_context& context, const std::string& kind)
{
    // An empty body has no faults and the name is valid for every kind, so that a fault can only
    // come from the kind.
    const auto faults = adapters::check_object({kind, "default", ""});
    for (const auto& fault : faults) {
        context.out.print_diagnostic("KIND: found \"" + kind + "\", allowed " + fault.allowed);
    }
    return faults.empty();
}

const config_object* find_object(command_context& context, const coordination::config_state& state,
                                 const std::string& kind, const std::string& name)
{
    const config_object* const found = state.find(kind, name);
    if (found == nullptr) {
        context.out.print_diagnostic("there is no " + object_text(kind, name) + " at revision " +
                                     std::to_string(state.revision()));
    }
    return found;
}

std::optional<config_object> edit_object(command_context& context, const config_object& object,
                                         const std::function<void(json&)>& edit)
{
    json body = adapters::parse_shallow_json(object.body).value;
    if (!body.is_object()) {
        context.out.print_diagnostic(object_text(object.kind, object.name) + ": the stored body " +
                                     "cannot be read; apply the object from a file");
        return std::nullopt;
    }
    edit(body);
    config_object edited{object.kind, object.name, body.dump()};
    const auto faults = adapters::check_object(edited);
    for (const auto& fault : faults) {
        context.out.print_diagnostic(adapters::to_string(fault));
    }
    return faults.empty() ? std::optional(edited) : std::nullopt;
}

} // namespace pearhaven::control
