#include "command.hpp"

#include <map>
#include <sstream>
#include <utility>

namespace pearhaven::control {

namespace {

using coordination::bill;
using nlohmann::json;

// Totals of the bills of one team for one version.
struct bill_total {
    std::uint64_t requests = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::uint64_t spent_tokens = 0;
    double cost = 0.0;

    void add(const bill& entry)
    {
        ++this->requests;
        this->prompt_tokens += entry.prompt_tokens;
        this->completion_tokens += entry.completion_tokens;
        this->spent_tokens += entry.spent_tokens;
        this->cost += entry.cost;
    }
};

using team_and_version = std::pair<std::string, std::string>;

std::string cost_text(double cost)
{
    std::ostringstream text;
    text << cost;
    return text.str();
}

json bill_json(const bill& entry)
{
    return {{"request", entry.request},
            {"team", entry.team},
            {"version", entry.version},
            {"endpoint", entry.endpoint},
            {"prompt_tokens", entry.prompt_tokens},
            {"completion_tokens", entry.completion_tokens},
            {"spent_tokens", entry.spent_tokens},
            {"cost", entry.cost}};
}

json total_json(const team_and_version& key, const bill_total& total)
{
    return {{"team", key.first},
            {"version", key.second},
            {"requests", total.requests},
            {"prompt_tokens", total.prompt_tokens},
            {"completion_tokens", total.completion_tokens},
            {"spent_tokens", total.spent_tokens},
            {"cost", total.cost}};
}

std::vector<std::string> total_row(const team_and_version& key, const bill_total& total)
{
    return {key.first,
            key.second,
            std::to_string(total.requests),
            std::to_string(total.prompt_tokens),
            std::to_string(total.completion_tokens),
            std::to_string(total.spent_tokens),
            cost_text(total.cost)};
}

class bills_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"bills",
                "[--team TEAM]",
                "shows what was billed, each request once; with --output json, each request",
                {"bills", "bills --team deposits --output json"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (!context.settings.arguments.empty()) {
            return report_usage(*this, context);
        }
        const auto loaded = context.store.bills();
        if (loaded.error) {
            return report_error(context, loaded.error);
        }
        show(context, loaded);
        if (loaded.unreadable_pages > 0) {
            context.out.print_diagnostic(std::to_string(loaded.unreadable_pages) +
                                         " pages of bills cannot be read and are not counted");
            return exit_code::failed;
        }
        return exit_code::ok;
    }

private:
    static void show(command_context& context, const loaded_bills& loaded)
    {
        std::map<team_and_version, bill_total> totals;
        json bills = json::array();
        for (const auto& [request, entry] : coordination::fold_bills(loaded.bills)) {
            if (context.settings.team.empty() || entry.team == context.settings.team) {
                totals[{entry.team, entry.version}].add(entry);
                bills.push_back(bill_json(entry));
            }
        }
        text_table table({"TEAM", "VERSION", "REQUESTS", "PROMPT", "COMPLETION", "SPENT", "COST"});
        json total_list = json::array();
        for (const auto& [key, total] : totals) {
            table.add(total_row(key, total));
            total_list.push_back(total_json(key, total));
        }
        context.out.show(table.text(),
                         {{"bills", std::move(bills)}, {"totals", std::move(total_list)}});
    }
};

} // namespace

command_ptr make_bills_command()
{
    return std::make_unique<bills_command>();
}

} // namespace pearhaven::control
