#include "pearhaven/decision/dispatcher.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

configuration_ptr make_configuration()
{
    team deposits;
    deposits.name = "deposits";
    deposits.versions = selector();
    deposits.max_in_flight = 1000;
    version served;
    served.name = "api@v1";
    served.model = "api";
    pool endpoints;
    endpoints.name = "endpoints";
    endpoints.versions = selector();
    endpoints.hosts = selector();
    endpoints.slots_per_host = 6;
    return configuration_builder().revision(1).add(deposits).add(served).add(endpoints).build();
}

} // namespace

// One router that can connect to none of its endpoints, and two others that may take over.
TEST_GROUP(forwarded_dispatch)
{
    std::unique_ptr<dispatcher> router;
    std::vector<dispatch_action> actions;
    instant now{seconds(100)};
    ticket_number last_ticket = 0;

    void setup() override
    {
        dispatcher_settings settings;
        settings.endpoints.zone = "osu";
        this->router = std::make_unique<dispatcher>(settings);
        this->router->on_configuration(make_configuration(), this->now);
        std::vector<endpoint_host> hosts;
        for (const auto* const id : {"a", "b", "c", "d"}) {
            hosts.push_back({id, id, "osu", 1, false, {}});
        }
        this->router->on_hosts(hosts, this->now);
        this->router->on_config_confirmed(instant::max(), this->now);
        this->router->set_peer("edge-2", "10.0.0.2:80");
        this->router->set_peer("edge-3", "10.0.0.3:80");
    }
    void teardown() override
    {
        this->router.reset();
        this->actions = {};
    }

    arrival make_request(bool idempotent = true)
    {
        arrival request;
        request.ticket = ++this->last_ticket;
        request.team = "deposits";
        request.asked = "api";
        request.idempotent = idempotent;
        request.on_loss = continuation::none;
        request.work = {work_class::lookup, 30.0};
        request.deadline = this->now + seconds(10);
        request.fingerprint = request.ticket;
        request.max_attempts = 3;
        return request;
    }

    std::optional<start_attempt> send(const arrival& request)
    {
        this->router->on_arrival(request, this->now);
        return this->take_start();
    }

    std::optional<start_attempt> take_start()
    {
        this->actions = this->router->take_actions();
        for (const auto& action : this->actions) {
            if (const auto* start = std::get_if<start_attempt>(&action)) {
                return *start;
            }
        }
        return std::nullopt;
    }

    const give_up_request* given_up() const
    {
        for (const auto& action : this->actions) {
            if (const auto* found = std::get_if<give_up_request>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    void end(const start_attempt& run, attempt_result result, bool connection_lost = false)
    {
        attempt_end end;
        end.ticket = run.ticket;
        end.attempt = run.attempt;
        end.result = result;
        end.connection_lost = connection_lost;
        this->router->on_attempt_end(end, this->now);
    }

    // Sends a request that finds three endpoints unreachable. Returns its next attempt.
    std::optional<start_attempt> cut_off()
    {
        auto run = this->send(this->make_request(false));
        for (int i = 0; i < 3; ++i) {
            CHECK_TRUE(run.has_value() && !run->forwarded);
            this->end(*run, attempt_result::unreachable);
            run = this->take_start();
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
    this->end(*run, attempt_result::finished);
    this->take_start();
    CHECK_EQUAL(0U, this->router->in_flight());
    const auto next = this->send(this->make_request(false));
    CHECK_TRUE(next.has_value() && next->forwarded);
}

TEST(forwarded_dispatch, one_repeatable_request_a_second_tries_the_endpoints)
{
    this->cut_off();
    this->now += milliseconds(200);
    CHECK_TRUE(this->send(this->make_request())->forwarded);
    this->now += seconds(2);
    CHECK_TRUE(this->send(this->make_request(false))->forwarded);
    const auto trial = this->send(this->make_request());
    CHECK_FALSE(trial->forwarded);
    CHECK_TRUE(this->send(this->make_request())->forwarded);
    this->router->on_connected(trial->ticket, trial->attempt);
    CHECK_FALSE(this->send(this->make_request())->forwarded);
}

TEST(forwarded_dispatch, a_refusal_by_one_router_leads_to_the_next)
{
    const auto first = this->cut_off();
    this->end(*first, attempt_result::refused);
    const auto second = this->take_start();
    CHECK_TRUE(second.has_value() && second->forwarded);
    CHECK_FALSE(first->address == second->address);
}

// Guards against a request that runs at two routers, each of which counts only its own attempts.
TEST(forwarded_dispatch, a_request_lost_at_another_router_is_not_sent_again)
{
    this->cut_off();
    const auto run = this->send(this->make_request());
    CHECK_TRUE(run->forwarded);
    CHECK_FALSE(this->router->can_retry(run->ticket, this->now));
    this->end(*run, attempt_result::failed, true);
    CHECK_FALSE(this->take_start().has_value());
    CHECK_TRUE(this->given_up() != nullptr && this->given_up()->why.run == run_state::unknown);
}

// Guards against requests that go around between routers that are all cut off.
TEST(forwarded_dispatch, a_forwarded_request_is_refused_at_once_by_a_router_that_is_cut_off)
{
    this->cut_off();
    auto request = this->make_request();
    request.forwarded = true;
    CHECK_FALSE(this->send(request).has_value());
    CHECK_TRUE(this->given_up() != nullptr && this->given_up()->why.run == run_state::not_run);
}

TEST(forwarded_dispatch, without_other_routers_the_endpoints_are_tried)
{
    this->router->drop_peer("edge-2");
    this->router->drop_peer("edge-3");
    const auto run = this->cut_off();
    CHECK_TRUE(run.has_value() && !run->forwarded);
}
