#include "test_fleet.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <iterator>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

// Complete and correct answers, sessions, and endpoints that fail, hang, leave or are crashed by a
// request.
TEST_GROUP(answers_test)
{
    std::unique_ptr<test_fleet> fleet;

    void start(test_fleet::plan plan)
    {
        plan.name = "answers";
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        this->fleet.reset();
    }

    void check_complete(const chat_answer& answer, const chat_request& request)
    {
        CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
    }

    std::size_t runs_of(const std::string& request_id)
    {
        std::size_t count = 0;
        for (const auto& run : this->fleet->runs()) {
            count += run["request"] == request_id ? 1 : 0;
        }
        return count;
    }

    int engines_running()
    {
        int count = 0;
        for (auto& engine : this->fleet->engines) {
            count += engine.process->is_running() ? 1 : 0;
        }
        return count;
    }

    std::size_t started_on(const running_standin& engine)
    {
        return this->fleet->get(engine.own_address, "/control/runs").size();
    }

    std::uint64_t offered_to(const running_standin& engine)
    {
        const auto stats = this->fleet->get(engine.own_address, "/control/stats");
        return stats.value("refused", std::uint64_t{0}) + this->started_on(engine);
    }
};

// The connection to the engine goes silent in the middle of an answer, while new connections work.
// The caller sees a pause and then the rest: the router resumes the same run from its next token on
// a new connection. The engine must run the request once and not be ejected.
TEST(answers_test, a_silent_connection_costs_a_pause_and_no_second_run)
{
    test_fleet::plan plan;
    plan.engines = 1;
    plan.proxied_engines = true;
    plan.engine_flags = {"--step_us=20000"};
    this->start(plan);
    chat_request request;
    request.max_tokens = 100;
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(call->wait_for_tokens(10));
    this->fleet->behave(this->fleet->engines[0].proxy_admin, {{"silence_open", true}});
    const auto answer = call->wait();
    this->check_complete(answer, request);
    LONGS_EQUAL(1, this->runs_of(answer.header("pearhaven-request")));
    const auto endpoints = this->fleet->get(this->fleet->routers[0].operators, "/v1/endpoints");
    CHECK_FALSE(endpoints["endpoints"][0]["ejected"].get<bool>());
}

// Streams are cut in the middle, closed cleanly without their end marker, and slowed. Each caller
// must get its own complete answer: none may be truncated silently, duplicated or mixed with
// another's.
TEST(answers_test, cut_and_truncated_streams_reach_their_callers_complete)
{
    test_fleet::plan plan;
    plan.proxied_engines = true;
    plan.engine_flags = {"--step_us=5000"};
    this->start(plan);
    std::vector<chat_request> requests;
    std::vector<std::unique_ptr<chat_call>> calls;
    for (std::size_t i = 0; i < 30; ++i) {
        chat_request request;
        request.prompt = "Question number " + std::to_string(i);
        request.max_tokens = 60;
        request.streamed = i % 3 != 0;
        requests.push_back(request);
        calls.push_back(this->fleet->call(i % 3, request));
        if (i == 10) {
            this->fleet->behave(this->fleet->engines[0].own_address, {{"truncate_after", 20}});
        }
        if (i == 20) {
            CHECK_TRUE(calls[19]->wait_for_tokens(5));
            this->fleet->behave(this->fleet->engines[1].proxy_admin,
                                {{"truncate_to_client_after", 3000}});
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    this->fleet->behave(this->fleet->engines[1].proxy_admin, {{"clear", true}});
    for (std::size_t i = 0; i < calls.size(); ++i) {
        this->check_complete(calls[i]->wait(), requests[i]);
    }
}

// An engine is killed while it answers. A caller that has part of a stream gets an error that the
// rest will not come; one that waits for an unstreamed answer gets it from another engine.
TEST(answers_test, an_engine_that_dies_breaks_begun_streams_openly_and_costs_others_nothing)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=20000"};
    this->start(plan);
    std::vector<chat_request> requests;
    std::vector<std::unique_ptr<chat_call>> calls;
    for (std::size_t i = 0; i < 12; ++i) {
        chat_request request;
        request.prompt = "Question number " + std::to_string(i);
        request.max_tokens = 60;
        request.streamed = i % 2 == 0;
        requests.push_back(request);
        calls.push_back(this->fleet->call(i % 3, request));
    }
    CHECK_TRUE(calls[10]->wait_for_tokens(5));
    this->fleet->engines[0].process->kill();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto answer = calls[i]->wait();
        if (requests[i].streamed && !answer.marked_complete) {
            CHECK_EQUAL(std::string("answer_broken"), answer.error_code);
            CHECK_EQUAL(std::string("unknown"), answer.run);
            CHECK_TRUE(answer.resend);
        } else {
            this->check_complete(answer, requests[i]);
        }
    }
}

