#include "zone_fleet.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// What an endpoint tolerates from one router while it wants nothing from it.
constexpr std::size_t tolerated = 2;

constexpr auto rest = seconds(3);

// Nine routers, twelve endpoints, and as much load as an ordinary day brings.
zone_fleet_options small_fleet()
{
    zone_fleet_options options;
    options.routers = 9;
    options.endpoints_per_zone = 3;
    options.requests_per_s = 70.0;
    return options;
}

} // namespace

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with many
// routers.
TEST_GROUP(endpoint_rests){void setup()
                               override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against an endpoint that refuses everything, is therefore empty, and therefore looks like
// the best choice for each next request.
TEST(endpoint_rests, endpoints_that_ask_for_rest_get_it_and_callers_are_served_by_the_others)
{
    zone_fleet fleet(small_fleet());
    for (const auto* const zone : {"z0", "z1", "z2", "z3"}) {
        fleet.set_refusing(zone, 1, rest);
    }
    fleet.simulate(seconds(9));
    CHECK_COMPARE(fleet.most_in_a_rest(), <=, tolerated);
    LONGS_EQUAL(0, fleet.refused);
}

// Guards against a rest that is kept too long.
TEST(endpoint_rests, endpoints_get_requests_again_after_their_rest)
{
    zone_fleet fleet(small_fleet());
    fleet.set_refusing("z0", 3, rest);
    fleet.simulate(seconds(4));
    fleet.set_refusing("z0", 3, std::nullopt);
    fleet.simulate(rest);
    const auto from = fleet.now;
    fleet.simulate(seconds(4));
    CHECK_COMPARE(fleet.started_in("z0", from), >=, std::size_t{40}); // a quarter would be 70
}

// Guards against a router that takes a rest that was asked of it for all routers': the others
// spread what it may not send.
TEST(endpoint_rests, a_rest_concerns_the_router_that_was_asked_for_it)
{
    zone_fleet fleet(small_fleet());
    fleet.set_refusing("z0", 3, rest);
    fleet.simulate(milliseconds(50));
    fleet.set_refusing("z0", 3, std::nullopt);
    const auto from = fleet.now;
    fleet.simulate(seconds(2));
    CHECK_COMPARE(fleet.started_in("z0", from), >, std::size_t{0});
}
