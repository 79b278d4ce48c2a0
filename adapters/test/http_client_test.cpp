#include "pearhaven/adapters/http_client.hpp"
#include "raw_server.hpp"

#include <atomic>
#include <cstdlib>
#include <future>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;
using namespace pearhaven::tests;
using std::chrono::milliseconds;

namespace {

SimpleString StringFrom(const std::error_code& code)
{
    return SimpleString(code.message().c_str());
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t max_answer_bytes = 1U << 20U;

// Records its calls; refuses body pieces while `full`.
class recording_listener : public http_listener {
public:
    void on_head(int status, const std::vector<std::pair<std::string, std::string>>&) override
    {
        const std::lock_guard guard(this->mutex);
        this->head_status = status;
    }

    [[nodiscard]] bool on_body(std::string_view piece) override
    {
        const std::lock_guard guard(this->mutex);
        ++this->offers;
        if (this->full) {
            return false;
        }
        this->body += piece;
        return true;
    }

    void on_end(const http_result& result) override { this->ended.set_value(result); }

    std::string received()
    {
        const std::lock_guard guard(this->mutex);
        return this->body;
    }

    int offered()
    {
        const std::lock_guard guard(this->mutex);
        return this->offers;
    }

    void set_full(bool value)
    {
        const std::lock_guard guard(this->mutex);
        this->full = value;
    }

    [[nodiscard]] http_result wait() const { return this->end.get(); }

private:
    std::mutex mutex;
    std::string body;
    int head_status = 0;
    int offers = 0;
    bool full = false;
    std::promise<http_result> ended;
    std::shared_future<http_result> end{this->ended.get_future()};
};

http_request get(const std::string& url)
{
    http_request request;
    request.url = url;
    return request;
}

http_request post(const std::string& url, const std::string& body)
{
    http_request request = get(url);
    request.method = "POST";
    request.body = body;
    return request;
}

// Cancels its exchange and starts another from within each of its functions.
class reentrant_listener final : public recording_listener {
public:
    reentrant_listener(http_client& of, std::string at) : client(of), url(std::move(at)) {}

    void on_head(int status,
                 const std::vector<std::pair<std::string, std::string>>& headers) override
    {
        recording_listener::on_head(status, headers);
        this->cancel_and_start();
    }
    [[nodiscard]] bool on_body(std::string_view piece) override
    {
        this->cancel_and_start();
        return recording_listener::on_body(piece);
    }
    void on_end(const http_result& result) override
    {
        this->cancel_and_start();
        recording_listener::on_end(result);
    }

    std::atomic<exchange_number> exchange{0};
    std::vector<boost::intrusive_ptr<recording_listener>> started;

private:
    void cancel_and_start()
    {
        this->client.cancel(this->exchange);
        this->started.emplace_back(new recording_listener);
        this->client.start(get(this->url), this->started.back());
    }

    http_client& client;
    std::string url;
};

// Answers each request with the request's own text.
void echo(raw_connection& connection, int /*index*/)
{
    for (;;) {
        const std::string request = connection.read_request();
        if (request.empty()) {
            return;
        }
        connection.answer(200, request);
    }
}

} // namespace

TEST_GROUP(http_client)
{
    std::unique_ptr<http_client> client = make_http_client({});
    boost::intrusive_ptr<recording_listener> listener{new recording_listener};
};

TEST(http_client, an_answer_has_its_status_fields_and_body)
{
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        connection.send("HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 418 Teapot\r\nX-Kind:  Round \r\nContent-Length: 5\r\n\r\nshort");
        connection.wait_until_closed();
    });
    const http_answer answer = fetch_and_wait(*client, get(server.url()), max_answer_bytes);
    CHECK_EQUAL(std::error_code(), answer.result.error);
    LONGS_EQUAL(418, answer.result.status);
    CHECK_TRUE(answer.result.request_sent);
    STRCMP_EQUAL("short", answer.body.c_str());
    STRCMP_EQUAL("x-kind", answer.headers.at(0).first.c_str());
    STRCMP_EQUAL("Round", answer.headers.at(0).second.c_str());
}

