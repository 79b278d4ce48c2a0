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

// Names a queued request within one queue.
using ticket_number = std::uint64_t;

// A request that waits for an endpoint.
struct queue_entry {
    ticket_number ticket = 0;
    std::string team;
    double weight = 1.0; // the team's share relative to the other teams; the newest entry's holds
    work_class kind = work_class::lookup;
    std::uint32_t priority = 0; // among the team's own entries of a class; 0 is most urgent
    double work = 0.0;          // as work_estimate::tokens
    instant deadline{};

    friend bool operator==(const queue_entry&, const queue_entry&) = default;
};

struct fair_queue_settings {
    std::size_t max_entries = 4096;
    std::size_t max_entries_per_team = 1024;
    double lookup_share = 0.5;     // of a team's share that its lookups may take ahead of readings
    std::size_t scan_depth = 4;    // entries of a team and class offered to `can_start` in one pop
    double max_credit = 100'000.0; // work, per weight, that a team may catch up after being held up
};

// Start-time fair queueing by team over estimated work. Among teams that always wait, the work
// handed out follows their weights, however much each sends; a team that waits is never passed
// over by one whose entries could not start. Within a team lookups go ahead of readings up to
// their share, so that neither starves. One thread uses a queue at a time.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings);
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue();

    // False when the queue or the team's part of it is full, or the ticket already waits.
    bool push(queue_entry entry);

    // Takes out the entry that is due first among those for which `can_start` holds. Entries that
    // cannot start are passed over: at most `scan_depth` for each waiting team and class. Each
    // entry handed out is to be settled once.
    std::optional<queue_entry> pop(const std::function<bool(const queue_entry&)>& can_start);

    // Takes out a waiting entry; false when it does not wait.
    bool remove(ticket_number ticket);

    // Corrects the team's account once the real work of an entry handed out is known. For one that
    // did not run, `actual` is 0.
    void settle(const std::string& team, double estimated, double actual);

    // Takes out the entries whose deadline is at or before `now`.
    std::vector<queue_entry> expire(instant now);

    // The earliest deadline among the waiting entries.
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
