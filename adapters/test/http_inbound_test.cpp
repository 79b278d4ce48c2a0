#include "pearhaven/adapters/http_inbound.hpp"

#include "loop_script.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven;
using namespace pearhaven::adapters;
using std::chrono::milliseconds;
using tests::loop_script;
using tests::script_socket;
using tests::short_outages;

namespace {

// Holds its requests as a relay does and releases a request when its caller disconnects. Records
// whether it was called from within one of its own calls into an exchange.
class holding_listener final : public inbound_listener {
public:
    bool accepts_connection() override { return this->accepts; }
    void on_request(inbound_exchange_ptr exchange) override
    {
        this->record_call();
        this->targets.push_back(exchange->head().target);
        this->held.push_back(std::move(exchange));
        if (this->on_each_request) {
            this->on_each_request();
        }
    }
    void on_caller_gone(inbound_exchange& exchange) override
    {
        this->record_call();
        ++this->disconnects;
        std::erase_if(this->held, [&exchange](const auto& one) { return one.get() == &exchange; });
    }
    void on_flushed(inbound_exchange& /*exchange*/) override
    {
        this->record_call();
        ++this->flushes;
    }

    // Calls into the oldest held request.
    void call_exchange(const std::function<void(inbound_exchange&)>& call)
    {
        this->inside = true;
        call(*this->held.front());
        this->inside = false;
    }

    std::vector<inbound_exchange_ptr> held;
    std::vector<std::string> targets;
    std::function<void()> on_each_request; // called for each request
    int disconnects = 0;
    int flushes = 0;
    bool called_inside = false;
    bool accepts = true; // whether new connections are read

private:
    void record_call() { this->called_inside = this->called_inside || this->inside; }

