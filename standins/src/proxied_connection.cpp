#include "proxied_connection.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace pearhaven::standins {

namespace {

constexpr std::size_t read_size = 65536;

// Reading stops while more than this is buffered, so that the sender sees backpressure.
constexpr std::size_t max_buffered = 4 * read_size;

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

proxied_connection::proxied_connection(proxy_loop& owner, socket_handle from_client,
                                       socket_handle to_endpoint)
    : loop(owner), client{this, proxy_side::client, std::move(from_client), 0},
      server{this, proxy_side::server, std::move(to_endpoint), 0}
{
    this->loop.scratch.resize(read_size);
}

proxied_connection::socket_end& proxied_connection::end_of(proxy_side side)
{
    return side == proxy_side::client ? this->client : this->server;
}

proxied_connection::byte_flow& proxied_connection::flow_from(proxy_side side)
{
    return side == proxy_side::client ? this->to_server : this->to_client;
}

bool proxied_connection::handle(proxy_side side, std::uint32_t events, const proxy_faults& faults,
                                decision::instant now)
{
    if (this->silenced || faults.silent) {
        return true;
    }
    if ((events & EPOLLERR) != 0) {
        return this->on_socket_failure(side, faults);
    }
    if (side == proxy_side::server && (events & EPOLLOUT) != 0) {
        this->connected = true;
    }
    if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !this->read_from(side, faults, now)) {
        return this->on_socket_failure(side, faults);
    }
    return this->flush(faults, now);
}

bool proxied_connection::read_from(proxy_side side, const proxy_faults& faults,
                                   decision::instant now)
{
    auto& bytes = this->loop.scratch;
    auto& flow = this->flow_from(side);
    const bool swallowed =
        side == proxy_side::client ? faults.swallow_to_server : faults.swallow_to_client;
    const auto length =
        ::recv(this->end_of(side).socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (length < 0) {
        return would_block();
    }
    if (length == 0) {
        flow.ended = true;
        flow.end_forwarded = flow.end_forwarded || swallowed; // the end is discarded as well
    } else if (!swallowed) {
        flow.buffer.push({bytes.data(), static_cast<std::size_t>(length)}, faults.paced, now);
    }
    return true;
}

bool proxied_connection::flush(const proxy_faults& faults, decision::instant now)
{
    if (this->silenced || faults.silent) {
        return true;
    }
    if (!this->write_to(proxy_side::client, faults, now)) {
        return this->on_socket_failure(proxy_side::client, faults);
    }
    if (this->connected && !this->write_to(proxy_side::server, faults, now)) {
        return this->on_socket_failure(proxy_side::server, faults);
    }
    return !this->is_over();
}

// False when the connection is broken, or truncated on purpose.
bool proxied_connection::write_to(proxy_side side, const proxy_faults& faults,
                                  decision::instant now)
{
    auto& sink = this->end_of(side);
    auto& flow = side == proxy_side::client ? this->to_client : this->to_server;
    const auto limit = side == proxy_side::client ? faults.truncate_to_client_after : 0;
    for (auto bytes = flow.buffer.ready(now); !bytes.empty(); bytes = flow.buffer.ready(now)) {
        if (limit > 0) {
            bytes = bytes.substr(0, limit - std::min(limit, flow.counted));
        }
        const auto sent =
            ::send(sink.socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) {
            return would_block();
        }
        flow.buffer.pop(static_cast<std::size_t>(sent));
        flow.moved += static_cast<std::uint64_t>(sent);
        flow.counted += static_cast<std::uint64_t>(sent);
        if (limit > 0 && flow.counted >= limit) {
            sink.socket.close(); // an orderly shutdown in mid-stream, not a reset
            return false;
        }
    }
    forward_end(sink, flow);
    return true;
}

void proxied_connection::forward_end(socket_end& sink, byte_flow& from)
{
    if (from.ended && !from.end_forwarded && from.buffer.empty()) {
        from.end_forwarded = true;
        ::shutdown(sink.socket.get(), SHUT_WR);
    }
}

// Propagates the failure to the other side, unless the broken side's direction is swallowed: then
// the other side keeps an open connection on which nothing more arrives.
bool proxied_connection::on_socket_failure(proxy_side broken, const proxy_faults& faults)
{
    const bool swallowed =
        broken == proxy_side::client ? faults.swallow_to_server : faults.swallow_to_client;
    if (swallowed) {
        this->silence();
        return true;
    }
    this->reset();
    return false;
}

bool proxied_connection::is_over() const
{
    return this->to_server.end_forwarded && this->to_client.end_forwarded;
}

void proxied_connection::reset()
{
    for (auto* end : {&this->client, &this->server}) {
        if (end->socket.is_open()) {
            end->socket.reset();
        }
        end->watched = 0;
    }
}

void proxied_connection::close()
{
    for (auto* end : {&this->client, &this->server}) {
        end->socket.close();
        end->watched = 0;
    }
}

std::uint32_t proxied_connection::wanted_events(const socket_end& end, const byte_flow& in,
                                                const byte_flow& out, decision::instant now) const
{
    const bool connecting = end.side == proxy_side::server && !this->connected;
    std::uint32_t events = 0;
    if (!in.ended && in.buffer.size() < max_buffered) {
        events |= EPOLLIN;
    }
    if (connecting || !out.buffer.ready(now).empty()) {
        events |= EPOLLOUT;
    }
    return events;
}

void proxied_connection::watch(const proxy_faults& faults, decision::instant now)
{
    const bool nothing = this->silenced || faults.silent;
    const auto client_events =
        nothing ? 0 : this->wanted_events(this->client, this->to_server, this->to_client, now);
    const auto server_events =
        nothing ? 0 : this->wanted_events(this->server, this->to_client, this->to_server, now);
    this->set_watched(this->client, client_events);
    this->set_watched(this->server, server_events);
}

// A socket with nothing to wait for is removed from the epoll set; otherwise epoll would report its
// errors and hang-up repeatedly.
void proxied_connection::set_watched(socket_end& end, std::uint32_t events) const
{
    if (end.watched == events || !end.socket.is_open()) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.ptr = &end;
    int operation = end.watched == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (events == 0) {
        operation = EPOLL_CTL_DEL;
    }
    epoll_ctl(this->loop.epoll_set, operation, end.socket.get(), &event);
    end.watched = events;
}

std::optional<decision::instant> proxied_connection::next_due(decision::instant now) const
{
    std::optional<decision::instant> next;
    for (const auto* each : {&this->to_server, &this->to_client}) {
        const auto due = each->buffer.next_due();
        if (due && *due > now) {
            next = next ? std::min(*next, *due) : *due;
        }
    }
    return next;
}

byte_counts proxied_connection::moved() const
{
    return {this->to_server.moved, this->to_client.moved};
}

} // namespace pearhaven::standins
