#include "pearhaven/adapters/http_outbound.hpp"

#include "loop_script.hpp"
#include "tcp_socket.hpp"

#include <algorithm>
#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven;
using namespace pearhaven::adapters;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::loop_script;
using tests::script_listener;
using tests::script_socket;
using tests::short_outages;

namespace {

// A scripted endpoint that sends the next configured answer for each request.
class scripted_endpoint final : public socket_listener {
public:
    explicit scripted_endpoint(event_loop& target_loop)
        : loop(target_loop), acceptor(tcp_socket::listen("127.0.0.1", 0))
    {
        this->loop.watch(this->acceptor.get(), *this, true, false);
    }
    ~scripted_endpoint() override
    {
        this->loop.forget(this->acceptor.get());
        for (const auto& open : this->connections) {
            this->loop.forget(open->socket.get());
        }
    }
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    void on_ready(bool /*readable*/, bool /*writable*/, bool /*failed*/) override
    {
        auto made = std::make_unique<connection>(*this, this->acceptor.accept());
        this->loop.watch(made->socket.get(), *made, true, false);
        this->connections.push_back(std::move(made));
    }

    [[nodiscard]] outbound_target target() const
    {
        return {"endpoint", "127.0.0.1", this->acceptor.port()};
    }

    std::vector<std::string> answers; // one for each request, in order
    bool closes = false;              // after each answer
    bool resets = false; // with `closes`: in a way that the other end sees as a failure
    std::size_t requests = 0;
    std::size_t accepted() const { return this->connections.size(); }

private:
    struct connection final : socket_listener {
        connection(scripted_endpoint& to, tcp_socket accepted)
            : owner(to), socket(std::move(accepted))
        {}
        void on_ready(bool /*readable*/, bool /*writable*/, bool /*failed*/) override
        {
            char buffer[4096];
            const auto got = this->socket.read(buffer, sizeof buffer);
            if (got.outcome != tcp_outcome::done || got.bytes == 0) {
                this->owner.loop.forget(this->socket.get());
                return;
            }
            if (this->owner.requests < this->owner.answers.size()) {
                const auto sent = this->socket.write(this->owner.answers[this->owner.requests]);
                CHECK_TRUE(sent.outcome == tcp_outcome::done);
            }
            ++this->owner.requests;
            if (this->owner.closes) {
                const linger at_once{1, 0};
                if (this->owner.resets) {
                    ::setsockopt(this->socket.get(), SOL_SOCKET, SO_LINGER, &at_once,
                                 sizeof at_once);
                }
                this->owner.loop.forget(this->socket.get());
                this->socket.close();
            }
        }
        scripted_endpoint& owner;
        tcp_socket socket;
    };

    event_loop& loop;
    tcp_socket acceptor;
    std::vector<std::unique_ptr<connection>> connections;
};

// Records the events of an exchange. Skips heads with the field `Id: old` and accepts others.
class recording_listener final : public outbound_listener {
public:
    head_verdict on_head(const http_response_head& head) override
    {
        this->statuses.push_back(head.status);
        const auto* id = find_field(head.fields, "Id");
        return id != nullptr && *id == "old" ? head_verdict::skip : head_verdict::take;
    }
    void on_body(std::string_view piece) override { this->body.append(piece); }
    void on_end() override { this->ended = true; }
    void on_failure(const outbound_failure& how) override { this->failure = how; }
    [[nodiscard]] std::size_t held_bytes() const override { return this->body.size(); }
    void release_held() override
    {
        if (this->passes_on) {
            this->body.clear();
            this->body.shrink_to_fit();
        }
    }

    bool passes_on = false; // what it holds, if it is asked to
    std::vector<int> statuses;
    std::string body;
    bool ended = false;
    std::optional<outbound_failure> failure;
};

// Cancels its own exchange from within one of its functions, and records when it is destroyed.
class cancelling_listener final : public outbound_listener {
public:
    enum class moment { head, body, silence };

    struct observations {
        bool inside = false;
        bool destroyed = false;
        bool destroyed_inside = false;
        int ended = 0;
    };

    cancelling_listener(http_outbound& of, moment chosen, observations& record)
        : client(of), when(chosen), seen(record)
    {}
    ~cancelling_listener() override
    {
        this->seen.destroyed = true;
        this->seen.destroyed_inside = this->seen.inside;
    }
    cancelling_listener(const cancelling_listener&) = delete;
    cancelling_listener& operator=(const cancelling_listener&) = delete;

