#include "command.hpp"
#include "recorded_change.hpp"

#include <algorithm>

namespace pearhaven::control {

namespace {

using coordination::config_change;

constexpr decision::duration max_watch_duration = std::chrono::seconds{10};
constexpr decision::duration outage_retry_delay = std::chrono::seconds{1};

// Watches the configuration head and shows each change once, in order.
class change_follower {
public:
    explicit change_follower(command_context& current_context) : context(current_context) {}

    exit_code run()
    {
        const auto start = this->context.store.load();
        if (start.error) {
            return report_error(this->context, start.error);
        }
        this->last_shown_revision = this->context.settings.base.value_or(start.head.revision);
        this->show_changes(start);
        while (const auto wait = this->time_left()) {
            this->wait_for_change(*wait);
        }
        return exit_code::ok;
    }

private:
    void wait_for_change(decision::duration wait)
    {
        const auto outcome = this->context.store.watch(this->head_store_revision, wait);
        if (outcome == configuration_store::watch_outcome::unchanged) {
            this->report_reachability(true);
            return;
        }
        if (outcome == configuration_store::watch_outcome::changed) {
            const auto current = this->context.store.load();
            if (!current.error) {
                this->report_reachability(true);
                this->show_changes(current);
                return;
            }
        }
        this->report_reachability(false);
        this->context.clock.sleep(std::min(wait, outage_retry_delay));
    }

    // Returns nothing when the timeout has passed.
    [[nodiscard]] std::optional<decision::duration> time_left() const
    {
        if (!this->context.settings.timeout) {
            return max_watch_duration;
        }
        const auto end = this->start_time + *this->context.settings.timeout;
        const auto now = this->context.clock.now();
        if (now >= end) {
            return std::nullopt;
        }
        return std::min(max_watch_duration, end - now);
    }

    // Prints a diagnostic only when the reachability changes, not at each retry.
    void report_reachability(bool now_reachable)
    {
        if (now_reachable != this->reachable) {
            this->context.out.print_diagnostic(
                now_reachable ? "the key-value service is reachable again"
                              : "the key-value service cannot be reached; retrying");
        }
        this->reachable = now_reachable;
    }

    void show_changes(const loaded_configuration& current)
    {
        this->head_store_revision = current.head_store_revision;
        const auto& changes = current.head.changes;
        if (!changes.empty() && changes.front().revision > this->last_shown_revision + 1) {
            this->context.out.print_diagnostic("changes before revision " +
                                               std::to_string(changes.front().revision) +
                                               " are no longer recorded");
        }
        for (const auto& change : changes) {
            if (change.revision > this->last_shown_revision) {
                this->show(change);
            }
        }
        this->last_shown_revision = std::max(this->last_shown_revision, current.head.revision);
    }

    void show(const config_change& change)
    {
        std::string line;
        for (const auto& cell : recorded_change_row(change)) {
            line += (line.empty() ? "" : "  ") + cell;
        }
        this->context.out.show(line + "\n", recorded_change_json(change));
    }

    command_context& context;
    decision::instant start_time = context.clock.now();
    std::uint64_t last_shown_revision = 0;
    coordination::store_revision head_store_revision = 0;
    bool reachable = true;
};

class watch_command : public command {
public:
    [[nodiscard]] command_usage usage() const override
    {
        return {"watch",
                "[--base REVISION] [--timeout SECONDS]",
                "shows each change as it is accepted, after the revision or from now on",
                {"watch", "watch --base 41 --timeout 60 --output json"}};
    }

    [[nodiscard]] exit_code run(command_context& context) const override
    {
        if (!context.settings.arguments.empty()) {
            return report_usage(*this, context);
        }
        return change_follower(context).run();
    }
};

} // namespace

command_ptr make_watch_command()
{
    return std::make_unique<watch_command>();
}

} // namespace pearhaven::control
