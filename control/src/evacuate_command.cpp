#include "change.hpp"
#include "object_difference.hpp"
#include "object_lookup.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"

namespace pearhaven::control {

namespace {

using coordination::config_object;
using nlohmann::json;

constexpr const char* evacuation_kind = "evacuation";

json spec_of(const config_object& object)
{
    return object_json(object).value("spec", json::object());
}

void show_evacuations(command_context& context, const loaded_configuration& seen)
{
    text_table table({"ZONE", "SINCE", "BY"});
    json list = json::array();
    for (const auto& object : seen.state->objects()) {
        if (object.kind != evacuation_kind) {
            continue;
        }
        const auto spec = spec_of(object);
        const auto unix_ms = spec.value("unix_ms", std::uint64_t{0});
        const auto by = spec.value("by", std::string());
        table.add({object.name, unix_ms == 0 ? "unknown" : utc_text(unix_ms), by});
        list.push_back({{"zone", object.name}, {"unix_ms", unix_ms}, {"by", by}});
    }
    context.out.show(table.text(),
                     {{"revision", seen.head.revision}, {"evacuations", std::move(list)}});
}

class evacuate_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"evacuate",
                "[ZONE] [--wait] [--timeout SECONDS] [--base REVISION]",
                "stops new requests to a zone's endpoints, or lists the evacuated zones",
                {"evacuate", "evacuate osu --wait", "evacuate osu --author ama"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.size() > 1) {
            return report_usage(*this, context);
        }
        if (!arguments.empty() && !has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        if (arguments.empty()) {
            show_evacuations(context, seen);
            return exit_code::ok;
        }
        const auto* const found = seen.state->find(evacuation_kind, arguments[0]);
        return submit(context, seen,
                      found == nullptr ? new_evacuation(context, arguments[0]) : *found);
    }

private:
    static config_object new_evacuation(const command_context& context, const std::string& zone)
    {
        const json spec = {{"by", context.settings.author}, {"unix_ms", context.clock.unix_ms()}};
        return {evacuation_kind, zone, json{{"spec", spec}}.dump()};
    }

    static exit_code submit(command_context& context, const loaded_configuration& seen,
                            const config_object& wanted)
    {
        const auto faults = adapters::check_object(wanted);
        for (const auto& fault : faults) {
            context.out.print_diagnostic(adapters::to_string(fault));
        }
        return faults.empty() ? submit_change(context, seen, {wanted}) : exit_code::usage;
    }
};

class restore_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"restore",
                "ZONE [--wait] [--timeout SECONDS] [--base REVISION]",
                "ends the evacuation of a zone",
                {"restore osu --wait"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.size() != 1) {
            return report_usage(*this, context);
        }
        if (!has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        if (find_object(context, *seen.state, evacuation_kind, arguments[0]) == nullptr) {
            return exit_code::failed;
        }
        return submit_change(context, seen, {{evacuation_kind, arguments[0], ""}});
    }
};

} // namespace

command_ptr make_evacuate_command()
{
    return std::make_unique<evacuate_command>();
}

command_ptr make_restore_command()
{
    return std::make_unique<restore_command>();
}

} // namespace pearhaven::control
