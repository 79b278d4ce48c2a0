#include "change.hpp"
#include "object_files.hpp"

namespace pearhaven::control {

namespace {

class apply_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"apply",
                "-f FILE... [--wait] [--timeout SECONDS] [--base REVISION]",
                "creates or updates the objects in the files, as one change",
                {"apply -f teams.yaml -f pools.yaml --wait", "apply -f - --base 41 < teams.yaml"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (context.settings.files.empty()) {
            return report_usage(*this, context);
        }
        const auto wanted = read_object_files(context);
        if (!wanted || !has_valid_wait_settings(context)) {
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        return seen.error ? report_error(context, seen.error)
                          : submit_change(context, seen, *wanted);
    }
};

} // namespace

command_ptr make_apply_command()
{
    return std::make_unique<apply_command>();
}

} // namespace pearhaven::control
