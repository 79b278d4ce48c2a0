#include "conflict_report.hpp"

#include "object_difference.hpp"

namespace pearhaven::control {

namespace {

using coordination::config_conflict;
using coordination::config_edit;
using coordination::config_object;
using nlohmann::json;

// Keeps the last conflict of each object. Conflicts of one object are adjacent and ordered by
// revision.
std::vector<config_conflict> latest_per_object(const std::vector<config_conflict>& all)
{
    std::vector<config_conflict> latest;
    for (const auto& conflict : all) {
        if (!latest.empty() && latest.back().kind == conflict.kind &&
            latest.back().name == conflict.name) {
            latest.back() = conflict;
        } else {
            latest.push_back(conflict);
        }
    }
    return latest;
}

std::string wanted_body(const config_edit& edit, const config_conflict& conflict)
{
    for (const auto& object : edit.objects) {
        if (object.kind == conflict.kind && object.name == conflict.name) {
            return object.body;
        }
    }
    return {};
}

void print_conflict(command_context& context, const config_edit& edit,
                    const config_conflict& conflict)
{
    context.out.print_diagnostic(
        "conflict: " + object_text(conflict.kind, conflict.name) + " was changed by " +
        conflict.author + " at " + utc_text(conflict.unix_ms) + ", in revision " +
        std::to_string(conflict.revision) + ", after revision " +
        std::to_string(edit.seen_revision) + " that this change is based on");
}

json conflict_json(const config_edit& edit, const config_conflict& conflict)
{
    return {{"kind", conflict.kind},
            {"name", conflict.name},
            {"revision", conflict.revision},
            {"author", conflict.author},
            {"unix_ms", conflict.unix_ms},
            {"base", edit.seen_revision},
            {"yours", object_json({conflict.kind, conflict.name, wanted_body(edit, conflict)})}};
}

void print_differences(command_context& context, const std::string& theirs,
                       const std::string& yours)
{
    for (const auto& difference : differences(theirs, yours)) {
        context.out.print_diagnostic("  " + difference.path + ": theirs " +
                                     value_text(difference.before) + ", yours " +
                                     value_text(difference.after));
    }
}

} // namespace

exit_code report_conflict(command_context& context, const config_edit& edit,
                          const coordination::config_write_done& refused)
{
    const auto current = context.store.load();
    json conflicts = json::array();
    for (const auto& conflict : latest_per_object(refused.conflicts)) {
        print_conflict(context, edit, conflict);
        json explained = conflict_json(edit, conflict);
        if (!current.error) {
            const config_object* const theirs = current.state->find(conflict.kind, conflict.name);
            const std::string body = theirs == nullptr ? "" : theirs->body;
            explained["theirs"] = object_json({conflict.kind, conflict.name, body});
            print_differences(context, body, wanted_body(edit, conflict));
        }
        conflicts.push_back(std::move(explained));
    }
    context.out.print_diagnostic(
        "Nothing was changed. Check the objects (pearhavenctl get) and run the "
        "command again.");
    context.out.show("", {{"error", "conflict"}, {"conflicts", std::move(conflicts)}});
    return exit_code::conflict;
}

} // namespace pearhaven::control
