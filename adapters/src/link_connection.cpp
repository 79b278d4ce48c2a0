#include "link_connection.hpp"

namespace pearhaven::adapters {

peer_link_counts link_counters::snapshot() const
{
    peer_link_counts counts;
    counts.sent = this->sent;
    counts.sent_bytes = this->sent_bytes;
    counts.received = this->received;
    counts.received_bytes = this->received_bytes;
    counts.rejected = this->rejected;
    counts.dropped = this->dropped;
    counts.connect_failures = this->connect_failures;
    counts.handshake_failures = this->handshake_failures;
    counts.connections_lost = this->connections_lost;
    counts.connections_refused = this->connections_refused;
    return counts;
}

void link_connection::check_deadline(monotonic_time now)
{
    if (this->deadline > now) {
        this->context.deadlines.arm(*this, this->deadline);
        return;
    }
    this->on_deadline(now);
}

void link_connection::set_deadline(monotonic_time new_deadline)
{
    this->deadline = new_deadline;
    this->context.deadlines.arm(*this, new_deadline);
}

void link_connection::watch(int socket, bool readable, bool writable)
{
    this->context.by_socket[socket] = this;
    static_cast<void>(this->context.socket_poller.watch(socket, readable, writable));
}

void link_connection::forget(int socket)
{
    this->context.by_socket.erase(socket);
    this->context.socket_poller.forget(socket);
}

} // namespace pearhaven::adapters
