#ifndef PEARHAVEN_ADAPTERS_SRC_BUFFERED_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_BUFFERED_SOCKET_HPP

#include "tcp_socket.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// A non-blocking socket with the bytes that it has not taken yet.
class buffered_socket {
public:
    buffered_socket() = default;
    explicit buffered_socket(tcp_socket open_socket) : socket(std::move(open_socket)) {}

    // Sends at once what the socket takes and keeps the rest. False when the connection is lost.
    [[nodiscard]] bool write(std::string_view bytes);

    // Sends kept bytes. False when the connection is lost.
    [[nodiscard]] bool flush();

    [[nodiscard]] std::size_t unsent() const { return this->pending.size() - this->sent; }
    [[nodiscard]] std::size_t total_sent() const { return this->total; }
    [[nodiscard]] tcp_socket& get() { return this->socket; }
    [[nodiscard]] const tcp_socket& get() const { return this->socket; }

private:
    tcp_socket socket;
    std::string pending;
    std::size_t sent = 0;  // of `kept`
    std::size_t total = 0; // since the start
};

} // namespace pearhaven::adapters

#endif