// One request crashes every engine that runs it, and its caller resends it repeatedly to every
// router. It may crash at most two engines; the other requests in their batches must be answered.
TEST(answers_test, a_crashing_request_takes_at_most_two_engines)
{
    test_fleet::plan plan;
    plan.engines = 6;
    plan.engine_flags = {"--step_us=10000"};
    this->start(plan);
    for (const auto& engine : this->fleet->engines) {
        this->fleet->behave(engine.own_address, {{"crash_on", "poison"}});
    }
    std::vector<chat_request> requests;
    std::vector<std::unique_ptr<chat_call>> calls;
    for (std::size_t i = 0; i < 18; ++i) {
        chat_request request;
        request.prompt = "Question number " + std::to_string(i);
        request.max_tokens = 100;
        request.streamed = false;
        requests.push_back(request);
        calls.push_back(this->fleet->call(i % 3, request));
    }
    chat_request poison;
    poison.prompt = "this is poison";
    poison.streamed = false;
    for (std::size_t resend = 0; resend < 9; ++resend) {
        CHECK_TRUE(this->fleet->ask(resend % 3, poison).status != 200);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(300)); // at least the retry delay in the answer
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        this->check_complete(calls[i]->wait(), requests[i]);
    }
    CHECK_TRUE(this->engines_running() >= 4);
    CHECK_EQUAL(std::string("request_quarantined"), this->fleet->ask(2, poison).error_code);
}

// An engine refuses requests because it is leaving, but the host list shows it live for 30 s more
// and its load reports are a minute old, so that only a router with a refused request knows. After
// 3 s no router may send it a request.
TEST(answers_test, a_leaving_engine_is_offered_nothing_after_three_seconds)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=2000", "--load_lag_ms=60000"};
    plan.host_list_lag_ms = 0;
    this->start(plan);
    this->fleet->behave(this->fleet->engines[0].own_address, {{"draining", true}});
    const auto ask_some = [&](std::size_t routers) {
        for (std::size_t i = 0; i < 24; ++i) {
            const chat_request request;
            this->check_complete(this->fleet->ask(i % routers, request), request);
        }
    };
    ask_some(1); // through one router only, which informs the others
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const auto before = this->offered_to(this->fleet->engines[0]);
    ask_some(3);
    LONGS_EQUAL(before, this->offered_to(this->fleet->engines[0]));
}

// Routers are replaced one after the other while callers hold long streams, behind a load balancer
// that polls /readyz every 100 ms. No caller may notice it.
TEST(answers_test, a_rolling_restart_of_all_routers_cuts_off_nothing)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=10000", "--batch=64"};
    this->start(plan);
    std::atomic<bool> done{false};
    std::atomic<int> whole{0};
    std::mutex mutex;
    std::set<std::size_t> ready = {0, 1, 2};
    std::string first_failure;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            for (std::size_t k = i; !done; ++k) {
                chat_request request;
                request.prompt = "Question " + std::to_string(k);
                request.max_tokens = 100;
                std::string router;
                {
                    const std::lock_guard guard(mutex);
                    auto chosen = ready.begin();
                    std::advance(chosen, k % ready.size());
                    router = this->fleet->routers[*chosen].callers;
                }
                const auto answer = chat_call(this->fleet->http(), router, request).wait();
                const std::lock_guard guard(mutex);
                if (answer.is_complete_answer_to(request)) {
                    ++whole;
                } else if (first_failure.empty()) {
                    first_failure = answer.to_text();
                }
            }
        });
    }
    for (std::size_t i = 0; i < 3; ++i) {
        const int before = whole;
        CHECK_TRUE(eventually([&] { return whole > before + 12; }));
        auto& router = this->fleet->routers[i];
        router.process->signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        {
            const std::lock_guard guard(mutex);
            ready.erase(i);
        }
        LONGS_EQUAL(0, router.process->wait(std::chrono::seconds(60)));
        this->fleet->replace_router(router);
        this->fleet->wait_until_ready(router);
        const std::lock_guard guard(mutex);
        ready.insert(i);
    }
    done = true;
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK_TRUE_TEXT(first_failure.empty(), first_failure.c_str());
    CHECK_TRUE(whole > 36);
}

// A session began on version 1. Routers are killed and replaced, the traffic moves to version 2 and
// the store becomes unavailable: each later turn must still run on version 1. Once version 1 is
// withdrawn, the session ends with an explicit error and is not moved to version 2.
TEST(answers_test, a_session_keeps_its_version_through_loss_outage_and_new_traffic_shares)
{
    this->start({});
    chat_request request;
    request.model = "adjudicator-1";
    request.headers["pearhaven-session"] = "new";
    const auto first = this->fleet->ask(0, request);
    request.headers["pearhaven-session"] = first.header("pearhaven-session");
    request.model = "adjudicator";
    auto moved = test_fleet::base_configuration();
    const auto spec = moved.find("spec: {", moved.find("name: adjudicator-1")) + 7;
    auto text = moved;
    this->fleet->apply(text.insert(spec, "traffic: 0, "));
    this->fleet->routers[0].process->kill();
    this->fleet->replace_router(this->fleet->routers[0]);
    this->fleet->wait_until_ready(this->fleet->routers[0]);
    this->fleet->behave(this->fleet->store.own_address, {{"outage", true}});
    for (std::size_t turn = 0; turn < 6; ++turn) {
        const auto answer = this->fleet->ask(turn % 3, request);
        this->check_complete(answer, request);
        CHECK_EQUAL(std::string("adjudicator-1"), answer.header("pearhaven-version"));
    }
    this->fleet->behave(this->fleet->store.own_address, {{"outage", false}});
    this->fleet->apply(moved.insert(spec, "withdrawn: true, "));
    for (std::size_t turn = 0; turn < 3; ++turn) {
        const auto answer = this->fleet->ask(turn, request);
        CHECK_EQUAL(std::string("session_ended"), answer.error_code);
        CHECK_EQUAL(std::string("not_run"), answer.run);
    }
}
