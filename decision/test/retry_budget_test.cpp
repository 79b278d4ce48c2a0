#include "pearhaven/decision/retry_budget.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;

namespace {

constexpr instant start{std::chrono::seconds(100)};

// The platform's values: 0.9 of an allowance of 660, and 0.85 of a share of 0.9.
constexpr double fleet_burst = 594.0;
constexpr double max_router_burst = 66.0;
constexpr double share_of_arrivals = 0.765;

// The budgets of all routers of a fleet, for one target.
std::vector<retry_budget> fleet_of(std::size_t size)
{
    std::vector<retry_budget> budgets;
    for (std::size_t rank = 0; rank < size; ++rank) {
        budgets.emplace_back(0.0, router_share_of_burst(fleet_burst, max_router_burst, rank, size));
    }
    return budgets;
}

// Totals for the whole fleet at a point in time.
struct fleet_count {
    instant at;
    double arrivals = 0.0;
    double retries = 0.0;
};

// The fleet's arrivals before the given time.
double arrivals_before(const std::vector<fleet_count>& history, instant at)
{
    const auto next = std::partition_point(history.begin(), history.end(),
                                           [at](const auto& count) { return count.at < at; });
    return next == history.begin() ? 0.0 : std::prev(next)->arrivals;
}

// The maximum, over all time windows, of the retries beyond what arrivals paid for. Arrivals within
// `earned_lifetime` before the window count as well.
double max_beyond_share(const std::vector<fleet_count>& history)
{
    double max_excess = 0.0;
    for (auto first = history.begin(); first != history.end(); ++first) {
        const double paid_before =
            arrivals_before(history, first->at - retry_budget::earned_lifetime);
        const double retries_before = first == history.begin() ? 0.0 : std::prev(first)->retries;
        for (auto last = first; last != history.end(); ++last) {
            const double paid = share_of_arrivals * (last->arrivals - paid_before);
            max_excess = std::max(max_excess, last->retries - retries_before - paid);
        }
    }
    return max_excess;
}

} // namespace

TEST_GROUP(retry_budget_test){};

TEST(retry_budget_test, retries_are_a_share_of_the_successes)
{
    // In a full outage every request fails at once. With a fixed number of retries the endpoints
    // would receive several times the normal load when they come back.
    retry_budget budget(0.1, 2.0);
    int spent = 0;
    for (int failed = 0; failed < 1000; ++failed) {
        spent += budget.try_spend(start) ? 1 : 0;
    }
    CHECK_EQUAL(2, spent);
    for (int finished = 0; finished < 10; ++finished) {
        budget.on_success();
    }
    CHECK_TRUE(budget.try_spend(start));
    CHECK_FALSE(budget.try_spend(start));
}

TEST(retry_budget_test, successes_save_up_no_more_than_the_burst)
{
    retry_budget budget(0.5, 3.0);
    for (int finished = 0; finished < 1000; ++finished) {
        budget.on_success();
    }
    DOUBLES_EQUAL(3.0, budget.balance(), 1e-9);
}

// Beyond 594 routers each one still held one retry: 740 of them held 740, more than the platform
// allows, so that the first failures after an idle period broke the fleet's limit.
TEST(retry_budget_test, the_shares_of_all_routers_stay_within_the_fleets_burst)
{
    for (std::size_t size = 1; size <= 2000; ++size) {
        double sum = 0.0;
        for (std::size_t rank = 0; rank < size; ++rank) {
            const double part = router_share_of_burst(fleet_burst, max_router_burst, rank, size);
            CHECK_TRUE(part == 0.0 || part >= 1.0); // a router with less could never retry
            sum += part;
        }
        CHECK_TRUE(sum <= fleet_burst + 1e-6);
        const double size_alone = max_router_burst * static_cast<double>(size);
        CHECK_TRUE(sum >= std::min(fleet_burst, size_alone) - 1e-6);
    }
    DOUBLES_EQUAL(0.0, router_share_of_burst(0.9, max_router_burst, 0, 5), 0.0);
}

// Requests arrive and are lost, mostly at a few routers; now and then every router receives or
// loses one, and now and then the fleet is idle. For every fleet size, no time window has more
// retries than the fleet's burst plus what arrivals paid for.
TEST(retry_budget_test, a_fleet_of_any_size_stays_within_its_bound_in_every_window)
{
    const bool holds = rc::check("bound of the fleet", [] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 2001);
        auto draw = static_cast<std::uint32_t>(*rc::gen::inRange(1, 1 << 30));
        const auto below = [&draw](std::uint32_t bound) {
            draw = draw * 1664525U + 1013904223U;
            return (draw >> 8U) % bound;
        };
        auto budgets = fleet_of(size);
        std::vector<fleet_count> history;
        fleet_count count{start};
        const auto arrive_at = [&](retry_budget& budget) {
            count.arrivals += 1.0;
            budget.earn(share_of_arrivals, count.at);
        };
        const auto lose_at = [&](retry_budget& budget) {
            count.retries += budget.try_spend(count.at) ? 1.0 : 0.0;
        };
        for (int event = 0; event < 300; ++event) {
            count.at += milliseconds(below(40) == 0 ? below(5000) : below(20));
            auto& budget = budgets[below(below(2) == 0 ? 3 : 2000) % size];
            const auto kind = below(100);
            if (kind < 2) {
                std::for_each(budgets.begin(), budgets.end(), lose_at);
            } else if (kind < 5) {
                std::for_each(budgets.begin(), budgets.end(), arrive_at);
            } else if (kind < 40) {
                lose_at(budget);
            } else {
                arrive_at(budget);
            }
            history.push_back(count);
        }
        RC_ASSERT(max_beyond_share(history) <= fleet_burst + 1e-6);
    });
    CHECK_TRUE(holds);
}

// One endpoint of a large fleet is lost. The routers that held its requests had no part of the
// burst, so callers got errors although that second's requests had paid for ten times the retries.
TEST(retry_budget_test, a_router_without_a_burst_spends_what_recent_arrivals_earned)
{
    retry_budget budget(0.0, 0.0);
    CHECK_FALSE(budget.try_spend(start));
    for (int arrival = 0; arrival < 20; ++arrival) {
        budget.earn(share_of_arrivals, start + milliseconds(10 * arrival));
    }
    CHECK_TRUE(budget.can_spend(start + milliseconds(191)));
    CHECK_TRUE(budget.try_spend(start + milliseconds(191)));
    CHECK_FALSE(budget.try_spend(start + milliseconds(191))); // fewer than two are kept
}

TEST(retry_budget_test, earnings_of_a_router_without_a_burst_expire)
{
    retry_budget budget(0.0, 0.0);
    budget.earn(5.0, start);
    CHECK_FALSE(budget.can_spend(start + retry_budget::earned_lifetime));
    CHECK_FALSE(budget.try_spend(start + retry_budget::earned_lifetime));
}

TEST(retry_budget_test, a_retry_outside_the_budget_is_charged_to_recent_earnings)
{
    retry_budget budget(0.0, 0.0);
    budget.earn(1.0, start);
    budget.debit(start);
    budget.debit(start);
    budget.earn(1.0, start + milliseconds(500));
    CHECK_FALSE(budget.try_spend(start + milliseconds(500)));
    budget.earn(1.0, start + milliseconds(500));
    CHECK_TRUE(budget.try_spend(start + milliseconds(500)));
}
