#include "command.hpp"
#include "recorded_change.hpp"

#include <algorithm>

namespace pearhaven::control {

namespace {

using coordination::config_change;

constexpr decision::duration longest_watch = std::chrono::seconds{10};
constexpr decision::duration outage_pause = std::chrono::seconds{1};

// Follows the head and shows each change once, in order.
class change_follower {
public:
    explicit change_follower(command_context& surroundings) : context(surroundings) {}

    exit_code run()
    {
        const auto start = this->context.store.load();
        if (start.error) {
            return refuse(this->context, start.error);
        }
        this->shown = this->context.settings.base.value_or(start.head.revision);
        this->show_changes(start);
        while (const auto wait = this->time_left()) {
            this->follow(*wait);
        }
        return exit_code::ok;
    }

private:
    void follow(decision::duration wait)
    {
        const auto outcome = this->context.store.watch(this->head_at, wait);
        if (outcome == configuration_store::watch_outcome::quiet) {
            this->note_reachable(true);
            return;
        }
        if (outcome == configuration_store::watch_outcome::changed) {
            const auto now = this->context.store.load();
            if (!now.error) {
                this->note_reachable(true);
                this->show_changes(now);
                return;
            }
        }
        this->note_reachable(false);
        this->context.clock.sleep(std::min(wait, outage_pause));
    }

    // Nothing when the time is up.
    [[nodiscard]] std::optional<decision::duration> time_left() const
    {
        if (!this->context.settings.timeout) {
            return longest_watch;
        }
        const auto end = this->begin + *this->context.settings.timeout;
        const auto now = this->context.clock.now();
        if (now >= end) {
            return std::nullopt;
        }
        return std::min(longest_watch, end - now);
    }

    // Said once each way, not at each try.
    void note_reachable(bool now_reachable)
    {
        if (now_reachable != this->reachable) {
            this->context.out.complain(
                now_reachable ? "the key-value service answers again"
                              : "the key-value service cannot be reached; going on trying");
        }
        this->reachable = now_reachable;
    }

    void show_changes(const loaded_configuration& now)
    {
        this->head_at = now.head_at;
        const auto& changes = now.head.changes;
        if (!changes.empty() && changes.front().revision > this->shown + 1) {
            this->context.out.complain("changes before revision " +
                                       std::to_string(changes.front().revision) +
                                       " are no longer recorded");
        }
        for (const auto& change : changes) {
            if (change.revision > this->shown) {
                this->show(change);
            }
        }
        this->shown = std::max(this->shown, now.head.revision);
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
    decision::instant begin = context.clock.now();
    std::uint64_t shown = 0;
    coordination::store_revision head_at = 0;
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
            return refuse_usage(*this, context);
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
