#include "change.hpp"
#include "object_difference.hpp"
#include "object_files.hpp"

namespace pearhaven::control {

namespace {

using nlohmann::json;

std::string change_text(const object_change& change)
{
    std::string text =
        object_text(change.after.kind, change.after.name) + " to be " + change.verb() + "\n";
    for (const auto& field : differences(change.before.body, change.after.body)) {
        text += "  " + field.path + ": " + value_text(field.before) + " -> " +
                value_text(field.after) + "\n";
    }
    return text;
}

json change_json(const object_change& change)
{
    json fields = json::array();
    for (const auto& field : differences(change.before.body, change.after.body)) {
        fields.push_back({{"field", field.path}, {"before", field.before}, {"after", field.after}});
    }
    return {{"kind", change.after.kind},
            {"name", change.after.name},
            {"change", change.verb()},
            {"fields", std::move(fields)}};
}

class diff_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"diff",
                "-f FILE...",
                "shows what apply would change, field by field",
                {"diff -f teams.yaml"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (context.settings.files.empty()) {
            return report_usage(*this, context);
        }
        const auto wanted = read_object_files(context);
        if (!wanted) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        std::string text;
        json changes = json::array();
        for (const auto& change : find_changes(*seen.state, *wanted)) {
            text += change_text(change);
            changes.push_back(change_json(change));
        }
        const auto revision = seen.head.revision;
        if (changes.empty()) {
            text = "no differences from revision " + std::to_string(revision) + "\n";
        }
        context.out.show(text, {{"revision", revision}, {"changes", std::move(changes)}});
        return exit_code::ok;
    }
};

} // namespace

command_ptr make_diff_command()
{
    return std::make_unique<diff_command>();
}

} // namespace pearhaven::control