TEST(http_client, a_request_carries_the_callers_fields_and_the_clients_own_framing)
{
    raw_server server(echo);
    http_request request = post(server.url() + "/a/../b?c=d", "payload");
    request.headers = {
        {"X-Run-Id", "7"}, {"Content-Length", "999"}, {"Transfer-Encoding", "chunked"}};
    const std::string expected = "POST /a/../b?c=d HTTP/1.1\r\nHost: " + server.url().substr(7) +
                                 "\r\nX-Run-Id: 7\r\nContent-Length: 7\r\n\r\npayload";
    const http_answer answer = fetch_and_wait(*client, request, max_answer_bytes);
    STRCMP_EQUAL(expected.c_str(), answer.body.c_str());
}

TEST(http_client, a_field_value_with_a_line_break_is_refused_unsent)
{
    http_request request = get("http://127.0.0.1:1");
    request.headers = {{"X-Run-Id", "7\r\nX-Priority: 0"}};
    const http_result result = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::invalid_request), result.error);
    CHECK_FALSE(result.request_sent);
}

TEST(http_client, a_proxy_named_in_the_environment_is_not_used)
{
    raw_server server(echo);
    setenv("http_proxy", "http://127.0.0.1:1", 1);
    const http_answer answer = fetch_and_wait(*client, get(server.url()), max_answer_bytes);
    unsetenv("http_proxy");
    LONGS_EQUAL(200, answer.result.status);
}

TEST(http_client, a_refused_connection_means_that_nothing_was_sent)
{
    const int closed = listen_on_loopback(1);
    const std::uint16_t port = port_of(closed);
    close(closed);
    const auto result =
        fetch_and_wait(*client, get("http://127.0.0.1:" + std::to_string(port)), max_answer_bytes)
            .result;
    CHECK_EQUAL(make_error_code(http_error::connect_failed), result.error);
    CHECK_FALSE(result.request_sent);
}

TEST(http_client, an_unanswered_connect_times_out_with_nothing_sent)
{
    // Guards against waiting for a lost host longer than the connect timeout. The server's accept
    // queue is full, so the kernel drops further connection requests silently, as a lost host
    // would.
    const int server = listen_on_loopback(0);
    const int first = connect_to_loopback(port_of(server));
    http_request request = get("http://127.0.0.1:" + std::to_string(port_of(server)));
    request.connect_timeout = milliseconds(200);
    const http_result result = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::connect_failed), result.error);
    CHECK_FALSE(result.request_sent);
    close(first);
    close(server);
}

TEST(http_client, an_answer_that_never_begins_hits_the_first_byte_timeout)
{
    raw_server server([](raw_connection& connection, int) { connection.wait_until_closed(); });
    http_request request = get(server.url());
    request.first_byte_timeout = milliseconds(200);
    const http_result result = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::first_byte_timeout), result.error);
    CHECK_TRUE(result.request_sent);
    LONGS_EQUAL(0, result.status);
}

TEST(http_client, an_answer_that_stalls_hits_the_progress_timeout)
{
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        connection.send(chunked_head + "3\r\nabc\r\n");
        connection.wait_until_closed();
    });
    http_request request = get(server.url());
    request.progress_timeout = milliseconds(200);
    const http_answer answer = fetch_and_wait(*client, request, max_answer_bytes);
    CHECK_EQUAL(make_error_code(http_error::progress_timeout), answer.result.error);
    LONGS_EQUAL(200, answer.result.status);
    STRCMP_EQUAL("abc", answer.body.c_str());
}

TEST(http_client, a_slow_answer_that_makes_progress_is_not_timed_out)
{
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        connection.send(chunked_head);
        for (int piece = 0; piece < 15; ++piece) {
            std::this_thread::sleep_for(milliseconds(100));
            connection.send("1\r\nx\r\n");
        }
        connection.send("0\r\n\r\n");
        connection.wait_until_closed();
    });
    http_request request = get(server.url());
    request.progress_timeout = milliseconds(1000); // below the 1.5 s that the complete answer takes
    const http_answer answer = fetch_and_wait(*client, request, max_answer_bytes);
    CHECK_EQUAL(std::error_code(), answer.result.error);
    STRCMP_EQUAL("xxxxxxxxxxxxxxx", answer.body.c_str());
}

TEST(http_client, the_total_timeout_ends_an_answer_that_makes_progress)
{
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        connection.send(chunked_head);
        while (connection.send("1\r\nx\r\n")) {
            std::this_thread::sleep_for(milliseconds(10));
        }
    });
    http_request request = get(server.url());
    request.total_timeout = milliseconds(300);
    const http_result result = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::total_timeout), result.error);
    client->stop();
}