    bool inside = false;
};

// Times within which the loop polls its sockets several times, and checks the time limits of its
// connections several times.
constexpr milliseconds several_polls{20};
constexpr milliseconds several_checks{700};
constexpr milliseconds longer_than_a_close_lingers{2000};

constexpr milliseconds acknowledgement_time{2000};
constexpr milliseconds longer_than_acknowledgement_time{5000};

constexpr std::size_t max_connections = 16;
constexpr int small_buffer = 4096;             // bytes that wait at a caller that does not read
const std::string small_body(32U << 10U, 'x'); // fits into the buffers of the sending host
const std::string large_body(1U << 20U, 'x');

std::string request(const std::string& target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string request_with_body(const std::string& target, const std::string& body)
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void answer(inbound_exchange& exchange)
{
    exchange.answer(200, {}, "whole");
}

void begin(inbound_exchange& exchange)
{
    exchange.begin(200, {});
}

void write_twice(inbound_exchange& exchange)
{
    exchange.write("one");
    exchange.write("two");
}

void begin_large_answer(inbound_exchange& exchange)
{
    begin(exchange);
    exchange.write(large_body);
}

void end(inbound_exchange& exchange)
{
    exchange.end();
}

void abort_exchange(inbound_exchange& exchange)
{
    exchange.abort();
}

} // namespace

TEST_GROUP(http_inbound)
{
    event_loop loop;
    holding_listener listener;
    std::unique_ptr<http_inbound> server;
    std::unique_ptr<script_socket> caller;

    void setup() override
    {
        this->server =
            make_http_inbound(this->loop, "127.0.0.1", 0, max_connections, this->listener);
        this->caller = script_socket::connect(this->server->port());
    }

    void teardown() override
    {
        this->server.reset();
        this->listener.held.clear();
        this->caller.reset();
    }

    std::function<bool()> has_requests(std::size_t count)
    {
        return [this, count] { return this->listener.targets.size() == count; };
    }

    // Measured from the first evaluation of the condition.
    std::function<bool()> has_passed(milliseconds time)
    {
        return [this, time, end = decision::instant()]() mutable {
            end = end == decision::instant() ? this->loop.now() + time : end;
            return this->loop.now() >= end;
        };
    }

    // Connects a caller with a small receive buffer, to a server that gives up connections without
    // acknowledgements after a short time.
    void connect_slow_caller(decision::duration unread_time = inbound_limits().unread_time)
    {
        inbound_limits limits;
        limits.unacknowledged_time = acknowledgement_time;
        limits.unread_time = unread_time;
        this->server->set_limits(limits);
        this->caller = script_socket::connect(this->server->port(), small_buffer);
    }

    // Releases the first request and answers the one that is held next.
    void answer_second()
    {
        this->listener.held.erase(this->listener.held.begin());
        this->listener.call_exchange(
            [](inbound_exchange& exchange) { exchange.answer(200, {}, "second"); });
    }

    // Sends a request on each of the connections that the server may have.
    std::vector<std::unique_ptr<script_socket>> connect_maximum()
    {
        std::vector<std::unique_ptr<script_socket>> others(max_connections - 1);
        this->caller->send(request("/first"));
        for (auto& other : others) {
            other = script_socket::connect(this->server->port());
            other->send(request("/other"));
        }
        return others;
    }

    std::function<bool()> all_closed()
    {
        return [this] { return this->server->counts().open == 0; };
    }

    // The caller disconnects, by a reset or in order, after `before`, and `call` is the first to
    // detect it. Then the loop runs until the connection is gone.
    void run_disconnect(bool by_reset, const std::function<void(inbound_exchange&)>& before,
                        const std::function<void(inbound_exchange&)>& call)
    {
        loop_script script(this->loop);
        this->caller->send(request("/a"));
        script
            .when(this->has_requests(1),
                  [this, by_reset, &before, &call] {
                      this->listener.call_exchange(before);
                      by_reset ? this->caller->reset() : this->caller->close();
                      this->listener.call_exchange(call);
                  })
            .until(this->all_closed());
        CHECK_TRUE(script.run());
        CHECK_FALSE(this->listener.called_inside);
    }
};

// Guards against a use after free: the send of an answer detected a reset, the listener was
// notified from within its own call and released the request, and the call continued with freed
// memory.
TEST(http_inbound, a_reset_found_by_a_full_answer_is_not_reported)
{
    this->run_disconnect(
        true, [](auto& /*exchange*/) {}, answer);
    CHECK_EQUAL(0, this->listener.disconnects); // the answer had already ended
}

TEST(http_inbound, a_reset_found_by_a_head_is_reported_after_the_call)
{
    this->run_disconnect(
        true, [](auto& /*exchange*/) {}, begin);
    CHECK_EQUAL(1, this->listener.disconnects);
    CHECK_TRUE(this->listener.held.empty());
}

TEST(http_inbound, a_reset_found_between_pieces_is_reported_after_the_call)
{
    this->run_disconnect(true, begin, write_twice);
    CHECK_EQUAL(1, this->listener.disconnects);
}

TEST(http_inbound, a_reset_found_by_the_end_is_not_reported)
{
    this->run_disconnect(true, begin, end);
    CHECK_EQUAL(0, this->listener.disconnects);
}

TEST(http_inbound, a_reset_before_an_abort_is_not_reported)
{
    this->run_disconnect(true, begin, abort_exchange);
    CHECK_EQUAL(0, this->listener.disconnects);
}

TEST(http_inbound, an_abort_after_a_piece_that_found_a_reset_cancels_the_report)
{
    this->run_disconnect(true, begin, [](inbound_exchange& exchange) {
        exchange.write("lost");
        exchange.abort();
    });
    CHECK_EQUAL(0, this->listener.disconnects);
}

TEST(http_inbound, an_orderly_close_during_an_answer_is_reported_once)
{
    this->run_disconnect(false, begin, write_twice);
    CHECK_EQUAL(1, this->listener.disconnects);
}

TEST(http_inbound, an_orderly_close_before_a_full_answer_is_not_reported)
{
    this->run_disconnect(
        false, [](auto& /*exchange*/) {}, answer);
    CHECK_EQUAL(0, this->listener.disconnects);
}

TEST(http_inbound, a_caller_that_disconnects_while_nothing_is_sent_is_reported)
{
    this->run_disconnect(
        true, [](auto& /*exchange*/) {}, [](auto& /*exchange*/) {});
    CHECK_EQUAL(1, this->listener.disconnects);
    CHECK_TRUE(this->listener.held.empty());
}

// The caller sends its second request before the first one's answer. The second reaches the
// listener after the first is answered, and both answers arrive in order.
TEST(http_inbound, a_pipelined_request_is_processed_after_the_call_that_answers_the_previous_one)
{
    loop_script script(this->loop);
    this->caller->send(request("/a") + request("/b"));
    script.when(this->has_requests(1), [this] { this->listener.call_exchange(answer); })
        .when(this->has_requests(2), [this] { this->answer_second(); })
        .until([this] { return this->caller->has("second"); });
    CHECK_TRUE(script.run());
    CHECK_FALSE(this->listener.called_inside);
    STRCMP_EQUAL("/b", this->listener.targets.back().c_str());
    CHECK_TRUE(this->caller->received().find("whole") < this->caller->received().find("second"));
}

TEST(http_inbound, a_reset_with_pipelined_bytes_drops_them)
{
    this->caller->send(request("/a") + request("/b"));
    loop_script script(this->loop);
    script
        .when(this->has_requests(1),
              [this] {
                  this->caller->reset();
                  this->listener.call_exchange(answer);
              })
        .until(this->all_closed());
    CHECK_TRUE(script.run());
    CHECK_FALSE(this->listener.called_inside);
    CHECK_EQUAL(1, this->listener.targets.size());
}

// Idle connections are closed at the moment in which an answer lets the next pipelined request
// proceed. That request is in progress and must be answered.
TEST(http_inbound, a_pipelined_request_is_not_idle)
{
    loop_script script(this->loop);
    this->caller->send(request("/a") + request("/b"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange(answer);
                  this->server->close_idle();
              })
        .until(this->has_requests(2));
    CHECK_TRUE(script.run());
}

// Guards against a request that was read whole and is dropped with its connection, because the
// answer before it is the first one of a server that has begun to close.
TEST(http_inbound, a_pipelined_request_is_answered_when_the_server_begins_to_close)
{
    loop_script script(this->loop);
    this->caller->send(request("/a") + request("/b"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->server->begin_close();
                  this->listener.call_exchange(answer);
              })
        .when(this->has_requests(2), [this] { this->answer_second(); })
        .until(this->all_closed());
    CHECK_TRUE(script.run());
    const auto& received = this->caller->received();
    CHECK_TRUE(received.find("whole") < received.find("Connection: close"));
    CHECK_TRUE(received.ends_with("second"));
}

// Guards against a request that is dropped with its connection because it arrived while the one
// before it, the first of a server that has begun to close, waited for its answer.
TEST(http_inbound, a_request_behind_another_is_answered_when_the_server_begins_to_close)
{
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script.when(this->has_requests(1), [this] { this->caller->send(request("/b")); })
        .when(this->has_passed(several_polls),
              [this] {
                  CHECK_EQUAL(1, this->listener.targets.size());
                  this->server->begin_close();
                  this->listener.call_exchange(answer);
              })
        .when(this->has_requests(2), [this] { this->answer_second(); })
        .until([this] { return this->caller->ends_with("second"); });
    CHECK_TRUE(script.run());
}

// Guards against the same where the first request is answered at once, as one that is refused.
TEST(http_inbound, a_pipelined_request_is_answered_after_one_that_is_answered_at_once)
{
    loop_script script(this->loop);
    this->listener.on_each_request = [this] { answer(*this->listener.held.back()); };
    this->server->begin_close();
    this->caller->send(request("/a") + request("/b"));
    script.until(this->has_requests(2)).until(this->all_closed());
    CHECK_TRUE(script.run());
    const auto& received = this->caller->received();
    CHECK_TRUE(received.find("whole") < received.find("Connection: close"));
    CHECK_TRUE(received.ends_with("whole"));
}

// Guards against an answer that is cut off because its caller reads it more slowly than a
// connection lingers that is about to close.
TEST(http_inbound, an_answer_is_sent_whole_to_a_slow_caller_before_its_connection_closes)
{
    const std::string body(16U << 20U, 'x');
    loop_script script(this->loop);
    this->caller->send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    script
        .when(this->has_requests(1),
              [this, &body] {
                  this->listener.call_exchange([&body](inbound_exchange& exchange) {
                      exchange.answer(200, {}, body + "last");
                  });
              })
        .when(this->has_passed(longer_than_a_close_lingers), [] {})
        .until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->ends_with("last"));
}

