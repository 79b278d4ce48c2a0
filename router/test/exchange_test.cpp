#include "engine_attempt.hpp"
#include "service_attempt.hpp"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;

namespace {

class discarding_sink : public routing_sink {
public:
    bool submit(routing_event /*event*/) override { return true; }
    bool offer(routing_event& /*event*/) override { return true; }
};

const std::string token =
    R"(data: {"id":"run-1","index":0,"choices":[{"delta":{"content":"x"},"finish_reason":null}]})"
    "\n\n";

} // namespace

TEST_GROUP(exchange_test)
{
    discarding_sink sink;
    exchange_ptr caller{new exchange};

    void teardown() override
    {
        this->caller.reset();
    }

    void fill()
    {
        while (this->caller->has_room()) {
            this->caller->push(answer_piece{});
        }
    }

    // The piece is refused while the ring is full, and accepted once after the caller has taken an
    // event.
    void check_backpressure(pearhaven::adapters::http_listener & attempt, const std::string& piece)
    {
        this->fill();
        const auto size_before = this->caller->events.size();
        CHECK_FALSE(attempt.on_body(piece));
        CHECK_TRUE(this->caller->paused.load());
        CHECK_EQUAL(size_before, this->caller->events.size());
        static_cast<void>(this->caller->events.pop_for(std::chrono::seconds(0)));
        // As the caller thread does before it resumes the transfer.
        this->caller->paused.store(false);
        CHECK_TRUE(attempt.on_body(piece));
        CHECK_FALSE(this->caller->paused.load());
        CHECK_EQUAL(size_before, this->caller->events.size());
    }
};

// A slow caller's ring is full. A piece pushed anyway would be lost silently, and a transfer that
// pauses without setting its flag would never resume.
TEST(exchange_test, an_engines_piece_waits_while_the_ring_is_full)
{
    const boost::intrusive_ptr<engine_attempt> attempt(
        new engine_attempt(this->sink, this->caller, new engine_run("run-1", "m"), 1, false));
    attempt->on_head(200, {});
    check_backpressure(*attempt, token);
}

TEST(exchange_test, a_services_piece_waits_while_the_ring_is_full)
{
    const boost::intrusive_ptr<service_attempt> attempt(
        new service_attempt(this->sink, this->caller, 1));
    attempt->on_head(200, {});
    check_backpressure(*attempt, "piece");
}
