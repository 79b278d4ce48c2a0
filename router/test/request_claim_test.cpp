#include "request_claim.hpp"

#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;
using pearhaven::decision::run_state;

namespace {

constexpr pearhaven::coordination::claim_number number = 7;
constexpr std::chrono::milliseconds timeout{1};

class recording_sink : public fleet_sink {
public:
    bool submit(fleet_event event) override
    {
        this->events.push_back(std::move(event));
        return true;
    }

    std::vector<fleet_event> events;
};

claim_answer granted()
{
    claim_answer answer;
    answer.granted = number;
    return answer;
}

} // namespace

TEST_GROUP(request_claim)
{
    recording_sink fleet;
};

TEST(request_claim, a_granted_claim_is_settled_with_the_outcome)
{
    const exchange_ptr request(new exchange);
    request->push(granted());
    request_claim claim(this->fleet, request, timeout);
    CHECK_FALSE(claim.acquire("key").has_value());
    claim.settle(run_state::ran, "whole");
    const auto& settled = std::get<claim_settled>(this->fleet.events.at(1));
    CHECK_TRUE(settled.claim == number);
    CHECK_TRUE(settled.run == run_state::ran);
}

TEST(request_claim, a_claim_that_is_not_decided_in_time_is_refused_as_not_run)
{
    const exchange_ptr request(new exchange);
    request_claim claim(this->fleet, request, timeout);
    const auto refused = claim.acquire("key");
    CHECK_TRUE(refused.has_value() && refused->run == run_state::not_run);
    CHECK_TRUE(request->claim_abandoned.load());
}

// A stalled router resumes after the claim has timed out in the caller's thread, and the claim is
// granted at that moment. The fleet thread closes the abandoned claim as not run. If the caller's
// thread used the grant anyway, a resend elsewhere would run the request again.
TEST(request_claim, a_claim_granted_while_it_is_abandoned_never_runs)
{
    int taken_after_close = 0;
    for (int round = 0; round < 500; ++round) {
        const exchange_ptr request(new exchange);
        bool closed = false;
        std::thread fleet_thread([&] {
            while (!request->claim_abandoned.load()) {
            }
            request->push(granted());
            closed = request->claim_abandoned.load();
        });
        request_claim claim(this->fleet, request, timeout);
        const bool taken = !claim.acquire("key").has_value();
        fleet_thread.join();
        taken_after_close += taken && closed ? 1 : 0;
    }
    LONGS_EQUAL(0, taken_after_close);
}
