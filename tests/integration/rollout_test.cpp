#include "test_fleet.hpp"

#include <atomic>
#include <csignal>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

namespace {

constexpr const char* new_version = "adjudicator-2";

std::string with_rollout(const std::string& more_fields)
{
    return test_fleet::base_configuration() +
           "---\nkind: rollout\nname: adjudicator\n"
           "spec: {from: adjudicator-1, to: adjudicator-2, step_callers: [25, 100, 400], " +
           more_fields + "}\n";
}

// Callers that keep requesting the model through every router until they are stopped.
class model_callers {
public:
    explicit model_callers(test_fleet& fleet, std::size_t count = 12)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->threads.emplace_back([this, &fleet, i] {
                while (!this->stopped) {
                    this->call_once(fleet, i % fleet.routers.size());
                }
            });
        }
    }

    ~model_callers() { this->stop(); }
    model_callers(const model_callers&) = delete;
    model_callers& operator=(const model_callers&) = delete;

    void stop()
    {
        this->stopped = true;
        for (auto& thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    std::atomic<int> by_old{0};
    std::atomic<int> by_new{0};
    std::atomic<int> failed{0};

private:
    void call_once(test_fleet& fleet, std::size_t router)
    {
        const chat_request request;
        const auto answer = fleet.ask(router, request);
        if (!answer.is_complete_answer_to(request)) {
            ++this->failed;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            return;
        }
        ++(answer.header("pearhaven-version") == new_version ? this->by_new : this->by_old);
    }

    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
};

} // namespace

TEST_GROUP(rollout_test)
{
    std::unique_ptr<test_fleet> fleet;

    void setup() override
    {
        test_fleet::plan plan;
        plan.name = "rollout";
        plan.router_flags.emplace_back("--member_lease_ms=5000");
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        this->fleet.reset();
    }

    void break_new_version()
    {
        for (const auto& engine : this->fleet->engines) {
            this->fleet->behave(engine.own_address, {{"fail_rate", 1.0}, {"version", new_version}});
        }
    }

    nlohmann::json stored_value(const std::string& key)
    {
        const auto found = this->fleet->get(this->fleet->store.own_address, "/v1/kv?key=" + key);
        return nlohmann::json::parse(found["entries"][0]["value"].get<std::string>());
    }

    // Every revision of an object's spec, oldest first.
    std::vector<nlohmann::json> specs_of(const std::string& kind, const std::string& name)
    {
        std::vector<nlohmann::json> specs;
        const auto head = this->stored_value("config/head");
        for (const auto& change : head["changes"]) {
            for (const auto& object : change["objects"]) {
                if (object["kind"] == kind && object["name"] == name) {
                    const auto body = nlohmann::json::parse(object["body"].get<std::string>());
                    specs.push_back(body["spec"]);
                }
            }
        }
        return specs;
    }

    nlohmann::json rollout()
    {
        return this->specs_of("rollout", "adjudicator").back();
    }

    bool is_in_state(const std::string& state)
    {
        return this->rollout().value("state", "running") == state;
    }

    bool is_withdrawn()
    {
        return this->specs_of("version", new_version).back().value("withdrawn", false);
    }

    // Number of requests that reached the version, whatever their outcome.
    std::size_t requests_that_reached(const std::string& version)
    {
        std::set<std::string> requests;
        for (const auto& run : this->fleet->runs()) {
            if (run["version"] == version) {
                requests.insert(run["request"].get<std::string>());
            }
        }
        return requests.size();
    }

    // Resends one request through the router until it is answered. Returns whether it reached the
    // new version.
    bool reaches_new_version(std::size_t router)
    {
        const auto before = this->requests_that_reached(new_version);
        const chat_request request;
        CHECK_TRUE(eventually(
            [&] { return this->fleet->ask(router, request).is_complete_answer_to(request); }));
        return this->requests_that_reached(new_version) > before;
    }
};

// The new version answers with an error only after a while. Many concurrent callers on all routers
// could send more requests to it than allowed before the first error is reported. In the complete
// fleet at most the 25 requests of the first step may reach it, without an operator's intervention.
TEST(rollout_test, a_version_that_fails_outright_reaches_at_most_its_first_step_and_is_withdrawn)
{
    this->break_new_version();
    for (const auto& engine : this->fleet->engines) {
        this->fleet->behave(engine.own_address, {{"slow_factor", 20.0}});
    }
    this->fleet->apply(with_rollout("step_seconds: 1"));
    model_callers callers(*this->fleet, 60);
    CHECK_TRUE(eventually([this] { return this->is_in_state("rolled_back"); }));
    const int before = callers.by_old;
    CHECK_TRUE(eventually([&] { return callers.by_old > before + 100; }));
    callers.stop();
    CHECK_TRUE(this->is_withdrawn());
    const auto reached = this->requests_that_reached(new_version);
    UT_PRINT(StringFromFormat("reached the version: %d, failed: %d", static_cast<int>(reached),
                              callers.failed.load())
                 .asCharString());
    CHECK_TRUE(reached > 0);
    CHECK_TRUE_TEXT(reached <= 25, std::to_string(reached).c_str());
    CHECK_TRUE(callers.failed <= 25);
}

