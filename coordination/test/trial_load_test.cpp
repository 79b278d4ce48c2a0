#include "pearhaven/coordination/peer_exchange.hpp"
#include "pearhaven/coordination/rollout_progress.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against overloading the endpoint of a load trial: many routers, each with few callers,
// fill one endpoint together, while each of them receives the load reports of only a few others,
// and with a delay.

namespace {

constexpr std::uint32_t slots = 32;
constexpr std::size_t queue_capacity = 67; // queued requests of an endpoint, beyond its slots
constexpr std::size_t endpoints_of_a_version = 24;
constexpr std::size_t zones = 6;
constexpr auto report_delay = milliseconds(30);
constexpr auto tick_time = milliseconds(25);
constexpr auto long_run = milliseconds(4700); // of the largest model
constexpr auto short_run = milliseconds(600);
constexpr auto order_time = seconds(24);
constexpr instant start{seconds(100)};

configuration_ptr make_configuration(const rollout& plan)
{
    team deposits;
    deposits.name = "deposits";
    deposits.versions = selector().require("model", {"adjudicator"});
    configuration_builder builder;
    builder.add(deposits).add(plan);
    for (const std::string number : {"1", "2"}) {
        version made;
        made.name = "adjudicator-" + number;
        made.model = "adjudicator";
        made.tags["number"] = number;
        builder.add(made);
        pool engines;
        engines.name = "engines-" + number;
        engines.hosts = selector().require("number", {number});
        engines.versions = selector().require("number", {number});
        engines.slots_per_host = slots;
        builder.add(engines);
    }
    return builder.build();
}

std::vector<endpoint_host> make_hosts()
{
    std::vector<endpoint_host> hosts;
    for (const std::string number : {"1", "2"}) {
        for (std::size_t i = 0; i < endpoints_of_a_version; ++i) {
            const auto address = "10.0." + number + "." + std::to_string(i) + ":80";
            hosts.push_back({address, address, "osu", 1, false, {{"number", number}}});
        }
    }
    return hosts;
}

struct engine_run {
    std::size_t router = 0;
    start_attempt attempt;
    instant ends;
};

// Runs as many requests as it has slots, queues a limited number of others and refuses the rest.
struct model_engine {
    std::vector<engine_run> running;
    std::deque<engine_run> waiting;

    [[nodiscard]] std::size_t held() const { return this->running.size() + this->waiting.size(); }
};

struct report_in_flight {
    std::size_t to = 0;
    std::string from;
    std::vector<endpoint_load> loads;
    instant arrives;
};

// A fleet during the load trial of a rollout, which fills one endpoint of the new version.
class trial_fleet {
public:
    trial_fleet(std::size_t size, double long_answers_a_second) : rate(long_answers_a_second)
    {
        const auto plan = this->make_trial(size);
        this->connect_peers(size);
        dispatcher_settings settings;
        settings.endpoints.compares_all = true;
        settings.endpoints.typical_work = 14.0;
        settings.max_refusals = 6;
        settings.retry_share = 0.0;
        settings.retry_share_on_arrival = 0.75;
        settings.retry_burst = 2.0;
        for (std::size_t i = 0; i < size; ++i) {
            settings.seed = i + 1;
            settings.endpoints.router_seed = i + 1;
            auto& router = *this->routers.emplace_back(std::make_unique<dispatcher>(settings));
            router.on_config_confirmed(start + seconds(1000), start);
            router.on_fleet(i, size);
            router.on_hosts(make_hosts(), start);
            router.on_configuration(make_configuration(plan), start);
        }
    }

    void simulate(duration time)
    {
        for (const auto until = this->now + time; this->now < until; this->now += tick_time) {
            this->issue_requests();
            this->run_engines();
            this->send_reports();
            for (auto& router : this->routers) {
                router->on_tick(this->now);
            }
        }
    }

    // Runs that were sent to the endpoint while its load was at least half of its slots.
    [[nodiscard]] std::uint64_t loaded_runs() const
    {
        std::uint64_t sum = 0;
        for (const auto& router : this->routers) {
            const auto seen = router->rollouts().at(0).under_load;
            sum += counts_from(seen, load_levels / 2).total();
        }
        return sum;
    }

    std::size_t refused = 0;
    std::size_t arrived = 0;
    std::size_t max_held = 0; // at one endpoint
    rollout trial;

private:
    // The rollout as `rollout_progress` declares it at the start of its load trial.
    [[nodiscard]] rollout make_trial(std::size_t size)
    {
        model_rollout_order order{"adjudicator-1", "adjudicator-2", 3, order_time, slots};
        rollout_progress progress({}, order, start);
        request_rates rates;
        rates.long_answers = this->rate / static_cast<double>(size);
        rates.requests = rates.long_answers;
        store_revision revision = 4;
        for (auto at = start; at < start + order_time; at += milliseconds(50)) {
            const auto wanted = progress.on_tick(0, size, rates, at);
            if (wanted.write_record) {
                progress.on_written(at);
                progress.on_record(wanted.write_record, ++revision, at);
            }
            this->trial = progress.plan("adjudicator");
            if (this->trial.fills_endpoint) {
                break;
            }
        }
        return this->trial;
    }

