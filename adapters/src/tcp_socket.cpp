#include "tcp_socket.hpp"

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <linux/tcp.h> // unlike <netinet/tcp.h>, has all fields of tcp_info
#include <memory>
#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace pearhaven::adapters {

namespace {

constexpr int listen_backlog = 512;

struct addrinfo_deleter {
    void operator()(addrinfo* list) const { freeaddrinfo(list); }
};
using address_list = std::unique_ptr<addrinfo, addrinfo_deleter>;

address_list find_address(const std::string& host, std::uint16_t port)
{
    addrinfo hints{};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo* found = nullptr;
    if (getaddrinfo(host.c_str(), std::to_string(port).c_str(), &hints, &found) != 0) {
        return nullptr;
    }
    return address_list(found);
}

tcp_socket open_for(const addrinfo& address)
{
    return tcp_socket(socket(address.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void set_integer_option(int socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof value);
}

tcp_transfer transfer_of(ssize_t count)
{
    if (count >= 0) {
        return {tcp_outcome::done, static_cast<std::size_t>(count)};
    }
    const bool again = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return {again ? tcp_outcome::would_block : tcp_outcome::closed, 0, errno};
}

tcp_transfer receive(int socket, char* target, std::size_t capacity, int flags)
{
    const tcp_transfer transfer = transfer_of(recv(socket, target, capacity, flags));
    if (transfer.outcome == tcp_outcome::done && transfer.bytes == 0) {
        return {tcp_outcome::closed, 0};
    }
    return transfer;
}

} // namespace

void set_unacknowledged_timeout(int socket, std::chrono::milliseconds timeout)
{
    set_integer_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

std::optional<tcp_delivery> delivery_of(int socket)
{
    tcp_info known{};
    socklen_t length = sizeof known;
    constexpr auto needed =
        offsetof(tcp_info, tcpi_notsent_bytes) + sizeof known.tcpi_notsent_bytes;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &known, &length) != 0 || length < needed) {
        return std::nullopt;
    }
    tcp_delivery result;
    result.in_flight = known.tcpi_unacked > 0;
    result.outstanding = result.in_flight || known.tcpi_notsent_bytes > 0;
    result.acknowledged_bytes = known.tcpi_bytes_acked;
    result.awaits_reader = !result.in_flight && known.tcpi_probes == 0;
    result.silence = std::chrono::milliseconds(known.tcpi_last_ack_recv);
    return result;
}

tcp_socket::tcp_socket(tcp_socket&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)),
      counted(std::exchange(other.counted, nullptr))
{}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept
{
    if (this != &other) {
        this->close();
        this->descriptor = std::exchange(other.descriptor, -1);
        this->counted = std::exchange(other.counted, nullptr);
    }
    return *this;
}

void tcp_socket::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

tcp_socket tcp_socket::listen(const std::string& host, std::uint16_t port)
{
    const address_list address = find_address(host, port);
    if (!address) {
        throw std::system_error(std::make_error_code(std::errc::address_not_available), host);
    }
    tcp_socket listener = open_for(*address);
    set_integer_option(listener.descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(listener.descriptor, address->ai_addr, address->ai_addrlen) != 0 ||
        ::listen(listener.descriptor, listen_backlog) != 0) {
        throw std::system_error(errno, std::system_category(), host + ":" + std::to_string(port));
    }
    return listener;
}

tcp_socket tcp_socket::connect(const std::string& host, std::uint16_t port)
{
    const address_list address = find_address(host, port);
    if (!address) {
        return {};
    }
    tcp_socket opened = open_for(*address);
    const int outcome = ::connect(opened.descriptor, address->ai_addr, address->ai_addrlen);
    if (outcome != 0 && errno != EINPROGRESS) {
        return {};
    }
    return opened;
}

tcp_socket tcp_socket::accept() const
{
    return tcp_socket(accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

void tcp_socket::set_options(std::chrono::milliseconds timeout) const
{
    // With a short timeout, probes begin early enough for one of them to be lost.
    const auto latest_start =
        std::chrono::floor<std::chrono::seconds>(timeout) - max_lost_probes * probe_period;
    const auto start = std::clamp(latest_start, probe_period, probe_start);
    set_integer_option(this->descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_integer_option(this->descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_integer_option(this->descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
                       static_cast<int>(start.count()));
    set_integer_option(this->descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
                       static_cast<int>(probe_period.count()));
    set_unacknowledged_timeout(this->descriptor, timeout);
}

void tcp_socket::limit_unsent(std::size_t bytes) const
{
    set_integer_option(this->descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, static_cast<int>(bytes));
}

bool tcp_socket::is_connected() const
{
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    return getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
}

tcp_transfer tcp_socket::read(char* target, std::size_t capacity) const
{
    const auto transfer = receive(this->descriptor, target, capacity, 0);
    if (this->counted != nullptr) {
        this->counted->received += transfer.bytes;
    }
    return transfer;
}

tcp_transfer tcp_socket::peek() const
{
    char byte = 0;
    return receive(this->descriptor, &byte, 1, MSG_PEEK);
}

int tcp_socket::take_error() const
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

tcp_transfer tcp_socket::write(std::string_view bytes) const
{
    const auto transfer =
        transfer_of(send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    if (this->counted != nullptr) {
        this->counted->sent += transfer.bytes;
    }
    return transfer;
}

std::uint16_t tcp_socket::port() const
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

} // namespace pearhaven::adapters
