#include "pearhaven/decision/dispatcher.hpp"

#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant now{seconds(100)};

// The objects that the operator has configured. Tests remove parts of them while requests are in
// progress.
struct operator_objects {
    bool has_team = true;
    std::vector<std::string> keys = {"digest"};
    std::string other_teams_key = "another";
    bool has_version = true;
    bool has_new_version = false;
    bool has_service = true;
    std::uint32_t slots = 64;
    std::uint64_t revision = 1;
    key_policy keys_needed = key_policy::needed;
};

configuration_ptr make_configuration(const operator_objects& from)
{
    configuration_builder builder;
    builder.revision(from.revision);
    team landlords;
    landlords.name = "landlords";
    landlords.versions = selector();
    landlords.max_in_flight = 1000;
    landlords.key_sha256 = from.keys;
    team brokers;
    brokers.name = "brokers";
    brokers.key_sha256 = {from.other_teams_key};
    builder.teams(team_table_ptr(new team_table({brokers}, from.keys_needed)));
    if (from.has_team) {
        builder.add(landlords);
    }
    version served;
    served.name = "model@v1";
    served.model = "model";
    if (from.has_version) {
        builder.add(served);
    }
    pool engines;
    engines.name = "engines";
    engines.versions = selector().require("version", {"model@v1"});
    engines.hosts = selector().require("served", {"model@v1"});
    engines.slots_per_host = from.slots;
    if (from.has_new_version) {
        version added = served;
        added.name = "model@v2";
        builder.add(added);
        pool more = engines;
        more.name = "more engines";
        more.versions = selector().require("version", {"model@v2"});
        more.hosts = selector().require("served", {"model@v2"});
        builder.add(more);
    }
    service booking;
    booking.name = "booking";
    booking.hosts = selector().require("role", {"booking"});
    if (from.has_service) {
        builder.add(booking);
    }
    return builder.add(engines).build();
}

std::vector<endpoint_host> make_hosts()
{
    std::vector<endpoint_host> hosts;
    for (const auto* const id : {"a", "b", "c"}) {
        hosts.push_back({id, id, "osu", 0, false, {{"served", "model@v1"}}});
    }
    hosts.push_back({"d", "d", "osu", 0, false, {{"role", "booking"}}});
    return hosts;
}

arrival make_request(ticket_number ticket)
{
    arrival request;
    request.ticket = ticket;
    request.team = "landlords";
    request.key_sha256 = "digest";
    request.asked = "model";
    request.work = {work_class::lookup, 100.0};
    request.deadline = now + seconds(10);
    request.fingerprint = ticket;
    request.on_loss = continuation::another_run;
    request.max_attempts = 3;
    request.sizes = 3;
    return request;
}

arrival make_call(ticket_number ticket)
{
    auto call = make_request(ticket);
    call.asked = "booking";
    call.is_service = true;
    call.idempotent = false;
    call.on_loss = continuation::none;
    call.max_attempts = 1;
    call.sizes = 0;
    return call;
}

} // namespace

// The operator changes the configuration while requests are in progress. Whatever is removed, each
// caller gets one answer or one failure, and a failure correctly reports whether the request may
// have run.
TEST_GROUP(changed_dispatch)
{
    operator_objects configured;
    std::unique_ptr<dispatcher> router;

    void setup() override
    {
        this->make();
    }
    void teardown() override
    {
        this->router.reset();
    }

    void make()
    {
        dispatcher_settings settings;
        settings.endpoints.zone = "osu";
        this->router = std::make_unique<dispatcher>(settings);
        this->router->on_configuration(make_configuration(this->configured), now);
        this->router->on_hosts(make_hosts(), now);
        this->router->on_config_confirmed(instant::max(), now);
        static_cast<void>(this->router->take_actions());
    }

    void change()
    {
        ++this->configured.revision;
        this->router->on_configuration(make_configuration(this->configured), now);
    }

    // Takes all slots of the endpoints, so that the next request is queued.
    void fill_endpoints()
    {
        this->configured.slots = 1;
        this->make();
        for (ticket_number ticket = 101; ticket <= 103; ++ticket) {
            this->start_of(make_request(ticket));
        }
    }

    start_attempt start_of(const arrival& request)
    {
        this->router->on_arrival(request, now);
        const auto actions = this->router->take_actions();
        CHECK_EQUAL(1U, actions.size());
        const auto* start = std::get_if<start_attempt>(&actions[0]);
        CHECK_TRUE(start != nullptr);
        return *start;
    }

    void end(const start_attempt& attempt, attempt_result result, instant at = now)
    {
        attempt_end ended;
        ended.ticket = attempt.ticket;
        ended.attempt = attempt.attempt;
        ended.result = result;
        this->router->on_attempt_end(ended, at);
    }

    failure only_failure()
    {
        const auto actions = this->router->take_actions();
        CHECK_EQUAL(1U, actions.size());
        const auto* given_up = std::get_if<give_up_request>(&actions[0]);
        CHECK_TRUE(given_up != nullptr);
        return given_up->why;
    }

    void check_refused(failure_code code, run_state run)
    {
        const auto why = this->only_failure();
        CHECK_TRUE(why.code == code);
        CHECK_TRUE(why.run == run);
        CHECK_EQUAL(0U, this->router->queued());
    }
};

