#ifndef PEARHAVEN_TESTS_SUPPORT_RAW_SERVER_HPP
#define PEARHAVEN_TESTS_SUPPORT_RAW_SERVER_HPP

#include "vanished_peer.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace pearhaven::tests {

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::uint16_t port_of(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

inline int listen_on_loopback(int backlog)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    [[maybe_unused]] const int bound =
        bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    listen(socket, backlog);
    return socket;
}

inline int connect_to_loopback(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval receive_timeout{20, 0}; // lets a test that gets no data fail instead of hang
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    const sockaddr_in address = loopback(port);
    [[maybe_unused]] const int connected =
        connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return socket;
}

// The server's end of one connection, read and written byte by byte by a test.
class raw_connection {
public:
    explicit raw_connection(int connected) : socket(connected) {}

    // Reads one request with its body; empty when the other end closed.
    std::string read_request()
    {
        std::string text;
        std::size_t wanted = std::string::npos;
        while (text.size() < wanted) {
            char piece[4096];
            const ssize_t count = recv(this->socket, piece, sizeof piece, 0);
            if (count <= 0) {
                return {};
            }
            text.append(piece, static_cast<std::size_t>(count));
            const auto head = text.find("\r\n\r\n");
            if (head != std::string::npos && wanted == std::string::npos) {
                wanted = head + 4 + content_length(text);
            }
        }
        return text;
    }

    // Returns false when the other end has closed.
    bool send(std::string_view text) const
    {
        return ::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL) >= 0;
    }

    void answer(int status, std::string_view body) const
    {
        this->send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + std::string(body));
    }

    // Reads all bytes until the other end has closed.
    [[nodiscard]] std::string read_until_closed() const
    {
        std::string text;
        char piece[4096];
        ssize_t count = 0;
        while ((count = recv(this->socket, piece, sizeof piece, 0)) > 0) {
            text.append(piece, static_cast<std::size_t>(count));
        }
        return text;
    }

    void wait_until_closed() const { static_cast<void>(this->read_until_closed()); }

    void shut() const { shutdown(this->socket, SHUT_RDWR); }

    // Ends this end's bytes; the other end can still send.
    void end() const { shutdown(this->socket, SHUT_WR); }

    // Reads nothing until the other end has closed.
    void wait_until_hung_up() const
    {
        pollfd waiting{this->socket, POLLRDHUP, 0};
        poll(&waiting, 1, -1);
    }

    // Acts like a host that has lost power.
    void vanish() const { drop_all_that_arrives(this->socket); }

    // Resets the connection, so that the other end's next use of it fails. The descriptor number
    // stays in use until its owner closes it.
    void reset() const
    {
        const linger zero_linger{1, 0};
        setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
        const int null_device = open("/dev/null", O_RDONLY | O_CLOEXEC);
        dup2(null_device, this->socket);
        close(null_device);
    }

private:
    static std::size_t content_length(const std::string& text)
    {
        const std::string field = "Content-Length: ";
        const auto at = text.find(field);
        return at == std::string::npos ? 0 : std::stoul(text.substr(at + field.size()));
    }

    int socket;
};

// Accepts connections on 127.0.0.1 and runs the script for each of them, on a separate thread.
class raw_server {
public:
    using conversation = std::function<void(raw_connection& connection, int index)>;

    explicit raw_server(conversation script)
        : script_function(std::move(script)), listener(listen_on_loopback(64)),
          acceptor([this] { this->accept_all(); })
    {}

    ~raw_server()
    {
        this->finish();
        for (const int socket : this->sockets) {
            close(socket);
        }
        close(this->listener);
    }

    // Closes all connections and waits for their scripts to return.
    void finish()
    {
        if (!this->acceptor.joinable()) {
            return;
        }
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        {
            const std::lock_guard guard(this->mutex);
            for (const int socket : this->sockets) {
                shutdown(socket, SHUT_RDWR);
            }
        }
        for (std::thread& thread : this->threads) {
            thread.join();
        }
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->port());
    }
    [[nodiscard]] std::uint16_t port() const { return port_of(this->listener); }
    [[nodiscard]] int connections() const { return this->accepted.load(); }

private:
    void accept_all()
    {
        for (;;) {
            const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const int index = this->accepted++;
            const std::lock_guard guard(this->mutex);
            this->sockets.push_back(socket);
            this->threads.emplace_back([this, socket, index] {
                raw_connection connection(socket);
                this->script_function(connection, index);
                connection.shut();
            });
        }
    }

    conversation script_function;
    int listener;
    std::atomic<int> accepted{0};
    std::mutex mutex;
    std::list<int> sockets;
    std::list<std::thread> threads;
    std::thread acceptor; // last, because it uses all members above
};

// Waits up to 20 s until the condition holds; returns whether it does.
template <class Condition>
bool eventually(Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

// Blocks a script, without a timeout of its own, until the test sets the flag.
inline void wait_for(const std::atomic<bool>& flag)
{
    while (!flag) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

} // namespace pearhaven::tests

#endif
