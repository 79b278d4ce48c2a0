#include "one_router.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t largest = 2;

dispatcher_settings make_settings()
{
    dispatcher_settings settings;
    settings.sheds_load = true;
    settings.retry_share_on_arrival = 1.0;
    return settings;
}

} // namespace

// Requests that may run once, for a model of three sizes. Each test ends a run in one of the ways
// in which it can be left, and looks at what is sent afterwards.
TEST_GROUP(single_run_dispatch)
{
    test::one_router site{{"a", "b", "c"}, make_settings()};

    arrival make_request(bool idempotent = false)
    {
        auto request = this->site.make_request(idempotent);
        request.streamed = true;
        request.sizes = 3;
        request.priority = 1;
        request.objective = seconds(2);
        request.work = {work_class::lookup, 300.0, 100.0};
        return request;
    }

    // The run of a request that starts with the smallest model.
    start_attempt start_smallest()
    {
        auto request = this->make_request();
        request.work = {work_class::lookup, 4100.0, 100.0};
        request.deadline = this->site.now + seconds(3);
        const auto run = this->site.send(request);
        CHECK_TRUE(run.has_value());
        CHECK_EQUAL(0U, run->size);
        return *run;
    }

    // Nothing is sent after the last event, and the caller is told that the request may have run.
    void check_ended_as_unknown()
    {
        CHECK_FALSE(this->site.take_start().has_value());
        const auto* end = this->site.find_action<give_up_request>();
        CHECK_TRUE(end != nullptr && end->why.run == run_state::unknown && !end->why.resend);
        CHECK_TRUE(this->site.find_action<report_repeat_prevented>() == nullptr);
    }
};

// Guards against a request that runs once more with a larger model after a small one's answer.
TEST(single_run_dispatch, a_doubtful_answer_is_delivered)
{
    for (const auto& run : {*this->site.send(this->make_request()), this->start_smallest()}) {
        CHECK_TRUE(this->site.router->accepts_answer(run.ticket, run.attempt, 0.0, this->site.now));
        CHECK_FALSE(this->site.take_start().has_value());
    }
}

TEST(single_run_dispatch, a_run_lost_with_its_connection_is_not_repeated)
{
    this->site.end(*this->site.send(this->make_request()), attempt_result::failed, true);
    this->check_ended_as_unknown();
}

TEST(single_run_dispatch, a_run_that_ended_with_an_error_is_not_repeated)
{
    const auto run = this->site.send(this->make_request());
    attempt_end end;
    end.ticket = run->ticket;
    end.attempt = run->attempt;
    end.result = attempt_result::failed;
    end.answered_error = true;
    this->site.router->on_attempt_end(end, this->site.now);
    this->check_ended_as_unknown();
}

TEST(single_run_dispatch, a_silent_run_is_not_repeated)
{
    const auto run = this->site.send(this->make_request());
    CHECK_FALSE(this->site.router->can_retry(run->ticket, this->site.now));
    this->site.end(*run, attempt_result::went_silent);
    this->check_ended_as_unknown();
}

TEST(single_run_dispatch, a_run_whose_endpoint_has_left_the_list_is_not_repeated)
{
    const auto run = this->site.send(this->make_request());
    this->site.router->on_host_changes({{}, {run->address}}, this->site.now);
    CHECK_FALSE(this->site.take_start().has_value());
    this->site.end(*run, attempt_result::failed, true);
    this->check_ended_as_unknown();
}

TEST(single_run_dispatch, a_run_is_not_repeated_at_the_end_of_a_stop)
{
    const auto run = this->site.send(this->make_request());
    CHECK_TRUE(run.has_value());
    this->site.router->end_stop(this->site.now);
    CHECK_FALSE(this->site.take_start().has_value());
    const auto* end = this->site.find_action<give_up_request>();
    CHECK_TRUE(end != nullptr && end->why.run == run_state::unknown && !end->why.resend);
}

TEST(single_run_dispatch, a_run_past_its_deadline_is_not_repeated)
{
    const auto run = this->site.send(this->make_request());
    CHECK_TRUE(run.has_value());
    this->site.now += seconds(11);
    this->site.router->on_tick(this->site.now, this->site.now);
    this->check_ended_as_unknown();
}