// An endpoint refuses a request whose team has been removed meanwhile. The lookup of the team's
// weight threw, which ended the router and all its callers' connections. The failure must report
// that the request has not run.
TEST(changed_dispatch, a_refused_request_of_a_removed_team_is_answered)
{
    const auto start = this->start_of(make_request(1));
    this->configured.has_team = false;
    this->change();
    this->end(start, attempt_result::refused);
    this->check_refused(failure_code::not_allowed, run_state::not_run);
}

// As above, but the endpoint is lost with the run. The failure must report that the request may
// have run.
TEST(changed_dispatch, a_lost_request_of_a_removed_team_is_answered)
{
    const auto start = this->start_of(make_request(1));
    this->configured.has_team = false;
    this->change();
    this->end(start, attempt_result::failed);
    this->check_refused(failure_code::not_allowed, run_state::unknown);
}

// A stream has begun when its team is removed and its endpoint is lost. The stream ends with a
// failure; its rest must not be requested for a team that no longer exists.
TEST(changed_dispatch, a_broken_stream_is_not_continued_for_a_removed_team)
{
    auto request = make_request(1);
    request.streamed = true;
    const auto start = this->start_of(request);
    CHECK_TRUE(this->router->accepts_answer(1, start.attempt, 100.0, now));
    this->configured.has_team = false;
    this->change();
    attempt_end broken;
    broken.ticket = 1;
    broken.attempt = start.attempt;
    broken.tokens = 3;
    this->router->on_attempt_end(broken, now);
    this->check_refused(failure_code::not_allowed, run_state::unknown);
}

// Two requests finish after their team was removed: attempts sent before the removal are answered.
TEST(changed_dispatch, requests_running_when_their_team_is_removed_are_answered)
{
    const auto first = this->start_of(make_request(1));
    const auto second = this->start_of(make_call(2));
    this->configured = {};
    this->configured.has_team = false;
    this->configured.has_version = false;
    this->configured.has_service = false;
    this->change();
    this->end(first, attempt_result::finished);
    this->end(second, attempt_result::finished);
    const auto actions = this->router->take_actions();
    CHECK_EQUAL(2U, actions.size());
    CHECK_TRUE(std::holds_alternative<complete_request>(actions[0]));
    CHECK_TRUE(std::holds_alternative<complete_request>(actions[1]));
    CHECK_EQUAL(0U, this->router->in_flight());
}

// The target of a queued request is removed. The request must be refused at once, not at its
// deadline.
TEST(changed_dispatch, a_queued_request_is_refused_as_not_run_when_its_team_is_removed)
{
    this->fill_endpoints();
    this->router->on_arrival(make_request(1), now);
    CHECK_EQUAL(1U, this->router->queued());
    this->configured.has_team = false;
    this->change();
    this->check_refused(failure_code::not_allowed, run_state::not_run);
}

TEST(changed_dispatch, a_queued_request_is_refused_as_not_run_when_its_version_is_removed)
{
    this->fill_endpoints();
    this->router->on_arrival(make_request(1), now);
    this->configured.has_version = false;
    this->change();
    this->check_refused(failure_code::unknown_model, run_state::not_run);
}

// The key of a queued request is revoked. The platform relies on nothing running for a revoked key:
// the request must be refused and never run.
TEST(changed_dispatch, a_queued_request_is_refused_as_not_run_when_its_key_is_revoked)
{
    this->fill_endpoints();
    this->router->on_arrival(make_request(1), now);
    this->configured.keys.clear();
    this->change();
    this->check_refused(failure_code::not_allowed, run_state::not_run);
}

