#ifndef PEARHAVEN_ADAPTERS_HTTP_OUTBOUND_HPP
#define PEARHAVEN_ADAPTERS_HTTP_OUTBOUND_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_message.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// Where an outgoing exchange goes. Connections are pooled by `pool`: two processes that had one
// address after each other must not share connections.
struct outbound_target {
    std::string pool;
    std::string host; // IP number
    std::uint16_t port = 0;

    friend bool operator==(const outbound_target&, const outbound_target&) = default;
};

struct outbound_request {
    std::string method = "GET";
    std::string target = "/";
    http_fields fields; // without those that frame the message
    std::string body;
    decision::duration connect_time = std::chrono::seconds(1);
    decision::duration answer_time{};   // from sending to the head; zero: no bound
    decision::duration progress_time{}; // longest silence after the head; zero: no bound
    bool fresh_connection = false;

    friend bool operator==(const outbound_request&, const outbound_request&) = default;
};

// How an exchange ended without a whole answer.
enum class outbound_fault : std::uint8_t {
    not_connected, // not one byte of the request left this process
    connection_lost,
    silent, // nothing came within the time allowed
    malformed,
};

struct outbound_failure {
    outbound_fault why = outbound_fault::not_connected;
    bool answer_began = false; // a head came
    bool was_reused = false;   // the connection had carried another exchange

    friend bool operator==(const outbound_failure&, const outbound_failure&) = default;
};

// What to do with an answer of which the head has come.
enum class head_verdict : std::uint8_t {
    take,
    skip, // it belongs to an earlier request; ours may still follow
    drop, // end the exchange: nothing more is wanted of it
};

// Receives one exchange, on the loop's thread: heads and pieces, then one of `on_end` and
// `on_failure`, unless it is cancelled or dropped. Never called in the middle of a call into the
// client, and not destroyed by the client in the middle of its own functions, which may call the
// client in turn.
class outbound_listener
    : public boost::intrusive_ref_counter<outbound_listener, boost::thread_unsafe_counter> {
public:
    virtual ~outbound_listener() = default;
    [[nodiscard]] virtual head_verdict on_head(const http_response_head& head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_end() = 0;

    // Nothing came within the time allowed. Whether to give the exchange up; if not, the same time
    // begins anew.
    [[nodiscard]] virtual bool on_silence() { return true; }
    virtual void on_failure(const outbound_failure& how) = 0;
};

using outbound_listener_ptr = boost::intrusive_ptr<outbound_listener>;
using outbound_number = std::uint64_t;

struct http_outbound_settings {
    std::size_t idle_per_pool = 16;
    std::size_t max_head = 64U << 10U;

    // How long a connection may rest when its other end names no time; ends that close sooner than
    // a whole second name none. A request that meets the close is lost, and what must not run twice
    // is lost for good, so this is short: long enough for a burst's next request.
    decision::duration default_idle_time = std::chrono::milliseconds(300);

    // Taken off a time that the other end names, for the way there and late timers.
    decision::duration idle_margin = std::chrono::milliseconds(400);

    // Longest time that the other host may leave sent bytes unacknowledged. Something between the
    // two ends may have lost track of a connection: only this shows it.
    std::chrono::milliseconds unacknowledged_timeout{2000};
};

struct outbound_counts {
    std::uint64_t connected = 0; // new connections
    std::uint64_t reused = 0;
    std::uint64_t failed = 0; // connections that did not come about
    std::size_t open = 0;
};

// Outgoing HTTP/1.1 on an event loop, one exchange at a time on each connection. A request is sent
// once: whether it may be sent again is not for a connection pool to decide.
class http_outbound {
public:
    virtual ~http_outbound() = default;

    virtual outbound_number start(const outbound_target& target, outbound_request request,
                                  outbound_listener_ptr listener) = 0;

    // Closes the exchange's connection, by which the other end learns that nobody waits. The
    // listener hears no more.
    virtual void cancel(outbound_number exchange) = 0;

    // Stops and goes on reading, for a receiver downstream that is slower.
    virtual void pause(outbound_number exchange, bool paused) = 0;

    // Closes the pool's idle connections.
    virtual void forget(const std::string& pool) = 0;

    [[nodiscard]] virtual outbound_counts counts() const = 0;
};

// The loop must outlive the client.
std::unique_ptr<http_outbound> make_http_outbound(event_loop& loop,
                                                  const http_outbound_settings& settings);

// A whole short answer; `status` is 0 where none came whole.
struct collected_answer {
    int status = 0;
    http_fields fields;
    std::string body;
    outbound_failure failure; // how, where `status` is 0

    friend bool operator==(const collected_answer&, const collected_answer&) = default;
};

// A listener that gathers an answer and hands it over once it is whole or has failed. Bodies over
// `max_body` bytes count as malformed.
outbound_listener_ptr collect_answer(std::size_t max_body,
                                     std::function<void(const collected_answer&)> done);

} // namespace pearhaven::adapters

#endif
