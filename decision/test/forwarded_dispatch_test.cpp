#include "one_router.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using pearhaven::decision::test::one_router;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One router that can connect to none of its endpoints, and two others that may take over.
TEST_GROUP(forwarded_dispatch)
{
    one_router fleet{{"a", "b", "c", "d"}};

    void setup() override
    {
        this->fleet.router->set_peer("edge-2", "10.0.0.2:80");
        this->fleet.router->set_peer("edge-3", "10.0.0.3:80");
    }

    std::optional<start_attempt> send(bool idempotent = true)
    {
        return this->fleet.send(this->fleet.make_request(idempotent));
    }

    // Sends a request that finds three endpoints unreachable. Returns its next attempt.
    std::optional<start_attempt> cut_off()
    {
        auto run = this->send(false);
        for (int i = 0; i < 3; ++i) {
            CHECK_TRUE(run.has_value() && !run->forwarded);
            this->fleet.end(*run, attempt_result::unreachable);
            run = this->fleet.take_start();
        }
        return run;
    }
};

// Guards against requests that are refused because this router cannot connect to the endpoints.
TEST(forwarded_dispatch, a_request_goes_to_another_router_after_three_unreachable_endpoints)
{
    const auto run = this->cut_off();
    CHECK_TRUE(run.has_value() && run->forwarded);
    CHECK_TRUE(run->address == "10.0.0.2:80" || run->address == "10.0.0.3:80");
    this->fleet.end(*run, attempt_result::finished);
    this->fleet.take_start();
    CHECK_EQUAL(0U, this->fleet.router->in_flight());
    const auto next = this->send(false);
    CHECK_TRUE(next.has_value() && next->forwarded);
}

TEST(forwarded_dispatch, one_repeatable_request_a_second_tries_the_endpoints)
{
    this->cut_off();
    this->fleet.now += milliseconds(200);
    CHECK_TRUE(this->send()->forwarded);
    this->fleet.now += seconds(2);
    CHECK_TRUE(this->send(false)->forwarded);
    const auto trial = this->send();
    CHECK_FALSE(trial->forwarded);
    CHECK_TRUE(this->send()->forwarded);
    this->fleet.router->on_connected(trial->ticket, trial->attempt);
    CHECK_FALSE(this->send()->forwarded);
}

TEST(forwarded_dispatch, a_refusal_by_one_router_leads_to_the_next)
{
    const auto first = this->cut_off();
    this->fleet.end(*first, attempt_result::refused);
    const auto second = this->fleet.take_start();
    CHECK_TRUE(second.has_value() && second->forwarded);
    CHECK_FALSE(first->address == second->address);
}

// Guards against a request that runs at two routers, each of which counts only its own attempts.
TEST(forwarded_dispatch, a_request_lost_at_another_router_is_not_sent_again)
{
    this->cut_off();
    const auto run = this->send();
    CHECK_TRUE(run->forwarded);
    CHECK_FALSE(this->fleet.router->can_retry(run->ticket, this->fleet.now));
    this->fleet.end(*run, attempt_result::failed, true);
    CHECK_FALSE(this->fleet.take_start().has_value());
    CHECK_TRUE(this->fleet.find_action<give_up_request>() != nullptr &&
               this->fleet.find_action<give_up_request>()->why.run == run_state::unknown);
}

// Guards against requests that go around between routers that are all cut off.
TEST(forwarded_dispatch, a_forwarded_request_is_refused_at_once_by_a_router_that_is_cut_off)
{
    this->cut_off();
    auto request = this->fleet.make_request(true);
    request.forwarded = true;
    CHECK_FALSE(this->fleet.send(request).has_value());
    CHECK_TRUE(this->fleet.find_action<give_up_request>() != nullptr &&
               this->fleet.find_action<give_up_request>()->why.run == run_state::not_run);
}

// Guards against a request that crashes endpoints and is cleared by the failure that another router
// answers.
TEST(forwarded_dispatch, a_failure_answered_by_another_router_takes_no_lost_run_back)
{
    this->cut_off();
    for (const auto* const id : {"a", "b", "c"}) {
        this->fleet.now += milliseconds(100);
        auto request = this->fleet.make_request(true);
        request.fingerprint = 7;
        const auto run = this->fleet.send(request);
        CHECK_TRUE(run.has_value() && run->forwarded);
        attempt_end answered;
        answered.ticket = run->ticket;
        answered.attempt = run->attempt;
        answered.answered_error = true;
        this->fleet.router->on_peer_lost_run({7, id, 1}, this->fleet.now);
        this->fleet.router->on_attempt_end(answered, this->fleet.now);
        this->fleet.take_start();
        CHECK_TRUE(this->fleet.find_action<announce_finished_run>() == nullptr);
    }
    CHECK_EQUAL(1U, this->fleet.router->quarantined_requests(this->fleet.now).size());
}

