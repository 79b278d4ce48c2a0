#include "newest_statement.hpp"

namespace pearhaven::decision {

namespace {

// How long peers are told that a limit has ended. It takes a few reports to reach all routers.
constexpr duration end_report_time = std::chrono::seconds(10);

// A statement that returns from a peer seems newer than it is by the time for which it was under
// way. Newer ones of the same limit are ignored up to that time, or it would never age.
constexpr duration max_report_delay = std::chrono::milliseconds(500);

} // namespace

bool newest_statement::on_answer(std::optional<double> stated, instant sent, instant now)
{
    // An answer without a limit may be older than one with a limit that arrived before it, but not
    // than its own request.
    const auto made_at = stated ? now : sent;
    if (made_at <= this->stated_at || (!stated && !this->current)) {
        return false;
    }
    this->stated_at = made_at;
    this->current = stated;
    return true;
}

bool newest_statement::on_peer(std::optional<double> stated, instant made_at)
{
    const auto newest =
        stated == this->current ? this->stated_at + max_report_delay : this->stated_at;
    if (made_at <= newest || (!stated && !this->current)) {
        return false;
    }
    this->stated_at = made_at;
    this->current = stated;
    return true;
}

std::optional<limit_report> newest_statement::report(instant now) const
{
    const bool is_known = this->stated_at != instant{};
    if (!is_known || (!this->current && now - this->stated_at > end_report_time)) {
        return std::nullopt;
    }
    return limit_report{this->current, now - this->stated_at};
}

} // namespace pearhaven::decision
