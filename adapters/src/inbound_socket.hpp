#ifndef PEARHAVEN_ADAPTERS_SRC_INBOUND_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_INBOUND_SOCKET_HPP

#include "buffered_socket.hpp"
#include "delivery_monitor.hpp"

#include "pearhaven/adapters/http_inbound.hpp"

#include <optional>

namespace pearhaven::adapters {

class inbound_socket;

// The functions of the server that a connection uses.
class inbound_socket_owner {
public:
    virtual ~inbound_socket_owner() = default;
    [[nodiscard]] virtual event_loop& loop() = 0;
    [[nodiscard]] virtual inbound_listener& listener() = 0;
    [[nodiscard]] virtual const inbound_limits& limits() const = 0;
    [[nodiscard]] virtual bool is_closing() const = 0;

    // Counts the unsent bytes of all connections: adds `now` and removes `before`.
    virtual void change_unsent(std::size_t before, std::size_t now) = 0;
    [[nodiscard]] virtual bool has_room() const = 0;

    // The bytes of all requests' bodies.
    [[nodiscard]] virtual const boost::intrusive_ptr<byte_count>& body_bytes() const = 0;

    // The memory of all connections, requests and answers.
    [[nodiscard]] virtual const boost::intrusive_ptr<byte_count>& held_bytes() const = 0;

    // Ends the incomplete requests of other connections that are furthest behind. Returns false
    // when there are none.
    [[nodiscard]] virtual bool free_memory(const inbound_socket& requester) = 0;

    virtual void on_refused_head() = 0;
    virtual void on_refused_body() = 0;
    virtual void on_refused_long_body() = 0;
    virtual void on_refused_for_memory() = 0;
    virtual void on_timed_out() = 0;
    // The caller's host acknowledged nothing for too long. `in_progress`: before the end of the
    // answer to a request.
    virtual void on_unacknowledged(bool in_progress) = 0;
    virtual void on_unread(decision::duration stalled) = 0;
    virtual void on_closed_as_idle() = 0;

    // Bytes arrived on a connection that was closed as idle. `closed` is the time since the close,
    // the second value how long the connection had been idle before it.
    virtual void on_sent_to_closed(decision::duration closed, decision::duration idle_duration) = 0;

    // Calls the connection's `run_deferred_work` once the current callback has returned, and then
    // destroys the connection if it is closed.
    [[nodiscard]] virtual timer_number schedule_deferred_work(inbound_socket& connection) = 0;
};

// A request together with the connection that its answer is sent on.
class connection_exchange final : public inbound_exchange {
public:
    connection_exchange(inbound_socket& connection_of_caller, http_request_head request,
                        const inbound_socket_owner& owner, decision::instant now)
        : connection(&connection_of_caller), request_head(std::move(request)), arrival(now),
          body_charge(owner.body_bytes()), body_memory(owner.held_bytes()),
          head_memory(owner.held_bytes())
    {
        this->head_memory.set(sizeof *this + allocated_bytes(this->request_head));
    }

    [[nodiscard]] const http_request_head& head() const override { return this->request_head; }
    [[nodiscard]] const message_body& body() const override { return this->request_body; }
    [[nodiscard]] decision::instant arrived() const override { return this->arrival; }
    void answer(int status, const http_fields& fields, std::string_view body) override;
    void begin(int status, const http_fields& fields) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;
    [[nodiscard]] std::size_t unsent() const override;
    [[nodiscard]] bool has_room() const override;

    // While the request is being received.
    void append(std::string_view piece)
    {
        this->received.append(piece);
        this->body_charge.set(this->received.size());
        this->body_memory.set(this->received.allocated_bytes());
    }
    [[nodiscard]] std::size_t received_bytes() const { return this->received.size(); }

    void set_arrived(decision::instant now)
    {
        this->arrival = now;
        this->request_body =
            message_body(std::exchange(this->received, {}), std::move(this->body_charge),
                         std::move(this->body_memory));
    }
    void detach() { this->connection = nullptr; }

private:
    inbound_socket* connection; // null once the connection is closed or the answer has ended
    http_request_head request_head;
    decision::instant arrival;
    byte_blocks received;    // of the body, until the request is complete
    byte_charge body_charge; // for `received`: its bytes, and the memory that they take
    byte_charge body_memory;
    byte_charge head_memory;
    message_body request_body;
};

// One connection of a caller. Functions called by the listener never call the listener back: a lost
// connection is only marked, and pipelined bytes wait, until the deferred work of the
// connection runs.
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

