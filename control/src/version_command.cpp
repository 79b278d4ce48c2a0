#include "change.hpp"
#include "object_lookup.hpp"

namespace pearhaven::control {

namespace {

class version_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"version",
                "withdraw NAME [--wait] [--timeout SECONDS] [--base REVISION]",
                "withdraws a version: it gets no new work",
                {"version withdraw adjudicator-2 --wait"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.size() != 2 || arguments[0] != "withdraw") {
            return report_usage(*this, context);
        }
        if (!has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        const auto* const found = find_object(context, *seen.state, "version", arguments[1]);
        if (found == nullptr) {
            return exit_code::failed;
        }
        const auto edited = edit_object(
            context, *found, [](nlohmann::json& body) { body["spec"]["withdrawn"] = true; });
        return edited ? submit_change(context, seen, {*edited}) : exit_code::failed;
    }
};

} // namespace

command_ptr make_version_command()
{
    return std::make_unique<version_command>();
}

} // namespace pearhaven::control
