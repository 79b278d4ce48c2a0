#include "command.hpp"
#include "object_difference.hpp"
#include "object_lookup.hpp"

namespace pearhaven::control {

namespace {

using coordination::config_object;
using nlohmann::json;

std::string fields_text(const json& fields)
{
    std::string text;
    for (const auto& [name, value] : fields.items()) {
        text += (text.empty() ? "" : " ") + name + "=" + value_text(value);
    }
    return text;
}

void show_list(command_context& context, const loaded_configuration& seen, const std::string& kind)
{
    text_table table({"KIND", "NAME", "LABELS", "SPEC"});
    json list = json::array();
    for (const auto& object : seen.state->objects()) {
        if (!kind.empty() && object.kind != kind) {
            continue;
        }
        const json value = object_json(object);
        table.add({object.kind, object.name, fields_text(value.value("labels", json::object())),
                   fields_text(value.value("spec", json::object()))});
        list.push_back(value);
    }
    const auto revision = seen.head.revision;
    context.out.show("revision " + std::to_string(revision) + "\n" + table.text(),
                     {{"revision", revision}, {"objects", std::move(list)}});
}

void show_one(command_context& context, const loaded_configuration& seen,
              const config_object& object)
{
    const auto revision = seen.head.revision;
    text_table table({"FIELD", "VALUE"});
    for (const auto& field : differences("", object.body)) {
        table.add({field.path, value_text(field.after)});
    }
    context.out.show("revision " + std::to_string(revision) + "\n" + table.text(),
                     {{"revision", revision}, {"object", object_json(object)}});
}

class get_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"get",
                "[KIND [NAME]]",
                "shows the configuration, and the revision to pass with --base",
                {"get", "get version", "get team deposits --output json"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.size() > 2) {
            return report_usage(*this, context);
        }
        if (!arguments.empty() && !check_kind(context, arguments[0])) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        if (arguments.size() < 2) {
            show_list(context, seen, arguments.empty() ? "" : arguments[0]);
            return exit_code::ok;
        }
        const auto* const found = find_object(context, *seen.state, arguments[0], arguments[1]);
        if (found == nullptr) {
            return exit_code::failed;
        }
        show_one(context, seen, *found);
        return exit_code::ok;
    }
};

} // namespace

command_ptr make_get_command()
{
    return std::make_unique<get_command>();
}

} // namespace pearhaven::control
