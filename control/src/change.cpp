#include "change.hpp"

#include "conflict_report.hpp"
#include "fleet_wait.hpp"
#include "object_difference.hpp"

#include "pearhaven/adapters/authenticator.hpp"
#include "pearhaven/adapters/configuration_codec.hpp"

#include <algorithm>

namespace pearhaven::control {

namespace {

using adapters::configuration_fault;
using coordination::config_edit;
using coordination::config_object;
using coordination::config_state;
using coordination::config_write_done;
using nlohmann::json;

constexpr std::chrono::milliseconds default_wait_timeout{30'000};

std::vector<config_object> objects_after(const config_state& state,
                                         const std::vector<object_change>& changes)
{
    std::vector<config_object> objects = state.objects();
    for (const auto& change : changes) {
        objects.push_back(change.after);
    }
    return config_state(state.revision(), objects).objects();
}

// Returns the faulty references that the change would introduce. Faults that existed before it are
// left out, so that they do not block an unrelated repair.
std::vector<configuration_fault> new_reference_faults(const config_state& state,
                                                      const std::vector<object_change>& changes)
{
    const auto before = adapters::check_references(state.objects());
    auto after = adapters::check_references(objects_after(state, changes));
    const auto existed_before = [&before](const configuration_fault& fault) {
        return std::find(before.begin(), before.end(), fault) != before.end();
    };
    after.erase(std::remove_if(after.begin(), after.end(), existed_before), after.end());
    return after;
}

json change_json(const object_change& change)
{
    return {{"kind", change.after.kind}, {"name", change.after.name}, {"change", change.verb()}};
}

std::string change_text(const object_change& change)
{
    return "  " + object_text(change.after.kind, change.after.name) + " " + change.verb() + "\n";
}

// Writes one change, explains a rejection, and waits for the routers to apply it.
class change_in_progress {
public:
    change_in_progress(command_context& current_context, const loaded_configuration& loaded,
                       std::vector<object_change> wanted)
        : context(current_context), seen(loaded), changes(std::move(wanted)),
          revision(loaded.head.revision)
    {
        this->result["changed"] = json::array();
    }

    exit_code run()
    {
        if (this->changes.empty()) {
            this->text = "nothing changed: revision " + std::to_string(this->revision) +
                         " holds all of it already\n";
        } else {
            const exit_code written = this->write();
            if (written != exit_code::ok) {
                return written;
            }
        }
        this->result["revision"] = this->revision;
        const exit_code exit_status = this->context.settings.wait ? this->wait() : exit_code::ok;
        this->context.out.show(this->text, this->result);
        return exit_status;
    }

private:
    exit_code write()
    {
        const config_edit edit = this->make_edit();
        const config_write_done done = this->context.store.write(edit);
        if (done.error == control_error::conflict) {
            return report_conflict(this->context, edit, done);
        }
        if (done.error == control_error::outcome_unknown) {
            return this->report_unknown_outcome(edit);
        }
        if (done.error) {
            const exit_code exit_status = report_error(this->context, done.error);
            this->context.out.print_diagnostic("Nothing was changed.");
            return exit_status;
        }
        this->revision = done.revision;
        this->text = "accepted as revision " + std::to_string(this->revision) + ":\n";
        for (const auto& change : this->changes) {
            this->text += change_text(change);
            this->result["changed"].push_back(change_json(change));
        }
        this->check_references_after_write();
        return exit_code::ok;
    }

    [[nodiscard]] config_edit make_edit() const
    {
        config_edit edit;
        edit.write_id = adapters::random_identifier();
        edit.author = this->context.settings.author;
        edit.unix_ms = this->context.clock.unix_ms();
        edit.seen_revision = this->context.settings.base.value_or(this->seen.head.revision);
        for (const auto& change : this->changes) {
            edit.objects.push_back(change.after);
        }
        return edit;
    }

    // A concurrent change of other objects may have been accepted since the configuration was read.
    // Each change is valid by itself, but together they can leave a dangling reference. The change
    // has been accepted already, so it is not undone: a warning is printed.
    void check_references_after_write()
    {
        if (this->revision == this->seen.head.revision + 1) {
            return;
        }
        const auto current = this->context.store.load();
        if (current.error) {
            return;
        }
        for (const auto& fault : adapters::check_references(current.state->objects())) {
            this->context.out.print_diagnostic("warning: " + adapters::to_string(fault));
        }
    }

    exit_code report_unknown_outcome(const config_edit& edit)
    {
        const exit_code exit_status = report_error(this->context, control_error::outcome_unknown);
        this->context.out.print_diagnostic(
            "Run the same command again when the service is reachable: it reports that nothing "
            "changed if this change was accepted. The history lists this change as write " +
            edit.write_id + ".");
        this->context.out.show("", {{"error", "outcome_unknown"}, {"write_id", edit.write_id}});
        return exit_status;
    }

    exit_code wait()
    {
        const auto timeout = this->context.settings.timeout.value_or(default_wait_timeout);
        const auto waited = wait_for_fleet(this->context, this->revision, timeout);
        this->result["in_force"] = waited.applied;
        this->result["routers"] = waited.routers;
        this->result["lagging"] = json::array();
        if (waited.applied) {
            this->text += "in force on every live router, of which there are " +
                          std::to_string(waited.routers) + "\n";
            return exit_code::ok;
        }
        this->context.out.print_diagnostic("not known to be in force everywhere after " +
                                           std::to_string(timeout.count()) + " ms:");
        if (!waited.problem.empty()) {
            this->context.out.print_diagnostic("  the routers cannot be listed: " + waited.problem);
        }
        for (const auto& lagging : waited.lagging) {
            this->report_lagging_router(lagging);
        }
        return exit_code::not_applied_everywhere;
    }

    void report_lagging_router(const lagging_router& lagging)
    {
        const auto& router = lagging.router;
        const std::string address = router.host + ":" + std::to_string(router.operator_port);
        this->context.out.print_diagnostic("  router " + router.id + " (" + address + ", " +
                                           router.zone + "): " + lagging.reason);
        this->result["lagging"].push_back({{"incarnation", router.id},
                                           {"address", address},
                                           {"zone", router.zone},
                                           {"reason", lagging.reason}});
    }

    command_context& context;
    const loaded_configuration& seen;
    std::vector<object_change> changes;
    std::uint64_t revision;
    std::string text;
    json result = json::object();
};

} // namespace

std::string object_change::verb() const
{
    if (this->after.body.empty()) {
        return "deleted";
    }
    return this->before.body.empty() ? "created" : "changed";
}

std::vector<object_change> find_changes(const config_state& state,
                                        const std::vector<config_object>& wanted)
{
    std::vector<object_change> changes;
    for (const auto& object : wanted) {
        const config_object* const current = state.find(object.kind, object.name);
        const config_object before =
            current == nullptr ? config_object{object.kind, object.name, ""} : *current;
        if (before.body != object.body) {
            changes.push_back({before, object});
        }
    }
    return changes;
}

bool has_valid_wait_settings(command_context& context)
{
    if (context.settings.wait && context.settings.operator_key.empty()) {
        context.out.print_diagnostic(
            "--wait queries the routers and needs the operator key: found none, "
            "allowed is --operator_key_file or PEARHAVENCTL_OPERATOR_KEY");
        return false;
    }
    return true;
}

exit_code submit_change(command_context& context, const loaded_configuration& seen,
                        const std::vector<config_object>& wanted)
{
    auto changes = find_changes(*seen.state, wanted);
    const auto faults = new_reference_faults(*seen.state, changes);
    for (const auto& fault : faults) {
        context.out.print_diagnostic(adapters::to_string(fault));
    }
    if (!faults.empty()) {
        return exit_code::usage;
    }
    return change_in_progress(context, seen, std::move(changes)).run();
}

} // namespace pearhaven::control