TEST(http_client, a_paused_answer_is_not_timed_out_and_loses_nothing)
{
    // The caller receives every byte once and in order, although the listener refuses the first
    // piece and the pause lasts several times the progress timeout.
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        connection.send(chunked_head + "3\r\nabc\r\n");
        connection.send("3\r\ndef\r\n0\r\n\r\n");
        connection.wait_until_closed();
    });
    http_request request = get(server.url());
    request.progress_timeout = milliseconds(150);
    listener->set_full(true);
    const exchange_number exchange = client->start(request, listener);
    CHECK_TRUE(eventually([&] { return listener->offered() > 0; }));
    std::this_thread::sleep_for(milliseconds(600));
    listener->set_full(false);
    client->resume(exchange);
    CHECK_EQUAL(std::error_code(), listener->wait().error);
    STRCMP_EQUAL("abcdef", listener->received().c_str());
}

TEST(http_client, cancelling_closes_the_connection_and_ends_the_exchange)
{
    std::promise<void> closed;
    raw_server server([&](raw_connection& connection, int) {
        connection.read_request();
        connection.send(chunked_head + "3\r\nabc\r\n");
        connection.wait_until_closed();
        closed.set_value();
    });
    const exchange_number exchange = client->start(get(server.url()), listener);
    CHECK_TRUE(eventually([&] { return listener->received() == "abc"; }));
    client->cancel(exchange);
    CHECK_EQUAL(make_error_code(http_error::cancelled), listener->wait().error);
    CHECK_TRUE(closed.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready);
}

TEST(http_client, a_truncated_answer_is_a_lost_connection)
{
    raw_server server([](raw_connection& connection, int index) {
        connection.read_request();
        connection.send(index == 0 ? chunked_head + "3\r\nabc\r\n"
                                   : "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    });
    for (int attempt = 0; attempt < 2; ++attempt) {
        const http_result result =
            fetch_and_wait(*client, get(server.url()), max_answer_bytes).result;
        CHECK_EQUAL(make_error_code(http_error::connection_lost), result.error);
    }
}

TEST(http_client, an_answer_that_is_not_http_is_malformed)
{
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        connection.send("220 ready when you are\r\n\r\n");
    });
    const http_result result = fetch_and_wait(*client, get(server.url()), max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::malformed_answer), result.error);
}

// Guards against a part of an answer without a length that is taken for all of it, because its
// connection ended while the request was still being sent.
TEST(http_client, an_answer_without_a_length_that_ends_amid_the_request_is_a_lost_connection)
{
    raw_server server([](raw_connection& connection, int index) {
        if (index == 1) {
            connection.read_request();
        }
        connection.send("HTTP/1.1 200 OK\r\n\r\npart");
        connection.end();
        if (index == 0) {
            connection.wait_until_hung_up();
        }
    });
    auto request = post(server.url(), std::string(16U << 20U, 'x'));
    request.fresh_connection = true;
    const auto cut = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::connection_lost), cut.error);
    request.body = "short";
    const auto whole = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_FALSE(whole.error);
}

// Guards against an invalid status that counts as that of an answer, or of an interim answer.
TEST(http_client, an_answer_with_an_invalid_status_is_malformed)
{
    const std::vector<std::string> statuses = {"000", "099", "101", "600", "999"};
    raw_server server([&statuses](raw_connection& connection, int index) {
        connection.read_request();
        connection.send("HTTP/1.1 " + statuses.at(static_cast<std::size_t>(index)) +
                        " Odd\r\nContent-Length: 0\r\n\r\n");
    });
    for (const auto& status : statuses) {
        auto request = get(server.url());
        request.fresh_connection = true;
        const auto result = fetch_and_wait(*client, request, max_answer_bytes).result;
        CHECK_TRUE_TEXT(result.error == make_error_code(http_error::malformed_answer),
                        status.c_str());
    }
}

TEST(http_client, bodies_and_heads_over_their_limits_are_malformed)
{
    raw_server server([](raw_connection& connection, int index) {
        connection.read_request();
        if (index == 0) {
            connection.answer(200, "0123456789");
        } else {
            connection.send("HTTP/1.1 200 OK\r\n");
            for (int field = 0; field < 80; ++field) {
                connection.send("X-Long: " + std::string(1000, 'x') + "\r\n");
            }
        }
        connection.wait_until_closed();
    });
    for (int attempt = 0; attempt < 2; ++attempt) {
        const http_result result = fetch_and_wait(*client, get(server.url()), 9).result;
        CHECK_EQUAL(make_error_code(http_error::malformed_answer), result.error);
    }
}

