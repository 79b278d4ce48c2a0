#ifndef PEARHAVEN_DECISION_FAIR_QUEUE_HPP
#define PEARHAVEN_DECISION_FAIR_QUEUE_HPP

#include "pearhaven/decision/time.hpp"
#include "pearhaven/decision/work.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::decision {

// Identifies a queued request within one queue.
using ticket_number = std::uint64_t;

// A request that waits for an endpoint.
struct queue_entry {
    ticket_number ticket = 0;
    std::string team;
    double weight = 1.0; // relative share of the team; the newest entry's weight applies
    work_class kind = work_class::lookup;
    std::uint32_t priority = 0; // among the team's own entries of a class; 0 is the most urgent
    double work = 0.0;          // as work_estimate::tokens
    instant deadline{};

    friend bool operator==(const queue_entry&, const queue_entry&) = default;
};

struct fair_queue_settings {
    std::size_t max_entries = 4096;
    std::size_t max_entries_per_team = 1024;

    // Part of a team's share that its lookups may take ahead of its readings.
    double lookup_share = 0.5;
    std::size_t scan_depth = 4;    // entries per team and class offered to `can_start` in one pop
    double max_credit = 100'000.0; // work per weight that a team may catch up after it was blocked
};

// Start-time fair queueing by team over estimated work. Among teams that are always backlogged, the
// dispatched work follows their weights regardless of how much each one sends. A waiting team does
// not lose its turn to one whose entries cannot start. Within a team, lookups go ahead of readings
// up to their share, so that neither starves. Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings);
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue();

    // Returns false if the queue or the team's quota is full, or the ticket is already queued.
    bool push(queue_entry entry);

    // Removes and returns the first entry in fair order for which `can_start` holds. Entries that
    // cannot start are skipped, at most `scan_depth` for each waiting team and class. Each returned
    // entry must be settled once.
    std::optional<queue_entry> pop(const std::function<bool(const queue_entry&)>& can_start);

    // Removes a queued entry; returns false if it is not queued.
    bool remove(ticket_number ticket);

    // Corrects the team's account once the actual work of a dispatched entry is known. `actual` is
    // 0 if it did not run.
    void settle(const std::string& team, double estimated, double actual);

    // Removes and returns the entries whose deadline is at or before `now`.
    std::vector<queue_entry> expire(instant now);

    // The earliest deadline among the queued entries.
    [[nodiscard]] std::optional<instant> next_deadline() const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(const std::string& team) const;
    [[nodiscard]] double queued_work() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::decision

#endif
