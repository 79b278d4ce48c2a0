#include "run_history.hpp"
#include "test_fleet.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::tests;

namespace {

constexpr std::uint32_t whole_tokens = 8;

// Long enough to kill a router in the middle: 2 s at 2 ms for each token.
constexpr std::uint32_t long_answer = 1000;

// Each step of the engines then takes 1 s.
constexpr double stalled_slow_factor = 500;

// The bill is written, and the end marker would be sent, within a few milliseconds of the last
// token.
constexpr std::chrono::milliseconds end_marker_delay{300};

chat_request request_with(const std::string& key, std::uint32_t max_tokens = whole_tokens)
{
    chat_request request;
    request.headers["idempotency-key"] = key;
    request.max_tokens = max_tokens;
    return request;
}

std::chrono::seconds outage_length()
{
    const char* configured = std::getenv("PEARHAVEN_OUTAGE_SECONDS");
    constexpr int default_value = 10;
    return std::chrono::seconds(configured == nullptr ? default_value : std::atoi(configured));
}

} // namespace

TEST_GROUP(bills_test)
{
    std::unique_ptr<test_fleet> fleet;
    run_history history;

    void setup() override
    {
        test_fleet::plan plan;
        plan.name = "bills";
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

    bool is_running(const std::string& key)
    {
        for (const auto& run : this->fleet->runs()) {
            if (run["request"] == run_history::request_of(key)) {
                return true;
            }
        }
        return false;
    }

    int count_lost_replies()
    {
        const auto stats = this->fleet->get(this->fleet->store.own_address, "/control/stats");
        return stats.at("lost_replies").get<int>();
    }

    // Kills the first router and returns what its caller had received by then.
    chat_answer kill_router_during(chat_call & call, const chat_request& request)
    {
        this->fleet->routers[0].process->kill();
        auto answer = call.wait();
        this->history.note(request.headers.at("idempotency-key"),
                           observed_answer::of(answer, request));
        return answer;
    }

    // Resends the request through another router until the caller has the complete answer.
    void send_again(const chat_request& request)
    {
        const bool answered = eventually([&] {
            return this->history.ask(*this->fleet, 1, request).is_complete_answer_to(request);
        });
        CHECK_TRUE_TEXT(answered, "expected a whole answer from another router");
    }

    // Waits until the bills agree with the engines' runs, request by request.
    void check_bills()
    {
        std::vector<std::string> violations;
        const bool agree = eventually([&] {
            violations = this->history.check_bills(this->fleet->runs(), this->fleet->bills());
            return violations.empty();
        });
        CHECK_TRUE_TEXT(agree, join(violations).c_str());
    }
};

// The engines take long for the first token, and the router is killed while the run is in progress.
// Its caller has received nothing and resends the request to another router, which runs it a second
// time. Both runs finish, and the request must be billed once.
TEST(bills_test, a_router_killed_before_the_first_token_leaves_one_bill)
{
    const auto request = request_with("before-the-first-token");
    this->set_engine_behaviour({{"slow_factor", stalled_slow_factor}});
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(eventually([&] { return this->is_running("before-the-first-token"); }));
    const auto cut = this->kill_router_during(*call, request);
    LONGS_EQUAL(0, cut.tokens.size());
    this->set_engine_behaviour({{"slow_factor", 1}});
    this->send_again(request);
    this->check_bills();
}

// The router is killed in the middle of a stream. The caller recognizes its partial answer by the
// missing end marker and resends the request to another router. The partial answer must not be
// billed.
TEST(bills_test, a_router_killed_in_mid_stream_leaves_one_bill)
{
    const auto request = request_with("in-mid-stream", long_answer);
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(call->wait_for_tokens(5));
    const auto cut = this->kill_router_during(*call, request);
    CHECK_FALSE_TEXT(cut.marked_complete, cut.to_text().c_str());
    this->send_again(request);
    this->check_bills();
}

// The store accepts no write and the peers are paused, so that the bill is stored nowhere. The
// caller has all tokens but must not have the end marker when its router is killed. It resends the
// request to another router, whose bill is the only one.
TEST(bills_test, a_router_killed_before_its_bill_was_written_has_not_ended_the_answer)
{
    const auto request = request_with("before-the-bill");
    this->set_store_behaviour({{"silent", true}});
    this->fleet->routers[1].process->signal(SIGSTOP);
    this->fleet->routers[2].process->signal(SIGSTOP);
    const auto call = this->fleet->call(0, request);
    const bool all_tokens = call->wait_for_tokens(whole_tokens);
    std::this_thread::sleep_for(end_marker_delay);
    const auto cut = this->kill_router_during(*call, request);
    this->fleet->routers[1].process->signal(SIGCONT);
    this->fleet->routers[2].process->signal(SIGCONT);
    this->set_store_behaviour({{"silent", false}});
    CHECK_TRUE_TEXT(all_tokens, cut.to_text().c_str());
    CHECK_FALSE_TEXT(cut.marked_complete, cut.to_text().c_str());
    this->send_again(request);
    this->check_bills();
}

// As before, but the write has taken effect and only its reply is late when the router is killed.
// The caller has not received the end and sends the request to another router, which bills it
// again: there are two bills on two pages, and operators must see one.
TEST(bills_test, a_router_killed_after_its_bill_was_written_and_before_the_end_leaves_one_bill)
{
    const auto request = request_with("after-the-bill");
    this->fleet->routers[1].process->signal(SIGSTOP);
    this->fleet->routers[2].process->signal(SIGSTOP);
    this->set_store_behaviour({{"reply_delay_ms", 3000}});
    const auto call = this->fleet->call(0, request);
    const bool all_tokens = call->wait_for_tokens(whole_tokens);
    std::this_thread::sleep_for(end_marker_delay);
    const auto cut = this->kill_router_during(*call, request);
    this->fleet->routers[1].process->signal(SIGCONT);
    this->fleet->routers[2].process->signal(SIGCONT);
    this->set_store_behaviour({{"reply_delay_ms", 0}});
    CHECK_TRUE_TEXT(all_tokens, cut.to_text().c_str());
    CHECK_FALSE_TEXT(cut.marked_complete, cut.to_text().c_str());
    LONGS_EQUAL(1, this->fleet->bills().size());
    this->send_again(request);
    this->check_bills();
    LONGS_EQUAL(1, this->fleet->bills().size());
}

// The router is killed at the moment at which its caller has the complete answer. The bill must
// already be stored. A caller that lost the answer sends the request again: a second run, the same
// bill.
TEST(bills_test, a_router_killed_right_after_the_end_leaves_one_bill)
{
    const auto request = request_with("after-the-end");
    const auto answer = this->history.ask(*this->fleet, 0, request);
    this->fleet->routers[0].process->kill();
    CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
    LONGS_EQUAL(1, this->fleet->bills().size());
    this->send_again(request);
    this->check_bills();
}

// Writes of bills take effect, but their replies are lost repeatedly while callers keep every
// router busy. Each answer must end, and each request must be billed exactly once.
TEST(bills_test, lost_replies_to_bill_writes_lose_and_double_nothing)
{
    constexpr int min_lost_replies = 10;
    constexpr int max_rounds = 100;
    std::size_t asked = 0;
    for (int round = 0; round < max_rounds && this->count_lost_replies() < min_lost_replies;
         ++round) {
        this->set_store_behaviour({{"lose_reply_prefix", "bills/"}, {"lose_reply_next", 3}});
        std::vector<std::thread> callers;
        for (std::size_t router = 0; router < 3; ++router) {
            callers.emplace_back([this, router, round] {
                const auto key = "lost-" + std::to_string(round) + "-" + std::to_string(router);
                this->history.ask(*this->fleet, router, request_with(key));
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        asked += callers.size();
    }
    CHECK_TRUE(this->count_lost_replies() >= min_lost_replies);
    LONGS_EQUAL(asked, this->history.count_complete());
    this->check_bills();
}

// The store is unavailable for much longer than answers take, with callers on every router. Answers
// must still be completed, since two peers hold each bill; when the store is back every complete
// answer must be billed.
TEST(bills_test, answers_end_during_an_outage_and_are_billed_after_it)
{
    this->set_store_behaviour({{"outage", true}});
    const auto end = std::chrono::steady_clock::now() + outage_length();
    std::vector<std::thread> callers;
    std::vector<std::atomic<int>> ended(3);
    for (std::size_t caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller] {
            const auto router = caller % 3;
            for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
                const auto key = "out-" + std::to_string(caller) + "-" + std::to_string(i);
                const auto request = request_with(key);
                const auto answer = this->history.ask(*this->fleet, router, request);
                const bool in_time = std::chrono::steady_clock::now() < end;
                ended[router] += in_time && answer.is_complete_answer_to(request) ? 1 : 0;
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    this->set_store_behaviour({{"outage", false}});
    for (const auto& count : ended) {
        // One answer a second from each router shows that answers are still completed.
        CHECK_TRUE_TEXT(count >= outage_length().count(), std::to_string(count).c_str());
    }
    this->check_bills();
}

// A router completes answers while the store is unavailable, and is killed before the store is
// back, so that its own bills are lost. The peers that hold copies must detect its failure and
// write them.
TEST(bills_test, bills_of_a_router_killed_during_an_outage_are_written_by_its_peers)
{
    this->set_store_behaviour({{"outage", true}});
    for (int i = 0; i < 10; ++i) {
        const auto request = request_with("killed-in-outage-" + std::to_string(i));
        const auto answer = this->history.ask(*this->fleet, 0, request);
        CHECK_TRUE_TEXT(answer.is_complete_answer_to(request), answer.to_text().c_str());
    }
    this->fleet->routers[0].process->kill();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    this->set_store_behaviour({{"outage", false}});
    this->check_bills();
    LONGS_EQUAL(10, this->fleet->bills().size());
}