TEST(forwarded_dispatch, without_other_routers_the_endpoints_are_tried)
{
    this->fleet.router->drop_peer("edge-2");
    this->fleet.router->drop_peer("edge-3");
    const auto run = this->cut_off();
    CHECK_TRUE(run.has_value() && !run->forwarded);
}

// Guards against a router that refuses most of its callers, or lets them wait, while the others do
// not use their turns at the endpoints.
TEST(forwarded_dispatch, a_crowded_router_forwards_what_has_to_wait_for_its_turns)
{
    this->fleet.router->on_fleet(0, 3);
    for (const auto* const id : {"a", "b", "c", "d"}) {
        endpoint_load load{id, 0, 0.0, 1};
        load.limit = {1.0, duration::zero()};
        this->fleet.router->on_peer_loads("edge-2", {load}, this->fleet.now);
    }
    std::optional<start_attempt> run;
    for (int request = 0; request < 12; ++request) {
        run = this->send();
    }
    CHECK_TRUE(run.has_value() && run->forwarded && run->only_at_once);
    // Each of the two others is asked once.
    this->fleet.end(*run, attempt_result::refused);
    const auto next = this->fleet.take_start();
    CHECK_TRUE(next.has_value() && next->forwarded && next->ticket == run->ticket);
    CHECK_FALSE(next->address == run->address);
    const auto in_flight = this->fleet.router->in_flight();
    this->fleet.end(*next, attempt_result::refused);
    CHECK_FALSE(this->fleet.take_start().has_value());
    CHECK_EQUAL(in_flight, this->fleet.router->in_flight());
}

// Guards against a request that waits at a router without room while the one that forwarded it
// could ask another router.
TEST(forwarded_dispatch, a_request_that_only_starts_at_once_is_refused_rather_than_queued)
{
    auto request = this->fleet.make_request(false);
    request.forwarded = true;
    request.only_at_once = true;
    CHECK_TRUE(this->fleet.send(request).has_value());
    while (this->send().has_value()) {
    }
    const auto in_flight = this->fleet.router->in_flight();
    request.ticket = 1000;
    CHECK_FALSE(this->fleet.send(request).has_value());
    const auto* const refusal = this->fleet.find_action<give_up_request>();
    CHECK_TRUE(refusal != nullptr && refusal->why.run == run_state::not_run);
    CHECK_EQUAL(in_flight, this->fleet.router->in_flight());
}

// Guards against a busy fleet whose routers each turn callers away to the others.
TEST(forwarded_dispatch, a_router_is_crowded_only_beside_peers_with_fewer_requests)
{
    this->fleet.router->on_fleet(0, 3);
    this->send();
    CHECK_FALSE(this->fleet.router->is_crowded());
    for (int request = 0; request < 11; ++request) {
        this->send();
    }
    CHECK_TRUE(this->fleet.router->is_crowded());
    this->fleet.router->on_peer_loads("edge-2", {{"a", 6, 0.0, 1}}, this->fleet.now);
    CHECK_TRUE(this->fleet.router->is_crowded());
    this->fleet.router->on_peer_loads("edge-3", {{"a", 12, 0.0, 1}}, this->fleet.now);
    CHECK_FALSE(this->fleet.router->is_crowded());
    this->fleet.router->drop_peer("edge-3");
    CHECK_TRUE(this->fleet.router->is_crowded());
}

// Guards against requests that a crowded router keeps until their deadline although it knows that
// no router has room for them.
TEST(forwarded_dispatch, a_crowded_router_refuses_at_once_while_the_others_have_no_turns_either)
{
    this->fleet.router->on_fleet(0, 3);
    for (const auto* const id : {"a", "b", "c", "d"}) {
        endpoint_load load{id, 0, 0.0, 1};
        load.limit = {0.1, duration::zero()};
        this->fleet.router->on_peer_loads("edge-2", {load}, this->fleet.now);
    }
    bool is_refused = false;
    for (int request = 0; request < 60 && !is_refused; ++request) {
        auto run = this->send();
        while (run && run->forwarded) {
            this->fleet.end(*run, attempt_result::refused);
            run = this->fleet.take_start();
        }
        is_refused = this->fleet.find_action<give_up_request>() != nullptr;
    }
    CHECK_TRUE(is_refused);
    CHECK_FALSE(this->send().has_value());
    CHECK_TRUE(this->fleet.find_action<give_up_request>() != nullptr);
}