// Guards against closing the connection of a caller that reads nothing for a while, as if its host
// were gone.
TEST(http_inbound, a_caller_that_pauses_in_its_answer_gets_all_of_it)
{
    this->connect_slow_caller();
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange([](inbound_exchange& exchange) {
                      exchange.answer(200, {}, large_body + "last");
                  });
              })
        .until(this->has_passed(longer_than_acknowledgement_time))
        .until([this] { return this->caller->ends_with("last") || this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->ends_with("last"));
    CHECK_EQUAL(0U, this->server->counts().unacknowledged);
}

TEST(http_inbound, a_caller_that_disappears_while_it_is_slow_is_noticed)
{
    IGNORE_ALL_LEAKS_IN_TEST(); // the log is created with its first line and kept
    this->connect_slow_caller();
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script.when(this->has_requests(1), [this] { this->listener.call_exchange(begin_large_answer); })
        .when(this->has_passed(longer_than_acknowledgement_time),
              [this] { this->caller->vanish(); })
        .until([this] { return this->listener.disconnects == 1; });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1U, this->server->counts().unacknowledged);
}

// Guards against losing a request that waits for its answer because one probe of its idle
// connection was not acknowledged within a second.
TEST(http_inbound, callers_that_are_unreachable_for_two_seconds_get_their_answers)
{
    IGNORE_ALL_LEAKS_IN_TEST(); // the log is created with its first line and kept
    std::vector<std::unique_ptr<script_socket>> callers;
    std::vector<script_socket*> peers;
    while (callers.size() < short_outages::connections) {
        callers.push_back(script_socket::connect(this->server->port()));
        callers.back()->send(request("/" + std::to_string(callers.size())));
        peers.push_back(callers.back().get());
    }
    std::unique_ptr<short_outages> outages;
    loop_script script(this->loop);
    script
        .when(this->has_requests(callers.size()),
              [&] { outages = std::make_unique<short_outages>(this->loop, peers); })
        .when([&] { return outages->is_over(); },
              [this] {
                  for (const auto& exchange : this->listener.held) {
                      answer(*exchange);
                  }
              })
        .until([this, &peers] {
            return this->listener.disconnects > 0 ||
                   std::all_of(peers.begin(), peers.end(),
                               [](auto* peer) { return peer->has("whole"); });
        });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(0, this->listener.disconnects);
}

