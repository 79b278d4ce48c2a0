#include "zone_fleet.hpp"

#include <chrono>
#include <cstddef>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto window = seconds(4);

// What an endpoint tolerates within the window: half as much again as it accepts, and five.
std::size_t tolerated(double requests_per_s)
{
    constexpr double factor = 1.5;
    constexpr std::size_t slack = 5;
    const double stated = requests_per_s * std::chrono::duration<double>(window).count();
    return static_cast<std::size_t>(factor * stated) + slack;
}

// Nine routers, twelve endpoints, and as much load as an ordinary day brings.
zone_fleet_options small_fleet()
{
    zone_fleet_options options;
    options.routers = 9;
    options.endpoints_per_zone = 3;
    options.requests_per_s = 70.0;
    return options;
}

zone_fleet_options large_fleet()
{
    zone_fleet_options options;
    options.routers = 40;
    options.endpoints_per_zone = 8;
    options.requests_per_s = 300.0;
    return options;
}

// The most requests that an endpoint gets within the window while `count` endpoints of one zone
// state a limit.
std::size_t most_at_limited_endpoints(const zone_fleet_options& options, std::size_t count,
                                      double requests_per_s)
{
    zone_fleet fleet(options);
    fleet.state_limit("z0", count, requests_per_s);
    const auto stated = fleet.now;
    fleet.simulate(seconds(12));
    LONGS_EQUAL(0, fleet.refused);
    return fleet.most_from_told_routers(stated, window);
}

} // namespace

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with many
// routers.
TEST_GROUP(request_limits){void setup()
                               override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against routers that go on using an endpoint in need as before.
TEST(request_limits, nine_routers_together_keep_to_the_rate_that_an_endpoint_states)
{
    CHECK_COMPARE(most_at_limited_endpoints(small_fleet(), 1, 1.0), <=, tolerated(1.0));
    CHECK_COMPARE(most_at_limited_endpoints(small_fleet(), 1, 1.8), <=, tolerated(1.8));
}

// Guards against a limit that each router keeps to by itself.
TEST(request_limits, many_routers_together_keep_to_the_rates_that_the_endpoints_of_a_zone_state)
{
    const auto options = large_fleet();
    CHECK_COMPARE(most_at_limited_endpoints(options, options.endpoints_per_zone, 1.0), <=,
                  tolerated(1.0));
    CHECK_COMPARE(most_at_limited_endpoints(options, options.endpoints_per_zone, 4.0), <=,
                  tolerated(4.0));
}

// Guards against a limit that relies on what the others report.
TEST(request_limits, routers_that_hear_nothing_from_each_other_keep_to_a_stated_rate)
{
    auto options = large_fleet();
    options.peers_are_heard = false;
    CHECK_COMPARE(most_at_limited_endpoints(options, options.endpoints_per_zone, 2.0), <=,
                  tolerated(2.0));
}

// Guards against a limit that relies on exact knowledge of the fleet, as just after many restarts.
TEST(request_limits, routers_that_know_a_third_too_few_others_keep_to_a_stated_rate)
{
    auto options = small_fleet();
    options.believed_size = 2.0 / 3.0;
    CHECK_COMPARE(most_at_limited_endpoints(options, 1, 2.0), <=, tolerated(2.0));
}

// Guards against an endpoint that is taken out of use by its limit.
TEST(request_limits, a_limited_endpoint_still_gets_requests)
{
    zone_fleet fleet(small_fleet());
    fleet.state_limit("z0", 3, 2.0);
    fleet.simulate(seconds(5));
    const auto from = fleet.now;
    fleet.simulate(seconds(20));
    // A quarter of what the three endpoints accept.
    CHECK_COMPARE(fleet.started_in("z0", from), >=, std::size_t{30});
}

// Guards against a limit that outlives its endpoint's need, since each router asks only now and
// then.
TEST(request_limits, an_endpoint_without_its_limit_gets_its_share_again)
{
    const auto options = large_fleet();
    zone_fleet fleet(options);
    fleet.state_limit("z0", options.endpoints_per_zone, 1.0);
    fleet.simulate(seconds(10));
    fleet.state_limit("z0", options.endpoints_per_zone, std::nullopt);
    fleet.simulate(seconds(6));
    const auto from = fleet.now;
    fleet.simulate(seconds(4));
    const auto share =
        static_cast<double>(fleet.started_in("z0", from)) / (4.0 * options.requests_per_s);
    CHECK_COMPARE(share, >=, 0.15); // of a quarter
}
