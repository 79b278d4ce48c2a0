#include "cold_start.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t routers = 78;
constexpr double declared_rate = 11.0;

// What a fleet may send to a cold endpoint in any second: half as much again as it tolerates, and
// five.
constexpr std::size_t max_in_a_second = 21;

constexpr instant start{seconds(100)};

// Routers that all learn that an endpoint is cold, and want to send to it from some moment on.
class willing_routers {
public:
    willing_routers() : limits(routers)
    {
        for (auto& limit : this->limits) {
            limit.begin(start, seconds(3));
        }
    }

    void send_all(instant from, instant until)
    {
        for (auto now = from; now < until; now += milliseconds(10)) {
            for (std::size_t rank = 0; rank < routers; ++rank) {
                const cold_share share{declared_rate, {7, rank, routers}};
                if (this->limits[rank].may_send(share, now)) {
                    this->limits[rank].on_started(share, now);
                    this->sent.push_back(now);
                }
            }
        }
    }

    [[nodiscard]] std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < this->sent.size(); ++last) {
            while (this->sent[last] - this->sent[first] >= seconds(1)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<instant> sent;

private:
    std::vector<cold_start> limits;
};

} // namespace

TEST_GROUP(cold_start){};

TEST(cold_start, routers_that_all_want_a_cold_endpoint_stay_below_its_rate)
{
    willing_routers all;
    all.send_all(start, start + seconds(3));
    CHECK_COMPARE(all.most_in_a_second(), <=, max_in_a_second);
    CHECK_COMPARE(all.sent.size(), >=, 20);
}

// Guards against a burst at an endpoint that nobody wanted at first, such as one that a load trial
// begins to fill while it is cold.
TEST(cold_start, turns_that_were_not_used_do_not_add_up)
{
    willing_routers all;
    all.send_all(start + milliseconds(2'200), start + seconds(3));
    CHECK_COMPARE(all.most_in_a_second(), <=, max_in_a_second);
    CHECK_COMPARE(all.sent.size(), >, 0);
}

TEST(cold_start, an_endpoint_without_a_rate_or_a_cold_period_is_not_limited)
{
    cold_start limit;
    CHECK_TRUE(limit.may_send({declared_rate, {7, 3, routers}}, start));
    limit.begin(start, seconds(3));
    CHECK_TRUE(limit.may_send({0.0, {7, 3, routers}}, start));
    CHECK_TRUE(limit.may_send({declared_rate, {7, 3, routers}}, start + seconds(6)));
}
