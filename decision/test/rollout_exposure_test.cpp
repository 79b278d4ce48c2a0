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

// One router that receives rollouts and chooses versions.
struct router_model {
    selector allowed = selector().require("model", {"adjudicator"});
    rollout_exposure exposure;
    configuration_ptr current;
    rollout_context context;
    std::uint64_t session_key = 0;

    explicit router_model(std::size_t rank = 0, std::size_t size = 1)
    {
        this->exposure.on_fleet(rank, size);
        this->exposure.on_configuration(*configuration_builder().build());
    }

    void apply(const rollout& plan)
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
        return this->exposure.choose(question, this->context);
    }

    // Sends this many callers and returns how many of them got the new version.
    std::uint64_t send(std::uint64_t callers, bool good = true)
    {
        std::uint64_t exposed = 0;
        for (std::uint64_t i = 0; i < callers; ++i) {
            const auto chosen = this->ask();
            if (!chosen.exposed_by.empty()) {
                this->exposure.spend(chosen.exposed_by);
            }
            if (chosen.answer.version == "adjudicator-2") {
                ++exposed;
                this->exposure.on_end("adjudicator-2", good);
            }
        }
        return exposed;
    }
};

} // namespace

TEST_GROUP(rollout_exposure_test){};

TEST(rollout_exposure_test, a_step_sends_its_callers_to_the_new_version_and_the_rest_to_the_old)
{
    router_model router;
    router.apply(make_plan(0));
    LONGS_EQUAL(25, router.send(1000));
    router.apply(make_plan(1));
    LONGS_EQUAL(75, router.send(1000));
}

TEST(rollout_exposure_test, the_shares_of_all_routers_add_up_to_the_grant)
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

// For any fleet and traffic, steps that begin although the last grant is unused, and routers that
// start in between: the number of callers exposed to a version that always fails never exceeds the
// last step's grant.
TEST(rollout_exposure_test, a_version_that_always_fails_never_gets_more_callers_than_granted)
{
    const bool held = rc::check("never more than the grant", [] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        const auto restarted_rank = *rc::gen::inRange<std::size_t>(0, size + 1);
        const auto last_step = *rc::gen::inRange<std::uint32_t>(0, 5);
        std::vector<router_model> routers;
        for (std::size_t rank = 0; rank < size; ++rank) {
            routers.emplace_back(rank, size);
        }
        std::uint64_t exposed = 0;
        for (std::uint32_t step = 0; step <= last_step; ++step) {
            for (std::size_t rank = 0; rank < size; ++rank) {
                if (rank == restarted_rank && step == 1) {
                    routers[rank].exposure = rollout_exposure(); // restarted
                    routers[rank].exposure.on_fleet(rank, size);
                }
                routers[rank].apply(make_plan(step));
                exposed += routers[rank].send(*rc::gen::inRange<std::uint64_t>(0, 60), false);
            }
            RC_ASSERT(exposed <= granted_callers(make_plan(step), step));
        }
    });
    CHECK_TRUE(held);
}

// A router of a fleet of 3 has just started and knows no other yet. It must use the fleet size in
// the configuration, or it would take the whole grant.
TEST(rollout_exposure_test, a_router_that_knows_few_others_uses_the_fleet_size_in_the_configuration)
{
    router_model router;
    auto plan = make_plan(0);
    plan.routers = 3;
    router.apply(plan);
    LONGS_EQUAL(9, router.send(100));
}

// A router is replaced in the middle of a step. The old process may have used its share, so the new
// one gets none before the next step, and then only its share of the added callers.
TEST(rollout_exposure_test, a_router_that_starts_in_the_middle_of_a_step_waits_for_the_next)
{
    router_model router;
    router.exposure = rollout_exposure();
    router.apply(make_plan(0));
    LONGS_EQUAL(0, router.send(100));
    router.apply(make_plan(1));
    LONGS_EQUAL(75, router.send(1000));
}

