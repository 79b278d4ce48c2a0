#include "pearhaven/decision/dispatcher.hpp"

#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t largest = 2;

// One model of three sizes on two endpoints, which two peers also use.
class loaded_fleet {
public:
    explicit loaded_fleet(bool sheds_load)
    {
        dispatcher_settings settings;
        settings.endpoints.compares_all = true;
        settings.sheds_load = sheds_load;
        settings.retry_share_on_arrival = 1.0;
        this->router = std::make_unique<dispatcher>(settings);
        team deposits;
        deposits.name = "deposits";
        deposits.versions = selector();
        deposits.max_in_flight = 1000;
        version served;
        served.name = "model@v1";
        served.model = "model";
        pool engines;
        engines.name = "engines";
        engines.versions = selector();
        engines.hosts = selector();
        engines.slots_per_host = 64;
        this->router->on_configuration(
            configuration_builder().revision(1).add(deposits).add(served).add(engines).build(),
            this->now);
        this->router->on_hosts({{"a", "a", "", 1, false, {}}, {"b", "b", "", 1, false, {}}},
                               this->now);
        this->router->on_config_confirmed(instant::max(), this->now);
        this->router->on_fleet(0, 3);
    }

    // Both peers have this work at each endpoint.
    void report_work(duration work)
    {
        const std::chrono::duration<double, std::milli> time = work;
        const endpoint_load a{"a", 1, time.count(), 1};
        const endpoint_load b{"b", 1, time.count(), 1};
        this->router->on_peer_loads("peer 1", {a, b}, this->now);
        this->router->on_peer_loads("peer 2", {a, b}, this->now);
    }

    // Sends a request whose small model answers with this confidence after 100 ms. Returns the size
    // of the model whose answer is delivered; the largest model needs 300 ms.
    std::uint32_t serve(double confidence, duration objective = seconds(2))
    {
        arrival request;
        request.ticket = ++this->last_ticket;
        request.team = "deposits";
        request.asked = "model";
        request.work = {work_class::lookup, 20.0};
        request.deadline = this->now + seconds(30);
        request.max_attempts = 3;
        request.sizes = largest + 1;
        request.objective = objective;
        this->router->on_arrival(request, this->now);
        this->take_actions();
        const auto first = this->started;
        this->now += milliseconds(100);
        if (!this->router->accepts_answer(first.ticket, first.attempt, confidence, this->now)) {
            this->take_actions();
            this->now += milliseconds(300);
            CHECK_TRUE(
                this->router->accepts_answer(first.ticket, this->started.attempt, 0.0, this->now));
        }
        const auto delivered = this->started;
        this->router->on_attempt_end(
            {delivered.ticket, delivered.attempt, attempt_result::finished}, this->now);
        this->take_actions();
        return delivered.size;
    }

    void take_actions()
    {
        for (auto& action : this->router->take_actions()) {
            if (const auto* start = std::get_if<start_attempt>(&action)) {
                this->started = *start;
            } else if (const auto* cheaper = std::get_if<report_cheaper_answer>(&action)) {
                this->reported = *cheaper;
            }
            this->actions.push_back(std::move(action));
        }
    }

    std::unique_ptr<dispatcher> router;
    instant now{seconds(100)};
    start_attempt started;
    std::optional<report_cheaper_answer> reported;
    std::vector<dispatch_action> actions;

private:
    ticket_number last_ticket = 0;
};

} // namespace

TEST_GROUP(cheaper_answer){};

// Load: 5 s of known work at each endpoint. Guards against second runs that load the fleet and are
// late anyway.
TEST(cheaper_answer, a_busy_fleet_delivers_the_small_models_answer)
{
    loaded_fleet fleet(true);
    LONGS_EQUAL(largest, fleet.serve(20.0));
    fleet.report_work(milliseconds(2500));
    LONGS_EQUAL(0, fleet.serve(20.0));
    CHECK_TRUE(fleet.reported.has_value());
    CHECK_TRUE(fleet.reported->forecast >= seconds(5));
    DOUBLES_EQUAL(20.0, fleet.reported->confidence, 0.0);
}

