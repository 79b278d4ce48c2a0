#include "one_router.hpp"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using pearhaven::decision::test::one_router;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t crashing = 7;

} // namespace

// One router and six endpoints, which the tests let crash.
TEST_GROUP(lost_run_dispatch)
{
    one_router fleet{{"a", "b", "c", "d", "e", "f"}};
    std::uint64_t last_incarnation = 1;

    std::optional<start_attempt> send(std::uint64_t fingerprint = crashing, bool idempotent = false)
    {
        auto request = this->fleet.make_request(idempotent);
        request.fingerprint = fingerprint;
        return this->fleet.send(request);
    }

    // The endpoint of the run crashes, and another process takes its place.
    void crash(const start_attempt& run)
    {
        this->fleet.now += milliseconds(300);
        this->fleet.end(run, attempt_result::failed, true);
        const auto restarted = one_router::host(run.address, ++this->last_incarnation);
        this->fleet.router->on_host_changes({{restarted}, {}}, this->fleet.now);
    }

    // Other routers lose a run on each of three endpoints.
    void lose_runs_elsewhere()
    {
        for (const auto* const id : {"a", "b", "c"}) {
            this->fleet.now += seconds(1);
            this->fleet.router->on_peer_lost_run({crashing, id, 1}, this->fleet.now);
        }
    }

    // Sends the crashing request until `count` endpoints have crashed under it.
    void crash_endpoints(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto run = this->send();
            CHECK_TRUE(run.has_value());
            this->crash(*run);
            this->fleet.take_start();
        }
    }
};

// Guards against a request that crashes one endpoint after the other as its caller repeats it.
TEST(lost_run_dispatch, a_request_that_crashed_three_endpoints_is_refused_unrun)
{
    this->crash_endpoints(3);
    CHECK_FALSE(this->send().has_value());
    const auto* refused = this->fleet.find_action<give_up_request>();
    CHECK_TRUE(refused != nullptr);
    CHECK_TRUE(refused->why.code == failure_code::request_quarantined);
    CHECK_TRUE(refused->why.run == run_state::not_run);
    CHECK_TRUE(refused->why.retry_after > duration::zero());
    CHECK_TRUE(this->send(crashing + 1).has_value());
}

// Guards against a retry by the router itself after the third crash.
TEST(lost_run_dispatch, a_request_is_not_retried_after_its_third_crash)
{
    auto run = this->send(crashing, true);
    for (int crashes = 0; crashes < 3; ++crashes) {
        CHECK_TRUE(run.has_value());
        this->crash(*run);
        run = this->fleet.take_start();
    }
    CHECK_FALSE(run.has_value());
    const auto* refused = this->fleet.find_action<give_up_request>();
    CHECK_TRUE(refused != nullptr && refused->why.run == run_state::unknown);
}

TEST(lost_run_dispatch, runs_lost_by_other_routers_count)
{
    this->lose_runs_elsewhere();
    CHECK_FALSE(this->send().has_value());
    CHECK_TRUE(this->fleet.router->quarantined_requests(this->fleet.now) ==
               std::vector<std::uint64_t>{crashing});
    this->fleet.router->on_peer_finished_run(crashing);
    CHECK_TRUE(this->send().has_value());
}

TEST(lost_run_dispatch, a_lost_run_is_announced_with_its_endpoint)
{
    const auto run = this->send();
    this->crash(*run);
    this->fleet.take_start();
    const auto* announced = this->fleet.find_action<announce_lost_run>();
    CHECK_TRUE(announced != nullptr);
    CHECK_TRUE(announced->run == (lost_run{crashing, run->address, 1, milliseconds(300)}));
}

TEST(lost_run_dispatch, a_request_that_finishes_after_a_loss_is_announced_and_served)
{
    for (int round = 0; round < 5; ++round) {
        auto run = this->send(crashing, true);
        this->crash(*run);
        run = this->fleet.take_start();
        CHECK_TRUE(run.has_value());
        this->fleet.end(*run, attempt_result::finished, false);
        this->fleet.take_start();
        const auto* announced = this->fleet.find_action<announce_finished_run>();
        CHECK_TRUE(announced != nullptr && announced->fingerprint == crashing);
    }
    CHECK_TRUE(this->send().has_value());
}

