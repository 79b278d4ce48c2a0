#include "test_fleet.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

namespace {

// A raw TCP connection for input that no client library would send.
class raw_connection {
public:
    explicit raw_connection(const std::string& address) : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto colon = address.rfind(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        timeval patience{30, 0};
        setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        const auto* target = reinterpret_cast<const sockaddr*>(&to);
        CHECK_TRUE(connect(this->socket, target, sizeof to) == 0);
    }

    ~raw_connection() { close(this->socket); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(const std::string& bytes) const
    {
        ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    // Reads until the other end closes the connection.
    [[nodiscard]] std::string read_all() const
    {
        std::string text;
        char piece[4096];
        for (auto got = recv(this->socket, piece, sizeof piece, 0); got > 0;
             got = recv(this->socket, piece, sizeof piece, 0)) {
            text.append(piece, static_cast<std::size_t>(got));
        }
        return text;
    }

private:
    int socket;
};

std::string random_bytes(std::mt19937_64& random)
{
    std::string bytes(random() % 400 + 1, '\0');
    for (auto& byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

} // namespace

// Invalid input on a router's ports must not affect its other callers.
TEST_GROUP(bad_input_test)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        test_fleet::plan plan;
        plan.name = "bad_input";
        plan.engines = 1;
        plan.routers = 1;
        plan.router_flags = {"--max_body_bytes=20000", "--caller_read_timeout_ms=1500"};
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        this->fleet.reset();
    }

    void check_still_serves()
    {
        const chat_request request;
        const auto answer = this->fleet->ask(0, request);
        CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
    }

    const running_router& router()
    {
        return this->fleet->routers[0];
    }
};

TEST(bad_input_test, random_bytes_into_every_listener_change_nothing_for_others)
{
    std::mt19937_64 random(7);
    for (const auto& address :
         {this->router().callers, this->router().operators, this->router().peers}) {
        for (int i = 0; i < 60; ++i) {
            const raw_connection connection(address);
            connection.send(random_bytes(random));
        }
    }
    this->check_still_serves();
    CHECK_TRUE(this->fleet->routers[0].process->is_running());
}

TEST(bad_input_test, a_body_over_the_limit_is_refused_with_the_limit)
{
    chat_request request;
    request.prompt = std::string(30000, 'x');
    const auto answer = this->fleet->ask(0, request);
    LONGS_EQUAL(413, answer.status);
    CHECK_EQUAL(std::string("body_too_large"), answer.error_code);
    CHECK_TRUE(answer.body.find("20000") != std::string::npos);
}

// A caller announces a body and sends half of it. It must get an error after the read timeout,
// which frees its thread: callers on all 64 threads at once must not block the next one.
TEST(bad_input_test, incomplete_requests_are_rejected_and_do_not_block_others)
{
    std::vector<std::unique_ptr<raw_connection>> half;
    for (int i = 0; i < 70; ++i) {
        half.push_back(std::make_unique<raw_connection>(this->router().callers));
        half.back()->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                          "key-of-deposits\r\nContent-Length: 100\r\n\r\n{\"model\"");
    }
    CHECK_TRUE(half.front()->read_all().find("body_incomplete") != std::string::npos);
    this->check_still_serves();
}

TEST(bad_input_test, malformed_fields_are_named_with_what_is_allowed)
{
    chat_request request;
    request.headers["pearhaven-class"] = "urgent";
    const auto answer = this->fleet->ask(0, request);
    LONGS_EQUAL(400, answer.status);
    CHECK_TRUE(answer.body.find("lookup or reading") != std::string::npos);
    CHECK_EQUAL(std::string("not_run"), answer.run);
}

TEST(bad_input_test, a_forged_session_token_is_refused)
{
    chat_request request;
    request.headers["pearhaven-session"] = "new";
    auto token = this->fleet->ask(0, request).header("pearhaven-session");
    token.back() = token.back() == '0' ? '1' : '0';
    request.headers["pearhaven-session"] = token;
    CHECK_EQUAL(std::string("bad_session"), this->fleet->ask(0, request).error_code);
}
