#include "test_fleet.hpp"

#include <csignal>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

// The complete request path without faults, as callers and operators see it.
TEST_GROUP(path_test)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        test_fleet::plan plan;
        plan.name = "path";
        plan.plain_services = 1;
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        this->fleet.reset();
    }
};

TEST(path_test, a_streamed_and_a_plain_request_are_answered_whole_by_every_router)
{
    for (std::size_t router = 0; router < 3; ++router) {
        for (const bool streamed : {true, false}) {
            chat_request request;
            request.streamed = streamed;
            const auto answer = this->fleet->ask(router, request);
            CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
        }
    }
}

TEST(path_test, a_team_gets_only_the_versions_it_is_allowed)
{
    chat_request request;
    request.team_key = "key-of-agents";
    for (int i = 0; i < 8; ++i) {
        CHECK_EQUAL(std::string("adjudicator-1"),
                    this->fleet->ask(0, request).header("pearhaven-version"));
    }
    request.model = "adjudicator-2";
    const auto answer = this->fleet->ask(0, request);
    CHECK_EQUAL(std::string("not_allowed"), answer.error_code);
    CHECK_EQUAL(std::string("not_run"), answer.run);
}

TEST(path_test, a_key_that_no_team_has_is_refused)
{
    chat_request request;
    request.team_key = "no-such-key";
    LONGS_EQUAL(401, this->fleet->ask(0, request).status);
}

TEST(path_test, a_session_stays_on_its_version_on_every_router)
{
    chat_request request;
    request.headers["pearhaven-session"] = "new";
    const auto first = this->fleet->ask(0, request);
    const auto version = first.header("pearhaven-version");
    CHECK_FALSE(version.empty());
    request.headers["pearhaven-session"] = first.header("pearhaven-session");
    for (std::size_t turn = 0; turn < 9; ++turn) {
        CHECK_EQUAL(version, this->fleet->ask(turn % 3, request).header("pearhaven-version"));
    }
}

TEST(path_test, every_finished_request_is_billed_once)
{
    for (std::size_t i = 0; i < 6; ++i) {
        this->fleet->ask(i % 3, chat_request{});
    }
    LONGS_EQUAL(6, this->fleet->runs().size());
    LONGS_EQUAL(6, this->fleet->bills().size());
}

TEST(path_test, a_plain_service_answers_through_the_router)
{
    const auto answer = this->fleet->call_service(0, "GET", "booking/seats?flight=12", "", {});
    LONGS_EQUAL(200, answer.result.status);
    CHECK_TRUE(answer.body.find("/seats") != std::string::npos);
}

TEST(path_test, a_planned_stop_without_work_ends_with_status_0)
{
    auto& router = this->fleet->routers[0];
    router.process->signal(SIGTERM);
    LONGS_EQUAL(0, router.process->wait(std::chrono::seconds(30)));
}
