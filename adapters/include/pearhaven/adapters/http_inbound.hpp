#ifndef PEARHAVEN_ADAPTERS_HTTP_INBOUND_HPP
#define PEARHAVEN_ADAPTERS_HTTP_INBOUND_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_message.hpp"
#include "pearhaven/adapters/message_body.hpp"
#include "pearhaven/adapters/transferred_bytes.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// A complete request of a caller, and the means to answer it. It outlives its connection: writes
// after the caller has disconnected are dropped. None of its functions calls the listener: events
// caused by a send are reported after the loop's current callback has returned.
class inbound_exchange
    : public boost::intrusive_ref_counter<inbound_exchange, boost::thread_unsafe_counter> {
public:
    virtual ~inbound_exchange() = default;

    [[nodiscard]] virtual const http_request_head& head() const = 0;
    [[nodiscard]] virtual const message_body& body() const = 0;
    [[nodiscard]] virtual decision::instant arrived() const = 0; // when its last byte was read

    // Sends a complete answer.
    virtual void answer(int status, const http_fields& fields, std::string_view body) = 0;

    // Send an answer of unknown length: head, pieces, end.
    virtual void begin(int status, const http_fields& fields) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void end() = 0;

    // Closes the connection without an end marker, so that a partial answer cannot be taken for a
    // complete one.
    virtual void abort() = 0;

    // Bytes written that the socket has not accepted yet.
    [[nodiscard]] virtual std::size_t unsent() const = 0;

    // Whether the server may hold more unsent bytes, of all answers together.
    [[nodiscard]] virtual bool has_room() const = 0;
};

using inbound_exchange_ptr = boost::intrusive_ptr<inbound_exchange>;

// Receives a server's requests. Called only by the loop, never from within a call into an exchange.
// It may call any exchange.
class inbound_listener {
public:
    virtual ~inbound_listener() = default;

    // Whether a new connection is to be read. Otherwise it is closed at once, so that its caller
    // can turn to another server.
    [[nodiscard]] virtual bool accepts_connection() { return true; }
    virtual void on_request(inbound_exchange_ptr exchange) = 0;

    // The caller's connection was lost before the end of the answer. Until this call, sends on the
    // exchange do nothing. It is not called for an exchange that has ended or was aborted
    // meanwhile.
    virtual void on_caller_gone(inbound_exchange& exchange) = 0;

    // All written bytes have been sent, after `unsent` was above zero.
    virtual void on_flushed(inbound_exchange& exchange) = 0;
};

// Limits on requests. They may change at any time: longer times and larger bodies apply
// immediately; shorter and smaller ones, and any change of the head limit, apply to messages that
// begin after the change.
struct inbound_limits {
    std::size_t head_bytes = 16U << 10U;
    std::size_t head_fields = default_max_head_fields;
    std::size_t body_bytes = 4U << 20U;
    decision::duration head_time = std::chrono::seconds(3);  // from first to last byte of a head
    decision::duration idle_time = std::chrono::seconds(15); // between two requests

    // Extra time that an idle connection is kept open beyond the announced idle time. Callers send
    // on connections that have rested for longer than they were told, and a close that crosses a
    // request leaves its caller without an answer. A late close costs only a descriptor: at the
    // maximum of connections, idle ones make room for others, and one whose caller is gone ends
    // with its probes.
    decision::duration idle_slack = std::chrono::seconds(60);

    // Longest time that a caller's host may leave sent bytes unacknowledged. Applies to connections
    // that are accepted after a change. The host of a caller that reads slowly still acknowledges.
    std::chrono::milliseconds unacknowledged_time{5000};

    // Unsent bytes of all answers from which on an exchange has no room for more. Answers must be
    // held for callers that read slowly, because an endpoint cuts off one that is not taken.
    std::size_t unsent_bytes = 16U << 20U;

    // Bytes of all request bodies that are held. A request beyond that is refused as not run, while
    // its body is being received: callers can turn to another server, whereas a process that
    // exceeds its memory ends with everything that it holds.
    std::size_t held_body_bytes = std::numeric_limits<std::size_t>::max();

    // Memory that is held for callers: connections, incomplete and complete requests, and unsent
    // answers, as allocated. Beyond it, incomplete requests end that are furthest behind, then the
    // request that is being received is refused as not run.
    std::size_t held_bytes = std::numeric_limits<std::size_t>::max();

    // Longest time that a caller may take no byte of an answer that waits for it. Longer than
    // callers wait for an answer: a caller that still reads is never cut off.
    decision::duration unread_time = std::chrono::seconds(30);

    friend bool operator==(const inbound_limits&, const inbound_limits&) = default;
};

struct inbound_counts {
    std::uint64_t accepted = 0;
    std::uint64_t turned_away = 0;         // closed with nothing read
    std::uint64_t refused_heads = 0;       // malformed or too long
    std::uint64_t refused_bodies = 0;      // no room for them
    std::uint64_t refused_long_bodies = 0; // longer than allowed
    std::uint64_t refused_for_memory = 0;  // no room for what is held for callers
    std::uint64_t ended_for_memory = 0;    // incomplete requests, for the memory of others
    std::uint64_t ended_for_room = 0;      // incomplete requests, for the connections of others
    std::uint64_t timed_out = 0;           // incomplete requests past their time
    std::uint64_t unacknowledged = 0;      // closed because the caller's host did not acknowledge
    std::uint64_t unread = 0;              // closed because the caller did not read
    std::uint64_t closed_as_idle = 0;
    std::uint64_t closed_for_room = 0; // idle ones, closed to accept others
    std::uint64_t sent_to_closed = 0;  // of those: received further bytes, which were not read
    std::size_t open = 0;
    std::size_t unsent_bytes = 0; // held for callers that have not taken them
    std::size_t body_bytes = 0;   // of requests
    std::size_t held_bytes = 0;   // memory that is held for callers

    friend bool operator==(const inbound_counts&, const inbound_counts&) = default;
};

// An HTTP/1.1 server on an event loop. Each connection serves one request at a time; the next one
// is not read until the answer has ended, apart from bytes that came with the end of the first. A
// caller that disconnects is detected while its request is in progress.
class http_inbound {
public:
    virtual ~http_inbound() = default;
    virtual void set_limits(const inbound_limits& limits) = 0;

    // From now on, each answer closes its connection. Connections without a request in progress
    // stay open until `close_idle`, because a caller may be sending on them.
    virtual void begin_close() = 0;

    // Closes connections without a request in progress.
    virtual void close_idle() = 0;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    [[nodiscard]] virtual inbound_counts counts() const = 0;
    [[nodiscard]] virtual transferred_bytes bytes() const = 0; // of all connections
};

// Listens on the IP address and port. Throws std::system_error when that is not possible. Loop and
// listener must outlive the server. At the maximum of connections, a new one takes the place of one
// that is idle, or whose request has been incomplete for longest; if there is none, it is turned
// away. Servers of one process share the account of the memory that is held for callers.
std::unique_ptr<http_inbound>
make_http_inbound(event_loop& loop, const std::string& host, std::uint16_t port,
                  std::size_t max_connections, inbound_listener& listener,
                  boost::intrusive_ptr<byte_count> held_bytes = new byte_count);

} // namespace pearhaven::adapters

#endif
