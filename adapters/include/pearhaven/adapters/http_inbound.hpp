#ifndef PEARHAVEN_ADAPTERS_HTTP_INBOUND_HPP
#define PEARHAVEN_ADAPTERS_HTTP_INBOUND_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_message.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// One request of a caller, whole, and the way back for its answer. It outlives its connection:
// whatever is written after the caller has gone is dropped. None of its functions calls the
// listener: what a send meets is told once the loop's running callback has returned.
class inbound_exchange
    : public boost::intrusive_ref_counter<inbound_exchange, boost::thread_unsafe_counter> {
public:
    virtual ~inbound_exchange() = default;

    [[nodiscard]] virtual const http_request_head& head() const = 0;
    [[nodiscard]] virtual const std::string& body() const = 0;
    [[nodiscard]] virtual decision::instant arrived() const = 0; // when its last byte was read

    // The whole answer at once.
    virtual void answer(int status, const http_fields& fields, std::string_view body) = 0;

    // An answer whose length is not known yet: its head, pieces, and its end.
    virtual void begin(int status, const http_fields& fields) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void end() = 0;

    // Closes the connection without an end, so that a part cannot be taken for the whole.
    virtual void abort() = 0;

    // Bytes that the caller has not taken yet.
    [[nodiscard]] virtual std::size_t unsent() const = 0;
};

using inbound_exchange_ptr = boost::intrusive_ptr<inbound_exchange>;

// What a server's requests are told to, by the loop alone and never in the middle of a call into an
// exchange. It may call any exchange.
class inbound_listener {
public:
    virtual ~inbound_listener() = default;
    virtual void on_request(inbound_exchange_ptr exchange) = 0;

    // The caller's connection was lost before the answer's end. Until this is told, sends on it do
    // nothing. An exchange that has ended or was aborted meanwhile is not told of.
    virtual void on_caller_gone(inbound_exchange& exchange) = 0;

    // All that was written has left, after `unsent` was above zero.
    virtual void on_flushed(inbound_exchange& exchange) = 0;
};

// Bounds on what callers may send. They may change at any time; longer times and larger bodies hold
// at once, shorter and smaller ones for what begins after the change, and so does the bound of
// heads.
struct inbound_limits {
    std::size_t head_bytes = 16U << 10U;
    std::size_t body_bytes = 4U << 20U;
    decision::duration head_time = std::chrono::seconds(3);  // from a head's first byte to its last
    decision::duration idle_time = std::chrono::seconds(15); // between two requests

    // How much longer than told a connection is kept. What a caller sends at the end of its time is
    // on its way for a while, it counts from when the answer reached it, and a close that its
    // request crosses leaves it without an answer. A late close costs a descriptor.
    decision::duration idle_slack = std::chrono::seconds(5);

    friend bool operator==(const inbound_limits&, const inbound_limits&) = default;
};

struct inbound_counts {
    std::uint64_t accepted = 0;
    std::uint64_t refused_heads = 0;  // malformed or too long
    std::uint64_t unacknowledged = 0; // given up since the caller's host acknowledged nothing
    std::uint64_t closed_as_idle = 0;
    std::uint64_t sent_to_closed = 0; // of those: connections on which more came, and was lost
    std::size_t open = 0;

    friend bool operator==(const inbound_counts&, const inbound_counts&) = default;
};

// An HTTP/1.1 server on an event loop. Each connection carries one request at a time; the next one
// waits in the socket until the answer has ended. A caller that leaves is noticed while its request
// is under way.
class http_inbound {
public:
    virtual ~http_inbound() = default;
    virtual void set_limits(const inbound_limits& limits) = 0;

    // From now on each answer closes its connection. Connections on which nothing is under way stay
    // open until `close_idle`, because a caller may be sending on them.
    virtual void begin_close() = 0;

    // Closes connections on which no request is under way.
    virtual void close_idle() = 0;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    [[nodiscard]] virtual inbound_counts counts() const = 0;
};

// Listens on the IP number and port. Throws std::system_error when that is not possible. Loop and
// listener must outlive the server.
std::unique_ptr<http_inbound> make_http_inbound(event_loop& loop, const std::string& host,
                                                std::uint16_t port, std::size_t max_connections,
                                                inbound_listener& listener);

} // namespace pearhaven::adapters

#endif
