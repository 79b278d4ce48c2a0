#include "tcp_proxy.hpp"
#include "test_sockets.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <functional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

namespace {

// How long the absence of bytes is checked. A fault that lets bytes through is visible immediately.
constexpr int silence_ms = 200;

bool is_refused(const std::string& address)
{
    const auto socket = connect_to(address);
    int problem = 0;
    socklen_t length = sizeof(problem);
    getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &problem, &length);
    return problem == ECONNREFUSED;
}

// Whether the connection has ended, with an orderly shutdown or a reset.
bool has_ended_by_now(const socket_handle& socket, int timeout_ms)
{
    char byte = 0;
    return wait_for(socket, POLLIN, timeout_ms) && ::recv(socket.get(), &byte, 1, 0) <= 0;
}

} // namespace

// The test is both the client and the server of each connection.
TEST_GROUP(tcp_proxy)
{
    socket_handle listener = listening_socket("127.0.0.1:0");
    tcp_proxy proxy{"127.0.0.1:0", bound_address(listener)};
    socket_handle client;
    socket_handle server;

    void open()
    {
        this->client = connect_to(this->proxy.address());
        wait_for(this->listener, POLLIN, generous_ms);
        this->server = socket_handle(::accept(this->listener.get(), nullptr, nullptr));
    }

    void apply(const std::function<void(proxy_behaviours&)>& change)
    {
        proxy_behaviours wanted;
        change(wanted);
        this->proxy.apply(wanted);
    }

    bool passes(const std::string& text)
    {
        send_text(this->client, text);
        const bool there = receive(this->server, text.size(), generous_ms) == text;
        send_text(this->server, text);
        return there && receive(this->client, text.size(), generous_ms) == text;
    }
};

TEST(tcp_proxy, passes_bytes_both_ways)
{
    open();
    CHECK_TRUE(passes("hello"));
    LONGS_EQUAL(5, proxy.counts().bytes_to_client);
}

TEST(tcp_proxy, passes_the_end_of_a_connection_on)
{
    open();
    client.close();
    CHECK_TRUE(has_ended_by_now(server, generous_ms));
}

TEST(tcp_proxy, cuts_connections_and_refuses_new_ones_until_lifted)
{
    open();
    apply([](proxy_behaviours& wanted) { wanted.cut = true; });
    CHECK_TRUE(has_ended_by_now(client, generous_ms));
    CHECK_TRUE(has_ended_by_now(server, generous_ms));
    CHECK_TRUE(is_refused(proxy.address()));
    apply([](proxy_behaviours&) {});
    open();
    CHECK_TRUE(passes("hello"));
}

TEST(tcp_proxy, swallows_one_direction)
{
    open();
    apply([](proxy_behaviours& wanted) { wanted.one_way = "to_client"; });
    send_text(client, "request");
    CHECK_EQUAL(std::string("request"), receive(server, 7, generous_ms));
    send_text(server, "reply");
    CHECK_EQUAL(std::string(), receive(client, 5, silence_ms));
}

// A middlebox has dropped the connection's state: neither end is notified when the other closes it,
// while new connections work.
TEST(tcp_proxy, silences_open_connections_for_good)
{
    open();
    apply([](proxy_behaviours& wanted) { wanted.silence_open = true; });
    apply([](proxy_behaviours&) {});
    send_text(client, "lost");
    client.close();
    CHECK_EQUAL(std::string(), receive(server, 4, silence_ms));
    CHECK_FALSE(has_ended_by_now(server, 0));
    open();
    CHECK_TRUE(passes("hello"));
}

TEST(tcp_proxy, resumes_when_silence_is_lifted)
{
    open();
    apply([](proxy_behaviours& wanted) { wanted.silence = true; });
    send_text(client, "held");
    CHECK_EQUAL(std::string(), receive(server, 4, silence_ms));
    apply([](proxy_behaviours&) {});
    CHECK_EQUAL(std::string("held"), receive(server, 4, generous_ms));
}

TEST(tcp_proxy, truncates_the_bytes_to_the_client)
{
    open();
    CHECK_TRUE(passes("before")); // not counted
    apply([](proxy_behaviours& wanted) { wanted.truncate_to_client_after = 3; });
    send_text(server, "answer");
    CHECK_EQUAL(std::string("ans"), receive(client, 6, generous_ms));
    CHECK_TRUE(has_ended_by_now(client, generous_ms));
}

TEST(tcp_proxy, delays_bytes)
{
    open();
    apply([](proxy_behaviours& wanted) { wanted.delay_ms = 100; });
    const auto start = std::chrono::steady_clock::now();
    CHECK_TRUE(passes("hello"));
    CHECK_TRUE(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(200));
}

TEST(tcp_proxy, passes_large_amounts_at_once)
{
    open();
    const std::string large(3'000'000, 'x');
    std::thread sender([&] {
        std::size_t sent = 0;
        while (sent < large.size() && wait_for(client, POLLOUT, generous_ms)) {
            const auto done =
                ::send(client.get(), large.data() + sent, large.size() - sent, MSG_NOSIGNAL);
            sent += done > 0 ? static_cast<std::size_t>(done) : 0;
        }
    });
    CHECK_TRUE(receive(server, large.size(), generous_ms) == large);
    sender.join();
}
