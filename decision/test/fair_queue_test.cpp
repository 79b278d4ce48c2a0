#include "pearhaven/decision/fair_queue.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

constexpr instant distant_deadline{std::chrono::hours(1)};
constexpr auto lookup = work_class::lookup;
constexpr auto reading = work_class::reading;

bool any(const queue_entry& /*entry*/)
{
    return true;
}

queue_entry entry_of(ticket_number ticket, const std::string& team, work_class kind, double work)
{
    return {ticket, team, 1.0, kind, 5, work, distant_deadline};
}

// A queue that numbers its tickets in order of arrival, from 1.
struct numbered_queue : fair_queue {
    explicit numbered_queue(fair_queue_settings settings = {}) : fair_queue(settings) {}

    void add(const std::string& team, work_class kind, double work, int count = 1)
    {
        for (int added = 0; added < count; ++added) {
            this->push(entry_of(++this->last, team, kind, work));
        }
    }

    // Adds entries of two teams alternately.
    void add_in_turn(const std::string& one, const std::string& other, double work, int count)
    {
        for (int added = 0; added < count; ++added) {
            this->add(one, reading, work);
            this->add(other, reading, work);
        }
    }

    // Removes and returns up to `count` entries, in order.
    std::vector<queue_entry> take(std::size_t count)
    {
        std::vector<queue_entry> order;
        while (order.size() < count && this->size() > 0) {
            order.push_back(*this->pop(any));
        }
        return order;
    }

    ticket_number last = 0;
};

std::ptrdiff_t count_of(const std::vector<queue_entry>& order, const std::string& team)
{
    return std::count_if(order.begin(), order.end(),
                         [&team](const auto& entry) { return entry.team == team; });
}

std::ptrdiff_t count_of(const std::vector<queue_entry>& order, work_class kind)
{
    return std::count_if(order.begin(), order.end(),
                         [kind](const auto& entry) { return entry.kind == kind; });
}

} // namespace

TEST_GROUP(fair_queue_test)
{
    numbered_queue queue;
};

TEST(fair_queue_test, a_team_with_one_entry_does_not_wait_for_another_teams_burst)
{
    // A large team queues 500 readings, then a small team sends one lookup. In a first-in,
    // first-out queue it would wait for all 500.
    this->queue.add("large", reading, 1000.0, 500);
    this->queue.take(1);
    this->queue.add("small", lookup, 50.0);
    CHECK_EQUAL(1, count_of(this->queue.take(1), "small"));
}

TEST(fair_queue_test, backlogged_teams_share_by_weight)
{
    for (ticket_number ticket = 1; ticket <= 400; ++ticket) {
        queue_entry next = entry_of(ticket, ticket % 2 == 0 ? "heavy" : "light", reading, 100.0);
        next.weight = ticket % 2 == 0 ? 3.0 : 1.0;
        this->queue.push(next);
    }
    CHECK_EQUAL(150, count_of(this->queue.take(200), "heavy"));
}

