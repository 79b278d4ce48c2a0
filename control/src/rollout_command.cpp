#include "change.hpp"
#include "object_difference.hpp"
#include "object_lookup.hpp"

namespace pearhaven::control {

namespace {

using coordination::config_object;

void show_rollout(command_context& context, const loaded_configuration& seen,
                  const config_object& object)
{
    text_table table({"FIELD", "VALUE"});
    for (const auto& field : differences("", object.body)) {
        table.add({field.path, value_text(field.after)});
    }
    auto value = object_json(object);
    value["revision"] = seen.head.revision;
    context.out.show(table.text(), value);
}

class rollout_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"rollout",
                "NAME [pause|resume] [--wait] [--timeout SECONDS] [--base REVISION]",
                "shows the configuration of a rollout, pauses it or resumes it",
                {"rollout adjudicator", "rollout adjudicator pause --wait"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        const bool show_only = arguments.size() == 1;
        if (!show_only && !is_pause_or_resume(arguments)) {
            return report_usage(*this, context);
        }
        if (!show_only && !has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        const auto* const found = find_object(context, *seen.state, "rollout", arguments[0]);
        if (found == nullptr) {
            return exit_code::failed;
        }
        if (show_only) {
            show_rollout(context, seen, *found);
            return exit_code::ok;
        }
        const bool paused = arguments[1] == "pause";
        const auto edited = edit_object(
            context, *found, [paused](nlohmann::json& body) { body["spec"]["paused"] = paused; });
        return edited ? submit_change(context, seen, {*edited}) : exit_code::failed;
    }

private:
    static bool is_pause_or_resume(const std::vector<std::string>& arguments)
    {
        return arguments.size() == 2 && (arguments[1] == "pause" || arguments[1] == "resume");
    }
};

} // namespace

command_ptr make_rollout_command()
{
    return std::make_unique<rollout_command>();
}

} // namespace pearhaven::control
