#include "change.hpp"
#include "object_lookup.hpp"

namespace pearhaven::control {

namespace {

class delete_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"delete",
                "KIND NAME [--wait] [--timeout SECONDS] [--base REVISION]",
                "deletes an object from the configuration",
                {"delete rollout adjudicator --wait"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        const auto& arguments = context.settings.arguments;
        if (arguments.size() != 2) {
            return report_usage(*this, context);
        }
        if (!check_kind(context, arguments[0]) || !has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        if (find_object(context, *seen.state, arguments[0], arguments[1]) == nullptr) {
            return exit_code::failed;
        }
        return submit_change(context, seen, {{arguments[0], arguments[1], ""}});
    }
};

} // namespace

command_ptr make_delete_command()
{
    return std::make_unique<delete_command>();
}

} // namespace pearhaven::control
