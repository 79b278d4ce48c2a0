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

rollout_fleet_evidence sight(std::uint64_t good, std::uint64_t bad, std::uint64_t left = 0)
{
    return {{good, bad}, left, false};
}

} // namespace

TEST_GROUP(rollout_judge_test)
{
    rollout_judge judge;
    rollout plan = make_plan();
    instant start{};

    bool gives(rollout_move expected, const rollout_fleet_evidence& seen, int second)
    {
        return this->judge.judge(this->plan, seen, this->start + seconds(second)) == expected;
    }
};

TEST(rollout_judge_test, an_attempt_begins_by_being_named)
{
    plan.run = 0;
    CHECK_TRUE(gives(rollout_move::begin, sight(0, 0), 0));
    plan.paused = true;
    CHECK_TRUE(gives(rollout_move::stay, sight(0, 0), 0));
}

TEST(rollout_judge_test, a_step_ends_after_its_time_when_half_of_its_callers_are_answered)
{
    CHECK_TRUE(gives(rollout_move::stay, sight(0, 0, 25), 0));
    CHECK_TRUE(gives(rollout_move::stay, sight(25, 0), 59));
    CHECK_TRUE(gives(rollout_move::stay, sight(12, 0, 13), 61));
    CHECK_TRUE(gives(rollout_move::advance, sight(13, 0, 12), 62));
}

TEST(rollout_judge_test, only_an_accepted_version_is_finished_and_until_then_more_is_granted)
{
    plan.step = 1;
    CHECK_TRUE(gives(rollout_move::stay, sight(100, 0), 0));
    CHECK_TRUE(gives(rollout_move::advance, sight(100, 0), 60));
    plan.step = 2;
    CHECK_TRUE(gives(rollout_move::stay, sight(112, 0), 61));
    CHECK_TRUE(gives(rollout_move::finish, sight(112, 0), 121));
}

TEST(rollout_judge_test, a_rejected_version_is_rolled_back_at_once_also_while_paused)
{
    CHECK_TRUE(gives(rollout_move::roll_back, sight(0, 4), 0));
    plan.paused = true;
    CHECK_TRUE(gives(rollout_move::roll_back, sight(0, 4), 0));
}

TEST(rollout_judge_test, a_trip_that_a_router_tells_rolls_back_also_what_is_done)
{
    auto tripped = sight(0, 0);
    tripped.tripped = true;
    CHECK_TRUE(gives(rollout_move::roll_back, tripped, 0));
    plan.state = rollout_state::done;
    CHECK_TRUE(gives(rollout_move::roll_back, tripped, 0));
    CHECK_TRUE(gives(rollout_move::stay, sight(0, 99), 0)); // counts of the past say nothing now
    plan.state = rollout_state::rolled_back;
    CHECK_TRUE(gives(rollout_move::stay, tripped, 0));
}

// Routers died with most of the step's grant: no caller is left to come, and the roll-out would
// stand still for ever. What was answered is under half of the grant, and not rejected.
TEST(rollout_judge_test, a_grant_that_was_lost_with_routers_is_given_again)
{
    CHECK_TRUE(gives(rollout_move::stay, sight(5, 0, 3), 0));
    CHECK_TRUE(gives(rollout_move::stay, sight(5, 0, 3), 100));
    CHECK_TRUE(gives(rollout_move::renew, sight(8, 0, 0), 101));
}

// The holder dies in the middle of a step. The next one finds the step in the configuration, goes
// on from it, and gives it its whole time.
TEST(rollout_judge_test, a_new_holder_goes_on_at_the_recorded_step)
{
    plan.step = 1;
    rollout_judge next;
    const auto taken = start + seconds(500);
    CHECK_TRUE(next.judge(plan, sight(120, 0), taken) == rollout_move::stay);
    CHECK_TRUE(next.judge(plan, sight(120, 0), taken + seconds(59)) == rollout_move::stay);
    CHECK_TRUE(next.judge(plan, sight(120, 0), taken + seconds(60)) == rollout_move::finish);
}
