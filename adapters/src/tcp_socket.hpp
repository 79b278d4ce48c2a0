#ifndef PEARHAVEN_ADAPTERS_SRC_TCP_SOCKET_HPP
#define PEARHAVEN_ADAPTERS_SRC_TCP_SOCKET_HPP

#include "pearhaven/adapters/transferred_bytes.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// For sockets of any owner. How long the other host may leave bytes unacknowledged.
void set_unacknowledged_timeout(int socket, std::chrono::milliseconds timeout);

// Keepalive probes of an idle connection: how long nothing must have been received before the first
// one, the time between two of them, and how many may stay without an acknowledgement.
inline constexpr std::chrono::seconds probe_start{3};
inline constexpr std::chrono::seconds probe_period{1};
inline constexpr int max_lost_probes = 2;

// The timeout for a connection of which no bytes are outstanding: all probes fit into it. The
// system applies the same timeout to probes, so that a shorter one would end the connection with
// the first probe that is lost or late.
constexpr std::chrono::milliseconds
idle_timeout(std::chrono::milliseconds unacknowledged_timeout) noexcept
{
    const std::chrono::milliseconds all_probes = probe_start + (max_lost_probes + 1) * probe_period;
    return all_probes > unacknowledged_timeout ? all_probes : unacknowledged_timeout;
}

enum class tcp_outcome { done, would_block, closed };

struct tcp_transfer {
    tcp_outcome outcome = tcp_outcome::closed;
    std::size_t bytes = 0;
    int error = 0; // errno of a lost connection; 0 when the other end closed it
};

// What the host knows about the bytes that it has accepted for a connection.
struct tcp_delivery {
    bool outstanding = false;             // bytes are not acknowledged yet, or not even sent
    std::uint64_t acknowledged_bytes = 0; // since the connection was opened

    bool in_flight = false; // transmitted bytes are not acknowledged yet

    // Nothing that was transmitted lacks an acknowledgement: whatever is outstanding waits for the
    // other end to read.
    bool awaits_reader = false;

    // Time since the other host last acknowledged anything, including a probe.
    std::chrono::milliseconds silence{};

    friend bool operator==(const tcp_delivery&, const tcp_delivery&) = default;
};

// Nothing if the host does not tell.
[[nodiscard]] std::optional<tcp_delivery> delivery_of(int socket);

// Owns one non-blocking TCP socket, or none. Hosts are given as IP addresses.
class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int open_socket) : descriptor(open_socket) {}
    ~tcp_socket() { this->close(); }
    tcp_socket(tcp_socket&& other) noexcept;
    tcp_socket& operator=(tcp_socket&& other) noexcept;
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    // Throws std::system_error when the address is invalid or cannot be bound.
    static tcp_socket listen(const std::string& host, std::uint16_t port);

    // Starts to connect. Returns an empty socket when that fails immediately.
    static tcp_socket connect(const std::string& host, std::uint16_t port);

    // Returns the next pending connection; empty with errno set when there is none.
    [[nodiscard]] tcp_socket accept() const;

    // Disables the delay of small writes, enables keepalive probes on an idle connection, and makes
    // the connection fail when the other host does not acknowledge sent bytes, or probes, within
    // the timeout. It also fails when the other end has not read for so long (tcp(7),
    // TCP_USER_TIMEOUT), unless `delivery_monitor` extends the timeout.
    void set_options(std::chrono::milliseconds timeout) const;

    // The system then accepts only as many bytes as it could send soon. Otherwise it holds several
    // megabytes for a peer that does not read.
    void limit_unsent(std::size_t bytes) const;

    // Adds the bytes that are read and written from now on to the counts, which must outlive the
    // socket.
    void count_bytes_in(transferred_bytes& counts) { this->counted = &counts; }

    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] tcp_transfer read(char* target, std::size_t capacity) const;

    // Like a `read` of one byte that stays unread.
    [[nodiscard]] tcp_transfer peek() const;
    [[nodiscard]] tcp_transfer write(std::string_view bytes) const;

    // The errno of a connection that has failed; 0 if it has not, or was asked before.
    [[nodiscard]] int take_error() const;

    [[nodiscard]] explicit operator bool() const { return this->descriptor >= 0; }
    [[nodiscard]] int get() const { return this->descriptor; }
    [[nodiscard]] std::uint16_t port() const;
    void close();

private:
    int descriptor = -1;
    transferred_bytes* counted = nullptr;
};

} // namespace pearhaven::adapters

#endif