// Guards against closing a connection, and ending the process, with an answer that the host has
// accepted but the caller has not read.
TEST(http_inbound, a_closing_connection_stays_open_until_its_answer_has_arrived)
{
    this->connect_slow_caller();
    loop_script script(this->loop);
    this->caller->send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange([](inbound_exchange& exchange) {
                      exchange.answer(200, {}, small_body + "last");
                      CHECK_EQUAL(0U, exchange.unsent());
                  });
              })
        .when(this->has_passed(longer_than_acknowledgement_time),
              [this] { CHECK_EQUAL(1U, this->server->counts().open); })
        .until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->ends_with("last"));
}

TEST(http_inbound, a_connection_with_an_unread_answer_is_not_idle)
{
    inbound_limits limits;
    limits.idle_time = milliseconds(20);
    limits.idle_slack = milliseconds(20);
    this->server->set_limits(limits);
    this->caller = script_socket::connect(this->server->port(), small_buffer);
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange([](inbound_exchange& exchange) {
                      exchange.answer(200, {}, small_body + "last");
                  });
              })
        .when(this->has_passed(longer_than_a_close_lingers),
              [this] { CHECK_EQUAL(0U, this->server->counts().closed_as_idle); })
        .until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->ends_with("last"));
}

// Guards against holding an answer for ever whose caller lives and never reads.
TEST(http_inbound, a_caller_that_never_reads_is_closed_after_the_unread_time)
{
    IGNORE_ALL_LEAKS_IN_TEST(); // the log is created with its first line and kept
    this->connect_slow_caller(longer_than_acknowledgement_time);
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script.when(this->has_requests(1), [this] { this->listener.call_exchange(begin_large_answer); })
        .until([this] { return this->listener.disconnects == 1; });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1U, this->server->counts().unread);
    CHECK_EQUAL(0U, this->server->counts().unacknowledged);
}

// Guards against losing a request during shutdown. A complete request had arrived but was not read
// yet when idle connections were closed; it was read and discarded, and its caller could not know
// whether it had run.
TEST(http_inbound, a_connection_with_an_unread_request_is_not_idle)
{
    loop_script script(this->loop);
    const auto is_open = [this] { return this->server->counts().open == 1; };
    script
        .when(is_open,
              [this] {
                  this->caller->send(request("/first"));
                  this->server->close_idle();
              })
        .when([this] { return this->listener.held.size() == 1; },
              [this] { this->listener.call_exchange(answer); })
        .until([this] { return this->caller->has("whole"); });
    CHECK_TRUE(script.run());
    CHECK_FALSE(this->listener.called_inside);
}

