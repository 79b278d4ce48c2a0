#include "pearhaven/decision/dispatcher.hpp"

#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct fleet_plan {
    bool has_rollout = true;
    std::string served = "adjudicator"; // model whose versions the engines serve
    bool fills_endpoint = false;
    bool has_old = true;
    std::uint32_t session_ppm = 0;
    std::uint32_t fill_ppm = 1'000'000;
};

configuration_ptr make_configuration(const fleet_plan& wanted)
{
    team deposits;
    deposits.name = "deposits";
    deposits.versions = selector().require("model", {"adjudicator"});
    pool engines;
    engines.name = "engines";
    engines.hosts = selector().require("role", {"engine"});
    engines.versions = selector().require("served", {"yes"});
    rollout plan;
    plan.name = "adjudicator";
    plan.from = "adjudicator-1";
    plan.to = "adjudicator-2";
    plan.step_callers = {2};
    plan.run = 3;
    plan.fills_endpoint = wanted.fills_endpoint;
    plan.session_ppm = wanted.session_ppm;
    plan.fill_ppm = wanted.fill_ppm;
    configuration_builder builder;
    builder.add(deposits).add(engines);
    if (wanted.has_rollout) {
        builder.add(plan);
    }
    for (const std::string name : {"adjudicator-1", "adjudicator-2"}) {
        if (!wanted.has_old && name == "adjudicator-1") {
            continue;
        }
        version made;
        made.name = name;
        made.model = "adjudicator";
        made.tags["served"] =
            wanted.served == "adjudicator" || wanted.served == name ? "yes" : "no";
        builder.add(made);
    }
    return builder.build();
}

} // namespace

TEST_GROUP(rollout_dispatch_test)
{
    dispatcher router{dispatcher_settings{}};
    instant now{seconds(100)};
    ticket_number last_ticket = 0;

    void begin(const std::string& served = "adjudicator")
    {
        const labels tags = {{"role", "engine"}};
        const std::vector<endpoint_host> hosts = {{"10.0.0.1:80", "a", "osu", 1, false, tags},
                                                  {"10.0.0.2:80", "b", "osu", 1, false, tags},
                                                  {"10.0.0.3:80", "c", "osu", 1, false, tags}};
        this->router.on_config_confirmed(this->now + seconds(1000), this->now);
        this->router.on_fleet(0, 1);
        this->router.on_configuration(make_configuration({false, served}), this->now);
        this->router.on_configuration(make_configuration({true, served}), this->now);
        this->router.on_hosts(hosts, this->now);
    }

    // A request with a long answer and a short prompt that any endpoint may resume.
    static arrival long_request()
    {
        arrival request;
        request.streamed = true;
        request.on_loss = continuation::another_run;
        return request;
    }

    start_attempt arrive_long()
    {
        return this->arrive_long(long_request());
    }

    start_attempt arrive_long(arrival request)
    {
        request.ticket = ++this->last_ticket;
        request.team = "deposits";
        request.asked = "adjudicator";
        request.work.tokens = 10;
        request.sizes = 3;
        request.max_attempts = 3;
        request.deadline = this->now + seconds(60);
        request.fingerprint = request.ticket;
        this->router.on_arrival(request, this->now);
        return this->started();
    }

    // The attempt started by the last event; its version is empty if none was started.
    start_attempt started()
    {
        start_attempt found;
        for (const auto& action : this->router.take_actions()) {
            if (const auto* start = std::get_if<start_attempt>(&action)) {
                found = *start;
            }
        }
        return found;
    }

    start_attempt arrive()
    {
        return this->arrive_in_session(0);
    }

    start_attempt arrive_in_session(std::uint64_t session_key)
    {
        arrival request;
        request.session_key = session_key;
        request.ticket = ++this->last_ticket;
        request.team = "deposits";
        request.asked = "adjudicator";
        request.work.tokens = 10;
        request.deadline = this->now + seconds(60);
        request.fingerprint = request.ticket;
        this->router.on_arrival(request, this->now);
        return this->started();
    }

    start_attempt end(const start_attempt& attempt, attempt_result result, bool answered_error)
    {
        attempt_end ended;
        ended.ticket = attempt.ticket;
        ended.attempt = attempt.attempt;
        ended.result = result;
        ended.answered_error = answered_error;
        this->router.on_attempt_end(ended, this->now);
        return this->started();
    }
};