TEST(rollout_exposure_test, a_paused_or_rolled_back_or_unstarted_version_gets_no_new_callers)
{
    auto paused = make_plan(0);
    paused.paused = true;
    auto unstarted = make_plan(0);
    unstarted.run = 0;
    for (const auto& plan : {paused, unstarted, make_plan(0, rollout_state::rolled_back)}) {
        router_model router;
        router.apply(plan);
        LONGS_EQUAL(0, router.send(100));
    }
}

TEST(rollout_exposure_test, all_new_work_goes_to_a_version_that_is_fully_rolled_out)
{
    router_model router;
    router.apply(make_plan(2, rollout_state::done));
    LONGS_EQUAL(1000, router.send(1000));
}

TEST(rollout_exposure_test, a_team_gets_no_version_that_it_may_not_use)
{
    router_model router;
    router.allowed = selector().require("version", {"adjudicator-1"});
    router.apply(make_plan(0));
    LONGS_EQUAL(0, router.send(100));
    router.apply(make_plan(2, rollout_state::done));
    LONGS_EQUAL(0, router.send(100));
}

TEST(rollout_exposure_test, a_request_for_a_version_by_name_does_not_count_as_exposure)
{
    router_model router;
    router.apply(make_plan(0));
    CHECK_EQUAL(std::string("adjudicator-2"), router.ask("adjudicator-2").answer.version);
    CHECK_EQUAL(std::string(), router.ask("adjudicator-2").exposed_by);
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask("adjudicator-1").answer.version);
}

// The caller's first run failed on the new version. The retry goes to the old one, so that the new
// version costs the caller no more than one run.
TEST(rollout_exposure_test, a_request_that_failed_on_the_new_version_is_retried_on_the_old)
{
    router_model router;
    router.apply(make_plan(0));
    router.context.lost_on = {"adjudicator-2"};
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
}

TEST(rollout_exposure_test, a_router_stops_at_once_when_its_own_evidence_rejects_the_version)
{
    router_model router;
    router.apply(make_plan(0));
    LONGS_EQUAL(4, router.send(100, false)); // log(0.99 / 0.005) / log(5) = 3.3 errors
    CHECK_TRUE(router.exposure.reports().at(0).tripped);
}

TEST(rollout_exposure_test, a_trip_reported_by_a_peer_applies_to_that_attempt_only)
{
    router_model router;
    router.exposure.on_peer_trip("adjudicator-2", 7);
    router.apply(make_plan(0));
    LONGS_EQUAL(0, router.send(100));
    auto next_attempt = make_plan(0);
    next_attempt.run = 9;
    router.apply(next_attempt);
    LONGS_EQUAL(25, router.send(100));
}

// A version turns bad long after its rollout: its traffic returns to the old version before an
// operator or the lease holder has acted.
TEST(rollout_exposure_test, a_version_that_turns_bad_after_its_rollout_gets_no_more_work)
{
    router_model router;
    router.apply(make_plan(2, rollout_state::done));
    LONGS_EQUAL(10'000, router.send(10'000));
    LONGS_EQUAL(13, router.send(100, false));
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
}

// A stream has begun on the old version and its endpoint goes silent. It must not be resumed on the
// new version, which may be bad: then the stream was broken off for good.
TEST(rollout_exposure_test, a_request_that_has_begun_stays_on_its_version)
{
    router_model router;
    router.apply(make_plan(0));
    router.context.ran_on = "adjudicator-1";
    STRCMP_EQUAL("adjudicator-1", router.ask().answer.version.c_str());
    router.context.ran_on = "adjudicator-2";
    STRCMP_EQUAL("adjudicator-2", router.ask().answer.version.c_str());
}