// Guards against closing a connection as idle although its next request arrived in time. The
// request arrived while the loop was busy for seconds, as with a large configuration, and the
// following idle check used the clock before the socket was read.
TEST(http_inbound, a_request_that_arrives_while_the_loop_is_busy_is_answered)
{
    constexpr milliseconds idle_time{1000};
    inbound_limits limits;
    limits.idle_time = idle_time;
    limits.idle_slack = milliseconds(0);
    this->server->set_limits(limits);
    const auto busy = script_socket::connect(this->server->port());
    loop_script script(this->loop);
    this->caller->send(request("/first"));
    script.when(this->has_requests(1), [this] { this->listener.call_exchange(answer); })
        .when([this] { return this->caller->has("whole"); },
              [this, &busy, idle_time] {
                  this->listener.on_each_request = [this, idle_time] {
                      this->listener.on_each_request = nullptr;
                      this->caller->send(request("/second"));
                      std::this_thread::sleep_for(idle_time + milliseconds(500));
                  };
                  busy->send(request("/busy"));
              })
        .until([this] { return this->listener.targets.size() == 3 || this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(3, this->listener.targets.size());
    STRCMP_EQUAL("/second", this->listener.targets.back().c_str());
}

// Guards against losing a request that is sent just when the announced idle time ends: the request
// and the close crossed in transit.
TEST(http_inbound, a_connection_is_kept_longer_than_the_announced_idle_time)
{
    constexpr milliseconds idle_time{50};
    constexpr milliseconds two_checks{600};
    inbound_limits limits;
    limits.idle_time = idle_time;
    limits.idle_slack = std::chrono::minutes(1);
    this->server->set_limits(limits);
    loop_script script(this->loop);
    decision::instant answered;
    this->caller->send(request("/first"));
    script
        .when(this->has_requests(1),
              [this, &answered] {
                  this->listener.call_exchange(answer);
                  answered = event_loop::read_clock();
              })
        .when([&answered, two_checks] { return event_loop::read_clock() > answered + two_checks; },
              [this] { this->caller->send(request("/second")); })
        .until([this] { return this->listener.targets.size() == 2 || this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(2, this->listener.targets.size());
}

TEST(http_inbound, a_connection_idle_beyond_its_time_and_slack_is_closed)
{
    inbound_limits limits;
    limits.idle_time = milliseconds(20);
    limits.idle_slack = milliseconds(20);
    this->server->set_limits(limits);
    loop_script script(this->loop);
    script.until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1, this->server->counts().closed_as_idle);
}

// A load balancer has just opened the connection, and its first request is in transit.
TEST(http_inbound, a_new_connection_is_not_idle)
{
    loop_script script(this->loop);
    script
        .when([this] { return this->server->counts().open == 1; },
              [this] { this->server->close_idle(); })
        .when([] { return true; }, [this] { this->caller->send(request("/first")); })
        .when([this] { return this->listener.held.size() == 1; },
              [this] { this->listener.call_exchange(answer); })
        .until([this] { return this->caller->has("whole"); });
    CHECK_TRUE(script.run());
}

TEST(http_inbound, a_connection_that_has_served_a_request_is_closed_as_idle)
{
    loop_script script(this->loop);
    this->caller->send(request("/first"));
    script
        .when([this] { return this->listener.held.size() == 1; },
              [this] { this->listener.call_exchange(answer); })
        .when([this] { return this->caller->has("whole"); }, [this] { this->server->close_idle(); })
        .until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
}

// Guards against reading a request that nobody answers. Its caller must learn that it was not read,
// since only then it may send it again.
TEST(http_inbound, a_request_that_crosses_the_close_of_its_idle_connection_is_left_unread)
{
    IGNORE_ALL_LEAKS_IN_TEST(); // the log is created with its first line and kept
    loop_script script(this->loop);
    this->caller->send(request("/first"));
    script.when(this->has_requests(1), [this] { this->listener.call_exchange(answer); })
        .when([this] { return this->caller->has("whole"); }, [this] { this->server->close_idle(); })
        .when([this] { return this->caller->is_ended(); },
              [this] { this->caller->send(request("/late")); })
        .until([this, is_late = this->has_passed(longer_than_a_close_lingers)]() mutable {
            return this->caller->is_reset() || is_late();
        });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->is_reset());
    CHECK_EQUAL(1, this->server->counts().sent_to_closed);
    CHECK_EQUAL(1, this->server->counts().closed_as_idle);
    CHECK_EQUAL(1, this->listener.targets.size());
}

// Guards against work for a caller that has left, although bytes of it still wait to be read.
TEST(http_inbound, a_caller_that_leaves_while_its_next_request_waits_is_reported)
{
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script.when(this->has_requests(1), [this] { this->caller->send(request("/b")); })
        .when(this->has_passed(several_polls), [this] { this->caller->close(); })
        .until([this] { return this->listener.disconnects == 1; });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1, this->listener.targets.size());
}

// Guards against reading a request behind one whose answer is cut off: it would get no answer, and
// its caller could not know whether it had run.
TEST(http_inbound, a_request_behind_an_aborted_answer_is_left_unread)
{
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange(begin);
                  this->caller->send(request("/behind"));
              })
        .when(this->has_passed(several_polls),
              [this] { this->listener.call_exchange(abort_exchange); })
        .until([this, is_late = this->has_passed(longer_than_a_close_lingers)]() mutable {
            return this->caller->is_reset() || is_late();
        });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->is_reset());
    CHECK_EQUAL(1, this->listener.targets.size());
}

