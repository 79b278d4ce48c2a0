#include "pearhaven/decision/fair_queue.hpp"

#include <algorithm>
#include <list>

namespace pearhaven::decision {

class fair_queue::state {
public:
    fair_queue_settings settings;
    std::list<queue_entry> waiting;
};

fair_queue::fair_queue(fair_queue_settings settings) : inner(std::make_unique<fair_queue::state>())
{
    this->inner->settings = settings;
}

fair_queue::~fair_queue() = default;

bool fair_queue::push(queue_entry entry)
{
    if (this->size() >= this->inner->settings.max_entries ||
        this->size(entry.team) >= this->inner->settings.max_entries_per_team) {
        return false;
    }
    this->inner->waiting.push_back(std::move(entry));
    return true;
}

std::optional<queue_entry> fair_queue::pop(const std::function<bool(const queue_entry&)>& can_start)
{
    auto& waiting = this->inner->waiting;
    const auto found = std::find_if(waiting.begin(), waiting.end(), can_start);
    if (found == waiting.end()) {
        return std::nullopt;
    }
    queue_entry taken = std::move(*found);
    waiting.erase(found);
    return taken;
}

bool fair_queue::remove(ticket_number ticket)
{
    return this->inner->waiting.remove_if(
               [ticket](const auto& entry) { return entry.ticket == ticket; }) > 0;
}

void fair_queue::settle(const std::string& /*team*/, double /*estimated*/, double /*actual*/) {}

std::vector<queue_entry> fair_queue::expire(instant now)
{
    std::vector<queue_entry> late;
    for (const auto& entry : this->inner->waiting) {
        if (entry.deadline <= now) {
            late.push_back(entry);
        }
    }
    this->inner->waiting.remove_if([now](const auto& entry) { return entry.deadline <= now; });
    return late;
}

std::optional<instant> fair_queue::next_deadline() const
{
    std::optional<instant> earliest;
    for (const auto& entry : this->inner->waiting) {
        earliest = std::min(earliest.value_or(entry.deadline), entry.deadline);
    }
    return earliest;
}

std::size_t fair_queue::size() const
{
    return this->inner->waiting.size();
}

std::size_t fair_queue::size(const std::string& team) const
{
    const auto& waiting = this->inner->waiting;
    return static_cast<std::size_t>(std::count_if(
        waiting.begin(), waiting.end(), [&team](const auto& entry) { return entry.team == team; }));
}

double fair_queue::queued_work() const
{
    double total = 0.0;
    for (const auto& entry : this->inner->waiting) {
        total += entry.work;
    }
    return total;
}

} // namespace pearhaven::decision
