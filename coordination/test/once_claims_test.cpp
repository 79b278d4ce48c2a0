#include "pearhaven/coordination/once_claims.hpp"

#include "simulation.hpp"

#include <rapidcheck.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using pearhaven::decision::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Stores a claim as `state|holder|write id|outcome`.
class pipe_codec : public claim_codec {
public:
    [[nodiscard]] std::string write_claim(const claim_record& claim) const override
    {
        return std::to_string(static_cast<int>(claim.state)) + "|" + claim.holder + "|" +
               claim.write_id + "|" + claim.outcome;
    }

    [[nodiscard]] std::optional<claim_record> read_claim(std::string_view text) const override
    {
        std::vector<std::string> parts(1);
        for (const char character : text) {
            if (character == '|') {
                parts.emplace_back();
            } else {
                parts.back().push_back(character);
            }
        }
        if (parts.size() != 4) {
            return std::nullopt;
        }
        return claim_record{static_cast<claim_state>(parts[0].at(0) - '0'), parts[1], parts[2],
                            parts[3]};
    }
};

const pipe_codec codec;

once_claims_settings settings_of(const std::string& self)
{
    once_claims_settings chosen;
    chosen.self = self;
    return chosen;
}

const kv_reply lost_reply = {kv_outcome::unknown, 0, 0, {}};

} // namespace

TEST_GROUP(once_claims_test)
{
    instant now{seconds(100)};
    simulation::scheduler schedule{1};
    simulation::model_store store{schedule};
    once_claims first{settings_of("first"), codec};
    once_claims second{settings_of("second"), codec};
    int write_ids = 0;

    void setup() override
    {
        first.set_live({"second"});
        second.set_live({"first"});
    }

    std::string next_id()
    {
        return "w" + std::to_string(++write_ids);
    }

    static std::vector<store_call> calls_of(const std::vector<once_claims::action>& actions)
    {
        std::vector<store_call> calls;
        for (const auto& one : actions) {
            if (const auto* call = std::get_if<store_call>(&one)) {
                calls.push_back(*call);
            }
        }
        return calls;
    }

    // Replies to every call until the claim is decided.
    claim_verdict decided(once_claims & claims)
    {
        for (int round = 0; round < 200; ++round) {
            for (const auto& one : claims.take_actions()) {
                if (const auto* call = std::get_if<store_call>(&one)) {
                    claims.on_reply(call->tag, store.apply(call->request), now);
                } else if (const auto* decision = std::get_if<claim_decided>(&one)) {
                    return decision->verdict;
                }
            }
            now += milliseconds(20);
            claims.on_tick(now);
        }
        FAIL("no decision came");
        return claim_verdict::unavailable;
    }

    void run_all(once_claims & claims)
    {
        for (int round = 0; round < 200; ++round) {
            for (const auto& call : calls_of(claims.take_actions())) {
                claims.on_reply(call.tag, store.apply(call.request), now);
            }
            now += milliseconds(20);
            claims.on_tick(now);
        }
    }
};

TEST(once_claims_test, one_of_two_routers_is_granted_the_claim)
{
    first.claim("team", "key", next_id(), now);
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(first) == claim_verdict::granted);
    CHECK_TRUE(decided(second) == claim_verdict::in_progress);
}

TEST(once_claims_test, resend_receives_the_outcome_of_the_run)
{
    const auto claim = first.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(first) == claim_verdict::granted);
    first.settle(claim, claim_state::ran, "200", now);
    run_all(first);
    LONGS_EQUAL(0, first.open());
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(second) == claim_verdict::ran);
}

TEST(once_claims_test, request_that_was_not_run_may_be_claimed_again)
{
    const auto claim = first.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(first) == claim_verdict::granted);
    first.settle(claim, claim_state::not_run, "", now);
    run_all(first);
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(second) == claim_verdict::granted);
}

// The write is committed but its reply is lost. Treating that as a failure would report `not run`
// to the caller and leave a claim that blocks its next send; a plain retry would find the key
// taken.
TEST(once_claims_test, claim_with_a_lost_reply_is_found_by_its_write_id)
{
    first.claim("team", "key", next_id(), now);
    const auto calls = calls_of(first.take_actions());
    store.apply(calls.at(0).request);
    first.on_reply(calls[0].tag, lost_reply, now);
    CHECK_TRUE(decided(first) == claim_verdict::granted);
}

// The store does not reply, so the caller is refused with `not run`, and afterwards the write is
// committed after all. The caller resends the request to another router and must not find it
// blocked permanently.
TEST(once_claims_test, claim_committed_after_its_refusal_is_closed_as_not_run)
{
    first.claim("team", "key", next_id(), now);
    const auto calls = calls_of(first.take_actions());
    now += seconds(3);
    first.on_tick(now);
    CHECK_TRUE(std::holds_alternative<claim_decided>(first.take_actions().at(0)));
    store.apply(calls.at(0).request);
    run_all(first);
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(second) == claim_verdict::granted);
}

