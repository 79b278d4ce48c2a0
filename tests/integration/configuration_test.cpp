#include "test_fleet.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

namespace {

// A request that left a router just before a withdrawal took effect may reach the engine just
// after.
constexpr std::int64_t max_transit_ms = 50;

std::int64_t unix_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

// Callers that keep sending requests through every router until they are stopped.
class steady_callers {
public:
    steady_callers(test_fleet& fleet, const chat_request& request, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->threads.emplace_back([this, &fleet, request, i] {
                while (!this->stopped) {
                    const auto answer = fleet.ask(i % fleet.routers.size(), request);
                    ++(answer.is_complete_answer_to(request) ? this->whole : this->refused);
                    if (answer.status != 200) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(20));
                    }
                }
            });
        }
    }

    ~steady_callers() { this->stop(); }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    void stop()
    {
        this->stopped = true;
        for (auto& thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    std::atomic<int> whole{0};
    std::atomic<int> refused{0};

private:
    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
};

std::string with_withdrawn(const std::string& version)
{
    auto text = test_fleet::base_configuration();
    const auto at = text.find("name: " + version);
    text.insert(text.find("spec: {", at) + 7, "withdrawn: true, ");
    return text;
}

} // namespace

TEST_GROUP(configuration_test)
{
    std::unique_ptr<test_fleet> fleet;

    void start(test_fleet::plan plan)
    {
        plan.name = "configuration";
        plan.router_flags.emplace_back("--member_lease_ms=5000");
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        this->fleet.reset();
    }

    int runs_after(const std::string& version, std::int64_t moment)
    {
        int count = 0;
        for (const auto& run : this->fleet->runs()) {
            count += run["version"] == version &&
                             run["at_ms"].get<std::int64_t>() > moment + max_transit_ms
                         ? 1
                         : 0;
        }
        return count;
    }

    bool all_have(std::uint64_t revision)
    {
        for (const auto& router : this->fleet->routers) {
            if (this->fleet->status(router).value("revision", std::uint64_t{0}) < revision) {
                return false;
            }
        }
        return true;
    }
};

// Callers keep every router busy with both versions when an operator withdraws one. After `--wait`
// has returned, no engine may start a run of it, even for requests that were queued or being
// retried at that moment.
TEST(configuration_test, a_withdrawn_version_gets_nothing_from_the_moment_that_wait_returns)
{
    test_fleet::plan plan;
    plan.engine_flags = {"--step_us=2000", "--batch=2",
                         "--queue=2"}; // so that work queues on the routers
    this->start(plan);
    steady_callers callers(*this->fleet, chat_request{}, 24);
    CHECK_TRUE(eventually([&] { return callers.whole > 40; }));
    const auto result = this->fleet->command({"version", "withdraw", "adjudicator-2", "--wait"});
    const auto moment = unix_ms();
    LONGS_EQUAL_TEXT(0, result.status, result.output.c_str());
    const int before = callers.whole;
    CHECK_TRUE(eventually([&] { return callers.whole > before + 60; }));
    callers.stop();
    LONGS_EQUAL(0, this->runs_after("adjudicator-2", moment));
}

// A router is paused, the version is withdrawn, and the command returns once the paused router's
// membership has expired. Requests wait in the paused router's sockets. When it resumes, its
// configuration still allows the version; it must detect that this configuration is stale before it
// starts any run.
TEST(configuration_test, a_router_that_resumes_after_a_pause_does_not_start_a_withdrawn_version)
{
    this->start({});
    auto& paused = this->fleet->routers[1];
    chat_request request;
    request.model = "adjudicator-2";
    CHECK_TRUE(this->fleet->ask(1, request).is_complete_answer_to(request));
    paused.process->signal(SIGSTOP);
    std::vector<std::unique_ptr<chat_call>> waiting;
    waiting.reserve(8);
    for (int i = 0; i < 8; ++i) {
        waiting.push_back(this->fleet->call(1, request));
    }
    const auto result = this->fleet->command({"version", "withdraw", "adjudicator-2", "--wait"});
    const auto moment = unix_ms();
    paused.process->signal(SIGCONT);
    LONGS_EQUAL_TEXT(0, result.status, result.output.c_str());
    for (const auto& call : waiting) {
        const auto answer = call->wait();
        CHECK_TRUE_TEXT(answer.status != 200, answer.to_text().c_str());
    }
    LONGS_EQUAL(0, this->runs_after("adjudicator-2", moment));
}

