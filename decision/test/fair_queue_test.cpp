#include "pearhaven/decision/fair_queue.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "property.hpp"

using namespace pearhaven::decision;

namespace {

constexpr instant far_off{std::chrono::hours(1)};

bool any(const queue_entry& /*entry*/)
{
    return true;
}

queue_entry entry_of(ticket_number ticket, const std::string& team, work_class kind, double work)
{
    return {ticket, team, 1.0, kind, 5, work, far_off};
}

// Takes out up to `count` entries and tells in which order they came.
std::vector<ticket_number> drain(fair_queue& queue, std::size_t count)
{
    std::vector<ticket_number> order;
    while (order.size() < count) {
        const auto next = queue.pop(any);
        if (!next) {
            break;
        }
        order.push_back(next->ticket);
    }
    return order;
}

std::size_t position(const std::vector<ticket_number>& order, ticket_number ticket)
{
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), ticket) - order.begin());
}

} // namespace

TEST_GROUP(fair_queue_test){};

TEST(fair_queue_test, a_team_with_one_entry_does_not_wait_for_another_teams_burst)
{
    // A caller of a small team waits behind a large team's burst. The large team queues 500
    // readings, then the small team sends one lookup. First come, first served, it would wait for
    // all 500.
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 500; ++ticket) {
        queue.push(entry_of(ticket, "large", work_class::reading, 1000.0));
    }
    drain(queue, 1);
    queue.push(entry_of(1000, "small", work_class::lookup, 50.0));
    CHECK_EQUAL(0U, position(drain(queue, 3), 1000));
}

TEST(fair_queue_test, backlogged_teams_share_by_weight)
{
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 400; ++ticket) {
        queue_entry next =
            entry_of(ticket, ticket % 2 == 0 ? "heavy" : "light", work_class::reading, 100.0);
        next.weight = ticket % 2 == 0 ? 3.0 : 1.0;
        queue.push(next);
    }
    const auto order = drain(queue, 200);
    const auto heavy =
        std::count_if(order.begin(), order.end(), [](auto ticket) { return ticket % 2 == 0; });
    CHECK_EQUAL(150, heavy);
}

TEST(fair_queue_test, a_lookup_goes_ahead_of_its_own_teams_readings)
{
    // The caller of a quick lookup waits while the team pays for a reading. Two teams always have
    // readings queued; one of them has just started a long one, so that its share is used up for a
    // while. Its lookup must not wait until the other team has caught up.
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 200; ++ticket) {
        queue.push(entry_of(ticket, ticket % 2 == 0 ? "one" : "two", work_class::reading,
                            ticket == 0 ? 50'000.0 : 500.0));
    }
    drain(queue, 5);
    queue.push(entry_of(1000, "one", work_class::lookup, 50.0));
    CHECK_EQUAL(0U, position(drain(queue, 10), 1000));
}

TEST(fair_queue_test, lookups_do_not_starve_their_own_teams_readings)
{
    fair_queue queue({});
    queue.push(entry_of(1000, "one", work_class::reading, 500.0));
    for (ticket_number ticket = 0; ticket < 200; ++ticket) {
        queue.push(entry_of(ticket, "one", work_class::lookup, 50.0));
    }
    CHECK_TRUE(position(drain(queue, 200), 1000) < 25);
}

TEST(fair_queue_test, lookups_that_went_alone_owe_nothing_when_readings_come)
{
    // The caller of a lookup waits for seconds after its team begins to send readings. The team
    // sent only lookups for long; were these counted against the lookups' part, the readings would
    // now go first until they had made up for all of it.
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 500; ++ticket) {
        queue.push(entry_of(ticket, "one", work_class::lookup, 50.0));
    }
    drain(queue, 490);
    for (ticket_number ticket = 1000; ticket < 1040; ++ticket) {
        queue.push(entry_of(ticket, "one", work_class::reading, 500.0));
    }
    const auto order = drain(queue, 4);
    CHECK_TRUE(std::any_of(order.begin(), order.end(), [](auto ticket) { return ticket < 1000; }));
}

