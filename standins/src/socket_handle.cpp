#include "socket_handle.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace pearhaven::standins {

namespace {

constexpr int backlog = 4096;

[[noreturn]] void fail(const std::string& what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

sockaddr_in parse(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    if (colon == std::string::npos ||
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        throw std::invalid_argument("expected IP:port, found " + address);
    }
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return parsed;
}

const sockaddr* generic(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address);
}

socket_handle new_socket()
{
    socket_handle made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!made.is_open()) {
        fail("socket");
    }
    return made;
}

} // namespace

void socket_handle::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

void socket_handle::reset()
{
    const linger at_once{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    this->close();
}

socket_handle reserved_socket(const std::string& address)
{
    auto made = new_socket();
    const int yes = 1;
    setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    setsockopt(made.get(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof(yes));
    const auto parsed = parse(address);
    if (::bind(made.get(), generic(parsed), sizeof(parsed)) != 0) {
        fail("bind " + address);
    }
    return made;
}

socket_handle listening_socket(const std::string& address)
{
    auto made = reserved_socket(address);
    if (::listen(made.get(), backlog) != 0) {
        fail("listen " + address);
    }
    return made;
}

socket_handle connecting_socket(const std::string& address)
{
    auto made = new_socket();
    const int yes = 1;
    setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const auto parsed = parse(address);
    if (::connect(made.get(), generic(parsed), sizeof(parsed)) != 0 && errno != EINPROGRESS) {
        fail("connect " + address);
    }
    return made;
}

std::string bound_address(const socket_handle& socket)
{
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    if (getsockname(socket.get(), reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
        fail("getsockname");
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &bound.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(bound.sin_port));
}

} // namespace pearhaven::standins
