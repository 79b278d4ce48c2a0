#include "zone_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// What a fleet may send to a cold endpoint in any second: half as much again as it tolerates, and
// five.
constexpr double cold_rate = 11.0;
constexpr std::size_t max_at_cold_endpoint = 21;

constexpr auto learning_delay = milliseconds(600);

// A fleet at four times its usual load, so that endpoints in use are busy and a new one attracts
// requests.
zone_fleet_options with_cold_rate()
{
    zone_fleet_options options;
    options.cold_requests_per_s = cold_rate;
    options.requests_per_s = 1600.0;
    return options;
}

// That many endpoints of one zone return cold while all others are in use.
std::size_t most_at_returning_endpoints(std::size_t count, const zone_fleet_options& options)
{
    zone_fleet fleet(options);
    fleet.lose("z0", count);
    fleet.simulate(seconds(1));
    const auto returned = fleet.now;
    fleet.return_cold("z0", count, learning_delay);
    fleet.simulate(zone_fleet::cold_time);
    CHECK_COMPARE(fleet.started_in("z0", returned), >, 0);
    LONGS_EQUAL(0, fleet.refused);
    return fleet.most_in_a_second_since_return();
}

} // namespace

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with many
// routers.
TEST_GROUP(zone_changes){void setup()
                             override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against a herd: every router finds the endpoint that has just returned the emptiest.
TEST(zone_changes, many_routers_do_not_overrun_an_endpoint_that_returns_cold)
{
    CHECK_COMPARE(most_at_returning_endpoints(1, with_cold_rate()), <=, max_at_cold_endpoint);
}

TEST(zone_changes, many_routers_do_not_overrun_a_zone_that_returns_cold)
{
    auto options = with_cold_rate();
    options.requests_per_s = 800.0;
    CHECK_COMPARE(most_at_returning_endpoints(options.endpoints_per_zone, options), <=,
                  max_at_cold_endpoint);
}

// Guards against a limit that relies on exact knowledge of the fleet, as just after many restarts.
TEST(zone_changes, cold_endpoints_are_spared_by_routers_that_know_a_third_too_few_others)
{
    auto options = with_cold_rate();
    options.believed_size = 2.0 / 3.0;
    CHECK_COMPARE(most_at_returning_endpoints(1, options), <=, max_at_cold_endpoint);
}

// Guards against a limit that relies on what the others report.
TEST(zone_changes, cold_endpoints_are_spared_by_routers_that_hear_nothing_from_each_other)
{
    auto options = with_cold_rate();
    options.peers_are_heard = false;
    CHECK_COMPARE(most_at_returning_endpoints(1, options), <=, max_at_cold_endpoint);
}

// Guards against a herd at the moment at which the limit ends.
TEST(zone_changes, endpoints_that_are_not_cold_any_more_get_their_share_without_a_rush)
{
    auto options = with_cold_rate();
    options.requests_per_s = 800.0;
    zone_fleet fleet(options);
    fleet.lose("z0", options.endpoints_per_zone);
    fleet.simulate(seconds(1));
    fleet.return_cold("z0", options.endpoints_per_zone, learning_delay);
    fleet.simulate(zone_fleet::cold_time + seconds(1));
    const auto warm = fleet.now;
    fleet.simulate(seconds(4));
    CHECK_COMPARE(fleet.max_held, <=, std::size_t{usual_slots});
    const auto share =
        static_cast<double>(fleet.started_in("z0", warm)) / (4.0 * options.requests_per_s);
    CHECK_COMPARE(share, >=, 0.15); // of a quarter
    CHECK_COMPARE(share, <=, 0.4);
}

// A quarter of the endpoints is out of use in one moment, and all routers know it at once. Guards
// against the rest of the load at one zone or one endpoint.
TEST(zone_changes, the_requests_of_an_evacuated_zone_are_spread_over_the_others)
{
    zone_fleet fleet({});
    fleet.configure({"z0"}, learning_delay);
    fleet.simulate(learning_delay + milliseconds(10));
    const auto in_force = fleet.now;
    fleet.simulate(seconds(4));
    LONGS_EQUAL(0, fleet.started_in("z0", in_force));
    LONGS_EQUAL(0, fleet.refused);
    CHECK_COMPARE(fleet.max_held, <=, std::size_t{usual_slots});
    for (const auto* zone : {"z1", "z2", "z3"}) {
        const auto share = static_cast<double>(fleet.started_in(zone, in_force)) / (4.0 * 400.0);
        CHECK_COMPARE(share, >=, 0.2);
        CHECK_COMPARE(share, <=, 0.5);
    }
}

// Guards against a wait until the deadline, or a crash, when every zone is evacuated.
TEST(zone_changes, requests_are_refused_at_once_while_all_zones_are_evacuated)
{
    zone_fleet fleet({});
    fleet.configure({"z0", "z1", "z2", "z3"});
    fleet.simulate(milliseconds(10));
    const auto before = fleet.refused;
    fleet.simulate(seconds(1));
    CHECK_COMPARE(fleet.refused - before, >=, 390);
    fleet.configure({});
    fleet.simulate(milliseconds(100));
    const auto restored = fleet.refused;
    fleet.simulate(seconds(1));
    LONGS_EQUAL(restored, fleet.refused);
}

// Guards against a plain service's endpoint that goes down and up by turns, accepting connections
// and dropping them meanwhile: it answers fastest, looks the least loaded, and each of the routers
// loses requests there that cannot be sent again.
TEST(zone_changes, few_routers_lose_requests_to_an_endpoint_that_drops_them)
{
    constexpr int turns = 4;
    zone_fleet_options options;
    options.endpoints_per_zone = 1;
    options.requests_per_s = 140.0;
    options.run_time = milliseconds(60);
    options.at_most_once = true;
    zone_fleet fleet(options);
    for (int turn = 0; turn < turns; ++turn) {
        fleet.set_dropping("z0", true);
        fleet.simulate(milliseconds(1'400));
        fleet.set_dropping("z0", false);
        fleet.simulate(milliseconds(1'400));
    }
    CHECK_COMPARE(fleet.refused, >, 0);
    // At most one router in four learns of each turn by a loss of its own.
    CHECK_COMPARE(fleet.refused, <=, turns * options.routers / 4);
}
