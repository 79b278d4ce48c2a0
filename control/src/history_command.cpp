#include "command.hpp"
#include "recorded_change.hpp"

namespace pearhaven::control {

namespace {

class history_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"history",
                "",
                "shows the recent changes: who changed what, and when",
                {"history", "history --output json"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (!context.settings.arguments.empty()) {
            return report_usage(*this, context);
        }
        const auto seen = context.store.load();
        if (seen.error) {
            return report_error(context, seen.error);
        }
        text_table table(recorded_change_heading());
        auto changes = nlohmann::json::array();
        for (const auto& change : seen.head.changes) {
            table.add(recorded_change_row(change));
            changes.push_back(recorded_change_json(change));
        }
        context.out.show(table.text(), {{"revision", seen.head.revision},
                                        {"snapshot_revision", seen.head.snapshot_revision},
                                        {"changes", std::move(changes)}});
        return exit_code::ok;
    }
};

} // namespace

command_ptr make_history_command()
{
    return std::make_unique<history_command>();
}

} // namespace pearhaven::control
