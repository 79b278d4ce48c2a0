#ifndef PEARHAVEN_TESTS_SUPPORT_LOOP_SCRIPT_HPP
#define PEARHAVEN_TESTS_SUPPORT_LOOP_SCRIPT_HPP

#include "vanished_peer.hpp"

#include "pearhaven/adapters/event_loop.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::tests {

// The test's end of a loopback connection, for use on the thread of the loop under test: no call
// blocks.
class script_socket {
public:
    explicit script_socket(int connected) : socket(connected)
    {
        fcntl(this->socket, F_SETFL, fcntl(this->socket, F_GETFL) | O_NONBLOCK);
    }
    ~script_socket() { this->close(); }
    script_socket(const script_socket&) = delete;
    script_socket& operator=(const script_socket&) = delete;

    // Connected when this returns: the listen queue accepts it. A small receive buffer, in bytes,
    // makes the other end wait for this one to read; 0 leaves the choice to the host.
    static std::unique_ptr<script_socket> connect(std::uint16_t port, int receive_buffer = 0)
    {
        const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0) {
            setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        const sockaddr_in address = loopback(port);
        [[maybe_unused]] const int connected =
            ::connect(opened, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        return std::make_unique<script_socket>(opened);
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    // Bytes that the connection does not accept now are kept for `flush`.
    void send(std::string_view bytes)
    {
        this->unsent.append(bytes);
        this->flush();
    }

    // Returns the number of unsent bytes.
    std::size_t flush()
    {
        ssize_t count = 0;
        while (!this->unsent.empty() && (count = ::send(this->socket, this->unsent.data(),
                                                        this->unsent.size(), MSG_NOSIGNAL)) > 0) {
            this->unsent.erase(0, static_cast<std::size_t>(count));
        }
        return this->unsent.size();
    }

    // All bytes received so far.
    const std::string& received()
    {
        char piece[64U << 10U];
        ssize_t count = 0;
        while (this->socket >= 0 && (count = recv(this->socket, piece, sizeof piece, 0)) > 0) {
            this->text.append(piece, static_cast<std::size_t>(count));
        }
        this->ended = this->ended || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return this->text;
    }

    // Takes a few bytes, without keeping them. Returns how many.
    std::size_t take(std::size_t count)
    {
        std::string piece(count, ' ');
        return static_cast<std::size_t>(
            std::max<ssize_t>(recv(this->socket, piece.data(), count, 0), 0));
    }

    [[nodiscard]] bool has(std::string_view part)
    {
        return this->received().find(part) != std::string::npos;
    }

    // Like `has`, for the last bytes of long data: searching all of it at each step exceeded the
    // test's timeout under ThreadSanitizer.
    [[nodiscard]] bool ends_with(std::string_view part) { return this->received().ends_with(part); }

    // Whether the other end has closed or reset the connection.
    [[nodiscard]] bool is_ended()
    {
        this->received();
        return this->ended;
    }

    // Ends this end's bytes; the other end can still send.
    void end() { ::shutdown(this->socket, SHUT_WR); }

    // Makes the other end's next use of the connection fail.
    void reset()
    {
        const linger at_once{1, 0};
        setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        this->close();
    }

    // Acts like a host that has lost power.
    void vanish() { drop_all_that_arrives(this->socket); }
    void reappear() { accept_what_arrives(this->socket); }

    // Whether the other end has reset the connection, also after it had closed it in order.
    [[nodiscard]] bool is_reset()
    {
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &length);
        this->was_reset = this->was_reset || error != 0;
        return this->was_reset;
    }

    void close()
    {
        if (this->socket >= 0) {
            ::close(std::exchange(this->socket, -1));
        }
    }

private:
    int socket;
    std::string unsent;
    std::string text;
    bool ended = false;
    bool was_reset = false;
};

// A listening socket whose connections the test serves itself.
class script_listener {
public:
    // The receive buffers of the connections are as for `script_socket::connect`.
    explicit script_listener(int receive_buffer = 0)
        : listening(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        if (receive_buffer > 0) {
            setsockopt(this->listening, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                       sizeof receive_buffer);
        }
        const sockaddr_in address = script_socket::loopback(0);
        [[maybe_unused]] const int bound =
            bind(this->listening, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        listen(this->listening, 64);
    }
    ~script_listener() { ::close(this->listening); }
    script_listener(const script_listener&) = delete;
    script_listener& operator=(const script_listener&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        getsockname(this->listening, reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    // The connections accepted so far, oldest first.
    std::vector<std::unique_ptr<script_socket>>& connections()
    {
        int next = -1;
        while ((next = accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
            this->accepted.push_back(std::make_unique<script_socket>(next));
        }
        return this->accepted;
    }

private:
    int listening;
    std::vector<std::unique_ptr<script_socket>> accepted;
};

// Makes the hosts of several connections unreachable for two seconds each, one half a second after
// the other, so that any probe of an idle connection gets no answer on some of them.
class short_outages {
public:
    static constexpr std::size_t connections = 12;
    static constexpr std::chrono::seconds duration{2};

    // All outages are over, and an idle connection that was lost in one has ended.
    static constexpr std::chrono::seconds end{11};

    // The outages begin now. Connections and loop must outlive this object's last step.
    short_outages(adapters::event_loop& test_loop, const std::vector<script_socket*>& peers)
        : loop(test_loop)
    {
        auto begin = std::chrono::milliseconds(1500);
        for (auto* const peer : peers) {
            this->loop.after(begin, [peer] { peer->vanish(); });
            this->loop.after(begin + duration, [peer] { peer->reappear(); });
            begin += std::chrono::milliseconds(500);
        }
        this->loop.after(end, [this] { this->over = true; });
    }

    [[nodiscard]] bool is_over() const { return this->over; }

private:
    adapters::event_loop& loop;
    bool over = false;
};

// A test's steps on the loop; each waits for its condition. The code under test sees all effects of
// one step at once, before the loop can process a part of them.
class loop_script {
public:
    explicit loop_script(adapters::event_loop& test_loop) : loop(test_loop) {}

    loop_script& when(std::function<bool()> condition, std::function<void()> act)
    {
        this->steps.emplace_back(std::move(condition), std::move(act));
        return *this;
    }

    loop_script& until(std::function<bool()> condition)
    {
        return this->when(std::move(condition), [] {});
    }

    // Runs the loop until all steps are done. Returns false if one still waits after a generous
    // time. A loop runs once.
    [[nodiscard]] bool run()
    {
        this->limit = adapters::event_loop::read_clock() + std::chrono::seconds(60);
        this->check_next_step();
        this->loop.run();
        return this->steps.empty();
    }

private:
    void check_next_step()
    {
        if (!this->steps.empty() && this->steps.front().first()) {
            const auto step = std::move(this->steps.front());
            this->steps.pop_front();
            step.second();
        }
        if (this->steps.empty() || this->limit < adapters::event_loop::read_clock()) {
            this->loop.stop();
            return;
        }
        this->loop.after(std::chrono::milliseconds(1), [this] { this->check_next_step(); });
    }

    adapters::event_loop& loop;
    std::deque<std::pair<std::function<bool()>, std::function<void()>>> steps;
    decision::instant limit;
};

} // namespace pearhaven::tests

#endif
