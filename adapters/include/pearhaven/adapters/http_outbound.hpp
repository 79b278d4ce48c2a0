#ifndef PEARHAVEN_ADAPTERS_HTTP_OUTBOUND_HPP
#define PEARHAVEN_ADAPTERS_HTTP_OUTBOUND_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_message.hpp"
#include "pearhaven/adapters/message_body.hpp"
#include "pearhaven/adapters/transferred_bytes.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// The destination of an outgoing exchange. Connections are shared within `pool` only: two processes
// that used one address after each other must not share connections.
struct outbound_target {
    std::string pool;
    std::string host; // IP number
    std::uint16_t port = 0;

    friend bool operator==(const outbound_target&, const outbound_target&) = default;
};

struct outbound_request {
    std::string method = "GET";
    std::string target = "/";
    http_fields fields; // without framing fields
    message_body body;
    decision::duration connect_time = std::chrono::seconds(1);
    decision::duration answer_time{};   // from sending to the head; zero: no limit
    decision::duration progress_time{}; // longest silence after the head; zero: no limit
    std::size_t max_body = 0;           // bytes; a longer answer is malformed; zero: no limit
    bool fresh_connection = false;

    friend bool operator==(const outbound_request&, const outbound_request&) = default;
};

// Why an exchange ended without a complete answer.
enum class outbound_fault : std::uint8_t {
    not_connected, // no byte of the request was sent
    connection_lost,
    silent, // nothing was received within the allowed time
    malformed,
    no_memory, // it held most when the answers held more than allowed
};

struct outbound_failure {
    outbound_fault why = outbound_fault::not_connected;
    bool answer_began = false; // a head was received
    bool was_reused = false;   // the connection had been used by an earlier exchange

    bool unacknowledged = false; // the host gave up: the other one acknowledged nothing

    friend bool operator==(const outbound_failure&, const outbound_failure&) = default;
};

// What to do with an answer after its head was received.
enum class head_verdict : std::uint8_t {
    take,
    skip, // it answers an earlier request; the expected one may still follow
    drop, // end the exchange without further calls
};

// Receives one exchange on the loop's thread: heads and pieces, then one of `on_end` and
// `on_failure`, unless it is cancelled or dropped. It is never called from within a call into the
// client, and the client does not destroy it during one of its own functions, which may call the
// client.
class outbound_listener
    : public boost::intrusive_ref_counter<outbound_listener, boost::thread_unsafe_counter> {
public:
    virtual ~outbound_listener() = default;

    // The exchange has opened a new connection.
    virtual void on_connected() {}
    [[nodiscard]] virtual head_verdict on_head(const http_response_head& head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_end() = 0;

    // Nothing was received within the allowed time. Returns whether to give up the exchange;
    // otherwise the same time starts again.
    [[nodiscard]] virtual bool on_silence() { return true; }
    virtual void on_failure(const outbound_failure& how) = 0;

    // Memory that the listener holds of the answer until its end.
    [[nodiscard]] virtual std::size_t held_bytes() const { return 0; }

    // Passes on what the listener holds, since the answers hold too much. If it holds as much
    // afterwards, the exchange ends with `no_memory`.
    virtual void release_held() {}
};

using outbound_listener_ptr = boost::intrusive_ptr<outbound_listener>;
using outbound_number = std::uint64_t;

struct http_outbound_settings {
    std::size_t idle_per_pool = 16;
    std::size_t max_head = 64U << 10U;

    // How long a connection may stay idle when the other end announces no timeout; servers that
    // close within less than a second cannot announce one. A request that crosses the close is
    // lost, and one that must not run twice cannot be repeated, so this is short: long enough for
    // the next request of a burst.
    decision::duration default_idle_time = std::chrono::milliseconds(300);

    // Subtracted from the idle timeout that the other end announces, to allow for network latency
    // and late timers.
    decision::duration idle_margin = std::chrono::milliseconds(400);

    // Longest time that the other host may leave sent bytes unacknowledged. It is the only way to
    // detect that a device on the path has lost the state of a connection.
    std::chrono::milliseconds unacknowledged_timeout{2000};

    // Memory that incomplete heads and listeners may hold of all answers together. Beyond it, those
    // that hold most are released, or end: an endpoint in trouble may send bytes without end.
    std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
};

struct outbound_counts {
    std::uint64_t connected = 0; // new connections
    std::uint64_t reused = 0;
    std::uint64_t failed = 0; // connection attempts that failed
    std::size_t open = 0;
    std::size_t held_bytes = 0;         // of answers
    std::uint64_t ended_for_memory = 0; // exchanges
    transferred_bytes bytes;
};

// An HTTP/1.1 client on an event loop, with one exchange at a time on each connection. A request is
// sent only once: a connection pool cannot decide whether it may be sent again.
class http_outbound {
public:
    virtual ~http_outbound() = default;

    virtual outbound_number start(const outbound_target& target, outbound_request request,
                                  outbound_listener_ptr listener) = 0;

    // Closes the exchange's connection, so that the other end learns that nobody waits for the
    // answer. The listener is not called again.
    virtual void cancel(outbound_number exchange) = 0;

    // Stops or resumes reading, for backpressure from a slower receiver.
    virtual void pause(outbound_number exchange, bool paused) = 0;

    // Closes the pool's idle connections.
    virtual void forget(const std::string& pool) = 0;

    [[nodiscard]] virtual outbound_counts counts() const = 0;

    // What is held of all answers, to which listeners' owners may add what they keep after an
    // exchange.
    [[nodiscard]] virtual const boost::intrusive_ptr<byte_count>& held_bytes() const = 0;
    [[nodiscard]] virtual std::size_t max_held_bytes() const = 0;
};

// The loop must outlive the client.
std::unique_ptr<http_outbound> make_http_outbound(event_loop& loop,
                                                  const http_outbound_settings& settings);

// A complete short answer; `status` is 0 if the exchange failed.
struct collected_answer {
    int status = 0;
    http_fields fields;
    std::string body;
    outbound_failure failure; // set if `status` is 0

    friend bool operator==(const collected_answer&, const collected_answer&) = default;
};

// Returns a listener that collects an answer and passes it to `done` once it is complete or has
// failed. Bodies over `max_body` bytes count as malformed. `on_silence` is called when no head was
// received within the answer time, and returns whether to give up; without it the exchange is given
// up. Silence after the head always ends the exchange. `on_progress` is called with each piece of
// the body, and gets the bytes of the body received so far.
outbound_listener_ptr collect_answer(std::size_t max_body,
                                     std::function<void(const collected_answer&)> done,
                                     std::function<bool()> on_silence = {},
                                     std::function<void(std::size_t)> on_progress = {});

} // namespace pearhaven::adapters

#endif