TEST(rollout_dispatch_test, a_caller_whose_run_the_new_version_failed_is_answered_by_the_old)
{
    begin();
    const auto first = arrive();
    CHECK_EQUAL(std::string("adjudicator-2"), first.version);
    const auto second = end(first, attempt_result::failed, true);
    CHECK_EQUAL(std::string("adjudicator-1"), second.version);
    LONGS_EQUAL(1, router.rollouts().at(0).seen.bad);
    LONGS_EQUAL(1, router.rollouts().at(0).spent);
}

// The new version is not loaded yet, so endpoints refuse its runs. Refused runs must not use up the
// step's callers, nor leave the caller without an answer.
TEST(rollout_dispatch_test, a_caller_that_the_new_versions_endpoints_refuse_goes_to_the_old)
{
    begin();
    const auto first = arrive();
    const auto second = end(first, attempt_result::refused, false);
    CHECK_EQUAL(std::string("adjudicator-2"), second.version);
    const auto third = end(second, attempt_result::refused, false);
    CHECK_EQUAL(std::string("adjudicator-1"), third.version);
    LONGS_EQUAL(1, router.rollouts().at(0).spent);
    LONGS_EQUAL(0, router.rollouts().at(0).seen.total());
}

TEST(rollout_dispatch_test, callers_go_to_the_old_version_while_no_pool_serves_the_new)
{
    begin("adjudicator-1");
    CHECK_EQUAL(std::string("adjudicator-1"), arrive().version);
    LONGS_EQUAL(0, router.rollouts().at(0).spent);
}

TEST(rollout_dispatch_test, good_results_count_and_callers_beyond_the_grant_stay_on_the_old_version)
{
    begin();
    for (const char* expected : {"adjudicator-2", "adjudicator-2", "adjudicator-1"}) {
        const auto attempt = arrive();
        CHECK_EQUAL(std::string(expected), attempt.version);
        end(attempt, attempt_result::finished, false);
    }
    LONGS_EQUAL(2, router.rollouts().at(0).seen.good);
    LONGS_EQUAL(0, router.rollouts().at(0).left);
}

// An endpoint that becomes unreachable during a run gives no evidence on the version.
TEST(rollout_dispatch_test, an_unreachable_endpoint_is_no_evidence_against_the_version)
{
    begin();
    const auto first = arrive();
    end(first, attempt_result::went_silent, false); // resumed
    const auto second = end(first, attempt_result::unreachable, false);
    CHECK_EQUAL(std::string("adjudicator-1"), second.version);
    LONGS_EQUAL(0, router.rollouts().at(0).seen.total());
}

// A load test of the new version on one full endpoint. Long answers accumulate there, at the model
// size that takes longest; short ones stay with the old version and are not delayed.
TEST(rollout_dispatch_test, long_answers_fill_one_endpoint_of_the_new_version)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto first = arrive_long();
    CHECK_EQUAL(std::string("adjudicator-2"), first.version);
    CHECK_EQUAL(2U, first.size);
    for (int i = 0; i < 8; ++i) {
        CHECK_EQUAL(first.address, arrive_long().address);
    }
    router.on_tick(now + seconds(1));
    CHECK_TRUE(router.long_arrival_rate("adjudicator") > 0.0);
}

// Guards against a request that is refused by one full endpoint after the other because of a load
// test.
TEST(rollout_dispatch_test, a_request_refused_by_the_filled_endpoint_goes_to_any_other)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto first = arrive_long();
    const auto second = end(first, attempt_result::refused, false);
    CHECK_TRUE(first.address != second.address);
    CHECK_EQUAL(std::string("adjudicator-2"), second.version);
    CHECK_EQUAL(0U, second.size); // like an ordinary request, not as part of the load test
}

// Guards against callers who wait behind all others because of a load test.
TEST(rollout_dispatch_test, a_filled_endpoint_at_its_limit_gets_no_more_requests)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto first = arrive_long();
    const auto slots = static_cast<std::uint32_t>(pool().slots_per_host);
    router.on_peer_loads("other", {{first.address, 2 * slots, 0.0, 1}}, now);
    const auto next = arrive_long();
    CHECK_TRUE(first.address != next.address);
    CHECK_EQUAL(std::string("adjudicator-2"), next.version);
    CHECK_EQUAL(0U, next.size);
    LONGS_EQUAL(0, counts_from(router.rollouts().at(0).under_load, 1).total());
}