    head_verdict on_head(const http_response_head& /*head*/) override
    {
        this->cancel_at(moment::head);
        return head_verdict::take;
    }
    void on_body(std::string_view /*piece*/) override { this->cancel_at(moment::body); }
    bool on_silence() override
    {
        this->cancel_at(moment::silence);
        return true;
    }
    void on_end() override { ++this->seen.ended; }
    void on_failure(const outbound_failure& /*how*/) override { ++this->seen.ended; }

    outbound_number exchange = 0;

private:
    void cancel_at(moment reached)
    {
        auto& record = this->seen; // remains valid if this object is destroyed
        if (reached == this->when) {
            record.inside = true;
            this->client.cancel(this->exchange);
            record.inside = false;
        }
    }

    http_outbound& client;
    moment when;
    observations& seen;
};

// Starts the next exchange as soon as its own has ended.
class chaining_listener final : public outbound_listener {
public:
    chaining_listener(http_outbound& of, outbound_target at, outbound_listener_ptr after)
        : client(of), target(std::move(at)), next(std::move(after))
    {}
    head_verdict on_head(const http_response_head& /*head*/) override { return head_verdict::take; }
    void on_body(std::string_view /*piece*/) override {}
    void on_end() override { this->client.start(this->target, {}, std::move(this->next)); }
    void on_failure(const outbound_failure& /*how*/) override { this->on_end(); }

private:
    http_outbound& client;
    outbound_target target;
    outbound_listener_ptr next;
};

// Starts the exchange again after each failure, up to a maximum.
class retrying_listener final : public outbound_listener {
public:
    retrying_listener(http_outbound& of, outbound_target at, int& tries)
        : client(of), target(std::move(at)), count(tries)
    {}
    head_verdict on_head(const http_response_head& /*head*/) override { return head_verdict::take; }
    void on_body(std::string_view /*piece*/) override {}
    void on_end() override {}
    void on_failure(const outbound_failure& /*how*/) override
    {
        if (++this->count < max_tries) {
            this->client.start(this->target, {}, this);
        }
    }

