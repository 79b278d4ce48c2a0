#include "pearhaven/decision/rollout_judge.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::seconds;

namespace {

rollout make_plan()
{
    rollout plan;
    plan.name = "adjudicator";
    plan.from = "adjudicator-1";
    plan.to = "adjudicator-2";
    plan.step_callers = {25, 100};
    plan.step_seconds = 60;
    plan.run = 7;
    return plan;
}

rollout_fleet_evidence evidence(std::uint64_t good, std::uint64_t bad, std::uint64_t left = 0)
{
    return {{good, bad}, left, false};
}

} // namespace

TEST_GROUP(rollout_judge_test)
{
    rollout_judge judge;
    rollout plan = make_plan();
    instant start{};

    bool decides(rollout_move expected, const rollout_fleet_evidence& seen, int second)
    {
        return this->judge.judge(this->plan, seen, this->start + seconds(second)) == expected;
    }
};

TEST(rollout_judge_test, an_attempt_begins_with_an_attempt_number)
{
    plan.run = 0;
    CHECK_TRUE(decides(rollout_move::begin, evidence(0, 0), 0));
    plan.paused = true;
    CHECK_TRUE(decides(rollout_move::stay, evidence(0, 0), 0));
}

TEST(rollout_judge_test, a_step_ends_after_its_time_when_half_of_its_callers_are_answered)
{
    CHECK_TRUE(decides(rollout_move::stay, evidence(0, 0, 25), 0));
    CHECK_TRUE(decides(rollout_move::stay, evidence(25, 0), 59));
    CHECK_TRUE(decides(rollout_move::stay, evidence(12, 0, 13), 61));
    CHECK_TRUE(decides(rollout_move::advance, evidence(13, 0, 12), 62));
}

TEST(rollout_judge_test, only_an_accepted_version_is_finished_and_until_then_more_is_granted)
{
    plan.step = 1;
    CHECK_TRUE(decides(rollout_move::stay, evidence(100, 0), 0));
    CHECK_TRUE(decides(rollout_move::advance, evidence(100, 0), 60));
    plan.step = 2;
    CHECK_TRUE(decides(rollout_move::stay, evidence(112, 0), 61));
    CHECK_TRUE(decides(rollout_move::finish, evidence(112, 0), 121));
}

TEST(rollout_judge_test, a_rejected_version_is_rolled_back_at_once_also_while_paused)
{
    CHECK_TRUE(decides(rollout_move::roll_back, evidence(0, 4), 0));
    plan.paused = true;
    CHECK_TRUE(decides(rollout_move::roll_back, evidence(0, 4), 0));
}

TEST(rollout_judge_test, a_trip_reported_by_a_router_also_rolls_back_a_finished_rollout)
{
    auto tripped = evidence(0, 0);
    tripped.tripped = true;
    CHECK_TRUE(decides(rollout_move::roll_back, tripped, 0));
    plan.state = rollout_state::done;
    CHECK_TRUE(decides(rollout_move::roll_back, tripped, 0));
    // The counts of a finished rollout are ignored.
    CHECK_TRUE(decides(rollout_move::stay, evidence(0, 99), 0));
    plan.state = rollout_state::rolled_back;
    CHECK_TRUE(decides(rollout_move::stay, tripped, 0));
}

// Guards against a rollout that is stuck for ever. Routers terminated with most of the step's
// grant, so no callers remain; fewer than half of the grant were answered, without a rejection.
TEST(rollout_judge_test, a_grant_lost_with_terminated_routers_is_renewed)
{
    CHECK_TRUE(decides(rollout_move::stay, evidence(5, 0, 3), 0));
    CHECK_TRUE(decides(rollout_move::stay, evidence(5, 0, 3), 100));
    CHECK_TRUE(decides(rollout_move::renew, evidence(8, 0, 0), 101));
}

// The lease holder terminates in the middle of a step. The next one resumes at the step in the
// configuration and restarts its duration.
TEST(rollout_judge_test, a_new_holder_continues_at_the_recorded_step)
{
    plan.step = 1;
    rollout_judge next;
    const auto taken = start + seconds(500);
    CHECK_TRUE(next.judge(plan, evidence(120, 0), taken) == rollout_move::stay);
    CHECK_TRUE(next.judge(plan, evidence(120, 0), taken + seconds(59)) == rollout_move::stay);
    CHECK_TRUE(next.judge(plan, evidence(120, 0), taken + seconds(60)) == rollout_move::finish);
}
