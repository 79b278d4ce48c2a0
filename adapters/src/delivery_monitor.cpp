#include "delivery_monitor.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::adapters {

namespace {

// Fractions of the timeout. While the peer acknowledges bytes or probes, the timeout is ahead by
// itself, so that this process may stand still for as long: the system goes by the timeout alone. A
// peer that disappears while it reads nothing is detected after about twice the timeout: the system
// probes as late as the timeout allows, and a shorter one does not bring forward the check that
// follows. One that has read slowly before may be detected later, by the time for which it did.
constexpr int checks_per_timeout = 4;
constexpr int checks_per_timeout_while_outstanding = 10;
constexpr double step_part = 0.4;

} // namespace

void delivery_monitor::on_written(int socket, decision::instant now)
{
    if (!this->observing) {
        this->observing = true;
        this->last_check = now;
        this->stall_start = now;
        this->wait_start = now;
        this->next_check = now + this->timeout / checks_per_timeout;
        this->set_timeout(socket, this->timeout);
    }
}

bool delivery_monitor::check(int socket, decision::instant now)
{
    if (this->current_timeout == decision::duration()) {
        this->set_timeout(socket, this->timeout);
    }
    const auto delivery = delivery_of(socket);
    const auto acknowledged = delivery ? delivery->acknowledged_bytes : 0;
    const bool progressed = acknowledged != this->acknowledged_bytes;
    this->acknowledged_bytes = acknowledged;
    this->waiting = delivery && delivery->outstanding;
    this->observing = this->waiting;
    // The bytes that were acknowledged may have been so right after the last check.
    const auto earlier_check = std::exchange(this->last_check, now);
    this->stall_start = progressed ? earlier_check : this->stall_start;
    this->stall = this->waiting && !progressed ? now - this->stall_start : decision::duration();
    this->next_check = now + this->timeout / checks_per_timeout_while_outstanding;
    const auto step = std::chrono::ceil<std::chrono::milliseconds>(this->timeout * step_part);
    // The system counts from when the peer's window first closed, also when it has opened a little
    // since.
    const auto waited = std::chrono::ceil<std::chrono::milliseconds>(now - this->wait_start);
    if (!this->waiting) {
        this->set_timeout(socket, delivery ? idle_timeout(this->timeout) : this->timeout);
    } else if (delivery->awaits_reader) {
        this->set_timeout(socket, waited + this->timeout);
    } else if (delivery->silence < step) {
        this->set_timeout(socket,
                          std::max(this->timeout, waited - delivery->silence + this->timeout));
    } else if (delivery->in_flight) {
        this->set_timeout(socket, this->timeout);
    } else {
        this->set_timeout(socket, std::min(this->current_timeout, waited + step));
    }
    return progressed;
}

void delivery_monitor::set_timeout(int socket, std::chrono::milliseconds chosen)
{
    if (socket >= 0 && chosen != this->current_timeout) {
        this->current_timeout = chosen;
        set_unacknowledged_timeout(socket, chosen);
    }
}

} // namespace pearhaven::adapters