TEST(rollout_test, a_good_version_reaches_all_traffic_by_its_steps)
{
    this->fleet->apply(with_rollout("step_seconds: 1"));
    const auto begin = std::chrono::steady_clock::now();
    model_callers callers(*this->fleet);
    CHECK_TRUE(eventually([this] { return this->is_in_state("done"); }));
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    UT_PRINT(StringFromFormat("done after %.1f s", took.count()).asCharString());
    const auto settled = [&] {
        const int old = callers.by_old;
        const int fresh = callers.by_new;
        return eventually([&] { return callers.by_new > fresh + 200; }) && callers.by_old == old;
    };
    CHECK_TRUE(eventually(settled));
    callers.stop();
    LONGS_EQUAL(0, callers.failed.load());
}

// The router that controls the rollout is killed after the first step. When its lease has expired,
// another router must take over the duty and continue the same attempt at the recorded step.
TEST(rollout_test, another_router_continues_where_a_killed_holder_stopped)
{
    this->fleet->apply(with_rollout("step_seconds: 3"));
    model_callers callers(*this->fleet);
    CHECK_TRUE(eventually([this] { return this->rollout().value("step", 0) == 1; }));
    const auto holder = this->stored_value("duties/rollouts")["holder"].get<std::string>();
    for (auto& router : this->fleet->routers) {
        if (this->fleet->status(router)["incarnation"] == holder) {
            router.process->signal(SIGKILL);
        }
    }
    LONGS_EQUAL(1, this->rollout().value("step", 0));
    const auto is_done = [this] { return this->is_in_state("done"); };
    CHECK_TRUE(eventually(is_done, std::chrono::seconds(60)));
    callers.stop();
    CHECK_TRUE(this->stored_value("duties/rollouts")["holder"] != holder);
    int last_step = 0;
    int times_on_step_1 = 0;
    std::set<std::uint64_t> attempts;
    for (const auto& spec : this->specs_of("rollout", "adjudicator")) {
        CHECK_TRUE(spec.value("step", 0) >= last_step);
        last_step = spec.value("step", 0);
        times_on_step_1 += last_step == 1 ? 1 : 0;
        attempts.insert(spec.value("run", std::uint64_t{0}));
    }
    LONGS_EQUAL(1, times_on_step_1);
    LONGS_EQUAL(2, last_step);
    LONGS_EQUAL(2, attempts.size()); // none in the operator's revision, and one since
    CHECK_FALSE(this->is_withdrawn());
}

// The version is fully rolled out and answers well; then every run of it fails. Callers must get
// the old version again and the new one must be withdrawn, although its rollout had completed.
TEST(rollout_test, a_version_that_turns_bad_in_full_use_is_rolled_back)
{
    this->fleet->apply(with_rollout("state: done"));
    model_callers callers(*this->fleet);
    CHECK_TRUE(eventually([&] { return callers.by_new > 300; }));
    this->break_new_version();
    CHECK_TRUE(eventually([this] { return this->is_in_state("rolled_back"); }));
    CHECK_TRUE(this->is_withdrawn());
    const int before = callers.by_old;
    CHECK_TRUE(eventually([&] { return callers.by_old > before + 100; }));
    callers.stop();
}

// The store is unavailable, so no duty holder can act. One router finds from its own callers that
// the version has turned bad. The next router must learn of it by gossip: from its own evidence
// alone it would send 13 callers to the version, and each further router as many again.
TEST(rollout_test, a_router_learns_of_a_bad_version_from_another_during_an_outage)
{
    this->fleet->apply(with_rollout("state: done"));
    CHECK_TRUE(this->reaches_new_version(0));
    CHECK_TRUE(this->reaches_new_version(1));
    this->break_new_version();
    this->fleet->behave(this->fleet->store.own_address, {{"outage", true}});
    CHECK_TRUE(eventually([this] { return !this->reaches_new_version(0); }));
    int reached_by_next = 0;
    while (this->reaches_new_version(1)) {
        ++reached_by_next;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    CHECK_TRUE_TEXT(reached_by_next < 13, std::to_string(reached_by_next).c_str());
}