    void issue_requests()
    {
        this->request_credit += this->rate * std::chrono::duration<double>(tick_time).count();
        for (; this->request_credit >= 1.0; this->request_credit -= 1.0) {
            ++this->arrived;
            const auto router = mix(this->arrived) % this->routers.size();
            arrival request;
            request.ticket = this->arrived;
            request.team = "deposits";
            request.asked = "adjudicator";
            request.streamed = true;
            request.session_key = mix(this->arrived + 1'000'000);
            request.work = {work_class::lookup, 60.0, 14.0};
            request.sizes = 3;
            request.on_loss = continuation::another_run;
            request.max_attempts = 3;
            request.deadline = this->now + seconds(25);
            request.fingerprint = request.ticket;
            this->routers[router]->on_arrival(request, this->now);
            this->apply_actions(router);
        }
    }

    void apply_actions(std::size_t router)
    {
        for (const auto& action : this->routers[router]->take_actions()) {
            if (const auto* started = std::get_if<start_attempt>(&action)) {
                this->send(router, *started);
            } else if (std::holds_alternative<give_up_request>(action)) {
                ++this->refused;
            }
        }
    }

    void send(std::size_t router, const start_attempt& attempt)
    {
        auto& engine = this->engines[attempt.address];
        if (engine.held() >= slots + queue_capacity) {
            this->end(router, attempt, attempt_result::refused);
            return;
        }
        engine.waiting.push_back({router, attempt, {}});
        this->max_held = std::max(this->max_held, engine.held());
    }

    void end(std::size_t router, const start_attempt& attempt, attempt_result result)
    {
        attempt_end ended;
        ended.ticket = attempt.ticket;
        ended.attempt = attempt.attempt;
        ended.result = result;
        this->routers[router]->on_attempt_end(ended, this->now);
        this->apply_actions(router);
    }

    void run_engines()
    {
        for (auto& [address, engine] : this->engines) {
            std::vector<engine_run> remaining;
            for (const auto& run : std::exchange(engine.running, {})) {
                if (run.ends <= this->now) {
                    this->end(run.router, run.attempt, attempt_result::finished);
                } else {
                    remaining.push_back(run);
                }
            }
            engine.running = std::move(remaining);
            while (engine.running.size() < slots && !engine.waiting.empty()) {
                auto run = engine.waiting.front();
                engine.waiting.pop_front();
                run.ends = this->now + (run.attempt.size == 2 ? long_run : short_run);
                engine.running.push_back(run);
                CHECK_TRUE(this->routers[run.router]->accepts_answer(
                    run.attempt.ticket, run.attempt.attempt, 100.0, this->now));
            }
        }
    }

    void send_reports()
    {
        for (std::size_t from = 0; from < this->routers.size(); ++from) {
            const auto& router = *this->routers[from];
            const auto sends = this->exchanges[from]->on_tick(
                router.endpoints().own_loads(), {true, 1}, this->now, router.concentrated_loads());
            for (const auto& send : sends) {
                this->reports.push_back({send.to.port, std::to_string(from),
                                         std::get<load_push>(send.message).loads,
                                         this->now + report_delay});
            }
        }
        for (; !this->reports.empty() && this->reports.front().arrives <= this->now;
             this->reports.pop_front()) {
            const auto& report = this->reports.front();
            this->routers[report.to]->on_peer_loads(report.from, report.loads, this->now);
        }
    }

    // The port of a router is its index in the fleet.
    void connect_peers(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            peer_exchange_settings settings;
            settings.self = std::to_string(i);
            settings.zone = zone_of(i);
            auto& exchange =
                *this->exchanges.emplace_back(std::make_unique<peer_exchange>(std::move(settings)));
            for (std::size_t peer = 0; peer < size; ++peer) {
                exchange.set_peer(std::to_string(peer),
                                  {"10.0.0.1", static_cast<std::uint16_t>(peer), zone_of(peer)});
            }
        }
    }

    static std::string zone_of(std::size_t router)
    {
        return "zone-" + std::to_string(router % zones);
    }

    double rate = 0.0;
    double request_credit = 0.0;
    instant now = start;
    std::vector<std::unique_ptr<dispatcher>> routers;
    std::vector<std::unique_ptr<peer_exchange>> exchanges;
    std::map<std::string, model_engine> engines;
    std::deque<report_in_flight> reports;
};

// Guards against a trial that causes requests to be refused or to wait behind many others.
void check_trial(std::size_t routers, double long_answers_a_second)
{
    trial_fleet fleet(routers, long_answers_a_second);
    CHECK_TRUE(fleet.trial.fills_endpoint);
    fleet.simulate(std::chrono::duration_cast<duration>(
        order_time * rollout_progress_settings().max_trial_fraction));
    CHECK_COMPARE(fleet.arrived, >, 0);
    LONGS_EQUAL(0, fleet.refused);
    CHECK_COMPARE(fleet.max_held, <=, 2 * std::size_t{slots});
    CHECK_COMPARE(fleet.loaded_runs(), >=, rollout_progress_settings().early_end_loaded_runs);
}

} // namespace

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with hundreds of
// routers.
TEST_GROUP(trial_load){void setup()
                           override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

TEST(trial_load, nine_routers_fill_one_endpoint_without_refusals)
{
    check_trial(9, 160.0);
}

TEST(trial_load, ninety_routers_fill_one_endpoint_without_refusals)
{
    check_trial(90, 160.0);
}

TEST(trial_load, hundreds_of_routers_fill_one_endpoint_without_refusals)
{
    check_trial(295, 160.0);
}

TEST(trial_load, fleet_of_the_target_size_fills_one_endpoint_without_refusals)
{
    check_trial(740, 400.0);
}
