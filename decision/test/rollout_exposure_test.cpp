#include "pearhaven/decision/rollout_exposure.hpp"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

rollout make_plan(std::uint32_t step, rollout_state state = rollout_state::running)
{
    rollout plan;
    plan.name = "adjudicator";
    plan.from = "adjudicator-1";
    plan.to = "adjudicator-2";
    plan.step_callers = {25, 100, 400};
    plan.step = step;
    plan.state = state;
    plan.run = 7;
    return plan;
}

configuration_ptr make_current(const rollout& plan, const selector& allowed)
{
    team deposits;
    deposits.name = "deposits";
    deposits.versions = allowed;
    configuration_builder builder;
    builder.add(deposits).add(plan);
    for (const char* name : {"adjudicator-1", "adjudicator-2"}) {
        version made;
        made.name = name;
        made.model = "adjudicator";
        builder.add(made);
    }
    return builder.build();
}

// One router that sees roll-outs come and is asked for versions.
struct router_model {
    selector allowed = selector().require("model", {"adjudicator"});
    rollout_exposure exposure;
    configuration_ptr current;
    rollout_context note;
    std::uint64_t session_key = 0;

    explicit router_model(std::size_t rank = 0, std::size_t size = 1)
    {
        this->exposure.on_fleet(rank, size);
        this->exposure.on_configuration(*configuration_builder().build());
    }

    void see(const rollout& plan)
    {
        this->current = make_current(plan, this->allowed);
        this->exposure.on_configuration(*this->current);
    }

    rollout_choice ask(const std::string& asked = "adjudicator")
    {
        version_question question;
        question.current = this->current.get();
        question.caller = &this->current->teams().at("deposits");
        question.asked = asked;
        question.session_key = this->session_key;
        for (const auto& name : this->exposure.tripped()) {
            question.excluded.push_back(name);
        }
        return this->exposure.choose(question, this->note);
    }

    // Sends so many callers; how many of them met the new version.
    std::uint64_t send(std::uint64_t callers, bool good = true)
    {
        std::uint64_t met = 0;
        for (std::uint64_t i = 0; i < callers; ++i) {
            const auto chosen = this->ask();
            if (!chosen.exposed_by.empty()) {
                this->exposure.spend(chosen.exposed_by);
            }
            if (chosen.answer.version == "adjudicator-2") {
                ++met;
                this->exposure.on_end("adjudicator-2", good);
            }
        }
        return met;
    }
};

} // namespace

TEST_GROUP(rollout_exposure_test){};

TEST(rollout_exposure_test, a_step_sends_its_callers_to_the_new_version_and_the_rest_to_the_old)
{
    router_model router;
    router.see(make_plan(0));
    LONGS_EQUAL(25, router.send(1000));
    router.see(make_plan(1));
    LONGS_EQUAL(75, router.send(1000));
}

TEST(rollout_exposure_test, the_parts_of_all_routers_add_up_to_the_grant)
{
    const bool held = rc::check("shares add up", [] {
        const auto callers = *rc::gen::inRange<std::uint64_t>(0, 100'000);
        const auto size = *rc::gen::inRange<std::size_t>(1, 300);
        std::uint64_t sum = 0;
        for (std::size_t rank = 0; rank < size; ++rank) {
            sum += share_of(callers, rank, size);
        }
        RC_ASSERT(sum == callers);
    });
    CHECK_TRUE(held);
}

// Any fleet, any traffic, steps that come though nothing was spent, routers that start in between:
// the callers that met a version that fails always are never more than the last step's grant.
TEST(rollout_exposure_test, a_version_that_always_fails_never_meets_more_callers_than_granted)
{
    const bool held = rc::check("never more than the grant", [] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        const auto starts_late = *rc::gen::inRange<std::size_t>(0, size + 1);
        const auto last_step = *rc::gen::inRange<std::uint32_t>(0, 5);
        std::vector<router_model> routers;
        for (std::size_t rank = 0; rank < size; ++rank) {
            routers.emplace_back(rank, size);
        }
        std::uint64_t met = 0;
        for (std::uint32_t step = 0; step <= last_step; ++step) {
            for (std::size_t rank = 0; rank < size; ++rank) {
                if (rank == starts_late && step == 1) {
                    routers[rank].exposure = rollout_exposure(); // a new process in its place
                    routers[rank].exposure.on_fleet(rank, size);
                }
                routers[rank].see(make_plan(step));
                met += routers[rank].send(*rc::gen::inRange<std::uint64_t>(0, 60), false);
            }
            RC_ASSERT(met <= granted_callers(make_plan(step), step));
        }
    });
    CHECK_TRUE(held);
}

// The router of a fleet of 3 has just started and knows no other yet. It goes by the size that the
// holder wrote, else it would take the whole grant.
TEST(rollout_exposure_test, a_router_that_knows_few_others_goes_by_the_size_in_the_configuration)
{
    router_model router;
    auto plan = make_plan(0);
    plan.routers = 3;
    router.see(plan);
    LONGS_EQUAL(9, router.send(100));
}

// A router is replaced in the middle of a step. The dead one may have spent its part: the new one
// takes nothing before the next step, and then only its part of what that adds.
TEST(rollout_exposure_test, a_router_that_starts_in_the_middle_of_a_step_waits_for_the_next)
{
    router_model router;
    router.exposure = rollout_exposure();
    router.see(make_plan(0));
    LONGS_EQUAL(0, router.send(100));
    router.see(make_plan(1));
    LONGS_EQUAL(75, router.send(1000));
}