// The holder is killed after its claim. Whether it had dispatched the request cannot be determined:
// a resend gets `unknown`, and no router runs the request again.
TEST(once_claims_test, claim_of_a_dead_holder_is_closed_as_unknown)
{
    first.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(first) == claim_verdict::granted);
    second.set_live({});
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(second) == claim_verdict::in_progress);
    now += seconds(11);
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(second) == claim_verdict::unknown);
    run_all(second);
    second.claim("team", "key", next_id(), now);
    CHECK_TRUE(decided(second) == claim_verdict::unknown);
}

// The store rejects the write, so nothing was claimed and nothing can have run. Waiting for the
// store would only delay an answer that is already known.
TEST(once_claims_test, request_is_refused_at_once_while_the_store_is_unavailable)
{
    first.claim("team", "key", next_id(), now);
    const auto calls = calls_of(first.take_actions());
    first.on_reply(calls.at(0).tag, {kv_outcome::unavailable, 0, 0, {}}, now);
    const auto actions = first.take_actions();
    LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(std::get<claim_decided>(actions[0]).verdict == claim_verdict::unavailable);
    LONGS_EQUAL(0, first.open());
}

// The store does not reply, so it is unknown whether the claim was written. The caller must not
// wait longer than the claim timeout.
TEST(once_claims_test, request_is_refused_within_the_claim_timeout_while_the_store_does_not_reply)
{
    first.claim("team", "key", next_id(), now);
    for (int round = 0; round < 105; ++round) {
        now += milliseconds(20);
        first.on_tick(now);
        for (const auto& one : first.take_actions()) {
            if (const auto* decision = std::get_if<claim_decided>(&one)) {
                CHECK_TRUE(decision->verdict == claim_verdict::unavailable);
                return;
            }
        }
    }
    FAIL("the claim was never decided");
}

// Two routers and one key: sends, resends, lost and late replies, writes that are committed late,
// and routers that presume each other dead. A dispatch that its router does not close as `not_run`
// remains the only one.
TEST(once_claims_test, no_sequence_of_faults_lets_a_request_run_twice)
{
    const bool holds = rc::check("at most one run", [] {
        simulation::scheduler virtual_time{1};
        simulation::model_store backing_store{virtual_time};
        instant clock{seconds(100)};
        std::vector<std::unique_ptr<once_claims>> routers;
        routers.push_back(std::make_unique<once_claims>(settings_of("r0"), codec));
        routers.push_back(std::make_unique<once_claims>(settings_of("r1"), codec));
        struct late_call {
            std::size_t router;
            store_call call;
        };
        std::vector<late_call> late;
        std::vector<std::pair<std::size_t, claim_number>> granted;
        int runs = 0;
        int ids = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 18));
        for (const int step : steps) {
            clock += milliseconds(step * 20);
            const std::size_t router = static_cast<std::size_t>(step) % 2;
            if (step < 4) {
                routers[router]->claim("team", "key", "w" + std::to_string(ids++), clock);
            } else if (step < 6 && !granted.empty()) {
                const auto [owner, claim] = granted.back();
                granted.pop_back();
                const bool ran = step == 4;
                runs += ran ? 1 : 0;
                routers[owner]->settle(claim, ran ? claim_state::ran : claim_state::not_run, "",
                                       clock);
            } else if (step < 8 && !late.empty()) {
                const auto next = late.front();
                late.erase(late.begin());
                routers[next.router]->on_reply(next.call.tag,
                                               backing_store.apply(next.call.request), clock);
            } else if (step == 8) {
                routers[0]->set_live({});
                routers[1]->set_live({"r0"});
            }
            for (std::size_t i = 0; i < routers.size(); ++i) {
                routers[i]->on_tick(clock);
                for (const auto& one : routers[i]->take_actions()) {
                    if (const auto* call = std::get_if<store_call>(&one)) {
                        if (step < 10) {
                            late.push_back({i, *call});
                        } else if (step < 12) {
                            backing_store.apply(call->request);
                            routers[i]->on_reply(call->tag, lost_reply, clock);
                        } else {
                            routers[i]->on_reply(call->tag, backing_store.apply(call->request),
                                                 clock);
                        }
                    } else if (const auto* decision = std::get_if<claim_decided>(&one)) {
                        if (decision->verdict == claim_verdict::granted) {
                            RC_ASSERT(granted.empty());
                            RC_ASSERT(runs == 0);
                            granted.emplace_back(i, decision->claim);
                        }
                    }
                }
            }
        }
        RC_ASSERT(runs <= 1);
    });
    CHECK_TRUE(holds);
}
