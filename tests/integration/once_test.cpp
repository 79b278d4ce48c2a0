#include "run_history.hpp"
#include "test_fleet.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr std::size_t workers = 8;
constexpr std::size_t routers = 3;

// A router gives up a claim after 2 s; the rest is slack for a busy machine.
constexpr std::chrono::seconds refusal_bound{10};

// Time from the loss of a claim's holder to the end of the claim: detection of the failure, then 10
// s of absence.
constexpr std::chrono::seconds holder_timeout{60};

// Each step of the engines then takes 1 s.
constexpr double stalled_slow_factor = 500;

// After this time without a reply a write is considered lost and retried.
constexpr int late_reply_ms = 900;

// Total number of racing requests in all tests of this file.
std::size_t racing_requests()
{
    const char* configured = std::getenv("PEARHAVEN_RACES");
    constexpr std::size_t default_value = 2000;
    return configured == nullptr ? default_value : std::strtoul(configured, nullptr, 10);
}

chat_request once(const std::string& key)
{
    chat_request request;
    request.headers["idempotency-key"] = key;
    request.headers["pearhaven-idempotent"] = "false";
    request.max_tokens = 2;
    return request;
}

} // namespace

TEST_GROUP(once_test)
{
    std::unique_ptr<test_fleet> fleet;
    run_history history;

    void setup() override
    {
        test_fleet::plan plan;
        plan.name = "once";
        plan.plain_services = 2;
        plan.router_flags.emplace_back("--member_lease_ms=5000");
        this->fleet = std::make_unique<test_fleet>(plan);
    }

    void teardown() override
    {
        const auto violations = this->history.check(this->fleet->runs());
        this->fleet.reset();
        CHECK_TRUE_TEXT(violations.empty(), join(violations).c_str());
    }

    void set_store_behaviour(const nlohmann::json& behaviours)
    {
        this->fleet->behave(this->fleet->store.own_address, behaviours);
    }

    void set_engine_behaviour(const nlohmann::json& behaviours)
    {
        for (const auto& engine : this->fleet->engines) {
            this->fleet->behave(engine.own_address, behaviours);
        }
    }

    observed_answer chat(std::size_t router, const std::string& key)
    {
        this->history.expect_at_most_one_run(key);
        const auto request = once(key);
        return observed_answer::of(this->history.ask(*this->fleet, router, request), request);
    }

    observed_answer book(std::size_t router, const std::string& key)
    {
        this->history.expect_at_most_one_run(key);
        auto seen = observed_answer::of(this->fleet->call_service(
            router, "POST", "booking/seats", "{}", {{"idempotency-key", key}}));
        this->history.note(key, seen);
        return seen;
    }

    std::size_t runs_of(const std::string& key)
    {
        const auto runs = this->fleet->runs();
        const auto request = run_history::request_of(key);
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](const auto& run) { return run["request"] == request; }));
    }

    bool is_claimed(const std::string& key)
    {
        const auto found =
            this->fleet->get(this->fleet->store.own_address, "/v1/kv?key=claims/deposits/" + key);
        return found.contains("entries");
    }

    // Sends the request to a router that receives the reply to its claim late, and waits until the
    // claim is stored.
    std::unique_ptr<chat_call> claim_only(std::size_t router, const std::string& key)
    {
        auto call = this->fleet->call(router, once(key));
        // A read of the store that comes too early would be delayed as well.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        CHECK_TRUE(eventually([&] { return this->is_claimed(key); }));
        return call;
    }

    // Two routers get each request at the same moment, with several races in parallel; in every
    // tenth race the reply to a claim is lost. Returns the number of races in which one of the two
    // gave a complete answer.
    std::size_t race(const std::string& prefix, std::size_t races,
                     const std::function<observed_answer(std::size_t, const std::string&)>& send)
    {
        std::atomic<std::size_t> next{0};
        std::atomic<std::size_t> won{0};
        std::vector<std::thread> threads;
        for (std::size_t worker = 0; worker < workers; ++worker) {
            threads.emplace_back([&] {
                for (auto i = next++; i < races; i = next++) {
                    if (i % 10 == 0) {
                        this->set_store_behaviour(
                            {{"lose_reply_prefix", "claims/"}, {"lose_reply_next", 1}});
                    }
                    const auto key = prefix + std::to_string(i);
                    auto other = std::async(std::launch::async, send, (i + 1) % routers, key);
                    const auto mine = send(i % routers, key);
                    won += other.get().whole || mine.whole ? 1 : 0;
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        std::printf("%zu racing requests, %zu of %zu races with a whole answer\n", 2 * races,
                    won.load(), races);
        return won;
    }
};

// Two callers send the same non-repeatable chat request to two routers at the same moment. Both
// routers claim it, one write succeeds, and only that router may run the request. The other caller
// gets an answer that it is in progress or has run.
TEST(once_test, racing_chats_with_one_key_run_at_most_once)
{
    const auto races = racing_requests() / 4;
    const auto won = this->race("chat-", races, [this](std::size_t router, const std::string& key) {
        return this->chat(router, key);
    });
    CHECK_TRUE(won >= races * 9 / 10);
}

// The same for a plain service, where the configuration declares which calls may be repeated, so
// that callers need not send this with the request.
TEST(once_test, racing_calls_of_a_plain_service_with_one_key_run_at_most_once)
{
    const auto races = racing_requests() / 4;
    const auto won = this->race("book-", races, [this](std::size_t router, const std::string& key) {
        return this->book(router, key);
    });
    CHECK_TRUE(won >= races * 9 / 10);
}

// The claim takes effect but its reply is lost. The router must read the stored claim, recognize
// its own write and run the request. A resend through another router is answered that it ran.
TEST(once_test, a_lost_reply_to_the_claim_neither_blocks_nor_doubles_the_run)
{
    for (int i = 0; i < 5; ++i) {
        this->set_store_behaviour({{"lose_reply_prefix", "claims/"}, {"lose_reply_next", 1}});
        const auto key = "lost-" + std::to_string(i);
        const auto first = i % 2 == 0 ? this->chat(0, key) : this->book(0, key);
        CHECK_TRUE_TEXT(first.whole, first.to_text().c_str());
        observed_answer again;
        const bool answered = eventually([&] {
            again = i % 2 == 0 ? this->chat(1, key) : this->book(1, key);
            return again.code == "already_ran";
        });
        CHECK_TRUE_TEXT(answered, again.to_text().c_str());
        LONGS_EQUAL(1, this->runs_of(key));
    }
}

// The store is unavailable, so that no router can tell whether a resend through another one runs as
// well. The request must be refused as not run with a time to retry; when the store is back, the
// caller's next attempt runs.
TEST(once_test, without_the_store_a_request_is_refused_as_not_run_and_runs_later)
{
    for (const std::string how : {"outage", "silent"}) {
        this->set_store_behaviour({{how, true}});
        const auto begin = steady_clock::now();
        auto chat =
            std::async(std::launch::async, [this, how] { return this->chat(0, "chat-" + how); });
        const auto booked = this->book(1, "book-" + how);
        const auto chatted = chat.get();
        const auto took = steady_clock::now() - begin;
        this->set_store_behaviour({{how, false}});
        for (const auto& refused : {chatted, booked}) {
            CHECK_EQUAL(std::string("not_run"), refused.run);
            CHECK_FALSE_TEXT(refused.retry_after.empty(), refused.to_text().c_str());
        }
        CHECK_TRUE(took < refusal_bound);
        CHECK_TRUE(eventually([&] { return this->chat(2, "chat-" + how).whole; }));
        CHECK_TRUE(eventually([&] { return this->book(2, "book-" + how).whole; }));
    }
}

// The claim takes effect, but the store is so slow that its reply arrives after the caller got
// `not_run`. The stored claim must not lead to a run, nor block the caller's next attempt forever:
// the router that gave the claim up closes it as not run.
TEST(once_test, a_claim_that_lands_after_the_refusal_leads_to_no_run_and_blocks_nothing)
{
    this->set_store_behaviour({{"reply_delay_ms", 4000}});
    const auto refused = this->chat(0, "late-claim");
    CHECK_EQUAL(std::string("not_run"), refused.run);
    LONGS_EQUAL(0, this->runs_of("late-claim"));
    this->set_store_behaviour({{"reply_delay_ms", 0}});
    CHECK_TRUE(eventually([&] { return this->chat(1, "late-claim").whole; }));
    LONGS_EQUAL(1, this->runs_of("late-claim"));
}

// A router is killed with one request running, and with the claim of another written but its reply
// in flight, so that it never ran. A second router is paused, also before the reply to its claim.
// These cases are indistinguishable from outside: resends to the others are answered `in_progress`,
// and `outcome_unknown` once the holder has been absent for good. The paused router then resumes,
// and may run its request as the only router that ever could; no request runs twice.
TEST(once_test, a_holder_that_dies_or_pauses_after_its_claim_leaves_no_second_run)
{
    this->fleet->routers.push_back(this->fleet->start_router("osu"));
    this->fleet->wait_until_ready(this->fleet->routers[3]);
    const std::vector<std::string> keys = {"running", "claimed", "paused"};
    std::vector<std::unique_ptr<chat_call>> calls;
    this->set_engine_behaviour({{"slow_factor", stalled_slow_factor}});
    calls.push_back(this->fleet->call(0, once("running")));
    CHECK_TRUE(eventually([&] { return this->runs_of("running") == 1; }));
    this->set_store_behaviour({{"reply_delay_ms", late_reply_ms}});
    calls.push_back(this->claim_only(0, "claimed"));
    this->fleet->routers[0].process->kill();
    calls.push_back(this->claim_only(3, "paused"));
    this->fleet->routers[3].process->signal(SIGSTOP);
    this->set_store_behaviour({{"reply_delay_ms", 0}});
    this->set_engine_behaviour({{"slow_factor", 1}});
    for (const auto& key : keys) {
        this->history.expect_at_most_one_run(key);
        CHECK_EQUAL(std::string("in_progress"), this->chat(1, key).code);
    }
    std::map<std::string, observed_answer> last;
    const auto all_unknown = [&] {
        for (const auto& key : keys) {
            last[key] = this->chat(1, key);
        }
        return std::all_of(last.begin(), last.end(), [](const auto& answered) {
            return answered.second.code == "outcome_unknown" && answered.second.run == "unknown";
        });
    };
    const bool are_unknown = eventually(all_unknown, holder_timeout);
    for (const auto& key : keys) {
        CHECK_TRUE_TEXT(are_unknown, last[key].to_text().c_str());
        CHECK_EQUAL(std::string("outcome_unknown"), this->chat(2, key).code);
    }
    this->fleet->routers[3].process->signal(SIGCONT);
    for (std::size_t i = 0; i < keys.size(); ++i) {
        this->history.note(keys[i], observed_answer::of(calls[i]->wait(), once(keys[i])));
        this->chat(2, keys[i]);
    }
    LONGS_EQUAL(1, this->runs_of("running"));
    LONGS_EQUAL(0, this->runs_of("claimed"));
    CHECK_TRUE(this->runs_of("paused") <= 1);
}

// The pause ends before the other routers find the holder absent. Resends meanwhile are answered
// that the request is in progress. The holder then continues: it runs the request, or, when the
// time limit of the claim passed during the pause, refuses it as not run, and the next send runs
// it.
TEST(once_test, a_claim_holder_paused_for_a_moment_leaves_one_run)
{
    this->set_store_behaviour({{"reply_delay_ms", late_reply_ms}});
    const auto call = this->claim_only(0, "short-pause");
    this->fleet->routers[0].process->signal(SIGSTOP);
    this->set_store_behaviour({{"reply_delay_ms", 0}});
    const auto meanwhile = this->chat(1, "short-pause");
    this->fleet->routers[0].process->signal(SIGCONT);
    const auto first = observed_answer::of(call->wait(), once("short-pause"));
    this->history.note("short-pause", first);
    this->history.expect_at_most_one_run("short-pause");
    CHECK_TRUE_TEXT(meanwhile.code == "in_progress" || first.run == "not_run",
                    (meanwhile.to_text() + "; " + first.to_text()).c_str());
    observed_answer last;
    const auto has_run = [&] {
        last = this->chat(1, "short-pause");
        return last.whole || last.code == "already_ran";
    };
    CHECK_TRUE_TEXT(eventually(has_run), last.to_text().c_str());
    LONGS_EQUAL(1, this->runs_of("short-pause"));
}
