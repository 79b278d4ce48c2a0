#include "../src/refusal_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr double capacity = 6.0;

// The number of requests that a router may have at an endpoint when nothing is known of the others.
std::size_t places_of(const refusal_budget& budget, const refusal_place& place, instant now)
{
    std::size_t own = 0;
    while (own < 100 && budget.may_send({static_cast<double>(own), static_cast<double>(own)},
                                        capacity, place, {}, now)) {
        ++own;
    }
    return own;
}

} // namespace

TEST_GROUP(refusal_budget){};

TEST(refusal_budget, endpoint_is_brittle_until_a_later_answer_states_nothing)
{
    refusal_budget budget;
    CHECK_FALSE(budget.is_brittle({}, start));
    CHECK_TRUE(budget.on_answer(5.0, start, start + milliseconds(50)));
    CHECK_TRUE(budget.is_brittle({}, start + milliseconds(50)));
    CHECK_FALSE(budget.on_answer(std::nullopt, start, start + milliseconds(60)));
    CHECK_TRUE(budget.is_brittle({}, start + milliseconds(60)));
    CHECK_TRUE(budget.on_answer(std::nullopt, start + milliseconds(70), start + milliseconds(80)));
    CHECK_FALSE(budget.is_brittle({}, start + milliseconds(80)));
}

// Guards against a statement of which a router hears only by its own answers.
TEST(refusal_budget, statement_of_a_peer_applies)
{
    refusal_budget budget;
    budget.on_peer(5.0, start);
    CHECK_TRUE(budget.is_brittle({}, start));
    CHECK_TRUE(budget.limit() == 5.0);
}

// Guards against a rush on an endpoint that has crashed and returned under a new name.
TEST(refusal_budget, endpoint_that_has_not_answered_is_as_brittle_as_its_group)
{
    brittle_group group;
    group.on_statement(5.0, start);
    refusal_budget budget;
    CHECK_TRUE(budget.is_brittle(group, start + seconds(1)));
    CHECK_TRUE(budget.may_send({0.0, 0.0}, capacity, {}, group, start + seconds(1)));
    CHECK_FALSE(budget.may_send({1.0, 1.0}, capacity, {}, group, start + seconds(1)));
    budget.on_answer(std::nullopt, start + seconds(1), start + seconds(2));
    CHECK_FALSE(budget.is_brittle(group, start + seconds(2)));
    CHECK_FALSE(refusal_budget().is_brittle(group, start + seconds(20)));
}

// Guards against many routers that each send a request to an endpoint that has just returned.
TEST(refusal_budget, routers_share_the_room_of_an_endpoint_that_has_not_answered)
{
    constexpr std::size_t routers = 78;
    brittle_group group;
    group.on_statement(5.0, start);
    for (int period = 0; period < 40; ++period) {
        const auto now = start + milliseconds(200) * period;
        std::size_t all = 0;
        for (std::size_t rank = 0; rank < routers; ++rank) {
            all += refusal_budget().may_send({}, capacity, {rank, routers, 0}, group, now) ? 1 : 0;
        }
        CHECK_COMPARE(all, <=, std::size_t{6});
        CHECK_COMPARE(all, >=, std::size_t{1});
    }
}

// Guards against routers that together offer an endpoint more than it has room for.
TEST(refusal_budget, routers_share_the_room_of_an_endpoint)
{
    refusal_budget budget;
    budget.on_answer(5.0, start, start + milliseconds(1));
    for (int period = 0; period < 50; ++period) {
        const auto now = start + milliseconds(200) * period;
        std::size_t all = 0;
        for (std::size_t rank = 0; rank < 9; ++rank) {
            all += places_of(budget, {rank, 9, 0}, now);
        }
        CHECK_COMPARE(all, <=, std::size_t{6});
        CHECK_COMPARE(all, >=, std::size_t{4});
    }
}

// Guards against a router that never gets a place, since there are fewer places than routers.
TEST(refusal_budget, each_of_many_routers_gets_a_place_within_a_few_seconds)
{
    refusal_budget budget;
    budget.on_answer(5.0, start, start + milliseconds(1));
    for (std::size_t rank = 0; rank < 40; ++rank) {
        std::size_t places = 0;
        for (int period = 0; period < 25; ++period) {
            places += places_of(budget, {rank, 40, 0}, start + milliseconds(200) * period);
        }
        CHECK_COMPARE(places, >=, std::size_t{1});
    }
}

// Guards against refusals that one router causes one after the other.
TEST(refusal_budget, router_waits_after_its_second_refusal)
{
    refusal_budget budget;
    budget.on_answer(5.0, start, start + milliseconds(1));
    budget.on_refused({1.0, 3.0}, capacity, start + milliseconds(10));
    CHECK_TRUE(budget.opens_at(9, {}, start + milliseconds(10)) == start + milliseconds(10));
    budget.on_refused({1.0, 3.0}, capacity, start + milliseconds(20));
    CHECK_TRUE(budget.opens_at(9, {}, start + milliseconds(20)) > start + seconds(4));
}

// Guards against an endpoint that survives no refusal and is left unused for ever after one.
TEST(refusal_budget, wait_after_refusals_is_bounded)
{
    refusal_budget budget;
    budget.on_answer(0.0, start, start + milliseconds(1));
    budget.on_refused({1.0, 3.0}, capacity, start);
    budget.on_refused({1.0, 3.0}, capacity, start);
    CHECK_TRUE(budget.opens_at(9, {}, start) <= start + seconds(20));
}

TEST(refusal_budget, room_shrinks_with_a_refusal_and_recovers)
{
    reduced_room room(1.0);
    room.on_refused(20.0, 0.0, 64.0, start);
    CHECK_COMPARE(room.requests(64.0, start), <, 20.0);
    room.on_finished(16.0);
    CHECK_COMPARE(room.requests(64.0, start), <, 20.0);
    CHECK_COMPARE(room.requests(64.0, start + seconds(60)), >=, 64.0);
    const auto known = room.report(start + seconds(1));
    CHECK_TRUE(known.has_value());
    reduced_room of_peer(1.0);
    of_peer.on_peer(known.value().requests, start);
    CHECK_TRUE(of_peer.requests(64.0, start) == room.requests(64.0, start));
    CHECK_FALSE(of_peer.report(start + seconds(1)).has_value());
}
