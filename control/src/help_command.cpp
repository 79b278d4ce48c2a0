#include "command.hpp"

namespace pearhaven::control {

namespace {

using nlohmann::json;

std::string statuses_text()
{
    return "exit status: 0 done; 1 refused or failed, nothing changed; 2 wrong usage or faults in "
           "the input;\n"
           "  3 another operator changed the same objects; 4 accepted but not in force everywhere "
           "in time;\n"
           "  5 outcome unknown, the key-value service stopped answering\n";
}

std::string overview()
{
    text_table table({"COMMAND", "MEANING"});
    for (const auto& each : make_commands()) {
        table.add({each->usage().name, each->usage().summary});
    }
    return "usage: pearhavenctl COMMAND ... (pearhavenctl help COMMAND shows examples)\n\n" +
           table.text() + "\nflags, each also as PEARHAVENCTL_FLAG in the environment:\n" +
           describe_settings() + "\n" + statuses_text();
}

std::string details(const command_usage& usage)
{
    std::string text = "usage: pearhavenctl " + usage.name + " " + usage.arguments + "\n  " +
                       usage.summary + "\nexamples:\n";
    for (const auto& example : usage.examples) {
        text += "  pearhavenctl " + example + "\n";
    }
    return text + statuses_text();
}

json usage_json(const command_usage& usage)
{
    return {{"command", usage.name},
            {"arguments", usage.arguments},
            {"summary", usage.summary},
            {"examples", usage.examples}};
}

json all_json()
{
    json list = json::array();
    for (const auto& each : make_commands()) {
        list.push_back(usage_json(each->usage()));
    }
    return list;
}

class help_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"help", "[COMMAND]", "shows all commands, or the usage of one", {"help apply"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.empty()) {
            context.out.show(overview(), {{"commands", all_json()}});
            return exit_code::ok;
        }
        for (const auto& each : make_commands()) {
            const command_usage found = each->usage();
            if (found.name == arguments[0]) {
                context.out.show(details(found), usage_json(found));
                return exit_code::ok;
            }
        }
        return report_usage(*this, context);
    }
};

} // namespace

command_ptr make_help_command()
{
    return std::make_unique<help_command>();
}

} // namespace pearhaven::control
