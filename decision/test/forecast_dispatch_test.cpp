#include "one_router.hpp"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A router that sheds load and has learned that answers begin after 9 s.
TEST_GROUP(forecast_dispatch)
{
    std::unique_ptr<test::one_router> site;

    void setup() override
    {
        constexpr int samples = 12;
        dispatcher_settings settings;
        settings.sheds_load = true;
        settings.retry_share = 1.0;
        this->site =
            std::make_unique<test::one_router>(std::vector<std::string>{"a", "b"}, settings);
        for (int i = 0; i < samples; ++i) {
            const auto run = this->site->send(this->make_request(seconds(60)));
            this->site->now += seconds(9);
            CHECK_TRUE(this->site->router->accepts_answer(run->ticket, run->attempt, 100.0,
                                                          this->site->now));
            this->site->end(*run, attempt_result::finished);
            (void)this->site->take_start();
        }
    }
    void teardown() override
    {
        this->site.reset();
    }

    arrival make_request(duration deadline)
    {
        auto request = this->site->make_request(true);
        request.streamed = true;
        request.objective = seconds(2);
        request.on_loss = continuation::another_run;
        request.deadline = this->site->now + deadline;
        return request;
    }
};

// Guards against a request that waits for an answer which cannot come in time, and against a
// refusal that does not promise that nothing ran.
TEST(forecast_dispatch, a_request_is_refused_on_arrival)
{
    CHECK_FALSE(this->site->send(this->make_request(seconds(3))).has_value());
    const auto* refused = this->site->find_action<give_up_request>();
    CHECK_TRUE(refused != nullptr && refused->why.code == failure_code::shed);
    CHECK_TRUE(refused->why.run == run_state::not_run && refused->why.resend);
    CHECK_TRUE(refused->why.retry_after == seconds(1)); // a third of the time left
    CHECK_EQUAL(0, this->site->router->in_flight());
    CHECK_TRUE(this->site->send(this->make_request(seconds(20))).has_value());
}

// Guards against a queued request that is sent when it is too late. The lost run of the other one
// may have run, and is not refused.
TEST(forecast_dispatch, a_queued_request_is_refused_unless_it_may_have_run)
{
    const auto run = this->site->send(this->make_request(seconds(10)));
    this->site->now += seconds(5);
    this->site->end(*run, attempt_result::failed, true);
    (void)this->site->take_start();
    CHECK_TRUE(this->site->find_action<give_up_request>() == nullptr);
    this->site->router->on_config_confirmed(this->site->now, this->site->now);
    auto queued = this->make_request(seconds(12));
    this->site->router->on_arrival(queued, this->site->now);
    CHECK_EQUAL(1, this->site->router->queued());
    this->site->now += milliseconds(3500);
    this->site->router->on_config_confirmed(instant::max(), this->site->now);
    (void)this->site->take_start();
    const auto refused = this->site->find_actions<give_up_request>();
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused[0].ticket == queued.ticket && refused[0].why.code == failure_code::shed);
}