    static constexpr int max_tries = 10000;

private:
    http_outbound& client;
    outbound_target target;
    int& count;
};

const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_GROUP(http_outbound)
{
    event_loop loop;
    std::unique_ptr<scripted_endpoint> endpoint;
    std::unique_ptr<http_outbound> client;
    cancelling_listener::observations observed;

    void setup() override
    {
        this->endpoint = std::make_unique<scripted_endpoint>(this->loop);
        this->client = make_http_outbound(this->loop, {});
    }

    void teardown() override
    {
        this->client.reset();
        this->endpoint.reset();
    }

    boost::intrusive_ptr<recording_listener> ask(outbound_request request = {})
    {
        boost::intrusive_ptr<recording_listener> listener(new recording_listener);
        request.fields = {{"Host", "h"}};
        this->client->start(this->endpoint->target(), std::move(request), listener);
        this->run_for(milliseconds(80));
        return listener;
    }

    // Checks that a listener that cancels at the moment is destroyed, but not from within its own
    // function, and is not called again.
    void cancel_at(cancelling_listener::moment moment, const outbound_request& request = {})
    {
        auto* made = new cancelling_listener(*this->client, moment, this->observed);
        // The connection holds the only reference to the listener, as it does for a relay.
        made->exchange = this->client->start(this->endpoint->target(), request, made);
        this->run_for(milliseconds(80));
        CHECK_TRUE(this->observed.destroyed);
        CHECK_FALSE(this->observed.destroyed_inside);
        CHECK_EQUAL(0, this->observed.ended);
    }

    void run_for(milliseconds time)
    {
        this->loop.after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

TEST(http_outbound, receives_a_complete_answer)
{
    this->endpoint->answers = {answer};
    const auto seen = this->ask();
    CHECK_TRUE(seen->ended);
    STRCMP_EQUAL("ok", seen->body.c_str());
}

TEST(http_outbound, counts_the_bytes_of_all_connections)
{
    this->endpoint->answers = {answer, answer};
    this->client->start(this->endpoint->target(), {}, new recording_listener);
    this->ask();
    CHECK_EQUAL(2U, this->client->counts().connected);
    CHECK_EQUAL(2 * answer.size(), this->client->counts().bytes.received);
    CHECK_COMPARE(0U, <, this->client->counts().bytes.sent);
}

// An endpoint sends the late answer to an earlier request before the expected one.
TEST(http_outbound, skips_an_answer_to_another_request)
{
    this->endpoint->answers = {"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nbad" +
                               answer};
    const auto seen = this->ask();
    CHECK_TRUE(seen->ended);
    STRCMP_EQUAL("ok", seen->body.c_str());
}

TEST(http_outbound, a_truncated_answer_fails)
{
    this->endpoint->answers = {answer.substr(0, answer.size() - 1)};
    this->endpoint->closes = true;
    const auto seen = this->ask();
    CHECK_FALSE(seen->ended);
    CHECK_TRUE(seen->failure->why == outbound_fault::connection_lost);
    CHECK_TRUE(seen->failure->answer_began);
}

// Guards against a whole answer that counts as broken because the end of its connection is its end.
TEST(http_outbound, an_answer_without_a_length_ends_with_its_connection)
{
    this->endpoint->answers = {"HTTP/1.1 200 OK\r\n\r\nwhole"};
    this->endpoint->closes = true;
    const auto seen = this->ask();
    CHECK_TRUE(seen->ended);
    CHECK_FALSE(seen->failure.has_value());
    STRCMP_EQUAL("whole", seen->body.c_str());
}

TEST(http_outbound, an_answer_without_a_length_fails_if_its_connection_is_reset)
{
    this->endpoint->answers = {"HTTP/1.1 200 OK\r\n\r\nwhole"};
    this->endpoint->closes = true;
    this->endpoint->resets = true;
    const auto seen = this->ask();
    CHECK_FALSE(seen->ended);
    CHECK_TRUE(seen->failure->why == outbound_fault::connection_lost);
}

// Guards against a body without an end, which keeps its exchange open for ever.
TEST(http_outbound, a_body_beyond_its_limit_fails_before_its_end)
{
    this->endpoint->answers = {"HTTP/1.1 200 OK\r\n\r\n" + std::string(3000, 'x')};
    outbound_request limited;
    limited.max_body = 2000;
    const auto seen = this->ask(limited);
    CHECK_TRUE(seen->failure && seen->failure->why == outbound_fault::malformed);
}

// Guards against answers that are each within their bounds and together exceed the memory.
TEST(http_outbound, the_answers_that_hold_most_end_when_all_hold_too_much)
{
    IGNORE_ALL_LEAKS_IN_TEST(); // the log is created with its first line and kept
    http_outbound_settings bounded;
    bounded.max_held_bytes = 8000;
    this->client = make_http_outbound(this->loop, bounded);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n";
    this->endpoint->answers = {head + std::string(3000, 'x'), head + std::string(100, 'x'),
                               "HTTP/1.1 200 OK\r\nField: " + std::string(4000, 'x'),
                               head + std::string(2000, 'x')};
    std::vector<boost::intrusive_ptr<recording_listener>> all;
    for (std::size_t count = 0; count < this->endpoint->answers.size(); ++count) {
        all.emplace_back(new recording_listener);
        this->client->start(this->endpoint->target(), {}, all.back());
    }
    this->run_for(milliseconds(80));
    for (const auto& one : all) {
        const bool has_head = !one->statuses.empty();
        CHECK_TRUE(has_head ? !one->failure : one->failure->why == outbound_fault::no_memory);
    }
    CHECK_EQUAL(1U, this->client->counts().ended_for_memory);
    CHECK_COMPARE(this->client->counts().held_bytes, <=, bounded.max_held_bytes);
}

TEST(http_outbound, an_answer_that_can_be_passed_on_does_not_end_when_it_holds_too_much)
{
    IGNORE_ALL_LEAKS_IN_TEST(); // the log is created with its first line and kept
    http_outbound_settings bounded;
    bounded.max_held_bytes = 1000;
    this->client = make_http_outbound(this->loop, bounded);
    this->endpoint->answers = {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                               std::string(1999, 'x')};
    const boost::intrusive_ptr<recording_listener> seen(new recording_listener);
    seen->passes_on = true;
    this->client->start(this->endpoint->target(), {}, seen);
    this->run_for(milliseconds(80));
    CHECK_FALSE(seen->failure.has_value());
    CHECK_EQUAL(0U, this->client->counts().ended_for_memory);
    CHECK_EQUAL(0U, this->client->counts().held_bytes);
}

TEST(http_outbound, malformed_bytes_fail)
{
    this->endpoint->answers = {"garbage\r\n\r\n"};
    CHECK_TRUE(this->ask()->failure->why == outbound_fault::malformed);
}

TEST(http_outbound, silence_fails_after_the_answer_time)
{
    outbound_request request;
    request.answer_time = milliseconds(20);
    CHECK_TRUE(this->ask(request)->failure->why == outbound_fault::silent);
}

// Guards against giving up a request as silent although its answer arrived in time. The answer
// arrived while the loop was blocked for longer than the timeout, and the timer ran before the
// socket was read.
TEST(http_outbound, an_answer_that_arrived_while_the_loop_was_busy_is_not_silence)
{
    constexpr milliseconds answer_timeout{1000};
    tests::script_listener slow_endpoint;
    boost::intrusive_ptr<recording_listener> waiting(new recording_listener);
    outbound_request slow_request;
    slow_request.fields = {{"Host", "h"}};
    slow_request.answer_time = answer_timeout;
    this->client->start({"slow", "127.0.0.1", slow_endpoint.port()}, slow_request, waiting);
    this->endpoint->answers = {answer};
    outbound_request other;
    other.fields = {{"Host", "h"}};
    const auto block_loop = [&slow_endpoint, answer_timeout](const collected_answer& /*brought*/) {
        slow_endpoint.connections().front()->send(answer);
        std::this_thread::sleep_for(answer_timeout + milliseconds(500));
    };
    tests::loop_script script(this->loop);
    script
        .when(
            [&slow_endpoint] {
                auto& open = slow_endpoint.connections();
                return !open.empty() && open.front()->has("\r\n\r\n");
            },
            [this, &other, &block_loop] {
                this->client->start(this->endpoint->target(), other,
                                    collect_answer(1024, block_loop));
            })
        .until([&waiting] { return waiting->ended || waiting->failure; });
    CHECK_TRUE(script.run());
    CHECK_FALSE(waiting->failure.has_value());
    STRCMP_EQUAL("ok", waiting->body.c_str());
}

TEST(http_outbound, a_refused_connection_means_not_connected)
{
    auto target = this->endpoint->target();
    this->endpoint.reset();
    boost::intrusive_ptr<recording_listener> listener(new recording_listener);
    this->client->start(target, {}, listener);
    this->run_for(milliseconds(50));
    CHECK_TRUE(listener->failure->why == outbound_fault::not_connected);
}

// Guards against a use after free: a relay cancels a run from within `on_body`, as at a gap in a
// stream, and the listener was destroyed in the middle of that function.
TEST(http_outbound, a_listener_that_cancels_in_on_body_outlives_the_call)
{
    this->endpoint->answers = {answer};
    this->cancel_at(cancelling_listener::moment::body);
}

TEST(http_outbound, a_listener_that_cancels_in_on_head_outlives_the_call)
{
    this->endpoint->answers = {answer};
    this->cancel_at(cancelling_listener::moment::head);
}

TEST(http_outbound, a_listener_that_cancels_in_on_silence_outlives_the_call)
{
    outbound_request request;
    request.answer_time = milliseconds(20);
    this->cancel_at(cancelling_listener::moment::silence, request);
}

TEST(http_outbound, the_next_exchange_may_start_in_on_end_of_the_previous_one)
{
    this->endpoint->answers = {answer, answer};
    boost::intrusive_ptr<recording_listener> second(new recording_listener);
    this->client->start(this->endpoint->target(), {},
                        new chaining_listener(*this->client, this->endpoint->target(), second));
    this->run_for(milliseconds(80));
    CHECK_TRUE(second->ended);
    CHECK_EQUAL(1, this->endpoint->accepted());
}

// The connection fails immediately, and the exchange is cancelled before the failure is reported.
TEST(http_outbound, an_exchange_cancelled_before_its_failure_is_reported_reports_nothing)
{
    auto target = this->endpoint->target();
    target.host = "no number";
    boost::intrusive_ptr<recording_listener> listener(new recording_listener);
    this->client->cancel(this->client->start(target, {}, listener));
    this->run_for(milliseconds(20));
    CHECK_FALSE(listener->failure.has_value());
    CHECK_EQUAL(0, this->client->counts().open);
}

// The client is destroyed while failures have not been reported yet.
TEST(http_outbound, a_client_may_be_destroyed_before_failures_are_reported)
{
    auto target = this->endpoint->target();
    target.host = "no number";
    boost::intrusive_ptr<recording_listener> listener(new recording_listener);
    this->client->start(target, {}, listener);
    this->client->cancel(this->client->start(target, {}, listener));
    this->client.reset();
    this->run_for(milliseconds(20));
    CHECK_FALSE(listener->failure.has_value());
}

// Guards against starving the loop: connections to the store fail immediately, and each failed call
// starts the next one. Other work of the loop must run in between.
TEST(http_outbound, exchanges_that_fail_at_start_do_not_starve_the_loop)
{
    auto target = this->endpoint->target();
    target.host = "no number";
    int tries = 0;
    this->client->start(target, {}, new retrying_listener(*this->client, target, tries));
    this->loop.post([this] { this->loop.stop(); });
    this->loop.run();
    CHECK_TRUE(tries < retrying_listener::max_tries);
}

// An endpoint that closes its connection in the middle of its answer.
TEST_GROUP(http_outbound_cut_answer)
{
    // Asks for the answer once for each of its bytes, cut before that byte. The results are in the
    // order of the bytes.
    struct cutting_client {
        cutting_client(const std::string& whole_answer, const std::string& with_method, bool resets)
            : whole(whole_answer), method(with_method)
        {
            this->endpoint.closes = true;
            this->endpoint.resets = resets;
            this->loop.after(milliseconds(0), [this] { this->proceed(); });
            this->loop.after(seconds(20), [this] { this->loop.stop(); });
            this->loop.run();
        }

        void proceed()
        {
            const bool open =
                !this->seen.empty() && !this->seen.back()->ended && !this->seen.back()->failure;
            if (!open && this->seen.size() == this->whole.size()) {
                this->loop.stop();
                return;
            }
            if (!open) {
                const auto part = this->whole.substr(0, this->seen.size());
                this->endpoint.answers.assign(this->endpoint.requests + 1, part);
                outbound_request request;
                request.method = this->method;
                request.fields = {{"Host", "h"}};
                this->seen.emplace_back(new recording_listener);
                this->client->start(this->endpoint.target(), request, this->seen.back());
            }
            this->loop.after(std::chrono::microseconds(50), [this] { this->proceed(); });
        }

        std::string whole;
        std::string method;
        event_loop loop;
        scripted_endpoint endpoint{this->loop};
        std::unique_ptr<http_outbound> client = make_http_outbound(this->loop, {});
        std::vector<boost::intrusive_ptr<recording_listener>> seen;
    };

    // Checks that no part of the answer ends as a whole one. Only where the end of the connection
    // is the end of the body may an answer with a complete head end, unless by a reset.
    static void check_cuts(const std::string& head, const std::string& body,
                           const std::string& method = "POST")
    {
        const bool ends_with_connection =
            head.find("Length") == std::string::npos && head.find("chunked") == std::string::npos;
        for (const bool resets : {false, true}) {
            const cutting_client client(head + body, method, resets);
            CHECK_EQUAL(head.size() + body.size(), client.seen.size());
            for (std::size_t position = 0; position < client.seen.size(); ++position) {
                const bool may_end = ends_with_connection && !resets && position >= head.size();
                std::string text = resets ? "reset at byte " : "closed at byte ";
                text.append(std::to_string(position)).append(" of ").append(head).append(body);
                CHECK_EQUAL_TEXT(may_end, client.seen[position]->ended, text.c_str());
                CHECK_EQUAL_TEXT(!may_end, client.seen[position]->failure.has_value(),
                                 text.c_str());
            }
        }
    }
};

// Guards against an answer cut in its head, its framing or its body that callers get as a whole
// one.
TEST(http_outbound_cut_answer, is_a_failure_wherever_it_is_cut)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nServer: s\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    check_cuts(ok + "Content-Length: 12\r\n\r\n", "0123456789ab");
    check_cuts(chunked, "3\r\nabc\r\n1\r\nd\r\n0\r\nEnd: 1\r\n\r\n");
    check_cuts(ok + "\r\n", events);
    check_cuts(interim + interim + chunked, "3\r\nabc\r\n0\r\n\r\n");
    check_cuts(interim + ok + "\r\n", "until close");
    check_cuts(interim + ok + "Content-Length: 3\r\n\r\n", "", "HEAD");
    check_cuts("HTTP/1.1 204 No Content\r\nServer: s\r\n\r\n", "");
    check_cuts("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nbad" + answer, "");
}

TEST_GROUP(http_outbound_to_slow_endpoint)
{
    event_loop loop;
    script_listener endpoint{4096}; // bytes that wait at an endpoint that does not read
    std::unique_ptr<http_outbound> client;
    boost::intrusive_ptr<recording_listener> seen{new recording_listener};

    void setup() override
    {
        this->client = make_http_outbound(this->loop, {});
        outbound_request request;
        request.method = "POST";
        request.fields = {{"Host", "h"}};
        request.body = message_body(std::string(3U << 20U, 'x') + "last");
        this->client->start({"endpoint", "127.0.0.1", this->endpoint.port()}, std::move(request),
                            this->seen);
    }

    void teardown() override
    {
        this->client.reset();
    }

    tests::script_socket& connection()
    {
        return *this->endpoint.connections().front();
    }

    // Whether the endpoint has received the first bytes of the request.
    bool has_begun()
    {
        return !this->endpoint.connections().empty() && this->connection().take(1) > 0;
    }

    // The endpoint begins an answer without a length, and ends the connection amid the request.
    void check_broken_off(const std::function<void(tests::script_socket&)>& end)
    {
        loop_script script(this->loop);
        script
            .when([this] { return this->has_begun(); },
                  [this, &end] {
                      this->connection().send("HTTP/1.1 200 OK\r\n\r\npart");
                      end(this->connection());
                  })
            .until([this] { return this->seen->failure || this->seen->ended; });
        CHECK_TRUE(script.run());
        CHECK_FALSE(this->seen->ended);
        CHECK_TRUE(this->seen->failure->why == outbound_fault::connection_lost);
    }

    // True once the endpoint has read nothing for much longer than the timeout.
    std::function<bool()> has_paused()
    {
        return [this, end = decision::instant()]() mutable {
            if (end == decision::instant() && !this->endpoint.connections().empty()) {
                end = this->loop.now() + seconds(5);
            }
            return end != decision::instant() && this->loop.now() >= end;
        };
    }
};

// Guards against closing the connection of an endpoint that reads a body slowly, which looks like
// a run that crashed the endpoint.
TEST(http_outbound_to_slow_endpoint, an_endpoint_that_pauses_in_the_body_gets_all_of_it)
{
    loop_script script(this->loop);
    script.until(this->has_paused())
        .when([this] { return this->seen->failure || this->connection().ends_with("last"); },
              [this] { this->connection().send(answer); })
        .until([this] { return this->seen->failure || this->seen->ended; });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->seen->ended);
}

// Guards against losing an answer because the connection was reset while the body was being sent:
// whoever refuses a body may close before it has read the rest.
TEST(http_outbound_to_slow_endpoint, an_answer_before_a_reset_amid_the_body_is_taken)
{
    loop_script script(this->loop);
    script
        .when([this] { return this->has_begun(); },
              [this] {
                  this->connection().send(answer);
                  this->connection().close(); // with unread bytes: a reset follows the answer
              })
        .until([this] { return this->seen->failure || this->seen->ended; });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->seen->ended);
}