// The key of a queued request is given to another team. The first team no longer holds it, and the
// other team did not send the request.
TEST(changed_dispatch, a_queued_request_is_refused_as_not_run_when_its_key_moves_to_another_team)
{
    this->fill_endpoints();
    this->router->on_arrival(make_request(1), now);
    this->configured.keys.clear();
    this->configured.other_teams_key = "digest";
    this->change();
    this->check_refused(failure_code::not_allowed, run_state::not_run);
}

// The endpoint is lost with the run after the key was revoked. No second run may start, and the
// failure reports that the first one may have run.
TEST(changed_dispatch, a_lost_request_is_not_repeated_when_its_key_is_revoked)
{
    const auto start = this->start_of(make_request(1));
    this->configured.keys.clear();
    this->change();
    this->end(start, attempt_result::failed);
    this->check_refused(failure_code::not_allowed, run_state::unknown);
}

// The team gets one more key and loses one that the caller did not use.
TEST(changed_dispatch, a_queued_request_runs_when_other_keys_of_its_team_change)
{
    this->configured.keys = {"digest", "third"};
    this->fill_endpoints();
    this->router->on_arrival(make_request(1), now);
    this->configured.keys = {"second", "digest"};
    this->configured.slots = 64;
    this->change();
    const auto actions = this->router->take_actions();
    CHECK_EQUAL(1U, actions.size());
    CHECK_TRUE(std::holds_alternative<start_attempt>(actions[0]));
}

// A request that needed no key is not affected by revoked keys.
TEST(changed_dispatch, a_queued_request_without_a_key_runs_when_keys_are_revoked)
{
    this->fill_endpoints();
    auto request = make_request(1);
    request.key_sha256.clear();
    this->router->on_arrival(request, now);
    this->configured.keys.clear();
    this->configured.slots = 64;
    this->change();
    const auto actions = this->router->take_actions();
    CHECK_EQUAL(1U, actions.size());
    CHECK_TRUE(std::holds_alternative<start_attempt>(actions[0]));
}

// Guards against a request that was let in while no key was needed, and runs once one is.
TEST(changed_dispatch, a_queued_request_without_a_key_is_refused_once_keys_are_needed)
{
    this->configured.keys_needed = key_policy::none;
    this->change();
    this->fill_endpoints();
    auto request = make_request(1);
    request.key_sha256.clear();
    request.needs_open_access = true;
    this->router->on_arrival(request, now);
    this->configured.keys_needed = key_policy::needed;
    this->configured.slots = 64;
    this->change();
    this->check_refused(failure_code::not_allowed, run_state::not_run);
}

// Guards against queued requests that are refused because a version is known before its first
// endpoint, which registers in the same change.
TEST(changed_dispatch, queued_requests_run_when_another_version_gets_its_first_endpoint)
{
    constexpr ticket_number queued = 20;
    this->fill_endpoints();
    for (ticket_number ticket = 1; ticket <= queued; ++ticket) {
        this->router->on_arrival(make_request(ticket), now);
    }
    CHECK_EQUAL(queued, this->router->queued());
    this->configured.has_new_version = true;
    this->configured.slots = 64;
    ++this->configured.revision;
    host_changes registered;
    registered.present.push_back({"e", "e", "osu", 0, false, {{"served", "model@v2"}}});
    this->router->on_changes(make_configuration(this->configured), registered, now);
    std::size_t at_new_version = 0;
    for (const auto& action : this->router->take_actions()) {
        const auto* start = std::get_if<start_attempt>(&action);
        CHECK_TRUE(start != nullptr);
        at_new_version += start->version == "model@v2" ? 1 : 0;
    }
    CHECK_EQUAL(0U, this->router->queued());
    CHECK_TRUE(at_new_version > 0);
}

// The endpoint refuses a call after its service was removed. For a non-idempotent call the caller
// must know that it has not run.
TEST(changed_dispatch, a_refused_call_of_a_removed_service_is_reported_as_not_run)
{
    const auto start = this->start_of(make_call(1));
    this->configured.has_service = false;
    this->change();
    this->end(start, attempt_result::refused);
    this->check_refused(failure_code::unknown_model, run_state::not_run);
}

// A small model reports low confidence, and its answer would be dropped for a larger model's. But
// no further attempt is allowed, and checking for one threw, as above. The caller must get the
// answer that there is.
TEST(changed_dispatch, a_low_confidence_answer_is_delivered_when_no_other_attempt_is_allowed)
{
    const auto for_team = this->start_of(make_request(1));
    const auto for_version = this->start_of(make_request(2));
    this->configured.has_team = false;
    this->change();
    CHECK_TRUE(this->router->accepts_answer(1, for_team.attempt, 10.0, now));
    this->configured.has_team = true;
    this->configured.has_version = false;
    this->change();
    CHECK_TRUE(this->router->accepts_answer(2, for_version.attempt, 10.0, now));
    CHECK_EQUAL(0U, this->router->take_actions().size());
}