// The listener aborts the request in `on_request`, while received bytes are still being processed.
TEST(http_inbound, a_connection_aborted_while_its_bytes_are_processed_processes_no_more)
{
    this->listener.on_each_request = [this] { this->listener.held.back()->abort(); };
    this->caller->send(request("/a") + request("/b"));
    loop_script script(this->loop);
    script.until(this->all_closed()).until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1, this->listener.targets.size());
    CHECK_TRUE(this->caller->received().empty());
}

TEST(http_inbound, nothing_is_sent_after_an_abort)
{
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange(begin);
                  this->listener.call_exchange([](inbound_exchange& exchange) {
                      exchange.write("before");
                      exchange.abort();
                      exchange.write("after");
                      exchange.end();
                  });
              })
        .until([this] { return this->caller->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->has("before"));
    CHECK_FALSE(this->caller->has("after"));
    CHECK_FALSE(this->caller->has(std::string(last_chunk)));
}

// An incomplete head costs only its own connection.
TEST(http_inbound, an_incomplete_head_is_refused_after_its_time)
{
    inbound_limits limits;
    limits.head_time = milliseconds(1);
    this->server->set_limits(limits);
    this->caller->send("GET / HTTP/1.1\r\nHo");
    loop_script script(this->loop);
    script.until([this] { return this->caller->has(" 408 "); })
        .when([] { return true; }, [this] { this->caller->reset(); })
        .until(this->all_closed());
    CHECK_TRUE(script.run());
}

// Guards against answering 408 to a head that arrived in time: the operator shortened the head time
// while a part of the head had been received. A message keeps the limit with which it began.
TEST(http_inbound, a_shorter_head_time_does_not_refuse_a_head_that_has_begun)
{
    inbound_limits shorter;
    shorter.head_time = milliseconds(1);
    this->caller->send("GET /a HTTP/1.1\r\nHo");
    loop_script script(this->loop);
    script
        .when(this->has_passed(several_polls),
              [this, shorter] { this->server->set_limits(shorter); })
        .when(this->has_passed(several_checks), [this] { this->caller->send("st: h\r\n\r\n"); })
        .until(this->has_requests(1));
    CHECK_TRUE(script.run());
}

// Guards against answering 413, which callers do not retry, for a body that was allowed when its
// head was received: the operator lowered the body limit in between.
TEST(http_inbound, a_lower_body_limit_does_not_refuse_a_body_that_has_begun)
{
    inbound_limits lower;
    lower.body_bytes = 4;
    this->caller->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf");
    loop_script script(this->loop);
    script.when(this->has_passed(several_polls), [this, lower] { this->server->set_limits(lower); })
        .when([] { return true; }, [this] { this->caller->send("half"); })
        .when(this->has_requests(1),
              [this] {
                  STRCMP_EQUAL("halfhalf", this->listener.held.front()->body().text().c_str());
                  this->listener.call_exchange(answer);
                  this->caller->send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"
                                     "halfhalf");
              })
        .until([this] { return this->caller->has(" 413 "); });
    CHECK_TRUE(script.run());
}