// Guards against a part of an answer that is taken for all of it, because its connection ended
// while the request was still being sent. Without a length the end of the connection is the only
// sign.
TEST(http_outbound_to_slow_endpoint, an_answer_without_a_length_fails_if_it_ends_amid_the_body)
{
    this->check_broken_off([](auto& connection) { connection.end(); });
}

TEST(http_outbound_to_slow_endpoint, an_answer_without_a_length_fails_if_it_is_reset_amid_the_body)
{
    this->check_broken_off([](auto& connection) { connection.reset(); });
}

TEST(http_outbound_to_slow_endpoint, an_answer_without_a_length_fails_if_the_body_is_left_unread)
{
    this->check_broken_off([](auto& connection) { connection.close(); });
}

// The end in order arrives together with the reset, which leaves nothing unacknowledged.
TEST(http_outbound_to_slow_endpoint, an_answer_without_a_length_fails_if_it_ends_and_is_reset)
{
    this->check_broken_off([](auto& connection) {
        connection.end();
        connection.reset();
    });
}

TEST(http_outbound_to_slow_endpoint, an_answer_without_a_length_is_taken_after_all_of_the_body)
{
    loop_script script(this->loop);
    script
        .when(
            [this] {
                return !this->endpoint.connections().empty() &&
                       this->connection().ends_with("last");
            },
            [this] {
                this->connection().send("HTTP/1.1 200 OK\r\n\r\nwhole");
                this->connection().end();
            })
        .until([this] { return this->seen->failure || this->seen->ended; });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->seen->ended);
    STRCMP_EQUAL("whole", this->seen->body.c_str());
}