// Guards against all callers of a large fleet at one endpoint before the routers have received each
// other's load reports.
TEST(rollout_dispatch_test, only_the_configured_share_of_long_answers_fills_the_endpoint)
{
    begin();
    fleet_plan wanted{true, "adjudicator", true};
    wanted.fill_ppm = 250'000;
    router.on_configuration(make_configuration(wanted), now);
    int moved = 0;
    for (int i = 0; i < 400; ++i) {
        const auto begun = arrive_long();
        moved += begun.version == "adjudicator-2" ? 1 : 0;
        end(begun, attempt_result::finished, false);
    }
    CHECK_COMPARE(moved, >, 70);
    CHECK_COMPARE(moved, <, 130);
}

// Guards against a session that alternates between versions because of its prompts, or because a
// stream of it is resumed, and against sessions of other kinds at a version that is being tested.
TEST(rollout_dispatch_test, sessions_move_to_the_filled_endpoint_by_the_kind_of_their_requests)
{
    begin();
    auto report = long_request();
    report.kind = "report";
    auto lookup = long_request();
    lookup.kind = "lookup";
    for (int i = 0; i < 16; ++i) {
        report.long_prompt = i % 2 == 0;
        lookup.long_prompt = i % 8 != 0;
        end(arrive_long(report), attempt_result::finished, false);
        end(arrive_long(lookup), attempt_result::finished, false);
    }
    fleet_plan wanted{true, "adjudicator", true};
    wanted.fill_ppm = 900'000;
    router.on_configuration(make_configuration(wanted), now);
    auto resumed = report;
    resumed.kind = "report (resumed)";
    resumed.route = "report";
    for (const bool long_prompt : {false, true}) {
        for (auto* request : {&report, &resumed, &lookup}) {
            request->long_prompt = long_prompt;
            request->session_key = 500'000;
        }
        CHECK_EQUAL(std::string("adjudicator-2"), arrive_long(report).version);
        CHECK_EQUAL(std::string("adjudicator-2"), arrive_long(resumed).version);
        CHECK_EQUAL(std::string("adjudicator-1"), arrive_long(lookup).version);
    }
}

// The filled endpoint sends nothing for a time in which a good version would send data: the version
// is several times too slow. The request continues elsewhere.
TEST(rollout_dispatch_test, the_silence_of_a_filled_endpoint_is_evidence)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto first = arrive_long();
    const auto second = end(first, attempt_result::went_silent, false);
    CHECK_TRUE(first.address != second.address);
    LONGS_EQUAL(1, router.rollouts().at(0).seen.bad);
}

