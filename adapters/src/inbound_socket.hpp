#ifndef PEARHAVEN_ADAPTERS_SRC_INBOUND_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_INBOUND_SOCKET_HPP

#include "buffered_socket.hpp"

#include "pearhaven/adapters/http_inbound.hpp"

namespace pearhaven::adapters {

class inbound_socket;

// What a connection needs of its server.
class inbound_socket_owner {
public:
    virtual ~inbound_socket_owner() = default;
    [[nodiscard]] virtual event_loop& loop() = 0;
    [[nodiscard]] virtual inbound_listener& listener() = 0;
    [[nodiscard]] virtual const inbound_limits& limits() const = 0;
    [[nodiscard]] virtual bool is_closing() const = 0;
    virtual void on_refused_head() = 0;
    virtual void on_unacknowledged() = 0;
    virtual void on_closed_as_idle() = 0;

    // Bytes came on a connection that was closed as idle, so long ago, after so long a rest.
    virtual void on_sent_to_closed(decision::duration closed, decision::duration idle_duration) = 0;

    // Calls the connection's `take_turn` once the callback that is being run has returned, and then
    // destroys the connection if it is over.
    [[nodiscard]] virtual timer_number schedule_deferred_work(inbound_socket& connection) = 0;
};

// A request with the way back to the connection that it came on.
class connection_exchange final : public inbound_exchange {
public:
    connection_exchange(inbound_socket& owner, http_request_head request, decision::instant now)
        : connection(&owner), request_head(std::move(request)), arrival(now)
    {}

    [[nodiscard]] const http_request_head& head() const override { return this->request_head; }
    [[nodiscard]] const std::string& body() const override { return this->request_body; }
    [[nodiscard]] decision::instant arrived() const override { return this->arrival; }
    void answer(int status, const http_fields& fields, std::string_view body) override;
    void begin(int status, const http_fields& fields) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;
    [[nodiscard]] std::size_t unsent() const override;

    void append(std::string_view piece) { this->request_body.append(piece); }
    void set_arrived(decision::instant now) { this->arrival = now; }
    void detach() { this->connection = nullptr; }

private:
    inbound_socket* connection; // null once the connection is closed or the answer has ended
    http_request_head request_head;
    std::string request_body;
    decision::instant arrival;
};

// One connection of a caller. What its listener calls never calls the listener back: a lost
// connection is only marked, and pipelined bytes are only kept, until its turn comes.
class inbound_socket final : public socket_listener, public http_message_listener {
public:
    inbound_socket(inbound_socket_owner& server, tcp_socket accepted);
    ~inbound_socket() override;
    inbound_socket(const inbound_socket&) = delete;
    inbound_socket& operator=(const inbound_socket&) = delete;

    void on_ready(bool readable, bool writable, bool failed) override;
    void on_request(http_request_head head) override;
    [[nodiscard]] bool on_response(http_response_head head) override;
    void on_body(std::string_view piece) override;
    void on_message_end() override;

    // For the exchange under way.
    void send(std::string_view bytes);
    void finish_answer();
    void abort();
    [[nodiscard]] bool closes_after_answer() const;
    [[nodiscard]] std::size_t unsent() const { return this->socket.unsent(); }

    // Carries out what calls have left to the loop. True when the connection is over.
    [[nodiscard]] bool run_deferred_work();

    // Ends what has taken longer than the limits allow. To be called now and then, with the time
    // up to which all that came has been told.
    void check_time(decision::instant polled_until);

    // Closes the connection, at its turn, if nothing has come on it by then.
    void close_if_idle();

    [[nodiscard]] int number() const { return this->socket.get().get(); }

private:
    enum class phase { reading, answering, lingering, closed };

    void read_more();
    void process_bytes(std::string_view bytes);
    void process_pipelined();
    void begin_message();
    void drop_exchange();
    void refuse(int status);
    void linger();
    void close_as_idle();
    void record_bytes_after_close();
    void close(bool caller_disconnected);
    void report_disconnect();
    void request_deferred_work();
    void close_if_still_idle();
    [[nodiscard]] bool is_idle() const;
    void watch();

    inbound_socket_owner& owner;
    buffered_socket socket;
    http_reader reader;
    phase current_phase = phase::reading;
    bool processing = false; // inside `take`, which goes on with the next request by itself
    bool has_served = false;
    bool idle_close_pending = false; // at its turn
    bool closed_as_idle = false;     // and nothing has come since
    timer_number deferred_work = 0;
    std::string pipelined; // bytes after the request under way

    // Under way. Of a closed connection: the one whose listener has yet to hear that the caller
    // left.
    boost::intrusive_ptr<connection_exchange> exchange;
    decision::instant wait_started;     // of the present wait
    decision::duration idle_duration{}; // until it was closed as idle
    decision::duration idle_time{};     // as promised to the caller when the wait began
    inbound_limits message_limits;      // those in force when the message under way began
};

} // namespace pearhaven::adapters

#endif
