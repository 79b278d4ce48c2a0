#include "engine.hpp"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;
using std::chrono::milliseconds;

namespace {

engine_settings quick_engine()
{
    engine_settings settings;
    settings.batch.step = milliseconds(1);
    settings.batch.step_per_run = milliseconds(0);
    settings.versions = {"v"};
    settings.checks_fencing = true;
    return settings;
}

engine_request request_for(const std::string& run, std::uint64_t tokens)
{
    engine_request request;
    request.run = run;
    request.version = "v";
    request.prompt = "user: hi\n";
    request.max_tokens = tokens;
    return request;
}

run_progress wait_for_end(live_run& run)
{
    auto progress = run.progress_snapshot();
    while (!has_ended(progress.state)) {
        progress = run.wait_for_tokens(run.request.max_tokens);
    }
    return progress;
}

constexpr std::uint64_t endless = 1'000'000;

} // namespace

TEST_GROUP(engine)
{
    engine served{quick_engine()};

    void behave(const std::function<void(engine_behaviours&)>& change)
    {
        engine_behaviours wanted;
        change(wanted);
        this->served.behave(wanted);
    }

    std::string state_of_run(std::size_t index)
    {
        return this->served.show_runs(0).at(index).at("state").get<std::string>();
    }
};

TEST(engine, runs_a_request_to_its_last_token)
{
    const auto submitted = served.submit(request_for("r1", 5));
    LONGS_EQUAL(5, wait_for_end(*submitted.run).tokens);
    CHECK_EQUAL(std::string("finished"), state_of_run(0));
}

TEST(engine, keeps_an_ended_run_to_be_resumed)
{
    wait_for_end(*served.submit(request_for("r1", 1)).run);
    CHECK_TRUE(served.find("r1") != nullptr);
    CHECK_TRUE(served.find("r2") == nullptr);
}

TEST(engine, removes_an_ended_run_after_the_retention_time)
{
    auto settings = quick_engine();
    settings.keep_runs = milliseconds(0);
    engine forgetful(settings);
    wait_for_end(*forgetful.submit(request_for("r1", 1)).run);
    wait_for_end(*forgetful.submit(request_for("r2", 1)).run);
    CHECK_TRUE(forgetful.find("r1") == nullptr);
}

// A client library may resend a request on its own when a reused connection breaks. The caller sees
// one answer, while the engine would have run one attempt twice.
TEST(engine, never_runs_one_attempt_twice)
{
    wait_for_end(*served.submit(request_for("r1", 1)).run);
    CHECK_TRUE(served.submit(request_for("r1", 1)).outcome == admission::duplicate);
    LONGS_EQUAL(1, served.show_runs(0).size());
}

TEST(engine, refuses_requests_without_running_them)
{
    auto other = request_for("r1", 1);
    other.version = "w";
    CHECK_TRUE(served.submit(other).outcome == admission::no_such_version);
    behave([](engine_behaviours& wanted) { wanted.draining = true; });
    CHECK_TRUE(served.submit(request_for("r2", 1)).outcome == admission::draining);
    behave([](engine_behaviours& wanted) { wanted.refuse = true; });
    CHECK_TRUE(served.submit(request_for("r3", 1)).outcome == admission::refused);
    LONGS_EQUAL(0, served.show_runs(0).size());
}

TEST(engine, ends_a_cancelled_run)
{
    const auto submitted = served.submit(request_for("r1", endless));
    submitted.run->wait_for_tokens(1);
    CHECK_TRUE(served.cancel("r1") == submitted.run);
    CHECK_TRUE(wait_for_end(*submitted.run).state == run_state::cancelled);
    CHECK_EQUAL(std::string("cancelled"), state_of_run(0));
}

TEST(engine, logs_a_failing_run_as_lost)
{
    behave([](engine_behaviours& wanted) { wanted.fail_rate = 1; });
    const auto submitted = served.submit(request_for("r1", 1));
    wait_for_end(*submitted.run);
    CHECK_TRUE(submitted.run->outcome.fails);
    CHECK_EQUAL(std::string("lost"), state_of_run(0));
}

TEST(engine, gives_bad_answers_only_for_the_named_version)
{
    behave([](engine_behaviours& wanted) {
        wanted.bad = true;
        wanted.version = "w";
    });
    CHECK_FALSE(served.submit(request_for("r1", 1)).run->outcome.bad);
    behave([](engine_behaviours& wanted) {
        wanted.bad = true;
        wanted.version = "v";
    });
    const auto bad = served.submit(request_for("r2", 1)).run;
    CHECK_EQUAL(0U, bad->text().find("BAD"));
}

TEST(engine, makes_no_progress_while_frozen_and_resumes_after)
{
    const auto submitted = served.submit(request_for("r1", endless));
    submitted.run->wait_for_tokens(1);
    behave([](engine_behaviours& wanted) { wanted.freeze = true; });
    submitted.run->wait_for_tokens(endless); // woken by the behaviour change
    const auto frozen_at = submitted.run->progress_snapshot().tokens;
    LONGS_EQUAL(frozen_at, submitted.run->wait_for_tokens(frozen_at + 1).tokens);
    behave([](engine_behaviours&) {});
    while (submitted.run->wait_for_tokens(frozen_at + 1).tokens == frozen_at) {
    }
    served.cancel("r1");
}

TEST(engine, refuses_an_order_with_an_old_fencing_number)
{
    CHECK_TRUE(served.obey(engine_order::unload, "w", 5));
    CHECK_FALSE(served.obey(engine_order::unload, "v", 4));
    CHECK_TRUE(served.submit(request_for("r1", 1)).outcome == admission::accepted);
}

TEST(engine, obeys_any_order_when_it_does_not_check_fencing)
{
    auto settings = quick_engine();
    settings.checks_fencing = false;
    engine trusting(settings);
    CHECK_TRUE(trusting.obey(engine_order::unload, "w", 5));
    CHECK_TRUE(trusting.obey(engine_order::unload, "v", 4));
    CHECK_TRUE(trusting.submit(request_for("r1", 1)).outcome == admission::no_such_version);
}
