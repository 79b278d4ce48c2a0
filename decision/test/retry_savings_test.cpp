#include "pearhaven/decision/retry_budget.hpp"
#include "pearhaven/decision/retry_savings.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};

// The platform's shares: 0.85 and 0.1 of 0.9.
constexpr double share_of_arrivals = 0.765;
constexpr double share_of_savings = 0.09;

struct saving_router {
    explicit saving_router(double part_of_burst) : part(part_of_burst), budget(0.0, part_of_burst)
    {}

    void admit(instant now)
    {
        this->savings.on_admitted(now);
        this->update(now);
        this->budget.earn(share_of_arrivals, now);
    }

    bool try_spend(instant now)
    {
        this->update(now);
        return this->budget.try_spend(now);
    }

    void update(instant now)
    {
        this->budget.set_burst(burst_with_savings(this->part, this->savings.extra(now)));
    }

    double part;
    retry_budget budget;
    retry_savings savings{share_of_savings};
};

// Totals for the whole fleet after an event.
struct fleet_count {
    instant at;
    double arrivals = 0.0;
    double arrivals_without_part = 0.0; // at routers without a part of the fleet's burst
    double retries = 0.0;
};

using fleet_history = std::vector<fleet_count>;

// The totals of all events before the given time.
fleet_count before(const fleet_history& history, instant at)
{
    const auto next = std::partition_point(history.begin(), history.end(),
                                           [at](const auto& count) { return count.at < at; });
    return next == history.begin() ? fleet_count() : *std::prev(next);
}

// The maximum, over all windows of 10 s, of the retries beyond 0.765 of the window's requests and
// 0.09 of the requests of the 10 s before. Routers without a part of the burst may also spend what
// requests earned within `earned_lifetime` before the window.
double max_beyond_shares(const fleet_history& history)
{
    double max_excess = 0.0;
    for (auto first = history.begin(); first != history.end(); ++first) {
        const auto at_start = first == history.begin() ? fleet_count() : *std::prev(first);
        const auto earlier = before(history, first->at - retry_savings::period);
        const auto lately = before(history, first->at - retry_budget::earned_lifetime);
        const auto at_end = before(history, first->at + retry_savings::period);
        const double allowed =
            share_of_arrivals * (at_end.arrivals - at_start.arrivals) +
            share_of_savings * (at_start.arrivals - earlier.arrivals) +
            share_of_arrivals * (at_start.arrivals_without_part - lately.arrivals_without_part);
        max_excess = std::max(max_excess, at_end.retries - at_start.retries - allowed);
    }
    return max_excess;
}

} // namespace

TEST_GROUP(retry_savings_test){};

// Guards against savings that outlast the traffic that allowed them, which would be spent in a
// window with few requests.
TEST(retry_savings_test, savings_grow_with_the_requests_of_ten_seconds_and_fall_with_them)
{
    saving_router router(2.0);
    for (int arrived = 0; arrived < 100; ++arrived) {
        router.admit(start + milliseconds(arrived));
    }
    DOUBLES_EQUAL(11.0, router.budget.balance(), 1e-9);
    router.update(start + milliseconds(9'999));
    DOUBLES_EQUAL(11.0, router.budget.balance(), 1e-9);
    router.update(start + seconds(10));
    DOUBLES_EQUAL(2.0, router.budget.balance(), 1e-9);
}

// Guards against a router that can no longer retry because its savings are less than a retry.
TEST(retry_savings_test, a_router_without_a_part_uses_savings_from_one_retry_on)
{
    DOUBLES_EQUAL(0.0, burst_with_savings(0.0, 0.99), 0.0);
    DOUBLES_EQUAL(1.5, burst_with_savings(0.0, 1.5), 0.0);
    DOUBLES_EQUAL(2.5, burst_with_savings(1.0, 1.5), 0.0);
}

// Guards against a fleet that sends more retries in 10 s than the platform allows. Requests arrive
// in clumps, mostly at a few routers, and after idle times many are lost at once.
TEST(retry_savings_test, a_fleet_of_any_size_keeps_the_rule_in_every_ten_seconds)
{
    const bool holds = rc::check("retries in ten seconds", [] {
        const auto size = *rc::gen::oneOf(rc::gen::inRange<std::size_t>(1, 4),
                                          rc::gen::inRange<std::size_t>(4, 300));
        const double fleet_burst = *rc::gen::inRange(0, 60);
        auto draw = static_cast<std::uint32_t>(*rc::gen::inRange(1, 1 << 30));
        const auto below = [&draw](std::uint32_t bound) {
            draw = draw * 1664525U + 1013904223U;
            return (draw >> 8U) % bound;
        };
        std::vector<saving_router> routers;
        for (std::size_t rank = 0; rank < size; ++rank) {
            routers.emplace_back(router_share_of_burst(fleet_burst, fleet_burst, rank, size));
        }
        fleet_history history;
        fleet_count count{start};
        const auto admit_at = [&](saving_router& router) {
            count.arrivals += 1.0;
            count.arrivals_without_part += router.part > 0.0 ? 0.0 : 1.0;
            router.admit(count.at);
        };
        const auto lose_at = [&](saving_router& router) {
            count.retries += router.try_spend(count.at) ? 1.0 : 0.0;
        };
        for (int event = 0; event < 600; ++event) {
            const bool is_idle = below(40) == 0;
            count.at += milliseconds(is_idle ? below(15000) : below(20));
            auto& router = routers[below(below(2) == 0 ? 3 : 300) % size];
            const auto kind = is_idle ? 0 : below(100);
            const auto clump = 1 + below(40);
            for (std::uint32_t one = 0; one < clump; ++one) {
                kind < 35 ? lose_at(router) : admit_at(router);
            }
            if (kind < 3) {
                std::for_each(routers.begin(), routers.end(), lose_at);
            } else if (kind > 97) {
                std::for_each(routers.begin(), routers.end(), admit_at);
            }
            history.push_back(count);
        }
        RC_ASSERT(max_beyond_shares(history) <= fleet_burst + 1e-6);
    });
    CHECK_TRUE(holds);
}