TEST(fair_queue_test, an_underestimate_is_charged_once_the_work_is_known)
{
    // Callers of an honest team wait, since another team states tiny answers and receives long
    // ones. Each of its entries is charged as 10 and turns out to be 1,000.
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 400; ++ticket) {
        queue.push(ticket % 2 == 0 ? entry_of(ticket, "understating", work_class::reading, 10.0)
                                   : entry_of(ticket, "honest", work_class::reading, 1000.0));
    }
    std::map<std::string, int> served;
    for (int round = 0; round < 100; ++round) {
        const auto next = queue.pop(any);
        ++served[next->team];
        queue.settle(next->team, next->work, 1000.0);
    }
    CHECK_EQUAL(50, served["understating"]);
    CHECK_EQUAL(50, served["honest"]);
}

TEST(fair_queue_test, work_that_did_not_run_is_given_back)
{
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 20; ++ticket) {
        queue.push(entry_of(ticket, ticket % 2 == 0 ? "refused" : "other", work_class::reading,
                            ticket == 0 ? 100'000.0 : 1000.0));
    }
    const auto first = queue.pop(any);
    queue.settle(first->team, first->work, 0.0);
    const auto order = drain(queue, 10);
    CHECK_EQUAL(
        5, std::count_if(order.begin(), order.end(), [](auto ticket) { return ticket % 2 == 0; }));
}

TEST(fair_queue_test, idle_time_is_not_saved_up)
{
    // Callers of a busy team wait after a team that was idle for long comes back with a burst.
    // Without the present as the starting point, the burst would go first until it had made up for
    // all the time in which it sent nothing.
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 300; ++ticket) {
        queue.push(entry_of(ticket, "busy", work_class::reading, 1000.0));
    }
    drain(queue, 100);
    for (ticket_number ticket = 1000; ticket < 1100; ++ticket) {
        queue.push(entry_of(ticket, "back", work_class::reading, 1000.0));
    }
    const auto order = drain(queue, 40);
    const auto busy =
        std::count_if(order.begin(), order.end(), [](auto ticket) { return ticket < 1000; });
    CHECK_TRUE(busy >= 19);
}

TEST(fair_queue_test, idle_time_of_a_teams_lookups_is_not_saved_up)
{
    // Callers of another team wait behind a burst of lookups. The bursting team sent only readings
    // for long. Did its lookups still start from that time, they would all go first.
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 600; ++ticket) {
        queue.push(
            entry_of(ticket, ticket % 2 == 0 ? "bursting" : "other", work_class::reading, 1000.0));
    }
    drain(queue, 200);
    for (ticket_number ticket = 1000; ticket < 1400; ++ticket) {
        queue.push(entry_of(ticket, "bursting", work_class::lookup, 200.0));
    }
    const auto order = drain(queue, 100);
    const auto other = std::count_if(order.begin(), order.end(),
                                     [](auto ticket) { return ticket < 1000 && ticket % 2 == 1; });
    CHECK_TRUE(other >= 10);
}

