#ifndef PEARHAVEN_ADAPTERS_SRC_OUTGOING_CONNECTION_HPP
#define PEARHAVEN_ADAPTERS_SRC_OUTGOING_CONNECTION_HPP

#include "frame_buffer.hpp"
#include "link_connection.hpp"
#include "tcp_socket.hpp"

#include <deque>
#include <optional>

namespace pearhaven::adapters {

// Messages to one peer: the bounded queue, and the connection that is opened when the queue is not
// empty. After a failure, the next attempt is delayed by an increasing backoff. Queued messages are
// dropped when connecting fails, because they would be stale once a connection succeeds.
class outgoing_connection : public link_connection {
public:
    outgoing_connection(link_context& context, peer_address peer);
    ~outgoing_connection() override;
    outgoing_connection(const outgoing_connection&) = delete;
    outgoing_connection& operator=(const outgoing_connection&) = delete;

    void enqueue(std::string payload);
    void on_ready(const ready_socket& state) override;

    // Whether nothing is queued, connected, pending or remembered, so that the object can be
    // removed.
    [[nodiscard]] bool is_unused() const
    {
        return this->phase == stage::idle && this->queue.empty() && this->failures == 0;
    }

    // Whether there are still messages that the connection may send.
    [[nodiscard]] bool is_draining() const;

private:
    enum class stage { idle, connecting, awaiting_nonce, opened, backing_off };

    void on_deadline(monotonic_time now) override;
    void connect();
    void on_connected();
    void on_readable();
    void open(const connection_nonce& acceptor);
    void flush();
    [[nodiscard]] bool start_next_frame();
    void drop_oldest();
    void drop_queue();
    void on_lost();
    void back_off();
    void end_back_off();
    void become_idle();
    void disconnect();

    const peer_address peer;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;

    stage phase = stage::idle;
    unsigned failures = 0; // consecutive
    monotonic_time opened_at;
    tcp_socket socket;
    connection_nonce own_nonce{};
    frame_buffer received;
    std::optional<frame_authenticator> authenticator;
    std::string current; // frame being sent; bytes from `written` on are unsent
    std::size_t written = 0;
    bool current_is_message = false; // false for the opening frame
};

} // namespace pearhaven::adapters

#endif