    // For the exchange in progress.
    void send(std::string_view bytes);
    void finish_answer();
    void abort();

    // Decides whether the connection closes after the answer whose head is about to be sent.
    // Returns the decision, which the head announces.
    [[nodiscard]] bool decide_close();
    [[nodiscard]] std::size_t unsent() const { return this->socket.unsent(); }
    [[nodiscard]] bool has_room() const { return this->owner.has_room(); }

    // Runs the work that earlier calls deferred to the loop. Returns true when the connection is
    // closed and can be destroyed.
    [[nodiscard]] bool run_deferred_work();

    // Enforces the time limits. Must be called periodically, with the time up to which all received
    // data has been reported.
    void check_time(decision::instant polled_until);

    // Since when the connection has been idle; nothing if it is not, or if its last answer may
    // still be in transit.
    [[nodiscard]] std::optional<decision::instant> idle_since();

    // When the incomplete request should have been complete, by what has been received of it;
    // nothing if there is none, or if it has only begun.
    [[nodiscard]] std::optional<decision::instant> overdue_since() const;

    // Answers the incomplete request as not run, and closes the connection in its deferred work.
    // What is held for it is freed at once.
    void end_incomplete();

    // Whether this end has closed the connection and its last answer has arrived.
    [[nodiscard]] bool has_ended() const
    {
        return this->current_phase == phase::lingering && this->is_delivered();
    }

    // Whether bytes after the request in progress, or after the last one, have arrived.
    [[nodiscard]] bool next_request_arrived() const;

    // Closes the connection in its deferred work, unless data has arrived by then.
    void close_if_idle();

    [[nodiscard]] int number() const { return this->socket.get().get(); }

private:
    enum class phase { reading, answering, lingering, closed };

    void read_more();
    void look_ahead(bool failed);
    void process_bytes(std::string_view bytes);
    void process_pipelined();
    void count_memory();
    void check_memory();
    [[nodiscard]] bool has_memory() const;
    void refuse_for_memory();
    [[nodiscard]] bool check_length(std::size_t bytes);
    [[nodiscard]] decision::duration time_for_received() const;
    void drop_bytes(std::size_t count);
    void begin_message();
    [[nodiscard]] bool has_room_for(std::size_t bytes) const;
    void drop_exchange();
    void refuse(int status, const http_fields& fields = {});
    void linger();
    void close_as_idle();
    void on_bytes_after_close();
    void close(bool caller_disconnected);
    void close_as_lost(int error);
    void report_disconnect();
    void request_deferred_work();
    void close_if_still_idle();
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] bool awaits_first_request() const;
    [[nodiscard]] decision::duration idle_limit() const;
    void report_unsent(std::size_t now);
    [[nodiscard]] bool waits() const;
    [[nodiscard]] bool is_delivered() const;
    void check_delivery();
    void note_progress();
    void begin_wait();
    void watch();

    inbound_socket_owner& owner;
    buffered_socket socket;
    delivery_monitor delivery;
    http_reader reader;
    phase current_phase = phase::reading;
    bool has_served = false;
    bool closes_after_answer = false; // announced in the head of the answer in progress
    bool idle_close_pending = false;  // checked in the deferred work
    bool closed_as_idle = false;      // and nothing was received since
    timer_number deferred_work = 0;
    std::string pipelined; // bytes read together with the end of the request in progress

    // Bytes have arrived that belong to a request after the one in progress, or to one that will
    // not be answered. They stay in the socket: whoever closes the connection has not read them, so
    // that their caller learns that the request was not run.
    bool has_unread_bytes = false;
    bool drains = false; // the rest of a refused request is read, so that its caller reads on
    std::size_t drained_bytes = 0;
    decision::instant drain_started; // when the request was refused

    // The request in progress. On a closed connection: the one whose listener has not been notified
    // yet that the caller disconnected.
    boost::intrusive_ptr<connection_exchange> exchange;
    decision::instant wait_started;     // of the current wait, or the last progress in it
    std::size_t reported_unsent = 0;    // to the owner
    std::size_t sent_at_wait = 0;       // bytes sent when `wait_started` was set
    decision::duration idle_duration{}; // before it was closed as idle
    decision::duration idle_time{};     // limit when the wait began, on which the caller relies
    inbound_limits message_limits;      // limits when the current message began
    byte_charge memory;                 // of the connection and its buffers
};

} // namespace pearhaven::adapters

#endif
