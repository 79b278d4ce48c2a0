#include "zone_fleet.hpp"

#include <chrono>
#include <cstddef>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination::test;
using std::chrono::seconds;

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with many
// routers.
TEST_GROUP(leaving_endpoints){
    void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against routers that rely on the host list to learn that an endpoint is leaving.
TEST(leaving_endpoints, routers_that_passed_on_a_leaving_answer_send_nothing_more)
{
    zone_fleet_options options;
    options.routers = 9;
    options.endpoints_per_zone = 3;
    options.requests_per_s = 70.0;
    zone_fleet fleet(options);
    fleet.state_leaving("z0", 3);
    const auto from = fleet.now;
    fleet.simulate(seconds(8));
    LONGS_EQUAL(0, fleet.most_from_told_routers(from, seconds(8)));
    LONGS_EQUAL(0, fleet.refused);
}