// Guards against requests that are refused because their endpoints were silent, sent garbage or
// answered with an error.
TEST(lost_run_dispatch, only_a_lost_connection_counts_as_a_possible_crash)
{
    for (const auto result : {attempt_result::failed, attempt_result::went_silent}) {
        for (int i = 0; i < 4; ++i) {
            const auto run = this->send();
            CHECK_TRUE(run.has_value());
            this->fleet.now += seconds(1);
            this->fleet.end(*run, result, false);
        }
    }
    CHECK_TRUE(this->send().has_value());
}

TEST(lost_run_dispatch, a_run_lost_with_a_leaving_endpoint_is_not_counted)
{
    for (int i = 0; i < 4; ++i) {
        const auto run = this->send();
        CHECK_TRUE(run.has_value());
        this->fleet.router->on_endpoint_leaving(run->address, 1, this->fleet.now);
        this->crash(*run);
    }
    CHECK_TRUE(this->send().has_value());
}

// Guards against long streams that are refused because the endpoints on which they ran well crashed
// for another reason.
TEST(lost_run_dispatch, a_run_that_was_answering_for_long_is_not_counted)
{
    for (int i = 0; i < 4; ++i) {
        const auto run = this->send();
        CHECK_TRUE(run.has_value());
        CHECK_TRUE(
            this->fleet.router->accepts_answer(run->ticket, run->attempt, 100.0, this->fleet.now));
        this->fleet.now += seconds(2);
        this->fleet.end(*run, attempt_result::failed, true);
    }
    CHECK_TRUE(this->send().has_value());
}

TEST(lost_run_dispatch, a_quarantine_lasts_only_if_the_endpoints_leave_the_host_list)
{
    this->lose_runs_elsewhere();
    CHECK_FALSE(this->send().has_value());
    this->fleet.now += seconds(16);
    CHECK_TRUE(this->send().has_value());
    this->lose_runs_elsewhere();
    this->fleet.router->on_host_changes({{}, {"a", "b", "c", "d", "e", "f"}}, this->fleet.now);
    this->fleet.router->on_host_changes({{one_router::host("g")}, {}}, this->fleet.now);
    this->fleet.now += seconds(60);
    CHECK_FALSE(this->send().has_value());
    CHECK_TRUE(this->send(crashing + 1).has_value());
}

// Guards against a quarantine that ends too soon because the host list told of the crash before the
// connection did.
TEST(lost_run_dispatch, a_run_lost_at_an_endpoint_that_has_left_the_host_list_is_confirmed)
{
    this->fleet.router->on_host_changes({{}, {"a", "b", "c"}}, this->fleet.now);
    this->lose_runs_elsewhere();
    this->fleet.now += seconds(60);
    CHECK_FALSE(this->send().has_value());
}

// Guards against a request that is refused for ten minutes because a router that was paused hears
// of lost runs before it hears of the endpoints that lost them.
TEST(lost_run_dispatch, a_run_lost_at_an_endpoint_that_is_not_known_yet_is_not_confirmed)
{
    for (const auto* const id : {"x", "y", "z"}) {
        this->fleet.now += seconds(1);
        this->fleet.router->on_peer_lost_run({crashing, id, 1}, this->fleet.now);
    }
    CHECK_FALSE(this->send().has_value());
    this->fleet.router->on_host_changes(
        {{one_router::host("x"), one_router::host("y"), one_router::host("z")}, {}},
        this->fleet.now);
    this->fleet.now += seconds(16);
    CHECK_TRUE(this->send().has_value());
}

TEST(lost_run_dispatch, an_own_run_lost_after_its_endpoint_left_the_host_list_is_confirmed)
{
    for (int i = 0; i < 3; ++i) {
        const auto run = this->send();
        CHECK_TRUE(run.has_value());
        this->fleet.router->on_host_changes({{}, {run->address}}, this->fleet.now);
        this->fleet.now += milliseconds(300);
        this->fleet.end(*run, attempt_result::failed, true);
        this->fleet.take_start();
    }
    this->fleet.now += seconds(60);
    CHECK_FALSE(this->send().has_value());
}

TEST(lost_run_dispatch, the_shared_record_quarantines_and_releases)
{
    this->fleet.router->on_shared_quarantine(crashing, true, this->fleet.now);
    CHECK_FALSE(this->send().has_value());
    this->fleet.router->on_shared_quarantine(crashing, false, this->fleet.now);
    CHECK_TRUE(this->send().has_value());
}
