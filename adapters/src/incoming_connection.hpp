#ifndef PEARHAVEN_ADAPTERS_SRC_INCOMING_CONNECTION_HPP
#define PEARHAVEN_ADAPTERS_SRC_INCOMING_CONNECTION_HPP

#include "frame_buffer.hpp"
#include "link_connection.hpp"
#include "tcp_socket.hpp"

#include <optional>

namespace pearhaven::adapters {

// The receiving end of a connection opened by a peer. Both ends exchange nonces, the peer sends an
// empty opening frame, then frames with messages. Until the opening frame has proved the fleet key,
// longer frames are rejected, so an unauthenticated sender holds only a few bytes for at most the
// handshake timeout.
class incoming_connection : public link_connection {
public:
    // Receives an authenticated payload; returns false when it is not a valid message.
    using sink = std::function<bool(std::string_view payload)>;

    incoming_connection(link_context& context, tcp_socket accepted, sink deliver);
    ~incoming_connection() override;
    incoming_connection(const incoming_connection&) = delete;
    incoming_connection& operator=(const incoming_connection&) = delete;

    void on_ready(const ready_socket& state) override;

    [[nodiscard]] bool is_closed() const { return !this->socket; }
    [[nodiscard]] bool is_opened() const { return this->phase == stage::opened; }
    void close();

private:
    enum class stage { awaiting_nonce, awaiting_opening, opened };

    void on_deadline(monotonic_time now) override;
    void take_bytes(std::string_view bytes);
    [[nodiscard]] bool take_nonce();
    void take_frames();
    [[nodiscard]] bool take_frame(const frame& item);
    void reject();

    tcp_socket socket;
    sink deliver;
    stage phase = stage::awaiting_nonce;
    const connection_nonce own_nonce = random_nonce();
    std::optional<frame_authenticator> authenticator;
    frame_buffer buffer;
};

} // namespace pearhaven::adapters

#endif