TEST(rollout_exposure_test, sessions_move_early_by_their_key_alone)
{
    router_model one(0, 9);
    router_model other(5, 9);
    auto plan = make_plan(0);
    plan.session_ppm = 40'000;
    int moved = 0;
    for (auto* router : {&one, &other}) {
        router->apply(plan);
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

TEST(rollout_exposure_test, all_sessions_move_once_the_rollout_is_done)
{
    router_model router;
    router.apply(make_plan(2, rollout_state::done));
    router.session_key = 999'999;
    router.context.lost_on = {"adjudicator-2"};
    STRCMP_EQUAL("adjudicator-2", router.ask().answer.version.c_str());
}

TEST(rollout_exposure_test, only_requests_that_fill_an_endpoint_move_to_it)
{
    router_model router;
    auto plan = make_plan(2);
    plan.step_callers = {0, 0, 0};
    plan.fills_endpoint = true;
    router.apply(plan);
    CHECK_TRUE(router.exposure.is_filling_endpoint("adjudicator-2"));
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
    router.context.fills_endpoint = true;
    CHECK_EQUAL(std::string("adjudicator-2"), router.ask().answer.version);
    router.exposure.on_peer_trip("adjudicator-2", 7);
    CHECK_EQUAL(std::string("adjudicator-1"), router.ask().answer.version);
}

// Guards against a session that alternates between versions because one of its prompts is long,
// also in a fleet that needs most of its long answers to fill one endpoint.
TEST(rollout_exposure_test, a_session_keeps_its_version_while_an_endpoint_is_filled)
{
    for (const std::uint32_t fill_ppm : {300'000U, 900'000U}) {
        router_model router;
        auto plan = make_plan(2);
        plan.fills_endpoint = true;
        plan.fill_ppm = fill_ppm;
        plan.session_ppm = 40'000;
        router.apply(plan);
        router.context.kind_fills_endpoint = true;
        std::uint32_t moved = 0;
        for (std::uint64_t key = 1; key <= 1'000'000; key += 997) {
            router.session_key = key;
            router.context.fills_endpoint = true;
            const auto chosen = router.ask();
            router.context.fills_endpoint = false;
            STRCMP_EQUAL(chosen.answer.version.c_str(), router.ask().answer.version.c_str());
            moved += chosen.answer.version == "adjudicator-2" ? 1 : 0;
        }
        CHECK_COMPARE(moved, >=, fill_ppm / 1'000 - 10); // of 1,003
        CHECK_COMPARE(moved, <=, fill_ppm / 1'000 + 10);
    }
}

// Guards against nearly all callers at a version that has not been tested under load: sessions of a
// kind that does not fill endpoints move by their own share alone, with all of their requests.
TEST(rollout_exposure_test, sessions_of_a_kind_that_does_not_fill_stay_while_an_endpoint_is_filled)
{
    for (const std::uint32_t fill_ppm : {300'000U, 900'000U}) {
        router_model router;
        auto plan = make_plan(2);
        plan.fills_endpoint = true;
        plan.fill_ppm = fill_ppm;
        plan.session_ppm = 40'000;
        router.apply(plan);
        for (const bool fills : {false, true}) {
            router.context.fills_endpoint = fills;
            router.session_key = 40'000;
            STRCMP_EQUAL("adjudicator-1", router.ask().answer.version.c_str());
            router.session_key = 39'999;
            STRCMP_EQUAL("adjudicator-2", router.ask().answer.version.c_str());
        }
    }
}

// Guards against a session with one request's second run on the old version after it has moved.
TEST(rollout_exposure_test, the_second_run_of_a_request_follows_its_session_until_it_is_delivered)
{
    router_model router;
    auto plan = make_plan(2);
    plan.session_ppm = 40'000;
    router.apply(plan);
    router.session_key = 39'999;
    router.context.ran_on = "adjudicator-1";
    STRCMP_EQUAL("adjudicator-2", router.ask().answer.version.c_str());
    router.context.delivered = true;
    STRCMP_EQUAL("adjudicator-1", router.ask().answer.version.c_str());
}

TEST(rollout_exposure_test, results_from_before_an_endpoint_is_filled_are_counted_separately)
{
    router_model router;
    auto plan = make_plan(0);
    router.apply(plan);
    router.exposure.on_end("adjudicator-2", true);
    LONGS_EQUAL(1, router.exposure.reports().at(0).seen.good);
    plan.fills_endpoint = true;
    router.apply(plan);
    LONGS_EQUAL(0, router.exposure.reports().at(0).seen.total());
}