TEST(http_client, connections_are_pooled_unless_a_fresh_one_is_requested)
{
    raw_server server(echo);
    http_request request = get(server.url());
    fetch_and_wait(*client, request, max_answer_bytes);
    fetch_and_wait(*client, request, max_answer_bytes);
    LONGS_EQUAL(1, server.connections());
    request.fresh_connection = true;
    fetch_and_wait(*client, request, max_answer_bytes);
    LONGS_EQUAL(2, server.connections());
}

namespace {

// Answers the first request of the first connection and closes that connection on the second
// request without an answer. Answers all requests on further connections. Counts the bookings
// received.
struct closing_server {
    raw_server server{[this](raw_connection& connection, int index) {
        connection.read_request();
        connection.answer(200, "ready");
        const std::string second = connection.read_request();
        this->bookings += second.find("booking") != std::string::npos ? 1 : 0;
        if (index > 0) {
            connection.answer(200, "ready");
        }
    }};
    std::atomic<int> bookings{0};
};

} // namespace

TEST(http_client, a_request_that_must_not_run_twice_is_never_sent_twice)
{
    // Guards against executing a request twice. A pooled connection receives the booking and is
    // closed before any byte of an answer, as by an endpoint that crashes. By default, libcurl
    // sends the request again on a new connection, also for POST. The caller must get
    // `connection_lost` instead, since the booking may have run.
    closing_server closing;
    fetch_and_wait(*client, get(closing.server.url()), max_answer_bytes);
    http_request request = post(closing.server.url(), "booking");
    request.may_resend = false;
    const http_result result = fetch_and_wait(*client, request, max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::connection_lost), result.error);
    CHECK_TRUE(result.request_sent);
    LONGS_EQUAL(1, closing.bookings.load());
}

TEST(http_client, a_request_that_may_be_resent_survives_a_pooled_connection_that_closes)
{
    raw_server server([](raw_connection& connection, int index) {
        connection.read_request();
        connection.answer(200, "ready");
        if (index > 0 || connection.read_request().empty()) {
            connection.wait_until_closed();
        }
    });
    fetch_and_wait(*client, get(server.url()), max_answer_bytes);
    const http_answer answer =
        fetch_and_wait(*client, post(server.url(), "reading"), max_answer_bytes);
    CHECK_EQUAL(std::error_code(), answer.result.error);
    LONGS_EQUAL(2, server.connections());
}

TEST(http_client, stopping_ends_every_exchange_and_refuses_new_ones)
{
    raw_server server([](raw_connection& connection, int) { connection.wait_until_closed(); });
    client->start(get(server.url()), listener);
    client->stop();
    CHECK_EQUAL(make_error_code(http_error::client_stopped), listener->wait().error);
    const http_result late = fetch_and_wait(*client, get(server.url()), max_answer_bytes).result;
    CHECK_EQUAL(make_error_code(http_error::client_stopped), late.error);
    CHECK_FALSE(late.request_sent);
}

TEST(http_client, a_connection_without_acknowledgements_is_lost_before_the_first_byte_timeout)
{
    // Guards against waiting 30 s for the first byte on a dead connection. The other end
    // acknowledges nothing, as when a device on the path has lost the state of the connection; the
    // exchange must end after the acknowledgement timeout.
    std::atomic<bool> test_done{false};
    raw_server stalled_server([&](raw_connection& connection, int) {
        connection.vanish();
        wait_for(test_done);
    });
    http_client_settings settings;
    settings.unacknowledged_timeout = milliseconds(300);
    const auto short_timeout_client = make_http_client(settings);
    http_request request = post(stalled_server.url(), std::string(32U << 20U, 'x'));
    request.may_resend = false;
    const http_result result =
        fetch_and_wait(*short_timeout_client, request, max_answer_bytes).result;
    test_done = true;
    CHECK_EQUAL(make_error_code(http_error::connection_lost), result.error);
}