TEST(fair_queue_test, a_debt_is_kept_until_the_work_is_known)
{
    // Callers of small teams wait, since a large one is charged for too little. Its entry was
    // estimated at 1 and runs for long; until it ends, many other teams come and go. Were the idle
    // team's account dropped meanwhile, the real work would be charged to nobody.
    fair_queue queue({});
    queue.push(entry_of(0, "large", work_class::reading, 1.0));
    drain(queue, 1);
    for (ticket_number ticket = 1; ticket < 500; ++ticket) {
        const auto team = std::to_string(ticket);
        queue.push(entry_of(2 * ticket, team, work_class::reading, 1.0));
        queue.push(entry_of(2 * ticket + 1, team, work_class::reading, 1.0));
        drain(queue, 2);
        queue.settle(team, 1.0, 1.0);
        queue.settle(team, 1.0, 1.0);
    }
    queue.settle("large", 1.0, 10'000.0);
    queue.push(entry_of(2000, "large", work_class::reading, 100.0));
    for (ticket_number ticket = 2001; ticket < 2011; ++ticket) {
        queue.push(entry_of(ticket, "small", work_class::reading, 100.0));
    }
    CHECK_EQUAL(10U, position(drain(queue, 11), 2000));
}

TEST(fair_queue_test, a_team_that_was_held_up_catches_up_only_within_its_credit)
{
    // Callers of all other teams wait after a pool comes back. One team could not start, since its
    // version had no room; meanwhile the others went on elsewhere. Without a bound it would now
    // take every slot until it had caught up with all of that.
    fair_queue queue({4096, 1024, 0.5, 4, 10'000.0});
    for (ticket_number ticket = 0; ticket < 1000; ++ticket) {
        queue.push(
            entry_of(ticket, ticket % 2 == 0 ? "held" : "other", work_class::reading, 1000.0));
    }
    for (int round = 0; round < 300; ++round) {
        queue.pop([](const auto& next) { return next.team == "other"; });
    }
    const auto order = drain(queue, 100);
    const auto held =
        std::count_if(order.begin(), order.end(), [](auto ticket) { return ticket % 2 == 0; });
    CHECK_TRUE(held >= 50);
    CHECK_TRUE(held <= 60);
}

TEST(fair_queue_test, a_teams_entries_go_by_priority_then_by_arrival)
{
    fair_queue queue({});
    queue_entry urgent = entry_of(3, "one", work_class::lookup, 10.0);
    urgent.priority = 0;
    queue.push(entry_of(1, "one", work_class::lookup, 10.0));
    queue.push(entry_of(2, "one", work_class::lookup, 10.0));
    queue.push(urgent);
    CHECK_TRUE((std::vector<ticket_number>{3, 1, 2}) == drain(queue, 3));
}

TEST(fair_queue_test, a_priority_counts_only_within_the_team)
{
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 20; ++ticket) {
        queue_entry next =
            entry_of(ticket, ticket % 2 == 0 ? "urgent" : "plain", work_class::lookup, 10.0);
        next.priority = ticket % 2 == 0 ? 0 : 9;
        queue.push(next);
    }
    const auto order = drain(queue, 10);
    CHECK_EQUAL(
        5, std::count_if(order.begin(), order.end(), [](auto ticket) { return ticket % 2 == 0; }));
}

TEST(fair_queue_test, entries_that_cannot_start_are_passed_over_as_deep_as_the_settings_say)
{
    fair_queue_settings settings;
    settings.scan_depth = 2;
    fair_queue queue(settings);
    for (ticket_number ticket = 1; ticket <= 3; ++ticket) {
        queue.push(entry_of(ticket, "one", work_class::reading, 10.0));
    }
    const auto only = [](ticket_number wanted) {
        return [wanted](const queue_entry& next) { return next.ticket == wanted; };
    };
    CHECK_FALSE(queue.pop(only(3)).has_value());
    CHECK_EQUAL(2U, queue.pop(only(2))->ticket);
}

TEST(fair_queue_test, a_full_queue_and_a_team_over_its_part_are_refused)
{
    fair_queue queue({3, 2, 0.5, 4, 1000.0});
    CHECK_TRUE(queue.push(entry_of(1, "one", work_class::lookup, 1.0)));
    CHECK_TRUE(queue.push(entry_of(2, "one", work_class::lookup, 1.0)));
    CHECK_FALSE(queue.push(entry_of(3, "one", work_class::lookup, 1.0)));
    CHECK_TRUE(queue.push(entry_of(4, "two", work_class::lookup, 1.0)));
    CHECK_FALSE(queue.push(entry_of(5, "three", work_class::lookup, 1.0)));
}

TEST(fair_queue_test, a_ticket_waits_once)
{
    fair_queue queue({});
    CHECK_TRUE(queue.push(entry_of(1, "one", work_class::lookup, 1.0)));
    CHECK_FALSE(queue.push(entry_of(1, "two", work_class::lookup, 1.0)));
    CHECK_EQUAL(1U, queue.size());
}

TEST(fair_queue_test, entries_past_their_deadline_are_taken_out_in_its_order)
{
    fair_queue queue({});
    for (ticket_number ticket = 1; ticket <= 3; ++ticket) {
        queue_entry next = entry_of(ticket, "one", work_class::lookup, 1.0);
        next.deadline = instant(std::chrono::seconds(10 - ticket));
        queue.push(next);
    }
    CHECK_TRUE(instant(std::chrono::seconds(7)) == *queue.next_deadline());
    const auto late = queue.expire(instant(std::chrono::seconds(8)));
    CHECK_EQUAL(2U, late.size());
    CHECK_EQUAL(3U, late.front().ticket);
    CHECK_EQUAL(1U, queue.size("one"));
    DOUBLES_EQUAL(1.0, queue.queued_work(), 1e-9);
}

TEST(fair_queue_test, entries_without_work_still_take_turns)
{
    fair_queue queue({});
    for (ticket_number ticket = 0; ticket < 20; ++ticket) {
        queue.push(entry_of(ticket, ticket < 10 ? "none" : "some", work_class::lookup,
                            ticket < 10 ? 0.0 : 1.0));
    }
    const auto order = drain(queue, 10);
    CHECK_EQUAL(5,
                std::count_if(order.begin(), order.end(), [](auto ticket) { return ticket < 10; }));
}

namespace {

constexpr double largest_work = 2000.0;

// Served work over weight may differ by what two entries of each team cost: the one that goes first
// and a lookup that goes ahead of its team's account, at the lookups' part of the share.
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
    return {ticket, team, weight, kind, priority, work, far_off};
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

void a_start_is_found_wherever_one_is_in_reach()
{
    fair_queue_settings settings;
    settings.scan_depth = 1000;
    fair_queue queue(settings);
    std::map<ticket_number, queue_entry> model;
    const auto count = *rc::gen::inRange<ticket_number>(1, 60);
    for (ticket_number ticket = 1; ticket <= count; ++ticket) {
        const auto team = std::to_string(*rc::gen::inRange(0, 5));
        model[ticket] = random_entry(ticket, team, 1.0);
        queue.push(model[ticket]);
    }
    const auto startable =
        *rc::gen::container<std::set<ticket_number>>(rc::gen::inRange<ticket_number>(1, count + 1));
    std::set<ticket_number> popped;
    while (const auto next = queue.pop(
               [&](const auto& offered) { return startable.count(offered.ticket) > 0; })) {
        RC_ASSERT(popped.insert(next->ticket).second);
        RC_ASSERT(model.at(next->ticket) == *next);
    }
    RC_ASSERT(popped == startable);
    RC_ASSERT(queue.size() == model.size() - popped.size());
}

// Plays random calls on a queue beside the set of tickets that must be in it.
class played_queue {
public:
    void play_one_call()
    {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
        case 2:
            this->push();
            break;
        case 3:
            this->pop();
            break;
        case 4:
            this->remove();
            break;
        default:
            this->expire();
            break;
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
    void push()
    {
        queue_entry next = random_entry(++this->last, std::to_string(*rc::gen::inRange(0, 4)), 1.0);
        next.deadline = this->now + std::chrono::seconds(*rc::gen::inRange(0, 20));
        if (this->queue.push(next)) {
            this->expected.insert(next.ticket);
        }
    }

    void pop()
    {
        const auto blocked = std::to_string(*rc::gen::inRange(0, 4));
        const auto next =
            this->queue.pop([&](const auto& offered) { return offered.team != blocked; });
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
    std::set<ticket_number> expected;
    ticket_number last = 0;
    instant now{};
};

} // namespace

TEST_GROUP(fair_queue_properties){};

TEST(fair_queue_properties, served_work_of_two_backlogged_teams_stays_within_the_bound)
{
    CHECK_TRUE(holds("fairness bound", two_backlogged_teams_stay_within_the_bound));
}

TEST(fair_queue_properties, an_entry_that_can_start_is_found_and_handed_out_once)
{
    CHECK_TRUE(holds("work conservation", a_start_is_found_wherever_one_is_in_reach));
}

TEST(fair_queue_properties, no_entry_is_lost_or_handed_out_twice)
{
    CHECK_TRUE(holds("each entry once", [] {
        played_queue played;
        const auto calls = *rc::gen::inRange(0, 200);
        for (int call = 0; call < calls; ++call) {
            played.play_one_call();
        }
        played.drain_the_rest();
    }));
}
