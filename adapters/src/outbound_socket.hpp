#ifndef PEARHAVEN_ADAPTERS_SRC_OUTBOUND_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_OUTBOUND_SOCKET_HPP

#include "buffered_socket.hpp"
#include "delivery_monitor.hpp"

#include "pearhaven/adapters/http_outbound.hpp"

namespace pearhaven::adapters {

class outbound_socket;

// The functions of the client that a connection uses.
class outbound_socket_owner {
public:
    virtual ~outbound_socket_owner() = default;
    [[nodiscard]] virtual event_loop& loop() = 0;
    [[nodiscard]] virtual const http_outbound_settings& settings() const = 0;
    virtual void on_connected(bool connected) = 0;
    [[nodiscard]] virtual transferred_bytes& bytes() = 0; // of all connections

    virtual void on_exchange_end(outbound_number exchange) = 0;
    [[nodiscard]] virtual const boost::intrusive_ptr<byte_count>& held_bytes() const = 0;

    // A connection holds more than before. Any connection may end in this call.
    virtual void on_held() = 0;

    // The connection can be reused for another exchange until `idle_until`, unless that has passed.
    virtual void on_idle(outbound_socket& connection, decision::instant idle_until) = 0;

    // The connection is closed. It is destroyed once the current callback has returned.
    virtual void on_closed(outbound_socket& connection) = 0;
};

// One connection to an endpoint or to the store. Functions called by the listener never call the
// listener back.
class outbound_socket final : public socket_listener, public http_message_listener {
public:
    outbound_socket(outbound_socket_owner& client, std::uint64_t id, outbound_target target);
    ~outbound_socket() override;
    outbound_socket(const outbound_socket&) = delete;
    outbound_socket& operator=(const outbound_socket&) = delete;

    void start(outbound_number exchange, const outbound_request& request,
               outbound_listener_ptr listener);
    void cancel();
    void pause(bool paused);

    // Has the listener pass on what it holds, or ends the exchange. Returns whether it has ended.
    // The listener may call the client.
    bool free_memory();

    // Memory held of the current answer.
    [[nodiscard]] std::size_t held_bytes() const { return this->held; }

    void on_ready(bool readable, bool writable, bool failed) override;
    void on_request(http_request_head head) override;
    [[nodiscard]] bool on_response(http_response_head head) override;
    void on_body(std::string_view piece) override;
    void on_message_end() override;

    [[nodiscard]] std::uint64_t id() const { return this->own_id; }
    [[nodiscard]] outbound_number exchange() const { return this->current_exchange; }
    [[nodiscard]] const outbound_target& target() const { return this->destination; }

private:
    enum class phase { connecting, busy, idle, closed };

    void connected();
    void read_more();
    void read_rest(int error);
    void process_bytes(std::string_view bytes);
    void finish();
    void fail(outbound_fault why, int error = 0);
    void fail_soon(outbound_fault why);
    void close();
    void watch();
    void arm(decision::duration timeout);
    void on_timer();
    void observe_delivery();
    void check_delivery();
    void update_held();
    [[nodiscard]] bool is_request_delivered() const;
    [[nodiscard]] decision::instant idle_end() const;

    outbound_socket_owner& owner;
    std::uint64_t own_id;
    outbound_target destination;
    buffered_socket socket;
    delivery_monitor delivery;
    http_reader reader;
    phase current_phase = phase::connecting;

    outbound_number current_exchange = 0;
    outbound_listener_ptr listener;
    std::string unsent_head; // while connecting
    message_body unsent_body;
    bool no_body = false; // the request was HEAD
    bool reused = false;
    bool head_received = false;
    bool skipping = false;             // the current answer belongs to an earlier request
    std::size_t undelivered_bytes = 0; // received since the last part of the answer
    std::size_t body_bytes = 0;        // of the current answer
    std::size_t max_body = 0;          // zero: no limit
    bool message_complete = false;
    std::size_t held = 0;
    byte_charge held_charge;
    bool paused = false;
    bool reusable = true; // the connection can be reused after the current answer
    decision::duration announced_idle_time{};
    decision::duration answer_time{};
    decision::duration progress_time{};
    decision::instant last_progress;
    decision::duration timeout{}; // of the current wait; zero: none
    timer_number timer = 0;
    timer_number delivery_timer = 0; // pending while written bytes may be unacknowledged
};

} // namespace pearhaven::adapters

#endif
