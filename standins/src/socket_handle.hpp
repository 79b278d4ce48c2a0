#ifndef PEARHAVEN_STANDINS_SOCKET_HANDLE_HPP
#define PEARHAVEN_STANDINS_SOCKET_HANDLE_HPP

#include <string>
#include <utility>

namespace pearhaven::standins {

// Owns a file descriptor; -1: none.
class socket_handle {
public:
    socket_handle() = default;
    explicit socket_handle(int owned) : descriptor(owned) {}
    ~socket_handle() { this->close(); }

    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;

    socket_handle(socket_handle&& other) noexcept : descriptor(std::exchange(other.descriptor, -1))
    {}

    socket_handle& operator=(socket_handle&& other) noexcept
    {
        if (this != &other) {
            this->close();
            this->descriptor = std::exchange(other.descriptor, -1);
        }
        return *this;
    }

    [[nodiscard]] int get() const { return this->descriptor; }
    [[nodiscard]] bool is_open() const { return this->descriptor >= 0; }
    void close();

    // Closes with a TCP reset instead of an orderly shutdown.
    void reset();

private:
    int descriptor = -1;
};

// The functions below throw std::system_error or std::invalid_argument on failure. Addresses are
// IPv4, as IP:port.

// A socket that is bound but not listening; reserves the port for `listening_socket`.
socket_handle reserved_socket(const std::string& address);

// A listening socket on an address reserved by `reserved_socket`.
socket_handle listening_socket(const std::string& address);

// A socket with a connection attempt in progress; becomes writable, or reports an error, when it
// completes.
socket_handle connecting_socket(const std::string& address);

// The address that the socket is bound to.
std::string bound_address(const socket_handle& socket);

} // namespace pearhaven::standins

#endif