// All routers fill one endpoint at once. Its queue is longer than the wait for the first data,
// although the version is good.
TEST(rollout_dispatch_test, the_silence_of_a_filled_endpoint_with_a_long_queue_is_no_evidence)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto first = arrive_long();
    router.on_peer_loads("other", {{first.address, 70, 4'000.0, 1}}, now);
    now += seconds(1);
    router.on_peer_loads("other", {{first.address, 70, 4'000.0, 1}}, now);
    end(first, attempt_result::went_silent, false);
    LONGS_EQUAL(0, router.rollouts().at(0).seen.bad);
}

TEST(rollout_dispatch_test, an_error_of_a_filled_endpoint_is_evidence)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto second = end(arrive_long(), attempt_result::failed, true);
    CHECK_EQUAL(std::string("adjudicator-1"), second.version);
    LONGS_EQUAL(1, router.rollouts().at(0).seen.bad);
}

// Sessions are assigned by their keys even if no endpoint serves the new version yet. Until one
// does, they are served by the old version and not refused.
TEST(rollout_dispatch_test, sessions_stay_on_the_old_version_while_no_pool_serves_the_new)
{
    begin("adjudicator-1");
    router.on_configuration(make_configuration({true, "adjudicator-1", true}), now);
    CHECK_EQUAL(std::string("adjudicator-1"), arrive_long().version);
}

// All callers of a team use the same session, which is in the sample that moves early, and the new
// version always fails. One of ninety routers must stop after a few requests on its own evidence,
// and each caller is answered by the old version.
TEST(rollout_dispatch_test, a_session_shared_by_all_callers_is_moved_off_a_bad_version_at_once)
{
    constexpr int max_on_new = 10;
    constexpr int callers = 100;
    begin();
    router.on_fleet(0, 90);
    fleet_plan sampled;
    sampled.session_ppm = 100'000;
    router.on_configuration(make_configuration(sampled), now);
    int on_new = 0;
    for (int caller = 0; caller < callers; ++caller) {
        auto attempt = arrive_in_session(50'000);
        if (attempt.version == "adjudicator-2") {
            ++on_new;
            attempt = end(attempt, attempt_result::failed, true);
        }
        CHECK_EQUAL(std::string("adjudicator-1"), attempt.version);
        end(attempt, attempt_result::finished, false);
    }
    CHECK_TRUE(on_new > 0);
    CHECK_TRUE(on_new <= max_on_new);
    CHECK_TRUE(router.rollouts().at(0).tripped);
}

// As above, for a session that is not in the sample: none of its requests moves early, however many
// there are.
TEST(rollout_dispatch_test, a_session_shared_by_all_callers_stays_completely_on_the_old_version)
{
    constexpr int callers = 100;
    begin();
    fleet_plan sampled;
    sampled.session_ppm = 100'000;
    router.on_configuration(make_configuration(sampled), now);
    for (int caller = 0; caller < callers; ++caller) {
        const auto attempt = arrive_in_session(100'000);
        CHECK_EQUAL(std::string("adjudicator-1"), attempt.version);
        end(attempt, attempt_result::finished, false);
    }
}

// The new version answers correctly but writes several times as slowly. First chunks are late for
// many reasons, so only the pace after them is evidence.
TEST(rollout_dispatch_test, a_stream_that_is_written_slowly_is_evidence_of_slowness)
{
    begin();
    const auto first = arrive(); // the step's two callers
    const auto second = arrive();
    for (int i = 0; i < 20; ++i) {
        const auto usual = arrive_long();
        CHECK_EQUAL(std::string("adjudicator-1"), usual.version);
        router.on_pace(usual.ticket, usual.attempt, milliseconds(20));
    }
    router.on_pace(first.ticket, first.attempt, milliseconds(160));
    LONGS_EQUAL(1, router.rollouts().at(0).speed.bad);
    router.on_pace(second.ticket, second.attempt, milliseconds(32));
    LONGS_EQUAL(1, router.rollouts().at(0).speed.good);
    router.on_pace(second.ticket, second.attempt + 1, milliseconds(160)); // of no attempt
    LONGS_EQUAL(2, router.rollouts().at(0).speed.total());
}

// An endpoint that is being filled processes a prompt in each step, which slows its answers. That
// is no fault of the version.
TEST(rollout_dispatch_test, the_pace_at_a_filled_endpoint_is_no_evidence)
{
    begin();
    arrive();
    arrive(); // the step's two callers
    for (int i = 0; i < 20; ++i) {
        const auto small = arrive_long();
        CHECK_FALSE(router.accepts_answer(small.ticket, small.attempt, 0.0, now));
        const auto usual = started(); // by the largest model
        router.on_pace(usual.ticket, usual.attempt, milliseconds(20));
    }
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto concentrated = arrive_long();
    CHECK_EQUAL(std::string("adjudicator-2"), concentrated.version);
    router.on_pace(concentrated.ticket, concentrated.attempt, milliseconds(160));
    LONGS_EQUAL(0, router.rollouts().at(0).speed.total());
}

// Guards against runs that failed under load being counted as runs on an idle endpoint.
TEST(rollout_dispatch_test, a_run_at_a_filled_endpoint_counts_by_its_load_when_it_was_sent)
{
    begin();
    router.on_configuration(make_configuration({true, "adjudicator", true}), now);
    const auto first = arrive_long();
    CHECK_EQUAL(std::string("adjudicator-2"), first.version);
    CHECK_TRUE(router.accepts_answer(first.ticket, first.attempt, 100.0, now));
    router.on_fleet(0, 2);
    const auto slots = static_cast<std::uint32_t>(pool().slots_per_host);
    router.on_peer_loads("other", {{first.address, slots, 0.0, 1, {}, slots / 2}}, now);
    const auto second = arrive_long();
    router.on_peer_loads("other", {}, now);
    end(second, attempt_result::failed, true);
    const auto seen = router.rollouts().at(0).under_load;
    LONGS_EQUAL(1, seen.at(0).good);
    LONGS_EQUAL(1, seen.at(4).bad);
    LONGS_EQUAL(2, counts_from(seen, 0).total());
}

// Guards against an endless search for a version: all endpoints are gone and only the new version
// is still configured, so the request must be refused.
TEST(rollout_dispatch_test, a_request_is_refused_if_only_a_new_version_without_endpoints_remains)
{
    begin();
    router.on_hosts({}, now);
    router.on_configuration(make_configuration({true, "adjudicator", true, false}), now);
    CHECK_EQUAL(0U, arrive_long().attempt);
    LONGS_EQUAL(0, router.in_flight());
}
