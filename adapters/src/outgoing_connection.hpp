#ifndef PEARHAVEN_ADAPTERS_SRC_OUTGOING_CONNECTION_HPP
#define PEARHAVEN_ADAPTERS_SRC_OUTGOING_CONNECTION_HPP

#include "frame_buffer.hpp"
#include "link_connection.hpp"
#include "tcp_socket.hpp"

#include <deque>
#include <optional>

namespace pearhaven::adapters {

// Everything on its way to one peer: the bounded queue, and the connection that is opened when the
// queue has something. After a failure the next attempt waits, longer each time in a row. What is
// queued when no connection can be had is dropped: it would be stale once one is.
class outgoing_connection : public link_connection {
public:
    outgoing_connection(link_context& context, peer_address peer);
    ~outgoing_connection() override;
    outgoing_connection(const outgoing_connection&) = delete;
    outgoing_connection& operator=(const outgoing_connection&) = delete;

    void enqueue(std::string payload);
    void on_ready(const ready_socket& state) override;

    // Nothing queued, connected, waited for or remembered: the object may go.
    [[nodiscard]] bool is_spent() const
    {
        return this->phase == stage::idle && this->queue.empty() && this->failures == 0;
    }

    // Whether bytes may still be on their way into the connection.
    [[nodiscard]] bool is_draining() const;

private:
    enum class stage { idle, connecting, awaiting_nonce, opened, backing_off };

    void on_deadline(monotonic_time now) override;
    void connect();
    void on_connected();
    void on_readable();
    void open(const connection_nonce& acceptor);
    void flush();
    [[nodiscard]] bool load_next();
    void drop_oldest();
    void drop_queue();
    void lose();
    void back_off();
    void end_back_off();
    void rest();
    void disconnect();

    const peer_address peer;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;

    stage phase = stage::idle;
    unsigned failures = 0; // in a row
    monotonic_time opened_at;
    tcp_socket socket;
    connection_nonce own_nonce{};
    frame_buffer received;
    std::optional<frame_authenticator> authenticator;
    std::string current; // frame on its way, from `written` on
    std::size_t written = 0;
    bool current_is_message = false; // not the opening frame
};

} // namespace pearhaven::adapters

#endif
