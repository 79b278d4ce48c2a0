#include "test_sockets.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

using pearhaven::standins::socket_handle;

bool wait_for(const socket_handle& socket, short events, int timeout_ms)
{
    pollfd waited{socket.get(), events, 0};
    return ::poll(&waited, 1, timeout_ms) > 0;
}

socket_handle connect_to(const std::string& address)
{
    auto socket = pearhaven::standins::connecting_socket(address);
    wait_for(socket, POLLOUT, generous_ms);
    return socket;
}

void send_text(const socket_handle& socket, const std::string& text)
{
    ::send(socket.get(), text.data(), text.size(), MSG_NOSIGNAL);
}

std::string receive(const socket_handle& socket, std::size_t length, int timeout_ms)
{
    std::string text;
    std::array<char, 4096> part{};
    while (text.size() < length && wait_for(socket, POLLIN, timeout_ms)) {
        const auto got = ::recv(socket.get(), part.data(), part.size(), 0);
        if (got <= 0) {
            break;
        }
        text.append(part.data(), static_cast<std::size_t>(got));
    }
    return text;
}

void stop_server(std::optional<pearhaven::standins::web_server>& server, const std::string& address)
{
    constexpr std::chrono::milliseconds pause{5};
    std::atomic<bool> stopped{false};
    std::thread knock([&] {
        while (!stopped) {
            connect_to(address);
            std::this_thread::sleep_for(pause);
        }
    });
    server.reset();
    stopped = true;
    knock.join();
}