TEST(http_client, a_server_that_pauses_in_a_body_gets_all_of_it)
{
    // Guards against closing the connection to a server that reads a body slowly, as if its host
    // were gone.
    raw_server slow_server([](raw_connection& connection, int) {
        std::this_thread::sleep_for(std::chrono::seconds(6));
        const auto request = connection.read_request();
        connection.answer(request.ends_with("last") ? 200 : 500, "");
    });
    http_client_settings settings;
    settings.unacknowledged_timeout = milliseconds(2000);
    const auto patient_client = make_http_client(settings);
    const auto answer = fetch_and_wait(
        *patient_client, post(slow_server.url(), std::string(32U << 20U, 'x') + "last"),
        max_answer_bytes);
    CHECK_EQUAL(std::error_code(), answer.result.error);
    LONGS_EQUAL(200, answer.result.status);
}

TEST(http_client, many_concurrent_streams_arrive_complete)
{
    raw_server server([](raw_connection& connection, int) {
        while (!connection.read_request().empty()) {
            connection.send(chunked_head);
            for (int piece = 0; piece < 200; ++piece) {
                connection.send("4\r\nabcd\r\n");
            }
            connection.send("0\r\n\r\n");
        }
    });
    std::vector<boost::intrusive_ptr<recording_listener>> listeners(50);
    for (auto& one : listeners) {
        one = new recording_listener;
        client->start(get(server.url()), one);
    }
    for (const auto& one : listeners) {
        CHECK_EQUAL(std::error_code(), one->wait().error);
        LONGS_EQUAL(800, one->received().size());
    }
    client->stop();
}

// Guards against an answer cut in its head, its framing or its body that counts as a whole one.
TEST(http_client, an_answer_cut_at_any_byte_is_a_lost_connection)
{
    const std::string interim = "HTTP/1.1 103 X\r\nLink: x\r\n\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    const std::string until_close = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n";
    // libcurl does not need the last line feed of a chunked answer, after which no body can follow.
    const std::string chunked = chunked_head + "3\r\nabc\r\n0\r\n\r";
    for (const auto& whole : {sized, chunked, until_close, interim + sized}) {
        raw_server server([&whole](raw_connection& connection, int index) {
            connection.read_request();
            connection.send(whole.substr(0, static_cast<std::size_t>(index)));
        });
        for (std::size_t position = 0; position < whole.size(); ++position) {
            boost::intrusive_ptr<recording_listener> one(new recording_listener);
            client->start(post(server.url(), "body"), one);
            const auto text = "cut at byte " + std::to_string(position) + " of " + whole;
            const auto error = one->wait().error;
            CHECK_TRUE_TEXT(static_cast<bool>(error), text.c_str());
            // A part of the first word may be no answer at all.
            CHECK_TRUE_TEXT(position < 5 || error == make_error_code(http_error::connection_lost),
                            (text + ": " + error.message()).c_str());
        }
    }
}

// The other end resets its connection at one step of its answer. The listener gets one
// `connection_lost`, and the client continues to work.
TEST(http_client, a_reset_at_any_step_of_an_answer_is_a_lost_connection)
{
    const std::vector<std::string> parts = {"", "HTTP/1.1 200 OK\r\nContent-Le", chunked_head,
                                            chunked_head + "3\r\none\r\n",
                                            chunked_head + "3\r\none\r\n0\r\n"};
    for (const auto& part : parts) {
        raw_server server([&part](raw_connection& connection, int /*index*/) {
            connection.read_request();
            connection.send(part);
            connection.reset();
        });
        boost::intrusive_ptr<recording_listener> one(new recording_listener);
        client->start(post(server.url(), "body"), one);
        CHECK_EQUAL(make_error_code(http_error::connection_lost), one->wait().error);
    }
    raw_server server(echo);
    client->start(get(server.url()), listener);
    LONGS_EQUAL(200, listener->wait().status);
}

TEST(http_client, a_listener_may_cancel_and_start_exchanges_from_within_its_functions)
{
    raw_server others(echo);
    std::atomic<bool> exchange_known{false};
    raw_server server([&exchange_known](raw_connection& connection, int /*index*/) {
        connection.read_request();
        wait_for(exchange_known);
        connection.send(chunked_head + "3\r\none\r\n");
        connection.wait_until_closed();
    });
    boost::intrusive_ptr<reentrant_listener> reentrant(
        new reentrant_listener(*client, others.url()));
    reentrant->exchange = client->start(get(server.url()), reentrant);
    exchange_known = true;
    CHECK_EQUAL(make_error_code(http_error::cancelled), reentrant->wait().error);
    for (const auto& one : reentrant->started) {
        LONGS_EQUAL(200, one->wait().status);
    }
}