// Guards against a process that holds the bodies of more requests than its memory allows and ends
// with all of them.
TEST(http_inbound, a_request_whose_body_has_no_room_is_refused_as_not_run)
{
    inbound_limits limits;
    limits.held_body_bytes = small_body.size() + small_body.size() / 2;
    this->server->set_limits(limits);
    const auto other = script_socket::connect(this->server->port());
    const auto last = script_socket::connect(this->server->port());
    loop_script script(this->loop);
    this->caller->send(request_with_body("/first", small_body));
    script
        .when(this->has_requests(1),
              [&other] { other->send(request_with_body("/second", small_body)); })
        .when([&other] { return other->has(" 503 ") && other->has("Retry-After: "); },
              [this, &last] {
                  this->listener.call_exchange(answer);
                  this->listener.held.clear();
                  last->send(request_with_body("/last", small_body));
              })
        .until(this->has_requests(2));
    CHECK_TRUE(script.run());
    STRCMP_EQUAL("/last", this->listener.targets.back().c_str());
    CHECK_EQUAL(1U, this->server->counts().refused_bodies);
    CHECK_EQUAL(small_body.size(), this->server->counts().body_bytes);
    this->listener.call_exchange(answer);
    this->listener.held.clear();
    CHECK_EQUAL(0U, this->server->counts().body_bytes);
}

// Guards against refusing all requests because a few long bodies take the room.
TEST(http_inbound, a_short_body_has_room_beside_long_ones)
{
    inbound_limits limits;
    limits.held_body_bytes = large_body.size();
    this->server->set_limits(limits);
    const auto other = script_socket::connect(this->server->port());
    loop_script script(this->loop);
    this->caller->send(request_with_body("/long", large_body));
    script
        .when([this] { return this->caller->flush() == 0 && this->caller->has(" 503 "); },
              [&other] { other->send(request_with_body("/short", small_body)); })
        .until(this->has_requests(1));
    CHECK_TRUE(script.run());
    STRCMP_EQUAL("/short", this->listener.targets.back().c_str());
}

// Guards against a reset in place of a refusal, because the caller is still sending its body when
// the connection closes.
TEST(http_inbound, a_refused_caller_may_go_on_sending_its_body)
{
    inbound_limits limits;
    limits.held_body_bytes = 1;
    this->server->set_limits(limits);
    loop_script script(this->loop);
    this->caller->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nbegin");
    for (int piece = 0; piece < 4; ++piece) {
        script.when(this->has_passed(several_checks), [this] { this->caller->send("piece"); });
    }
    script.until(this->has_passed(several_polls));
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1U, this->server->counts().open);
    CHECK_TRUE(this->caller->has(" 503 "));
}

// Guards against a second refusal after the first one, for a fault in bytes that are not read as a
// body any more.
TEST(http_inbound, a_malformed_rest_of_a_refused_body_is_not_refused_again)
{
    inbound_limits limits;
    limits.held_body_bytes = 1;
    this->server->set_limits(limits);
    loop_script script(this->loop);
    this->caller->send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "5\r\nbegin\r\nno length\r\n");
    script.until(this->has_passed(several_polls));
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->has(" 503 "));
    CHECK_FALSE(this->caller->has(" 400 "));
    CHECK_EQUAL(1U, this->server->counts().open);
}

// Guards against bytes after the head of an answer to HEAD, which its caller takes for the begin of
// the next answer.
TEST(http_inbound, an_answer_in_pieces_to_a_head_request_has_no_body)
{
    loop_script script(this->loop);
    this->caller->send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange(begin);
                  this->listener.call_exchange(write_twice);
                  this->listener.call_exchange(end);
              })
        .until(this->has_passed(several_polls));
    CHECK_TRUE(script.run());
    CHECK_TRUE(this->caller->ends_with("\r\n\r\n"));
    CHECK_FALSE(this->caller->has("0\r\n\r\n"));
}

// Guards against closing an idle connection early when the operator shortens the idle time. The
// caller relies on the longer time in force when the connection became idle.
TEST(http_inbound, a_shorter_idle_time_does_not_close_a_connection_that_is_already_idle)
{
    inbound_limits shorter;
    shorter.idle_time = milliseconds(1);
    this->caller->send(request("/a"));
    loop_script script(this->loop);
    script
        .when(this->has_requests(1),
              [this, shorter] {
                  this->listener.call_exchange(answer);
                  this->listener.held.clear();
                  this->server->set_limits(shorter);
              })
        .when(this->has_passed(several_checks), [this] { this->caller->send(request("/b")); })
        .until(this->has_requests(2));
    CHECK_TRUE(script.run());
}