// A router is replaced while the store is unavailable. The new one cannot read the store and must
// take the configuration from its peers; no router may ever show a lower revision than before.
TEST(configuration_test,
     a_router_that_starts_during_an_outage_takes_the_configuration_from_its_peers)
{
    test_fleet::plan plan;
    plan.routers = 4;
    this->start(plan);
    this->fleet->apply(with_withdrawn("adjudicator-2"));
    const auto revision =
        this->fleet->status(this->fleet->routers[0])["revision"].get<std::uint64_t>();
    this->fleet->behave(this->fleet->store.own_address, {{"outage", true}});
    auto& replaced = this->fleet->routers[3];
    replaced.flags.push_back("--peers=" + this->fleet->routers[0].peers + "," +
                             this->fleet->routers[1].peers + "," + this->fleet->routers[2].peers);
    this->fleet->replace_router(replaced);
    this->fleet->wait_until_ready(replaced);
    CHECK_TRUE(this->all_have(revision));
    chat_request request;
    request.model = "adjudicator-2";
    CHECK_EQUAL(std::string("version_withdrawn"), this->fleet->ask(3, request).error_code);
    request.model = "adjudicator-1";
    CHECK_TRUE(
        eventually([&] { return this->fleet->ask(3, request).is_complete_answer_to(request); }));
}

// Two operators keep changing different objects while every third reply of the store is lost. Each
// command that prints `accepted` must be in the history exactly once, with a revision of its own,
// and each router's revision must only rise.
TEST(configuration_test, racing_operators_with_lost_replies_leave_one_total_order)
{
    this->start({});
    std::atomic<bool> done{false};
    std::atomic<int> revision_decreases{0};
    std::thread watcher([&] {
        std::vector<std::uint64_t> last(this->fleet->routers.size(), 0);
        while (!done) {
            for (std::size_t i = 0; i < last.size(); ++i) {
                const auto seen = this->fleet->status(this->fleet->routers[i])
                                      .value("revision", std::uint64_t{0});
                revision_decreases += seen < last[i] ? 1 : 0;
                last[i] = seen;
            }
        }
    });
    std::atomic<int> accepted{0};
    std::atomic<int> others{0};
    const auto operate = [&](const std::string& version) {
        for (int i = 0; i < 12; ++i) {
            if (i % 3 == 0) {
                this->fleet->behave(this->fleet->store.own_address,
                                    {{"lose_reply_prefix", "config/"}, {"lose_reply_next", 1}});
            }
            const auto result =
                this->fleet->command({"label", "version", version, "round=" + std::to_string(i)});
            ++(result.status == 0 ? accepted : others);
        }
    };
    std::thread first([&] { operate("adjudicator-1"); });
    std::thread second([&] { operate("adjudicator-2"); });
    first.join();
    second.join();
    const auto history =
        nlohmann::json::parse(this->fleet->command({"history", "--output=json"}).output);
    const auto last = this->fleet->get(this->fleet->store.own_address, "/v1/kv?key=config/head");
    const auto head = nlohmann::json::parse(last["entries"][0]["value"].get<std::string>());
    CHECK_TRUE(eventually([&] { return this->all_have(head["revision"].get<std::uint64_t>()); }));
    done = true;
    watcher.join();
    std::set<std::uint64_t> revisions;
    std::set<std::string> write_ids;
    for (const auto& change : head["changes"]) {
        revisions.insert(change["revision"].get<std::uint64_t>());
        write_ids.insert(change["write_id"].get<std::string>());
    }
    LONGS_EQUAL(0, others.load());
    LONGS_EQUAL(24, accepted.load());
    LONGS_EQUAL(25, head["revision"].get<int>()); // the first change is the base configuration
    LONGS_EQUAL(25, revisions.size());
    LONGS_EQUAL(25, write_ids.size());
    LONGS_EQUAL(0, revision_decreases.load());
    CHECK_FALSE(history.empty());
}

// One router loses its connection to the store while the others keep theirs. It must continue by
// means of its peers, and receive each change within the 5 s that users were promised.
TEST(configuration_test, a_router_without_the_store_has_each_change_from_its_peers)
{
    test_fleet::plan plan;
    plan.proxied_stores = true;
    this->start(plan);
    this->fleet->behave(this->fleet->routers[2].store_proxy_admin, {{"cut", true}});
    this->fleet->apply(with_withdrawn("adjudicator-1"));
    chat_request request;
    request.model = "adjudicator-1";
    const auto has_change = [&] {
        return this->fleet->ask(2, request).error_code == "version_withdrawn";
    };
    CHECK_TRUE(eventually(has_change, std::chrono::seconds(5)));
    request.model = "adjudicator-2";
    CHECK_TRUE(
        eventually([&] { return this->fleet->ask(2, request).is_complete_answer_to(request); }));
}
