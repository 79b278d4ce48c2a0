#ifndef PEARHAVEN_ADAPTERS_SRC_DELIVERY_MONITOR_HPP
#define PEARHAVEN_ADAPTERS_SRC_DELIVERY_MONITOR_HPP

#include "tcp_socket.hpp"

#include "pearhaven/decision/time.hpp"

namespace pearhaven::adapters {

// Distinguishes a peer that reads slowly from one that is gone. The system's timeout for
// unacknowledged bytes also ends a connection whose peer acknowledges every probe but reads
// nothing, or little at a time. While probes are acknowledged, the monitor moves that timeout ahead
// in steps, so that the system keeps probing and still detects a peer that disappears. Once
// bytes are acknowledged again, the configured timeout is restored. While nothing is outstanding,
// `idle_timeout` applies, so that a lost probe does not end the connection. Where the system tells
// nothing about its connections, no timeout is extended.
class delivery_monitor {
public:
    // At least 1.5 s, because a host acknowledges no more than two probes a second. Until the first
    // write the socket must have the `idle_timeout`.
    explicit delivery_monitor(std::chrono::milliseconds unacknowledged_timeout)
        : timeout(unacknowledged_timeout)
    {}

    // Must be called after each write. The socket may be negative if it is not known yet.
    void on_written(int socket, decision::instant now);

    // Whether a check is due. Checks that are later than the timeout risk the connection of a slow
    // peer.
    [[nodiscard]] bool is_due(decision::instant now) const
    {
        return this->observing && now >= this->next_check;
    }

    // When the next check is due, unless `is_delivered`.
    [[nodiscard]] decision::instant next() const { return this->next_check; }

    // Returns whether bytes were acknowledged since the last check.
    bool check(int socket, decision::instant now);

    // Whether, at the last check, all written bytes had been acknowledged, or the system told
    // nothing.
    [[nodiscard]] bool is_delivered() const { return !this->observing; }

    // Whether the last check found bytes that were not acknowledged.
    [[nodiscard]] bool is_waiting() const { return this->waiting; }

    // How long, at the last check, the peer had acknowledged nothing although bytes were waiting.
    [[nodiscard]] decision::duration stalled() const { return this->stall; }

private:
    void set_timeout(int socket, std::chrono::milliseconds chosen);

    std::chrono::milliseconds timeout;
    std::chrono::milliseconds current_timeout{}; // of the socket; zero before the first write
    bool observing = false; // bytes were written, and no check has found them acknowledged
    bool waiting = false;
    decision::instant next_check;
    decision::instant last_check;  // or when the observation began
    decision::instant wait_start;  // of the observation; bytes have been waiting since
    decision::instant stall_start; // the peer may have acknowledged nothing since
    decision::duration stall{};
    std::uint64_t acknowledged_bytes = 0;
};

} // namespace pearhaven::adapters

#endif
