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

// So long that a router can be killed in the middle: 2 s at 2 ms for each token.
constexpr std::uint32_t long_answer = 1000;

// A step of the engines then takes 1 s.
constexpr double standstill = 500;

// The bill is written, and the end would be sent, within a few milliseconds of the last token.
constexpr std::chrono::milliseconds time_for_the_end{300};

chat_request request_with(const std::string& key, std::uint32_t max_tokens = whole_tokens)
{
    chat_request request;
    request.headers["idempotency-key"] = key;
    request.max_tokens = max_tokens;
    return request;
}

std::chrono::seconds outage_length()
{
    const char* stated = std::getenv("PEARHAVEN_OUTAGE_SECONDS");
    constexpr int in_every_build = 10;
    return std::chrono::seconds(stated == nullptr ? in_every_build : std::atoi(stated));
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

    void tell_store(const nlohmann::json& behaviours)
    {
        this->fleet->behave(this->fleet->store.own_address, behaviours);
    }

    void tell_engines(const nlohmann::json& behaviours)
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

    // Kills the first router; what its caller had seen by then is the end of it.
    chat_answer kill_under(chat_call & call, const chat_request& request)
    {
        this->fleet->routers[0].process->kill();
        auto answer = call.wait();
        this->history.note(request.headers.at("idempotency-key"), seen_answer::of(answer, request));
        return answer;
    }

    // The caller sends its request to another router until it has the whole answer.
    void send_again(const chat_request& request)
    {
        const bool answered = eventually([&] {
            return this->history.ask(*this->fleet, 1, request).is_whole_answer_to(request);
        });
        CHECK_TRUE_TEXT(answered, "expected a whole answer from another router");
    }

    // The bills come to agree with the engines' runs, request by request.
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

// The engines take long for the first token. The router is killed with the run under way; its
// caller sees nothing and sends the request to another router, which runs it a second time. Both
// runs come to their end, and the request is paid for once.
TEST(bills_test, a_router_killed_before_the_first_token_leaves_one_bill)
{
    const auto request = request_with("before-the-first-token");
    this->tell_engines({{"slow_factor", standstill}});
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(eventually([&] { return this->is_running("before-the-first-token"); }));
    const auto cut = this->kill_under(*call, request);
    LONGS_EQUAL(0, cut.tokens.size());
    this->tell_engines({{"slow_factor", 1}});
    this->send_again(request);
    this->check_bills();
}

// The router is killed while tokens flow. The caller has a part without an end marker, knows by
// that that it is not whole, and sends the request to another router. Nobody is billed for the
// part.
TEST(bills_test, a_router_killed_in_mid_stream_leaves_one_bill)
{
    const auto request = request_with("in-mid-stream", long_answer);
    const auto call = this->fleet->call(0, request);
    CHECK_TRUE(call->wait_for_tokens(5));
    const auto cut = this->kill_under(*call, request);
    CHECK_FALSE_TEXT(cut.marked_whole, cut.to_text().c_str());
    this->send_again(request);
    this->check_bills();
}

// The store takes no write and the peers stand still, so that the bill is safe nowhere. The caller
// has all tokens but no end marker when its router is killed. It sends the request to another
// router, whose bill is the only one.
TEST(bills_test, a_router_killed_before_its_bill_was_written_has_not_ended_the_answer)
{
    const auto request = request_with("before-the-bill");
    this->tell_store({{"silent", true}});
    this->fleet->routers[1].process->signal(SIGSTOP);
    this->fleet->routers[2].process->signal(SIGSTOP);
    const auto call = this->fleet->call(0, request);
    const bool all_tokens = call->wait_for_tokens(whole_tokens);
    std::this_thread::sleep_for(time_for_the_end);
    const auto cut = this->kill_under(*call, request);
    this->fleet->routers[1].process->signal(SIGCONT);
    this->fleet->routers[2].process->signal(SIGCONT);
    this->tell_store({{"silent", false}});
    CHECK_TRUE_TEXT(all_tokens, cut.to_text().c_str());
    CHECK_FALSE_TEXT(cut.marked_whole, cut.to_text().c_str());
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
    this->tell_store({{"reply_delay_ms", 3000}});
    const auto call = this->fleet->call(0, request);
    const bool all_tokens = call->wait_for_tokens(whole_tokens);
    std::this_thread::sleep_for(time_for_the_end);
    const auto cut = this->kill_under(*call, request);
    this->fleet->routers[1].process->signal(SIGCONT);
    this->fleet->routers[2].process->signal(SIGCONT);
    this->tell_store({{"reply_delay_ms", 0}});
    CHECK_TRUE_TEXT(all_tokens, cut.to_text().c_str());
    CHECK_FALSE_TEXT(cut.marked_whole, cut.to_text().c_str());
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
    CHECK_TRUE_TEXT(answer.is_whole_answer_to(request), answer.to_text().c_str());
    LONGS_EQUAL(1, this->fleet->bills().size());
    this->send_again(request);
    this->check_bills();
}

// Writes of bills take effect, but their replies are lost repeatedly while callers keep every
// router busy. Each answer must end, and each request must be billed exactly once.
TEST(bills_test, lost_replies_to_bill_writes_lose_and_double_nothing)
{
    constexpr int enough = 10;
    constexpr int most_rounds = 100;
    std::size_t asked = 0;
    for (int round = 0; round < most_rounds && this->count_lost_replies() < enough; ++round) {
        this->tell_store({{"lose_reply_prefix", "bills/"}, {"lose_reply_next", 3}});
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
    CHECK_TRUE(this->count_lost_replies() >= enough);
    LONGS_EQUAL(asked, this->history.count_whole());
    this->check_bills();
}

// The store is unavailable for much longer than answers take, with callers on every router. Answers
// must still be completed, since two peers hold each bill; when the store is back every complete
// answer must be billed.
TEST(bills_test, answers_end_during_an_outage_and_are_billed_after_it)
{
    this->tell_store({{"outage", true}});
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
                ended[router] += in_time && answer.is_whole_answer_to(request) ? 1 : 0;
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    this->tell_store({{"outage", false}});
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
    this->tell_store({{"outage", true}});
    for (int i = 0; i < 10; ++i) {
        const auto request = request_with("killed-in-outage-" + std::to_string(i));
        const auto answer = this->history.ask(*this->fleet, 0, request);
        CHECK_TRUE_TEXT(answer.is_whole_answer_to(request), answer.to_text().c_str());
    }
    this->fleet->routers[0].process->kill();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    this->tell_store({{"outage", false}});
    this->check_bills();
    LONGS_EQUAL(10, this->fleet->bills().size());
}