TEST(fair_queue_test, a_lookup_goes_ahead_of_its_own_teams_readings)
{
    // Two teams always have readings queued. One of them has just started a long one, which uses up
    // its share for a while. Its lookup must not wait until the other team has caught up.
    this->queue.add("one", reading, 50'000.0);
    this->queue.add_in_turn("two", "one", 500.0, 100);
    this->queue.take(5);
    this->queue.add("one", lookup, 50.0);
    CHECK_EQUAL(1, count_of(this->queue.take(1), lookup));
}

TEST(fair_queue_test, lookups_do_not_starve_their_own_teams_readings)
{
    this->queue.add("one", reading, 500.0);
    this->queue.add("one", lookup, 50.0, 200);
    CHECK_EQUAL(1, count_of(this->queue.take(25), reading));
}

TEST(fair_queue_test, lookups_served_alone_are_not_charged_when_readings_arrive)
{
    // A team sent only lookups for a long time, then begins to send readings. If the earlier
    // lookups had been charged to the lookups' part of the share, the readings would now go first
    // until they had made up for all of it, and lookups would wait for seconds.
    this->queue.add("one", lookup, 50.0, 500);
    this->queue.take(490);
    this->queue.add("one", reading, 500.0, 40);
    CHECK_TRUE(count_of(this->queue.take(4), lookup) > 0);
}

TEST(fair_queue_test, an_underestimate_is_charged_once_the_work_is_known)
{
    // A team declares tiny answers and receives long ones: each of its entries is charged as 10 and
    // turns out to cost 1,000. Without a correction the callers of other teams would wait for it.
    this->queue.add("understating", reading, 10.0, 200);
    this->queue.add("honest", reading, 1000.0, 200);
    std::map<std::string, int> served;
    for (int round = 0; round < 100; ++round) {
        const auto next = this->queue.pop(any);
        ++served[next->team];
        this->queue.settle(next->team, next->work, 1000.0);
    }
    CHECK_EQUAL(50, served["understating"]);
}

TEST(fair_queue_test, work_that_did_not_run_is_refunded)
{
    this->queue.add("refused", reading, 100'000.0);
    this->queue.add_in_turn("other", "refused", 1000.0, 20);
    this->queue.take(1);
    this->queue.settle("refused", 100'000.0, 0.0);
    CHECK_EQUAL(5, count_of(this->queue.take(10), "refused"));
}

TEST(fair_queue_test, an_account_is_kept_until_its_work_is_settled)
{
    // A team's entry was estimated at 1 and runs for long, while many other teams come and go. If
    // the idle team's account were dropped meanwhile, the actual work would be charged to nobody
    // and small teams would wait.
    this->queue.add("large", reading, 1.0);
    this->queue.take(1);
    for (int number = 0; number < 500; ++number) {
        this->queue.add(std::to_string(number), reading, 1.0, 2);
        for (const auto& taken : this->queue.take(2)) {
            this->queue.settle(taken.team, 1.0, 1.0);
        }
    }
    this->queue.settle("large", 1.0, 10'000.0);
    this->queue.add("large", reading, 100.0);
    this->queue.add("small", reading, 100.0, 10);
    CHECK_EQUAL(10, count_of(this->queue.take(10), "small"));
}

TEST(fair_queue_test, idle_time_is_not_saved_up)
{
    // A team returns with a burst after a long idle time. If it did not start from the current
    // virtual time, the burst would go first until it had made up for all the time in which it sent
    // nothing.
    this->queue.add("busy", reading, 1000.0, 300);
    this->queue.take(100);
    this->queue.add("back", reading, 1000.0, 100);
    CHECK_TRUE(count_of(this->queue.take(40), "busy") >= 19);
}

TEST(fair_queue_test, idle_time_of_a_teams_lookups_is_not_saved_up)
{
    // A team sent only readings for a long time, then sends a burst of lookups. If its lookups
    // still started from the earlier virtual time, they would all go first, ahead of other teams.
    this->queue.add_in_turn("bursting", "other", 1000.0, 300);
    this->queue.take(200);
    this->queue.add("bursting", lookup, 200.0, 400);
    CHECK_TRUE(count_of(this->queue.take(100), "other") >= 10);
}

TEST(fair_queue_test, a_team_that_was_blocked_catches_up_only_within_its_credit)
{
    // A pool comes back after one team could not start because its version had no capacity, while
    // the other teams continued elsewhere. Without a bound the blocked team would take every slot
    // until it had caught up with all of that.
    numbered_queue bounded({4096, 1024, 0.5, 4, 10'000.0});
    bounded.add_in_turn("held", "other", 1000.0, 500);
    for (int round = 0; round < 300; ++round) {
        bounded.pop([](const auto& next) { return next.team == "other"; });
    }
    const auto held = count_of(bounded.take(100), "held");
    CHECK_TRUE(held >= 50);
    CHECK_TRUE(held <= 60);
}

TEST(fair_queue_test, a_teams_entries_go_by_priority_then_by_arrival)
{
    this->queue.add("one", lookup, 10.0, 2);
    queue_entry urgent = entry_of(3, "one", lookup, 10.0);
    urgent.priority = 0;
    this->queue.push(urgent);
    const auto order = this->queue.take(3);
    CHECK_EQUAL(3U, order[0].ticket);
    CHECK_EQUAL(1U, order[1].ticket);
    CHECK_EQUAL(2U, order[2].ticket);
}

TEST(fair_queue_test, a_priority_counts_only_within_the_team)
{
    this->queue.add("plain", lookup, 10.0, 10);
    for (ticket_number ticket = 100; ticket < 110; ++ticket) {
        queue_entry urgent = entry_of(ticket, "urgent", lookup, 10.0);
        urgent.priority = 0;
        this->queue.push(urgent);
    }
    CHECK_EQUAL(5, count_of(this->queue.take(10), "urgent"));
}

TEST(fair_queue_test, entries_that_cannot_start_are_skipped_up_to_the_scan_depth)
{
    fair_queue_settings settings;
    settings.scan_depth = 2;
    numbered_queue shallow(settings);
    shallow.add("one", reading, 10.0, 3);
    CHECK_FALSE(shallow.pop([](const auto& next) { return next.ticket == 3; }).has_value());
    CHECK_EQUAL(2U, shallow.pop([](const auto& next) { return next.ticket == 2; })->ticket);
}

TEST(fair_queue_test, a_full_queue_and_a_team_over_its_quota_are_refused)
{
    fair_queue small({3, 2, 0.5, 4, 1000.0});
    CHECK_TRUE(small.push(entry_of(1, "one", lookup, 1.0)));
    CHECK_TRUE(small.push(entry_of(2, "one", lookup, 1.0)));
    CHECK_FALSE(small.push(entry_of(3, "one", lookup, 1.0)));
    CHECK_TRUE(small.push(entry_of(4, "two", lookup, 1.0)));
    CHECK_FALSE(small.push(entry_of(5, "three", lookup, 1.0)));
}

TEST(fair_queue_test, a_ticket_is_queued_once)
{
    CHECK_TRUE(this->queue.push(entry_of(1, "one", lookup, 1.0)));
    CHECK_FALSE(this->queue.push(entry_of(1, "two", lookup, 1.0)));
    CHECK_EQUAL(1U, this->queue.size());
}

TEST(fair_queue_test, expired_entries_are_removed_in_deadline_order)
{
    for (ticket_number ticket = 1; ticket <= 3; ++ticket) {
        queue_entry next = entry_of(ticket, "one", lookup, 1.0);
        next.deadline = instant(std::chrono::seconds(10 - ticket));
        this->queue.push(next);
    }
    CHECK_TRUE(instant(std::chrono::seconds(7)) == *this->queue.next_deadline());
    const auto late = this->queue.expire(instant(std::chrono::seconds(8)));
    CHECK_EQUAL(2U, late.size());
    CHECK_EQUAL(3U, late.front().ticket);
    CHECK_EQUAL(1U, this->queue.size("one"));
    DOUBLES_EQUAL(1.0, this->queue.queued_work(), 1e-9);
}

TEST(fair_queue_test, entries_without_work_still_take_turns)
{
    this->queue.add("none", lookup, 0.0, 10);
    this->queue.add("some", lookup, 1.0, 10);
    CHECK_EQUAL(5, count_of(this->queue.take(10), "none"));
}

namespace {

constexpr double largest_work = 2000.0;

// Served work over weight may differ by the cost of two entries of each team: the one that goes
// first, and a lookup that goes ahead of its team's account, at the lookups' part of the share.
double fairness_bound(const std::map<std::string, double>& weights, double lookup_share)
{
    double bound = 0.0;
    for (const auto& [team, weight] : weights) {
        bound += (largest_work + largest_work / lookup_share) / weight;
    }
    return bound;
}

queue_entry random_entry(ticket_number ticket, const std::string& team, double weight)
{
    const auto kind = *rc::gen::element(work_class::lookup, work_class::reading);
    const auto work = static_cast<double>(*rc::gen::inRange(1, static_cast<int>(largest_work)));
    const auto priority = static_cast<std::uint32_t>(*rc::gen::inRange(0, 10));
    return {ticket, team, weight, kind, priority, work, distant_deadline};
}

void two_backlogged_teams_stay_within_the_bound()
{
    fair_queue_settings settings;
    settings.lookup_share = *rc::gen::element(0.25, 0.5, 1.0);
    fair_queue queue(settings);
    const std::map<std::string, double> weights = {{"one", *rc::gen::element(0.5, 1.0, 3.0)},
                                                   {"two", *rc::gen::element(0.5, 1.0, 10.0)}};
    ticket_number ticket = 0;
    for (const auto& [team, weight] : weights) {
        for (int count = 0; count < 60; ++count) {
            queue.push(random_entry(++ticket, team, weight));
        }
    }
    std::map<std::string, double> served;
    const double bound = fairness_bound(weights, settings.lookup_share);
    while (queue.size("one") > 0 && queue.size("two") > 0) {
        const auto next = queue.pop(any);
        served[next->team] += next->work / weights.at(next->team);
        RC_ASSERT(std::abs(served["one"] - served["two"]) <= bound);
    }
}

// Makes random calls on a queue and keeps a model of its expected entries with their teams.
class simulated_queue {
public:
    void simulate_one_call()
    {
        const auto call = *rc::gen::inRange(0, 6);
        if (call < 3) {
            this->push();
        } else if (call == 3) {
            this->pop();
        } else if (call == 4) {
            this->remove();
        } else {
            this->expire();
        }
        RC_ASSERT(this->queue.size() == this->expected.size());
    }

    void drain_the_rest()
    {
        while (const auto next = this->queue.pop(any)) {
            RC_ASSERT(this->expected.erase(next->ticket) == 1U);
        }
        RC_ASSERT(this->expected.empty());
        RC_ASSERT(this->queue.queued_work() == 0.0);
    }

private:
    static std::string random_team() { return std::to_string(*rc::gen::inRange(0, 4)); }

    void push()
    {
        queue_entry next = random_entry(++this->last, random_team(), 1.0);
        next.deadline = this->now + std::chrono::seconds(*rc::gen::inRange(0, 20));
        if (this->queue.push(next)) {
            this->expected.emplace(next.ticket, next.team);
        }
    }

    // Entries of one random team cannot start. An entry must be returned whenever another team
    // waits.
    void pop()
    {
        const auto blocked = random_team();
        const bool startable =
            std::any_of(this->expected.begin(), this->expected.end(),
                        [&blocked](const auto& waiting) { return waiting.second != blocked; });
        const auto next =
            this->queue.pop([&](const auto& offered) { return offered.team != blocked; });
        RC_ASSERT(next.has_value() == startable);
        if (next) {
            RC_ASSERT(this->expected.erase(next->ticket) == 1U);
            this->queue.settle(next->team, next->work, *rc::gen::inRange(0, 3000));
        }
    }

    void remove()
    {
        const auto ticket = *rc::gen::inRange<ticket_number>(0, this->last + 2);
        RC_ASSERT(this->queue.remove(ticket) == (this->expected.erase(ticket) == 1U));
    }

    void expire()
    {
        this->now += std::chrono::seconds(*rc::gen::inRange(0, 5));
        for (const auto& late : this->queue.expire(this->now)) {
            RC_ASSERT(late.deadline <= this->now);
            RC_ASSERT(this->expected.erase(late.ticket) == 1U);
        }
        RC_ASSERT(!this->queue.next_deadline() || *this->queue.next_deadline() > this->now);
    }

    fair_queue queue{{40, 15, 0.5, 4, 10'000.0}};
    std::map<ticket_number, std::string> expected;
    ticket_number last = 0;
    instant now{};
};

} // namespace

TEST(fair_queue_test, served_work_of_two_backlogged_teams_stays_within_the_bound)
{
    CHECK_TRUE(rc::check("fairness bound", two_backlogged_teams_stay_within_the_bound));
}

TEST(fair_queue_test, no_entry_is_lost_returned_twice_or_withheld_while_it_can_start)
{
    CHECK_TRUE(rc::check("each entry once", [] {
        simulated_queue simulated;
        const auto calls = *rc::gen::inRange(0, 200);
        for (int call = 0; call < calls; ++call) {
            simulated.simulate_one_call();
        }
        simulated.drain_the_rest();
    }));
}
