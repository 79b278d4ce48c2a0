#include "test_fleet.hpp"

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

// Planned stops: requests in flight are completed.
TEST_GROUP(planned_stop_test)
{
    std::unique_ptr<test_fleet> fleet;

    void start(test_fleet::plan plan)
    {
        plan.name = "planned_stop";
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        this->fleet.reset();
    }
};

// The router gets the stop signal in the middle of a long stream. The process may end, with status
// 0, only after the caller has the complete answer and the bill is in the store.
TEST(planned_stop_test, a_stopping_router_finishes_and_bills_what_is_in_flight)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=20000"};
    this->start(plan);
    chat_request request;
    request.max_tokens = 120;
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(call->wait_for_tokens(10));
    auto& router = this->fleet->routers[0];
    router.process->signal(SIGTERM);
    const auto answer = call->wait();
    CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
    LONGS_EQUAL(0, router.process->wait(std::chrono::seconds(60)));
    LONGS_EQUAL(1, this->fleet->bills().size());
}

// The store is unavailable when the router gets the stop signal, and for a while after. The router
// must wait: otherwise its bills would be kept in its peers' memory only.
TEST(planned_stop_test, a_stop_during_an_outage_waits_until_the_bills_are_stored)
{
    this->start({});
    this->fleet->behave(this->fleet->store.own_address, {{"outage", true}});
    const chat_request request;
    const auto answer = this->fleet->ask(0, request);
    CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
    auto& router = this->fleet->routers[0];
    router.process->signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    CHECK_TRUE(router.process->is_running());
    this->fleet->behave(this->fleet->store.own_address, {{"outage", false}});
    LONGS_EQUAL(0, router.process->wait(std::chrono::seconds(60)));
    LONGS_EQUAL(1, this->fleet->bills().size());
}

// An operator who cannot wait sends the signal again. The router ends at once with the exit status
// for cut-off requests, and the caller can see that its answer is incomplete.
TEST(planned_stop_test, a_second_signal_ends_the_router_at_once_with_status_1)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=50000"};
    this->start(plan);
    chat_request request;
    request.max_tokens = 1000;
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(call->wait_for_tokens(3));
    auto& router = this->fleet->routers[0];
    router.process->signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK_TRUE(router.process->is_running());
    router.process->signal(SIGTERM);
    LONGS_EQUAL(1, router.process->wait(std::chrono::seconds(60)));
    CHECK_FALSE(call->wait().marked_complete);
}

// All engines are replaced one after the other: each is marked leaving in the host list, drains and
// ends, and a new one takes its place. Callers keep sending requests, and none of them may fail.
TEST(planned_stop_test, a_rolling_restart_of_all_engines_cuts_off_nothing)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=5000"};
    this->start(plan);
    std::vector<chat_request> requests;
    std::vector<std::unique_ptr<chat_call>> calls;
    const auto send_some = [&] {
        for (std::size_t i = 0; i < 9; ++i) {
            chat_request request;
            request.prompt = "Question " + std::to_string(requests.size());
            request.max_tokens = 100;
            requests.push_back(request);
            calls.push_back(this->fleet->call(i % 3, request));
        }
    };
    for (std::size_t i = 0; i < this->fleet->engines.size(); ++i) {
        send_some();
        this->fleet->list_hosts({host_name("engine", i)});
        send_some();
        auto& engine = this->fleet->engines[i];
        const auto ran_out = [&] {
            const auto load = this->fleet->get(engine.own_address, "/v1/load");
            return load.value("running", 1.0) + load.value("queued", 1.0) == 0.0;
        };
        std::this_thread::sleep_for(
            std::chrono::seconds(2)); // until routers have the list and a current load report
        CHECK_TRUE(eventually(ran_out));
        engine = this->fleet->start_engine(false);
        this->fleet->list_hosts();
    }
    send_some();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto answer = calls[i]->wait();
        CHECK_TRUE_TEXT(answer.is_complete_answer_to(requests[i]), answer.to_text().c_str());
    }
}
