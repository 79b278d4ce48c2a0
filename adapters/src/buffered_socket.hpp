#ifndef PEARHAVEN_ADAPTERS_SRC_BUFFERED_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_BUFFERED_SOCKET_HPP

#include "tcp_socket.hpp"

#include "pearhaven/adapters/message_body.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// A non-blocking socket with a buffer for bytes that the socket has not accepted yet.
class buffered_socket {
public:
    buffered_socket() = default;
    explicit buffered_socket(tcp_socket open_socket) : socket(std::move(open_socket)) {}

    // Writes as much as the socket accepts now and buffers the rest. Returns false when the
    // connection is lost.
    [[nodiscard]] bool write(std::string_view bytes);

    // The same with a body after the bytes. Nothing else may be written until all of it is sent.
    [[nodiscard]] bool write(std::string_view bytes, message_body body);

    // Writes buffered bytes. Returns false when the connection is lost.
    [[nodiscard]] bool flush();

    [[nodiscard]] std::size_t unsent() const
    {
        return this->pending.size() - this->sent + this->body_left;
    }

    // Memory that the unsent bytes take, without the body.
    [[nodiscard]] std::size_t allocated_bytes() const { return this->pending.capacity(); }
    [[nodiscard]] int error() const { return this->last_error; } // errno of the lost connection
    [[nodiscard]] std::size_t total_sent() const { return this->total; }
    [[nodiscard]] tcp_socket& get() { return this->socket; }
    [[nodiscard]] const tcp_socket& get() const { return this->socket; }

private:
    [[nodiscard]] bool send(std::string_view bytes, std::size_t& counted);
    [[nodiscard]] bool flush_body();
    void release_sent();

    tcp_socket socket;
    std::string pending;
    std::size_t sent = 0;       // bytes of `pending` already written
    message_body pending_body;  // follows `pending`
    std::size_t body_block = 0; // of it that is being written
    std::size_t sent_body = 0;  // bytes of that block already written
    std::size_t body_left = 0;  // bytes of it that are not written yet
    int last_error = 0;         // of the write that found the connection lost
    std::size_t total = 0;      // bytes written since the socket was opened
};

} // namespace pearhaven::adapters

#endif
