#ifndef PEARHAVEN_ADAPTERS_SRC_OUTBOUND_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_OUTBOUND_SOCKET_HPP

#include "buffered_socket.hpp"

#include "pearhaven/adapters/http_outbound.hpp"

namespace pearhaven::adapters {

class outbound_socket;

// What a connection needs of its client.
class outbound_host {
public:
    virtual ~outbound_host() = default;
    [[nodiscard]] virtual event_loop& loop() = 0;
    [[nodiscard]] virtual const http_outbound_settings& settings() const = 0;
    virtual void on_connected(bool connected) = 0;

    virtual void on_exchange_over(outbound_number exchange) = 0;

    // The connection can carry another exchange until `idle_until`, unless that has passed.
    virtual void on_idle(outbound_socket& connection, decision::instant idle_until) = 0;

    // Nothing more comes of the connection. It is destroyed once the callback that is being run has
    // returned.
    virtual void on_closed(outbound_socket& connection) = 0;
};

// One connection to an endpoint or to the store. What its listener calls never calls the listener
// back.
class outbound_socket final : public socket_listener, public http_message_listener {
public:
    outbound_socket(outbound_host& client, std::uint64_t name, outbound_target target);
    ~outbound_socket() override;
    outbound_socket(const outbound_socket&) = delete;
    outbound_socket& operator=(const outbound_socket&) = delete;

    void start(outbound_number exchange, const outbound_request& request,
               outbound_listener_ptr listener);
    void cancel();
    void pause(bool paused);

    void on_ready(bool readable, bool writable, bool failed) override;
    void on_request(http_request_head head) override;
    [[nodiscard]] bool on_response(http_response_head head) override;
    void on_body(std::string_view piece) override;
    void on_message_end() override;

    [[nodiscard]] std::uint64_t name() const { return this->number; }
    [[nodiscard]] outbound_number exchange() const { return this->current; }
    [[nodiscard]] const outbound_target& target() const { return this->where; }

private:
    enum class phase { connecting, busy, idle, closed };

    void connected();
    void read_more();
    void take(std::string_view bytes);
    void finish();
    void fail(outbound_fault why);
    void fail_soon(outbound_fault why);
    void close();
    void watch();
    void arm(decision::duration bound);
    void on_time();
    [[nodiscard]] decision::instant idle_end() const;

    outbound_host& host;
    std::uint64_t number;
    outbound_target where;
    buffered_socket socket;
    http_reader reader;
    phase step = phase::connecting;

    outbound_number current = 0;
    outbound_listener_ptr listener;
    std::string unsent_request; // while connecting
    bool no_body = false;       // the request was HEAD
    bool reused = false;
    bool head_came = false;
    bool skipping = false; // an answer that belongs to an earlier request
    bool message_over = false;
    bool paused = false;
    bool keeps = true; // the answer under way leaves the connection open
    decision::duration named_idle_time{};
    decision::duration answer_time{};
    decision::duration progress_time{};
    decision::instant last_progress;
    decision::duration bound{}; // of the present wait; zero: none
    timer_number timer = 0;
};

} // namespace pearhaven::adapters

#endif
