#include "one_router.hpp"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

dispatcher_settings make_settings(bool sheds_load)
{
    dispatcher_settings settings;
    settings.sheds_load = sheds_load;
    settings.retry_share_on_arrival = 1.0;
    return settings;
}

} // namespace

// One model of three sizes. The largest model's answer takes 4 s if no pace was learned.
TEST_GROUP(overload_dispatch)
{
    std::unique_ptr<test::one_router> site;

    void setup() override
    {
        this->make(make_settings(true));
    }
    void teardown() override
    {
        this->site.reset();
    }

    void make(const dispatcher_settings& settings)
    {
        this->site =
            std::make_unique<test::one_router>(std::vector<std::string>{"a", "b", "c"}, settings);
    }

    arrival make_request()
    {
        auto request = this->site->make_request(true);
        request.streamed = true;
        request.sizes = 3;
        request.priority = 1;
        request.objective = seconds(2);
        request.work = {work_class::lookup, 4100.0, 100.0};
        return request;
    }

    [[nodiscard]] bool has_reported(load_measure measure) const
    {
        for (const auto& report : this->site->find_actions<report_load_measure>()) {
            if (report.measure == measure) {
                return true;
            }
        }
        return false;
    }

    // All actions for a request whose smallest model's answer is poor when it begins.
    std::vector<dispatch_action> run_poorly(const arrival& request)
    {
        auto& router = *this->site->router;
        router.on_arrival(request, this->site->now);
        auto actions = router.take_actions();
        (void)router.accepts_answer(request.ticket, 1, 0.0, this->site->now + milliseconds(300));
        for (auto& action : router.take_actions()) {
            actions.push_back(std::move(action));
        }
        return actions;
    }
};

// Guards against changed decisions where shedding is off. The second run's answer would end late.
TEST(overload_dispatch, without_shedding_the_actions_are_unchanged)
{
    this->make(make_settings(false));
    auto request = this->make_request();
    request.priority = 7;
    request.deadline = this->site->now + seconds(3);
    const auto actions = this->run_poorly(request);
    CHECK_EQUAL(2, actions.size());
    const auto& first = std::get<start_attempt>(actions[0]);
    const auto& second = std::get<start_attempt>(actions[1]);
    CHECK_TRUE(first == (start_attempt{1, 1, first.address, "api@v1", 0, false, std::nullopt}));
    CHECK_TRUE(second == (start_attempt{1, 2, second.address, "api@v1", 2, false, std::nullopt}));
}

// Guards against changed decisions for requests without an objective and for plain services.
TEST(overload_dispatch, requests_without_an_objective_are_unchanged)
{
    std::vector<std::vector<dispatch_action>> results;
    for (const bool sheds_load : {true, false}) {
        this->make(make_settings(sheds_load));
        auto request = this->make_request();
        request.objective = duration::zero();
        request.deadline = this->site->now + seconds(3);
        results.push_back(this->run_poorly(request));
    }
    CHECK_TRUE(results[0] == results[1]);
    CHECK_EQUAL(2, results[0].size());
}

// Guards against an endpoint that orders requests by another scale than the other routers state.
TEST(overload_dispatch, states_the_urgency)
{
    const auto run = this->site->send(this->make_request());
    CHECK_TRUE(run && run->urgency == 2U);
    CHECK_TRUE(this->site->find_actions<report_load_measure>().empty());
    auto odd = this->make_request();
    odd.priority = 70;
    const auto odd_run = this->site->send(odd);
    CHECK_TRUE(odd_run && odd_run->urgency == 8U);
    CHECK_TRUE(this->has_reported(load_measure::odd_terms));
}

// Guards against a good enough answer that is dropped for one that is cut off at the deadline.
TEST(overload_dispatch, delivers_a_small_answer_if_the_largest_would_end_late)
{
    auto request = this->make_request();
    request.deadline = this->site->now + seconds(4);
    auto run = this->site->send(request);
    this->site->now += milliseconds(300);
    CHECK_TRUE(this->site->router->accepts_answer(run->ticket, 1, 0.0, this->site->now));
    (void)this->site->take_start();
    CHECK_TRUE(this->has_reported(load_measure::made_cheaper));
    run = this->site->send(this->make_request());
    CHECK_FALSE(this->site->router->accepts_answer(run->ticket, 1, 0.0, this->site->now));
}

// Guards against a first run by the largest model that is cut off at the deadline.
TEST(overload_dispatch, starts_the_smallest_model_if_the_largest_would_end_late)
{
    auto settings = make_settings(true);
    settings.sizes.tries_smallest = false;
    this->make(settings);
    auto request = this->make_request();
    CHECK_EQUAL(2U, this->site->send(request)->size);
    request = this->make_request();
    request.deadline = this->site->now + seconds(3);
    CHECK_EQUAL(0U, this->site->send(request)->size);
    CHECK_TRUE(this->has_reported(load_measure::made_cheaper));
    // The rest of a stream is not continued by another model.
    request = this->make_request();
    request.deadline = this->site->now + seconds(3);
    request.continues_answer = true;
    CHECK_EQUAL(2U, this->site->send(request)->size);
}

// Guards against a pace that is taken for the declared work: answers take several times as long.
TEST(overload_dispatch, learns_the_pace_of_the_largest_models_answers)
{
    auto& router = *this->site->router;
    auto run = this->site->send(this->make_request());
    CHECK_FALSE(router.accepts_answer(run->ticket, 1, 0.0, this->site->now));
    run = this->site->take_start();
    CHECK_TRUE(router.accepts_answer(run->ticket, run->attempt, 100.0, this->site->now));
    this->site->now += seconds(10); // its declared work is 4 s
    this->site->end(*run, attempt_result::finished);
    (void)this->site->take_start();
    run = this->site->send(this->make_request());
    this->site->now += milliseconds(1);
    CHECK_TRUE(router.accepts_answer(run->ticket, 1, 0.0, this->site->now));
}

// Guards against poor answers because a small model's answer waited for larger ones in its batch.
TEST(overload_dispatch, a_slow_answer_of_a_small_model_tells_no_pace)
{
    auto& router = *this->site->router;
    auto run = this->site->send(this->make_request());
    CHECK_TRUE(router.accepts_answer(run->ticket, 1, 100.0, this->site->now));
    this->site->now += seconds(1); // its declared work is 0.4 s
    this->site->end(*run, attempt_result::finished);
    (void)this->site->take_start();
    run = this->site->send(this->make_request());
    this->site->now += milliseconds(1);
    CHECK_FALSE(router.accepts_answer(run->ticket, 1, 0.0, this->site->now));
}
