#include "pearhaven/decision/lost_runs.hpp"

#include <algorithm>

namespace pearhaven::decision {

void lost_run_table::on_lost_run(const lost_run& lost, instant now)
{
    this->make_room(now);
    auto& runs = this->records[lost.fingerprint];
    std::erase_if(runs, [now](const counted_run& run) { return run.expires <= now; });
    const bool is_known = std::any_of(runs.begin(), runs.end(), [&lost](const counted_run& run) {
        return run.address == lost.address && run.incarnation == lost.incarnation;
    });
    const auto separation = std::max(this->settings.min_separation, lost.ran_for / 2);
    const bool overlaps = !runs.empty() && now - runs.back().lost_at < separation;
    if (is_known || overlaps) {
        return;
    }
    // Older runs add nothing to the quarantine.
    if (runs.size() >= this->settings.max_lost_runs) {
        runs.erase(runs.begin());
    }
    const auto lifetime = this->ends.contains(lost.address, lost.incarnation)
                              ? this->settings.confirmed_lifetime
                              : this->settings.unconfirmed_lifetime;
    runs.push_back({lost.address, lost.incarnation, now, now + lifetime});
}

void lost_run_table::on_incarnation_end(const std::string& address, std::uint64_t incarnation,
                                        instant now)
{
    this->ends.add(address, incarnation, now);
    for (auto& [fingerprint, runs] : this->records) {
        for (auto& run : runs) {
            if (run.address == address && run.incarnation == incarnation && run.expires > now) {
                run.expires = now + this->settings.confirmed_lifetime;
            }
        }
    }
}

bool lost_run_table::on_finished(std::uint64_t fingerprint)
{
    return this->records.erase(fingerprint) > 0;
}

std::optional<instant> lost_run_table::quarantined_until(std::uint64_t fingerprint,
                                                         instant now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || found->second.size() < this->settings.max_lost_runs) {
        return std::nullopt;
    }
    const auto& runs = found->second;
    const auto first =
        std::min_element(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
            return left.expires < right.expires;
        });
    return first->expires > now ? std::make_optional(first->expires) : std::nullopt;
}

std::vector<std::uint64_t> lost_run_table::quarantined(instant now) const
{
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, runs] : this->records) {
        if (this->quarantined_until(fingerprint, now)) {
            found.push_back(fingerprint);
        }
    }
    return found;
}

// A full table first loses what has expired, then the request whose last run expires first.
void lost_run_table::make_room(instant now)
{
    if (this->records.size() < this->settings.max_requests) {
        return;
    }
    const auto last_expiry = [](const record& runs) {
        instant last = instant::min();
        for (const auto& run : runs) {
            last = std::max(last, run.expires);
        }
        return last;
    };
    std::erase_if(this->records,
                  [&](const auto& entry) { return last_expiry(entry.second) <= now; });
    if (this->records.size() >= this->settings.max_requests) {
        this->records.erase(std::min_element(
            this->records.begin(), this->records.end(), [&](const auto& left, const auto& right) {
                return last_expiry(left.second) < last_expiry(right.second);
            }));
    }
}

} // namespace pearhaven::decision