TEST(single_run_dispatch, a_run_lost_at_another_router_is_not_repeated)
{
    this->site.router->set_peer("edge-2", "10.0.0.2:80");
    this->site.router->set_peer("edge-3", "10.0.0.3:80");
    auto run = this->site.send(this->make_request());
    while (run && !run->forwarded) {
        this->site.end(*run, attempt_result::unreachable);
        run = this->site.take_start();
    }
    CHECK_TRUE(run.has_value());
    this->site.end(*run, attempt_result::failed, true);
    this->check_ended_as_unknown();
}

TEST(single_run_dispatch, a_forwarded_request_is_not_repeated_by_the_router_that_took_it_over)
{
    auto request = this->make_request();
    request.forwarded = true;
    this->site.end(*this->site.send(request), attempt_result::failed, true);
    this->check_ended_as_unknown();
}

// Nothing ran, so another endpoint may be asked.
TEST(single_run_dispatch, a_refused_request_is_sent_to_another_endpoint)
{
    const auto first = this->site.send(this->make_request());
    this->site.end(*first, attempt_result::refused);
    const auto second = this->site.take_start();
    CHECK_TRUE(second.has_value() && second->address != first->address);
    this->site.end(*second, attempt_result::unreachable);
    const auto third = this->site.take_start();
    CHECK_TRUE(third.has_value());
    this->site.end(*third, attempt_result::failed, true);
    this->check_ended_as_unknown();
}

// Guards against a way to leave a run that does not ask whether the request may be repeated. The
// ends, refusals, low confidences, silences and changes come in random order.
TEST(single_run_dispatch, a_request_has_one_run_whatever_ends_it)
{
    const bool holds = rc::check("one run", [this] {
        test::one_router here{{"a", "b", "c"}, make_settings()};
        here.router->set_peer("edge-2", "10.0.0.2:80");
        std::map<ticket_number, start_attempt> open;
        std::set<ticket_number> ran;
        const auto follow = [&] {
            for (const auto& action : here.router->take_actions()) {
                if (const auto* start = std::get_if<start_attempt>(&action)) {
                    RC_ASSERT(ran.count(start->ticket) == 0);
                    RC_ASSERT(open.emplace(start->ticket, *start).second);
                } else if (const auto* cancelled = std::get_if<cancel_attempt>(&action)) {
                    ran.insert(cancelled->ticket);
                    open.erase(cancelled->ticket);
                }
                RC_ASSERT(!std::holds_alternative<report_repeat_prevented>(action));
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 10));
        for (const int step : steps) {
            here.now += milliseconds(100);
            if (step < 4 || open.empty()) {
                auto request = this->make_request();
                request.ticket = here.make_request(false).ticket;
                request.deadline = here.now + seconds(step == 0 ? 1 : 10);
                request.work.tokens = step == 1 ? 4100.0 : 300.0;
                request.streamed = step == 2;
                here.router->on_arrival(request, here.now);
            } else if (step < 8) {
                const auto run = open.begin()->second;
                const attempt_result results[] = {attempt_result::refused, attempt_result::failed,
                                                  attempt_result::unreachable,
                                                  attempt_result::went_silent};
                const auto result = results[step - 4];
                open.erase(open.begin());
                if (result == attempt_result::failed || result == attempt_result::went_silent) {
                    ran.insert(run.ticket);
                }
                here.end(run, result, result == attempt_result::failed);
            } else if (step == 8) {
                const auto run = open.begin()->second;
                RC_ASSERT(run.forwarded ||
                          here.router->accepts_answer(run.ticket, run.attempt, 0.0, here.now));
            } else {
                here.router->on_tick(here.now, here.now);
            }
            follow();
        }
    });
    CHECK_TRUE(holds);
}

// The only run of a request has to answer also what a small model cannot.
TEST(single_run_dispatch, the_only_run_uses_the_largest_model)
{
    CHECK_EQUAL(largest, this->site.send(this->make_request())->size);
    CHECK_EQUAL(0U, this->site.send(this->make_request(true))->size);
}

// Guards against an answer that is cut off at the deadline although a smaller model could give it.
TEST(single_run_dispatch, the_only_run_uses_the_smallest_model_if_the_largest_would_end_late)
{
    this->start_smallest();
}
