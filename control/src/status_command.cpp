#include "command.hpp"
#include "fleet_wait.hpp"

namespace pearhaven::control {

namespace {

using coordination::member;
using nlohmann::json;

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

std::string operator_address(const member& router)
{
    return router.host + ":" + std::to_string(router.operator_port);
}

std::vector<std::string> row(const member& router, const router_status& status, bool recorded)
{
    if (!status.problem.empty()) {
        return {router.id,   operator_address(router),
                router.zone, yes_or_no(recorded),
                "?",         "?",
                "?",         "?",
                "?",         status.problem};
    }
    const std::string age =
        status.confirmed_age_ms ? std::to_string(*status.confirmed_age_ms) : "never";
    return {router.id,
            operator_address(router),
            router.zone,
            yes_or_no(recorded),
            std::to_string(status.revision),
            age,
            yes_or_no(status.ready),
            yes_or_no(status.draining),
            std::to_string(status.in_flight),
            ""};
}

json status_json(const member& router, const router_status& status, bool recorded)
{
    json value = {{"incarnation", router.id},
                  {"address", operator_address(router)},
                  {"zone", router.zone},
                  {"recorded", recorded}};
    if (!status.problem.empty()) {
        value["problem"] = status.problem;
        return value;
    }
    value["revision"] = status.revision;
    value["ready"] = status.ready;
    value["draining"] = status.draining;
    value["in_flight"] = status.in_flight;
    if (status.confirmed_age_ms) {
        value["confirmed_age_ms"] = *status.confirmed_age_ms;
    }
    return value;
}

// The routers' statuses as a table and as JSON.
struct status_report {
    text_table table{{"ROUTER", "ADDRESS", "ZONE", "RECORD", "REVISION", "AGE_MS", "READY",
                      "DRAINING", "IN_FLIGHT", "PROBLEM"}};
    json list = json::array();
    bool all_answered = true;

    void add(const std::vector<member>& routers, const std::vector<router_status>& statuses,
             bool recorded)
    {
        for (std::size_t index = 0; index < routers.size(); ++index) {
            this->table.add(row(routers[index], statuses[index], recorded));
            this->list.push_back(status_json(routers[index], statuses[index], recorded));
            this->all_answered = this->all_answered && statuses[index].problem.empty();
        }
    }
};

class status_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"status",
                "",
                "shows the configuration's revision and the status of each live router",
                {"status", "status --output json"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (!context.settings.arguments.empty()) {
            return report_usage(*this, context);
        }
        if (context.settings.operator_key.empty()) {
            context.out.print_diagnostic(
                "querying the routers needs the operator key: found none, allowed "
                "is --operator_key_file or PEARHAVENCTL_OPERATOR_KEY");
            return exit_code::usage;
        }
        const auto seen = context.store.load();
        const auto listed = context.store.members();
        if (seen.error || listed.error) {
            return report_error(context, seen.error ? seen.error : listed.error);
        }
        return show(context, seen.head.revision, listed.members);
    }

private:
    static exit_code show(command_context& context, std::uint64_t revision,
                          const std::vector<member>& listed)
    {
        status_report report;
        const auto statuses = context.routers.query_status(listed);
        report.add(listed, statuses, true);
        const auto unlisted = unlisted_members(listed, statuses);
        report.add(unlisted, context.routers.query_status(unlisted), false);
        context.out.show("revision " + std::to_string(revision) + "\n" + report.table.text(),
                         {{"revision", revision}, {"routers", report.list}});
        return report.all_answered ? exit_code::ok : exit_code::failed;
    }
};

} // namespace

command_ptr make_status_command()
{
    return std::make_unique<status_command>();
}

} // namespace pearhaven::control