// Guards against applying the head limit in force when the connection was opened. The limit in
// force when a request begins applies.
TEST(http_inbound, a_changed_head_limit_applies_to_the_next_request_of_an_open_connection)
{
    const auto long_request =
        "GET /a HTTP/1.1\r\nHost: h\r\nA: " + std::string(400, 'a') + "\r\n\r\n";
    inbound_limits low;
    low.head_bytes = 100;
    this->server->set_limits(low);
    this->caller = script_socket::connect(this->server->port());
    this->caller->send(request("/a"));
    loop_script script(this->loop);
    script
        .when(this->has_requests(1),
              [this, long_request] {
                  this->listener.call_exchange(answer);
                  this->listener.held.clear();
                  this->server->set_limits({});
                  this->caller->send(long_request);
              })
        .when(this->has_requests(2),
              [this, long_request, low] {
                  this->listener.call_exchange(answer);
                  this->server->set_limits(low);
                  this->caller->send(long_request);
              })
        .until([this] { return this->caller->has(" 431 "); });
    CHECK_TRUE(script.run());
}

// The caller reads nothing of a long answer and resets the connection while the rest is unsent.
TEST(http_inbound, a_reset_while_bytes_are_unsent_is_reported_once)
{
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script
        .when(this->has_requests(1),
              [this] {
                  this->listener.call_exchange(begin);
                  this->listener.call_exchange([](inbound_exchange& exchange) {
                      exchange.write(std::string(std::size_t{32} << 20U, 'x'));
                  });
                  CHECK_TRUE(this->listener.held.front()->unsent() > 0);
                  this->caller->reset();
              })
        .until(this->all_closed());
    CHECK_TRUE(script.run());
    CHECK_EQUAL(1, this->listener.disconnects);
    CHECK_EQUAL(0, this->listener.flushes);
}

// The server is destroyed after a send detected a reset and before its listener is notified.
TEST(http_inbound, a_server_may_be_destroyed_before_a_disconnect_is_reported)
{
    loop_script script(this->loop);
    this->caller->send(request("/a"));
    script.when(this->has_requests(1), [] {});
    CHECK_TRUE(script.run());
    this->caller->reset();
    this->listener.call_exchange(begin);
    this->server.reset();
    CHECK_EQUAL(0, this->listener.disconnects);
    this->listener.call_exchange(write_twice); // has no effect
}

// Guards against a server that accepts nobody because callers keep the maximum of connections open
// without using them.
TEST(http_inbound, a_new_connection_takes_the_place_of_one_that_is_idle)
{
    this->listener.on_each_request = [this] { answer(*this->listener.held.back()); };
    auto others = this->connect_maximum();
    std::unique_ptr<script_socket> late;
    loop_script script(this->loop);
    script
        .when(this->has_passed(several_checks),
              [this, &late] {
                  CHECK_EQUAL(max_connections, this->server->counts().open);
                  late = script_socket::connect(this->server->port());
                  late->send(request("/late"));
              })
        .until([&late] { return late->has("whole") || late->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_TRUE(late->has("whole"));
    CHECK_TRUE(this->caller->is_ended()); // the oldest
    CHECK_EQUAL(1U, this->server->counts().closed_for_room);
    CHECK_EQUAL(max_connections, this->server->counts().open);
}

// Guards against callers that wait for a server that cannot accept them.
TEST(http_inbound, a_new_connection_is_turned_away_while_all_others_are_in_use)
{
    const auto others = this->connect_maximum();
    std::unique_ptr<script_socket> late;
    loop_script script(this->loop);
    script
        .when(this->has_requests(max_connections),
              [this, &late] {
                  late = script_socket::connect(this->server->port());
                  late->send(request("/unread"));
              })
        .until([&late] { return late->is_ended(); });
    CHECK_TRUE(script.run());
    CHECK_EQUAL(max_connections, this->listener.targets.size());
    CHECK_EQUAL(1U, this->server->counts().turned_away);
}

// Guards against requests that a server reads although it has no time for them: their callers could
// have turned to another server.
TEST(http_inbound, a_connection_that_is_turned_away_is_closed_with_its_request_unread)
{
    loop_script script(this->loop);
    this->listener.accepts = false;
    this->caller->send(request("/unread"));
    script
        .when([this] { return this->caller->is_ended(); },
              [this] {
                  this->listener.accepts = true;
                  this->caller = script_socket::connect(this->server->port());
                  this->caller->send(request("/read"));
              })
        .when(this->has_requests(1), [this] { this->listener.call_exchange(answer); })
        .until([this] { return this->caller->has("whole"); });
    CHECK_TRUE(script.run());
    STRCMP_EQUAL("/read", this->listener.targets.front().c_str());
    CHECK_EQUAL(1U, this->server->counts().turned_away);
    CHECK_EQUAL(1U, this->server->counts().accepted);
}