TEST(http_outbound_to_slow_endpoint, an_endpoint_that_disappears_while_it_is_slow_is_noticed)
{
    loop_script script(this->loop);
    script.when(this->has_paused(), [this] { this->connection().vanish(); }).until([this] {
        return this->seen->failure.has_value();
    });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->seen->failure->why == outbound_fault::connection_lost);
}

TEST_GROUP(http_outbound_to_unreachable_endpoint)
{
    event_loop loop;
    script_listener endpoint;
    std::unique_ptr<http_outbound> client;

    void setup() override
    {
        this->client = make_http_outbound(this->loop, {});
    }

    void teardown() override
    {
        this->client.reset();
    }
};

// Guards against a loop that runs without a pause while the endpoint of a slow caller has failed.
TEST(http_outbound_to_unreachable_endpoint, a_failure_in_a_pause_is_reported_after_it)
{
    boost::intrusive_ptr<recording_listener> run(new recording_listener);
    outbound_request request;
    request.method = "GET";
    const auto number = this->client->start({"endpoint", "127.0.0.1", this->endpoint.port()},
                                            std::move(request), run);
    const auto is_connected = [this] {
        return !this->endpoint.connections().empty() &&
               this->endpoint.connections().front()->ends_with("\r\n\r\n");
    };
    std::clock_t before = 0;
    decision::instant paused;
    loop_script script(this->loop);
    script
        .when(is_connected,
              [&] {
                  this->client->pause(number, true);
                  this->endpoint.connections().front()->reset();
                  before = std::clock();
                  paused = this->loop.now();
              })
        .when([&] { return this->loop.now() - paused > seconds(1); },
              [&] {
                  CHECK_TRUE(std::clock() - before < CLOCKS_PER_SEC / 2);
                  CHECK_FALSE(run->failure.has_value());
                  this->client->pause(number, false);
              })
        .until([&] { return run->failure.has_value(); });
    CHECK_TRUE(script.run());
}

