#include "request_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr std::size_t routers = 78;
constexpr turn_place only_router{7, 0, 1};

// What an endpoint tolerates in four seconds: half as much again as it accepts, and five.
constexpr double rate = 4.0;
constexpr std::size_t tolerated = 29;

bool may_send(const request_limit& limit, instant now)
{
    return limit.opens_at(now) <= now;
}

// Routers that all know of an endpoint's limit and always have a request for it.
class willing_routers {
public:
    willing_routers() : limits(routers)
    {
        for (std::size_t rank = 0; rank < routers; ++rank) {
            this->limits[rank].on_answer(rate, start, start + milliseconds(1), {7, rank, routers});
        }
    }

    void send_all(instant from, instant until)
    {
        for (auto now = from; now < until; now += milliseconds(10)) {
            for (auto& limit : this->limits) {
                if (may_send(limit, now)) {
                    limit.on_started(now);
                    this->sent.push_back(now);
                }
            }
        }
    }

    void set_fleet_size(std::size_t size, instant now)
    {
        for (auto& limit : this->limits) {
            limit.set_fleet_size(size, now);
        }
    }

    [[nodiscard]] std::size_t most_in_four_seconds() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < this->sent.size(); ++last) {
            while (this->sent[last] - this->sent[first] >= seconds(4)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<instant> sent;

private:
    std::vector<request_limit> limits;
};

} // namespace

TEST_GROUP(request_limit){};

TEST(request_limit, the_last_stated_rate_applies)
{
    request_limit limit;
    CHECK_FALSE(limit.rate().has_value());
    CHECK_TRUE(limit.on_answer(2.0, start, start + milliseconds(10), only_router));
    CHECK_FALSE(limit.on_answer(2.0, start, start + milliseconds(20), only_router));
    CHECK_TRUE(limit.on_answer(1.5, start, start + milliseconds(30), only_router));
    CHECK_TRUE(limit.rate() == 1.5);
}

// Guards against an answer that was made before the limit and overtaken by one with the limit.
TEST(request_limit, a_limit_ends_with_the_answer_to_a_later_request)
{
    request_limit limit;
    limit.on_answer(2.0, start, start + seconds(1), only_router);
    CHECK_FALSE(
        limit.on_answer(std::nullopt, start + milliseconds(900), start + seconds(2), only_router));
    CHECK_TRUE(limit.rate() == 2.0);
    CHECK_TRUE(limit.on_answer(std::nullopt, start + seconds(2), start + seconds(3), only_router));
    CHECK_FALSE(limit.rate().has_value());
    CHECK_TRUE(may_send(limit, start + seconds(3)));
}

TEST(request_limit, routers_that_all_want_an_endpoint_stay_below_its_rate_and_use_it)
{
    willing_routers all;
    all.send_all(start, start + seconds(40));
    CHECK_COMPARE(all.most_in_four_seconds(), <=, tolerated);
    CHECK_COMPARE(all.sent.size(), >=, std::size_t{100});
}

// Guards against turns that all begin at once because the fleet's size, by which they are divided,
// changes after a long time.
TEST(request_limit, a_change_of_the_fleet_s_size_brings_no_burst)
{
    willing_routers all;
    auto now = start + std::chrono::hours(1);
    for (const std::size_t size : {routers - 1, routers, routers - 2, routers + 5, routers}) {
        all.set_fleet_size(size, now);
        all.send_all(now, now + seconds(4));
        now += seconds(4);
    }
    CHECK_COMPARE(all.most_in_four_seconds(), <=, tolerated);
}

// Guards against an endpoint that is never asked again after it has stated that it takes nothing.
TEST(request_limit, an_endpoint_with_a_limit_of_zero_is_asked_now_and_then)
{
    request_limit limit;
    limit.on_answer(0.0, start, start + milliseconds(1), only_router);
    CHECK_FALSE(may_send(limit, start + seconds(1)));
    const auto opens = limit.opens_at(start + seconds(1));
    CHECK_TRUE(may_send(limit, opens + milliseconds(1)));
    CHECK_TRUE(opens < start + seconds(60));
}

TEST(request_limit, the_newest_statement_applies_whichever_router_received_it)
{
    request_limit limit;
    limit.on_peer(3.0, start, start + milliseconds(50), only_router);
    CHECK_TRUE(limit.rate() == 3.0);
    limit.on_peer(std::nullopt, start - seconds(1), start + milliseconds(60), only_router);
    CHECK_TRUE(limit.rate() == 3.0);
    limit.on_peer(std::nullopt, start + seconds(1), start + seconds(2), only_router);
    CHECK_FALSE(limit.rate().has_value());
    limit.on_peer(3.0, start, start + seconds(3), only_router);
    CHECK_FALSE(limit.rate().has_value());
    const auto report = limit.report(start + seconds(4));
    CHECK_TRUE(report.has_value() && !report->rate && report->age == seconds(3));
    CHECK_FALSE(limit.report(start + seconds(60)).has_value());
}

// Guards against routers that keep a limit alive by telling each other of it.
TEST(request_limit, a_statement_ages_while_peers_repeat_it)
{
    request_limit limit;
    limit.on_answer(3.0, start, start, only_router);
    for (int repeat = 1; repeat <= 10; ++repeat) {
        const auto now = start + repeat * milliseconds(400);
        limit.on_peer(3.0, now - limit.report(now)->age + milliseconds(100), now, only_router);
    }
    CHECK_TRUE(limit.report(start + seconds(4))->age == seconds(4));
}

// Guards against arithmetic with rates that no endpoint means.
TEST(request_limit, a_very_high_rate_is_no_limit)
{
    request_limit limit;
    limit.on_answer(1e308, start, start, only_router);
    CHECK_TRUE(may_send(limit, start + std::chrono::hours(1'000)));
}