// Load: little work at the endpoints. Guards against poor answers while there is capacity.
TEST(cheaper_answer, a_calm_fleet_repeats_as_before)
{
    loaded_fleet fleet(true);
    for (int sent = 0; sent < 5; ++sent) {
        fleet.report_work(milliseconds(20));
        LONGS_EQUAL(largest, fleet.serve(20.0));
        LONGS_EQUAL(0, fleet.serve(60.0));
    }
    CHECK_FALSE(fleet.reported.has_value());
}

// Load: a forecast of 2.9 s when 1.9 s are left, for which about 24 is enough. Guards against
// dropping all larger runs as soon as the fleet is busy.
TEST(cheaper_answer, a_half_busy_fleet_repeats_the_least_confident_answers)
{
    loaded_fleet fleet(true);
    LONGS_EQUAL(largest, fleet.serve(20.0));
    fleet.report_work(milliseconds(1300));
    LONGS_EQUAL(0, fleet.serve(30.0));
    LONGS_EQUAL(largest, fleet.serve(10.0));
}

// Load: 5 s of work, then none. Guards against poor answers after the load has ended, or if the
// peers fall silent.
TEST(cheaper_answer, answers_are_repeated_again_once_the_load_has_ended)
{
    loaded_fleet fleet(true);
    LONGS_EQUAL(largest, fleet.serve(20.0));
    fleet.report_work(milliseconds(2500));
    LONGS_EQUAL(0, fleet.serve(20.0));
    fleet.now += seconds(2);
    LONGS_EQUAL(largest, fleet.serve(20.0));
}

// Load: 5 s of work. Guards against a change for requests that state no objective, for a router
// that has just started, and for one on which it is switched off.
TEST(cheaper_answer, without_objective_forecast_or_setting_answers_are_repeated)
{
    loaded_fleet fleet(true);
    fleet.report_work(milliseconds(2500));
    LONGS_EQUAL(largest, fleet.serve(20.0));
    fleet.report_work(milliseconds(2500));
    LONGS_EQUAL(largest, fleet.serve(20.0, duration::zero()));
    loaded_fleet unchanged(false);
    for (int sent = 0; sent < 3; ++sent) {
        unchanged.report_work(milliseconds(2500));
        LONGS_EQUAL(largest, unchanged.serve(20.0));
    }
    CHECK_TRUE(unchanged.router->forecast_error(largest) == duration::zero());
}

// Load: answers of any confidence under changing work. Guards against forecasts that change
// decisions where no objective is stated, and against an effect of the load without the setting.
TEST(cheaper_answer, nothing_changes_where_it_does_not_apply)
{
    const bool holds = rc::check("equal actions", [] {
        loaded_fleet with(true);
        loaded_fleet without(false);
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
        for (const int step : steps) {
            for (auto* fleet : {&with, &without}) {
                if (step % 3 == 0) {
                    fleet->report_work(milliseconds(100 * step));
                }
                fleet->serve(step, duration::zero());
            }
        }
        RC_ASSERT(with.actions == without.actions);
        for (std::size_t rank = 0; rank < 3; ++rank) {
            without.router->on_fleet(rank, 3);
            without.report_work(seconds(10));
            RC_ASSERT(without.serve(10.0) == largest);
        }
    });
    CHECK_TRUE(holds);
}

TEST_GROUP(endpoint_backlog){};

// Guards against a backlog of one endpoint that is taken for that of all, and against old reports.
TEST(endpoint_backlog, it_is_the_mean_of_the_recently_known_work_for_the_whole_fleet)
{
    const loaded_fleet fleet(true);
    const auto& table = fleet.router->endpoints();
    placement wanted;
    wanted.version_or_service = "model@v1";
    CHECK_TRUE(table.backlog(wanted, 3, fleet.now) == duration::zero());
    fleet.router->on_peer_loads("peer 1", {{"a", 1, 300.0, 1}, {"b", 1, 100.0, 1}}, fleet.now);
    CHECK_TRUE(table.backlog(wanted, 2, fleet.now) == milliseconds(200));
    CHECK_TRUE(table.backlog(wanted, 6, fleet.now) == milliseconds(600));
    wanted.avoid = {"a"};
    CHECK_TRUE(table.backlog(wanted, 2, fleet.now) == milliseconds(100));
    wanted.avoid = {"a", "b"};
    CHECK_TRUE(table.backlog(wanted, 2, fleet.now) == duration::zero());
    wanted.avoid.clear();
    CHECK_TRUE(table.backlog(wanted, 2, fleet.now + seconds(2)) == duration::zero());
}