TEST(rollout_exposure_test, nothing_new_goes_to_a_version_that_is_paused_or_rolled_back_or_unbegun)
{
    auto paused = make_plan(0);
    paused.paused = true;
    auto unbegun = make_plan(0);
    unbegun.run = 0;
    for (const auto& plan : {paused, unbegun, make_plan(0, rollout_state::rolled_back)}) {
        router_model router;
        router.see(plan);
        LONGS_EQUAL(0, router.send(100));
    }
}

TEST(rollout_exposure_test, all_new_work_goes_to_a_version_that_is_fully_rolled_out)
{
    router_model router;
    router.see(make_plan(2, rollout_state::done));
    LONGS_EQUAL(1000, router.send(1000));
}

TEST(rollout_exposure_test, a_team_meets_no_version_that_it_may_not_use)
{
    router_model router;
    router.allowed = selector().require("version", {"adjudicator-1"});
    router.see(make_plan(0));
    LONGS_EQUAL(0, router.send(100));
    router.see(make_plan(2, rollout_state::done));
    LONGS_EQUAL(0, router.send(100));
}

TEST(rollout_exposure_test, a_request_for_a_version_by_name_is_no_callers_exposure)
{
    router_model router;
    router.see(make_plan(0));
    CHECK_EQUAL(std::string("adjudicator-2"), router.ask("adjudicator-2").answer.version);
    CHECK_EQUAL(std::string(), router.ask("adjudicator-2").exposed_by);
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask("adjudicator-1").answer.version);
}

// The caller's first run was lost on the new version. The repeat goes to the old one: the caller
// has paid enough for the new one.
TEST(rollout_exposure_test, a_request_that_the_new_version_lost_is_repeated_on_the_old)
{
    router_model router;
    router.see(make_plan(0));
    router.note.lost_on = {"adjudicator-2"};
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
}

TEST(rollout_exposure_test, a_router_whose_own_evidence_rejects_sends_nothing_more_at_once)
{
    router_model router;
    router.see(make_plan(0));
    LONGS_EQUAL(4, router.send(100, false)); // log(0.99 / 0.005) / log(5) = 3.3 errors
    CHECK_TRUE(router.exposure.reports().at(0).tripped);
}

TEST(rollout_exposure_test, a_trip_that_another_router_tells_holds_for_that_attempt_only)
{
    router_model router;
    router.exposure.on_peer_trip("adjudicator-2", 7);
    router.see(make_plan(0));
    LONGS_EQUAL(0, router.send(100));
    auto anew = make_plan(0);
    anew.run = 9;
    router.see(anew);
    LONGS_EQUAL(25, router.send(100));
}

// Fully rolled out and good for long, the version turns bad: its traffic goes back to the old one
// before any operator or the holder has acted.
TEST(rollout_exposure_test, a_version_that_turns_bad_in_full_use_gets_nothing_more)
{
    router_model router;
    router.see(make_plan(2, rollout_state::done));
    LONGS_EQUAL(10'000, router.send(10'000));
    LONGS_EQUAL(13, router.send(100, false));
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
}

// A stream has begun on the old version and its endpoint goes silent. The next endpoint must not be
// one of a new version that may be bad: it broke the stream off for good when it was.
TEST(rollout_exposure_test, a_request_that_has_begun_stays_on_its_version)
{
    router_model router;
    router.see(make_plan(0));
    router.note.ran_on = "adjudicator-1";
    STRCMP_EQUAL("adjudicator-1", router.ask().answer.version.c_str());
    router.note.ran_on = "adjudicator-2";
    STRCMP_EQUAL("adjudicator-2", router.ask().answer.version.c_str());
}

TEST(rollout_exposure_test, sessions_move_early_by_their_name_alone)
{
    router_model one(0, 9);
    router_model other(5, 9);
    auto plan = make_plan(0);
    plan.session_ppm = 40'000;
    int moved = 0;
    for (auto* router : {&one, &other}) {
        router->see(plan);
    }
    for (std::uint64_t key = 1; key <= 1'000'000; key += 997) {
        one.session_key = key;
        other.session_key = key;
        const auto chosen = one.ask();
        STRCMP_EQUAL(chosen.answer.version.c_str(), other.ask().answer.version.c_str());
        moved += chosen.answer.version == "adjudicator-2" ? 1 : 0;
    }
    CHECK_TRUE(moved >= 35 && moved <= 45); // 4 in 100 of 1,003
}

TEST(rollout_exposure_test, all_sessions_move_once_the_staged_part_is_over)
{
    router_model router;
    router.see(make_plan(2, rollout_state::done));
    router.session_key = 999'999;
    router.note.lost_on = {"adjudicator-2"};
    STRCMP_EQUAL("adjudicator-2", router.ask().answer.version.c_str());
}

TEST(rollout_exposure_test, requests_that_fill_an_endpoint_move_to_it_and_no_others)
{
    router_model router;
    auto plan = make_plan(2);
    plan.step_callers = {0, 0, 0};
    plan.fills_endpoint = true;
    router.see(plan);
    CHECK_TRUE(router.exposure.is_filling_endpoint("adjudicator-2"));
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
    router.note.fills_endpoint = true;
    CHECK_EQUAL(std::string("adjudicator-2"), router.ask().answer.version);
    router.exposure.on_peer_trip("adjudicator-2", 7);
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
}

TEST(rollout_exposure_test, what_was_seen_before_an_endpoint_is_filled_is_counted_apart)
{
    router_model router;
    auto plan = make_plan(0);
    router.see(plan);
    router.exposure.on_end("adjudicator-2", true);
    LONGS_EQUAL(1, router.exposure.reports().at(0).seen.good);
    plan.fills_endpoint = true;
    router.see(plan);
    LONGS_EQUAL(0, router.exposure.reports().at(0).seen.total());
}