// Guards against losing a run because one probe of its idle connection was not acknowledged within
// a second.
TEST(http_outbound_to_unreachable_endpoint, runs_survive_two_seconds)
{
    std::vector<boost::intrusive_ptr<recording_listener>> runs;
    while (runs.size() < short_outages::connections) {
        runs.emplace_back(new recording_listener);
        outbound_request request;
        request.method = "GET";
        request.fields = {{"Host", "h"}};
        request.fresh_connection = true;
        this->client->start({"endpoint", "127.0.0.1", this->endpoint.port()}, std::move(request),
                            runs.back());
    }
    std::unique_ptr<short_outages> outages;
    loop_script script(this->loop);
    script
        .when(
            [this, &runs] {
                const auto& all = this->endpoint.connections();
                return all.size() == runs.size() &&
                       std::all_of(all.begin(), all.end(),
                                   [](const auto& one) { return one->ends_with("\r\n\r\n"); });
            },
            [this, &outages] {
                std::vector<script_socket*> peers;
                for (const auto& connection : this->endpoint.connections()) {
                    peers.push_back(connection.get());
                }
                outages = std::make_unique<short_outages>(this->loop, peers);
            })
        .when([&outages] { return outages->is_over(); },
              [this] {
                  for (const auto& connection : this->endpoint.connections()) {
                      connection->send(answer);
                  }
              })
        .until([&runs] {
            return std::all_of(runs.begin(), runs.end(),
                               [](const auto& run) { return run->failure || run->ended; });
        });
    CHECK_TRUE(script.run());
    for (const auto& run : runs) {
        CHECK_TRUE(run->ended);
    }
}
