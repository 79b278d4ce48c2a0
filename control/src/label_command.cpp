#include "change.hpp"
#include "object_lookup.hpp"

#include <map>

namespace pearhaven::control {

namespace {

using nlohmann::json;

// Labels to set, and labels to remove (those without a value).
using label_edits = std::map<std::string, std::optional<std::string>>;

// Returns nothing when an argument is neither NAME=VALUE nor NAME-, or when a label occurs twice.
std::optional<label_edits> read_edits(const std::vector<std::string>& arguments)
{
    label_edits edits;
    for (std::size_t index = 2; index < arguments.size(); ++index) {
        const std::string& argument = arguments[index];
        const auto equals = argument.find('=');
        bool inserted = false;
        if (equals != std::string::npos && equals > 0) {
            inserted =
                edits.emplace(argument.substr(0, equals), argument.substr(equals + 1)).second;
        } else if (argument.size() > 1 && argument.back() == '-') {
            inserted = edits.emplace(argument.substr(0, argument.size() - 1), std::nullopt).second;
        }
        if (!inserted) {
            return std::nullopt;
        }
    }
    return edits;
}

void edit_labels(json& body, const label_edits& edits)
{
    json& labels = body["labels"];
    for (const auto& [name, value] : edits) {
        if (value) {
            labels[name] = *value;
        } else if (labels.is_object()) {
            labels.erase(name);
        }
    }
}

class label_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {
            "label",
            "KIND NAME LABEL=VALUE... LABEL-... [--wait] [--timeout SECONDS] "
            "[--base REVISION]",
            "sets or removes labels of an object",
            {"label version adjudicator-2 channel=stable tried-", "label team deposits tier=gold"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.size() < 3) {
            return report_usage(*this, context);
        }
        const auto edits = read_edits(arguments);
        if (!edits) {
            return report_usage(*this, context);
        }
        if (!check_kind(context, arguments[0]) || !has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        const auto* const found = find_object(context, *seen.state, arguments[0], arguments[1]);
        if (found == nullptr) {
            return exit_code::failed;
        }
        const auto edited =
            edit_object(context, *found, [&edits](json& body) { edit_labels(body, *edits); });
        return edited ? submit_change(context, seen, {*edited}) : exit_code::usage;
    }
};

} // namespace

command_ptr make_label_command()
{
    return std::make_unique<label_command>();
}

} // namespace pearhaven::control