// The endpoint is silent. Once the version or the team is removed, giving the run up would end in a
// refusal, so the run that was allowed when it started must be waited for.
TEST(changed_dispatch, a_silent_run_is_waited_for_when_no_other_may_start)
{
    this->start_of(make_request(1));
    CHECK_TRUE(this->router->can_retry(1, now));
    this->configured.has_version = false;
    this->change();
    CHECK_FALSE(this->router->can_retry(1, now));
    this->configured.has_version = true;
    this->configured.has_team = false;
    this->change();
    CHECK_FALSE(this->router->can_retry(1, now));
}

// Random schedules of requests that arrive, end in all ways and wait, while the operator removes
// and restores their targets. Each request gets exactly one answer or failure, and none that may
// have run is reported as not run.
TEST(changed_dispatch, every_request_gets_one_final_answer_under_random_configuration_changes)
{
    const bool holds = rc::check("one answer", [this] {
        this->configured = {};
        this->configured.slots = 2;
        this->make();
        auto clock = now;
        std::map<ticket_number, start_attempt> running;
        std::map<ticket_number, int> finals;
        std::map<ticket_number, bool> may_have_run;
        ticket_number last = 0;
        const auto process_actions = [&] {
            for (const auto& action : this->router->take_actions()) {
                if (const auto* start = std::get_if<start_attempt>(&action)) {
                    const bool is_call = start->version == "booking";
                    RC_ASSERT(this->configured.has_team);
                    RC_ASSERT(!this->configured.keys.empty());
                    const bool is_there =
                        is_call ? this->configured.has_service : this->configured.has_version;
                    RC_ASSERT(is_there);
                    running[start->ticket] = *start;
                } else if (const auto* done = std::get_if<complete_request>(&action)) {
                    ++finals[done->ticket];
                } else if (const auto* given_up = std::get_if<give_up_request>(&action)) {
                    ++finals[given_up->ticket];
                    RC_ASSERT(given_up->why.run != run_state::not_run ||
                              !may_have_run[given_up->ticket]);
                } else if (const auto* cancelled = std::get_if<cancel_attempt>(&action)) {
                    may_have_run[cancelled->ticket] = true;
                    running.erase(cancelled->ticket);
                }
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 14));
        for (const int step : steps) {
            clock += milliseconds(50);
            if (step < 4) {
                auto request = step == 0 ? make_call(++last) : make_request(++last);
                request.streamed = step == 1;
                request.deadline = clock + seconds(step == 2 ? 1 : 30);
                this->router->on_arrival(request, clock);
            } else if (step == 8 && !running.empty()) {
                const auto attempt = running.begin()->second;
                const auto ticket = attempt.ticket;
                may_have_run[ticket] = true;
                if (this->router->accepts_answer(ticket, attempt.attempt, 0.0, clock)) {
                    this->end(attempt, attempt_result::finished, clock);
                }
                running.erase(ticket);
            } else if (step < 8 && !running.empty()) {
                const auto attempt = running.begin()->second;
                running.erase(running.begin());
                const attempt_result results[] = {attempt_result::finished, attempt_result::refused,
                                                  attempt_result::failed,
                                                  attempt_result::unreachable};
                const auto result = results[step - 4];
                const bool runs = result == attempt_result::failed;
                may_have_run[attempt.ticket] = may_have_run[attempt.ticket] || runs;
                this->end(attempt, result, clock);
            } else if (step >= 9 && step < 13) {
                if (step == 12) {
                    this->configured.keys.resize(1 - this->configured.keys.size(), "digest");
                }
                auto& taken = step == 9    ? this->configured.has_team
                              : step == 10 ? this->configured.has_version
                                           : this->configured.has_service;
                taken = !taken;
                this->configured.slots = step == 12 ? 1 : 2;
                ++this->configured.revision;
                this->router->on_configuration(make_configuration(this->configured), clock);
            }
            process_actions();
            this->router->on_tick(clock);
            process_actions();
        }
        this->router->end_stop(clock);
        process_actions();
        for (ticket_number ticket = 1; ticket <= last; ++ticket) {
            RC_ASSERT(finals[ticket] == 1);
        }
        RC_ASSERT(this->router->in_flight() == 0U);
    });
    CHECK_TRUE(holds);
}
