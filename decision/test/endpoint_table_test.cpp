#include "pearhaven/decision/endpoint_table.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

constexpr duration quick = std::chrono::milliseconds(100);

endpoint_host host_at(const std::string& address, const std::string& zone)
{
    return {address, "name-" + address, zone, 1, false, {{"role", "engine"}}};
}

configuration_ptr one_version(std::uint32_t slots, double long_share = 0.5)
{
    pool engines;
    engines.name = "engines";
    engines.hosts = selector().require("role", {"engine"});
    engines.versions = selector();
    engines.slots_per_host = slots;
    engines.long_share = long_share;
    version only;
    only.name = "reader-1";
    only.model = "reader";
    return configuration_builder().add(engines).add(only).build();
}

placement wanting(work_class kind)
{
    placement wanted;
    wanted.version_or_service = "reader-1";
    wanted.kind = kind;
    wanted.work = 100.0;
    return wanted;
}

// A table with the endpoints e0, e1, ... in zone osu, and a manual clock.
struct table_fixture {
    table_fixture(std::size_t count, std::uint32_t slots, endpoint_table_settings settings = {})
        : table((settings.zone = "osu", settings))
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->hosts.push_back(host_at("e" + std::to_string(number), "osu"));
        }
        this->table.configure(*one_version(slots));
        this->table.set_hosts(this->hosts, this->now);
    }

    std::string choose(const placement& wanted)
    {
        return this->table.choose(wanted, this->now, ++this->random).value_or("none");
    }
    std::string choose() { return this->choose(wanting(work_class::lookup)); }

    std::set<std::string> chosen(const placement& wanted)
    {
        std::set<std::string> all;
        for (int draw = 0; draw < 100; ++draw) {
            all.insert(this->choose(wanted));
        }
        return all;
    }

    // Whether the endpoint is chosen when no other may be.
    bool takes(const std::string& address, placement wanted)
    {
        for (const auto& host : this->hosts) {
            if (host.address != address) {
                wanted.avoid.push_back(host.address);
            }
        }
        return this->choose(wanted) == address;
    }

    void start_many(const std::string& address, int count)
    {
        for (int started = 0; started < count; ++started) {
            this->start(address);
        }
    }
    void start(const std::string& address, work_class kind = work_class::lookup)
    {
        this->table.started(address, kind, 100.0, {}, this->now);
    }
    void end(const std::string& address, attempt_result result, duration first_token = quick,
             work_class kind = work_class::lookup)
    {
        this->table.ended(address, kind, 100.0, result, first_token, this->now);
    }
    void run(const std::string& address, attempt_result result, duration first_token = quick)
    {
        this->start(address);
        this->end(address, result, first_token);
    }

    // Replaces the endpoint's process by one of that incarnation.
    void restart(const std::string& address, std::uint64_t incarnation)
    {
        for (auto& host : this->hosts) {
            host.incarnation = host.address == address ? incarnation : host.incarnation;
        }
        this->table.set_hosts(this->hosts, this->now);
    }
    void end_at(const std::string& address, std::uint64_t incarnation, attempt_result result)
    {
        this->table.ended(address, work_class::lookup, 100.0, result, duration::zero(), this->now,
                          incarnation);
    }

    endpoint_table::endpoint_status status_of(const std::string& address)
    {
        const auto all = this->table.status(this->now);
        return *std::find_if(all.begin(), all.end(),
                             [&address](const auto& one) { return one.host.address == address; });
    }

    std::vector<endpoint_host> hosts;
    endpoint_table table;
    instant now{std::chrono::hours(1)};
    std::uint64_t random = 0;
};

using names = std::set<std::string>;
const placement a_lookup = wanting(work_class::lookup);
const placement a_reading = wanting(work_class::reading);

} // namespace

TEST_GROUP(endpoint_table_test){};

TEST(endpoint_table_test, a_lagging_list_does_not_restore_a_leaving_host)
{
    // Guards against a caller cut off by a planned stop. The endpoint refuses as leaving, but the
    // lagging host list still contains it as active and would direct work there again.
    table_fixture fixture(2, 4);
    fixture.table.mark_leaving("e0", 0, fixture.now);
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    CHECK_TRUE(fixture.table.find("e0")->leaving);
}

TEST(endpoint_table_test, a_leaving_host_stays_leaving_while_it_is_not_listed)
{
    table_fixture fixture(2, 4);
    fixture.table.mark_leaving("e0", 0, fixture.now);
    fixture.table.set_hosts({fixture.hosts[1]}, fixture.now);
    fixture.now += std::chrono::minutes(1);
    fixture.table.set_hosts({fixture.hosts[1]}, fixture.now);
    fixture.now += std::chrono::minutes(1);
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
}

TEST(endpoint_table_test, a_higher_incarnation_at_a_leaving_address_gets_work)
{
    table_fixture fixture(1, 4);
    fixture.table.mark_leaving("e0", 0, fixture.now);
    CHECK_FALSE(fixture.table.serves(a_lookup, fixture.now));
    fixture.hosts[0].incarnation = 2;
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_EQUAL(std::string("e0"), fixture.choose());
}

TEST(endpoint_table_test, a_list_with_an_older_incarnation_changes_nothing)
{
    table_fixture fixture(1, 4);
    fixture.hosts[0].incarnation = 5;
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    fixture.hosts[0].incarnation = 4;
    fixture.hosts[0].leaving = true;
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_EQUAL(std::string("e0"), fixture.choose());
    CHECK_EQUAL(5U, fixture.table.find("e0")->incarnation);
}

TEST(endpoint_table_test, a_draining_endpoint_gets_no_work_until_it_reports_otherwise)
{
    table_fixture fixture(2, 4);
    fixture.table.reported("e0", {0, 0, 8, {}, true}, fixture.now);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    fixture.table.reported("e0", {0, 0, 8, {}, false}, fixture.now);
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
}

// Guards against callers avoiding an idle endpoint. It restarts while a load report of its earlier
// incarnation, full and draining, is in transit.
TEST(endpoint_table_test, a_report_of_an_earlier_incarnation_is_ignored)
{
    table_fixture fixture(2, 16);
    fixture.restart("e0", 2);
    CHECK_FALSE(fixture.table.reported("e0", {16, 0, 16, {}, true, 1}, fixture.now));
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
    CHECK_TRUE(fixture.table.reported("e0", {16, 0, 16, {}, true, 2}, fixture.now));
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
}

// A new incarnation reports before the list contains it; the known incarnation must not change.
TEST(endpoint_table_test, a_report_of_an_incarnation_not_yet_listed_is_ignored)
{
    table_fixture fixture(2, 16);
    CHECK_FALSE(fixture.table.reported("e0", {16, 0, 16, {}, true, 2}, fixture.now));
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
}

TEST(endpoint_table_test, a_report_without_an_incarnation_applies_to_the_known_one)
{
    table_fixture fixture(2, 16);
    CHECK_TRUE(fixture.table.reported("e0", {16, 0, 16, {}, true, 0}, fixture.now));
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    CHECK_FALSE(fixture.table.reported("no-such", {16, 0, 16, {}, true, 0}, fixture.now));
}

TEST(endpoint_table_test, only_endpoints_of_a_pool_that_selects_the_version_serve_it)
{
    table_fixture fixture(1, 4);
    placement other = a_lookup;
    other.version_or_service = "no-such-version";
    CHECK_FALSE(fixture.table.serves(other, fixture.now));
    fixture.hosts[0].tags = {{"role", "booking"}};
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_FALSE(fixture.table.serves(a_lookup, fixture.now));
}

TEST(endpoint_table_test, a_full_endpoint_still_serves_but_is_not_chosen)
{
    table_fixture fixture(1, 1);
    fixture.start("e0");
    CHECK_EQUAL(std::string("none"), fixture.choose());
    CHECK_TRUE(fixture.table.serves(a_lookup, fixture.now));
}

TEST(endpoint_table_test, readings_leave_slots_to_lookups)
{
    // Guards against lookups waiting for minutes behind readings that occupy every slot.
    table_fixture fixture(1, 4);
    fixture.start("e0", work_class::reading);
    CHECK_EQUAL(std::string("e0"), fixture.choose(a_reading));
    fixture.start("e0", work_class::reading);
    CHECK_EQUAL(std::string("none"), fixture.choose(a_reading));
    CHECK_EQUAL(std::string("e0"), fixture.choose(a_lookup));
}

TEST(endpoint_table_test, one_slot_in_several_is_left_to_lookups_whatever_the_share)
{
    table_fixture fixture(1, 2);
    fixture.table.configure(*one_version(2, 1.0));
    fixture.start("e0", work_class::reading);
    CHECK_FALSE(fixture.takes("e0", a_reading));
}

TEST(endpoint_table_test, a_reading_may_take_an_endpoints_only_slot)
{
    table_fixture fixture(1, 1);
    CHECK_TRUE(fixture.takes("e0", a_reading));
}

TEST(endpoint_table_test, the_less_loaded_of_two_is_chosen_by_requests_and_by_work)
{
    table_fixture fixture(2, 16);
    fixture.start_many("e0", 3);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    fixture.table.started("e1", work_class::reading, 5000.0, {}, fixture.now);
    CHECK_TRUE((names{"e0"}) == fixture.chosen(a_lookup));
}

TEST(endpoint_table_test, other_routers_share_of_readings_is_assumed_to_equal_the_own_share)
{
    // Guards against lookups waiting in the engine's queue. Each router limits readings to half of
    // the slots that it uses, but nine routers together use more than the engine has. The engine's
    // report shows the others' readings only as running requests.
    table_fixture fixture(2, 16);
    fixture.start("e1", work_class::reading);
    fixture.table.reported("e0", {8, 0, 16, {}, false}, fixture.now);
    CHECK_FALSE(fixture.takes("e0", a_reading));
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

// How many of 80 routers send a reading to an endpoint that reports this many requests, when all of
// their own requests are readings.
static int routers_that_add_a_reading(double reported)
{
    int accepting = 0;
    for (std::uint64_t router = 0; router < 80; ++router) {
        endpoint_table_settings settings;
        settings.router_seed = router;
        table_fixture fixture(2, 16, settings);
        fixture.start("e1", work_class::reading);
        fixture.table.reported("e0", {reported, 0, 16, {}, false}, fixture.now);
        fixture.table.reported("e1", {8, 0, 16, {}, false}, fixture.now);
        accepting += fixture.takes("e0", a_reading) ? 1 : 0;
    }
    return accepting;
}

TEST(endpoint_table_test, a_slot_for_readings_that_all_routers_see_is_taken_by_few)
{
    // Guards against lookups waiting behind readings in the engine's queue. A reading has ended;
    // eight routers see it in their next reports and each would send one to the same slot.
    CHECK_TRUE(routers_that_add_a_reading(7.0) >= 3);
    CHECK_TRUE(routers_that_add_a_reading(7.0) <= 25);
    CHECK_EQUAL(0, routers_that_add_a_reading(7.5));
}

TEST(endpoint_table_test, a_reading_is_not_sent_to_wait_in_an_endpoints_queue)
{
    table_fixture fixture(1, 16);
    for (int second = 0; second < 20; ++second) {
        fixture.now += std::chrono::seconds(1);
        fixture.table.reported("e0", {16, 0, 16, {}, false}, fixture.now);
        CHECK_FALSE(fixture.takes("e0", a_reading));
        CHECK_TRUE(fixture.takes("e0", a_lookup));
    }
}

TEST(endpoint_table_test, requests_sent_since_a_report_are_added_to_it)
{
    // Guards against callers waiting in one engine's queue while another engine is idle. A report
    // measured before this router sent eight requests shows the engine as empty.
    table_fixture fixture(2, 64);
    fixture.run("e0", attempt_result::finished);
    fixture.now += std::chrono::milliseconds(3200);
    fixture.start_many("e0", 10);
    fixture.table.reported("e0", {0, 0, 8, std::chrono::milliseconds(500), false}, fixture.now);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, a_report_that_arrives_out_of_order_is_dropped)
{
    table_fixture fixture(2, 64);
    fixture.table.reported("e0", {10, 0, 8, std::chrono::milliseconds(100), false}, fixture.now);
    fixture.table.reported("e0", {0, 0, 8, std::chrono::milliseconds(900), false}, fixture.now);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, requests_that_ended_since_a_report_no_longer_count)
{
    table_fixture fixture(1, 64);
    fixture.start_many("e0", 10);
    fixture.now += std::chrono::milliseconds(600);
    fixture.table.reported("e0", {10, 0, 8, std::chrono::milliseconds(500), false}, fixture.now);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
    fixture.end("e0", attempt_result::finished);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, an_expired_report_no_longer_limits_work)
{
    table_fixture fixture(1, 4);
    fixture.table.reported("e0", {10, 5, 8, {}, false}, fixture.now);
    CHECK_EQUAL(std::string("none"), fixture.choose());
    fixture.now += std::chrono::seconds(3);
    CHECK_EQUAL(std::string("e0"), fixture.choose());
}

TEST(endpoint_table_test, refusals_lower_the_limit_once_an_interval_and_never_below_one)
{
    table_fixture fixture(1, 16);
    fixture.run("e0", attempt_result::refused);
    fixture.run("e0", attempt_result::refused);
    DOUBLES_EQUAL(11.2, fixture.status_of("e0").limit, 0.01);
    for (int count = 0; count < 50; ++count) {
        fixture.now += std::chrono::seconds(1);
        fixture.run("e0", attempt_result::refused);
    }
    DOUBLES_EQUAL(1.0, fixture.status_of("e0").limit, 1e-9);
}

TEST(endpoint_table_test, a_limit_that_is_used_grows_back)
{
    table_fixture fixture(1, 4);
    fixture.run("e0", attempt_result::refused);
    for (int count = 0; count < 40; ++count) {
        fixture.start("e0");
        fixture.start("e0");
        fixture.end("e0", attempt_result::finished);
        fixture.end("e0", attempt_result::finished);
    }
    DOUBLES_EQUAL(4.0, fixture.status_of("e0").limit, 1e-9);
}

TEST(endpoint_table_test, late_first_tokens_lower_the_limit_to_a_quarter_at_least)
{
    table_fixture fixture(1, 16);
    for (int count = 0; count < 200; ++count) {
        fixture.now += std::chrono::seconds(1);
        fixture.run("e0", attempt_result::finished, count < 20 ? quick : 20 * quick);
    }
    DOUBLES_EQUAL(4.0, fixture.status_of("e0").limit, 0.5);
}

TEST(endpoint_table_test, imperceptible_lateness_does_not_lower_the_limit)
{
    table_fixture fixture(1, 16);
    for (int count = 0; count < 100; ++count) {
        fixture.now += std::chrono::seconds(1);
        fixture.run("e0", attempt_result::finished, count < 20 ? quick / 50 : quick / 5);
    }
    DOUBLES_EQUAL(16.0, fixture.status_of("e0").limit, 1e-9);
}

TEST(endpoint_table_test, an_unreachable_endpoint_is_ejected_then_tried_once)
{
    table_fixture fixture(2, 4);
    fixture.run("e0", attempt_result::unreachable);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    fixture.now += std::chrono::milliseconds(1100);
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
    fixture.start("e0");
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    fixture.end("e0", attempt_result::finished);
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
}

TEST(endpoint_table_test, consecutive_ejections_last_longer_until_the_endpoint_was_healthy_for_long)
{
    table_fixture fixture(1, 16);
    fixture.run("e0", attempt_result::unreachable);
    fixture.now += std::chrono::milliseconds(1100);
    fixture.run("e0", attempt_result::unreachable);
    fixture.now += std::chrono::milliseconds(1100);
    CHECK_TRUE(fixture.status_of("e0").ejected);
    fixture.now += std::chrono::seconds(1);
    fixture.run("e0", attempt_result::finished);
    DOUBLES_EQUAL(4.0, fixture.status_of("e0").limit, 1e-9);
    fixture.now += std::chrono::minutes(1);
    fixture.run("e0", attempt_result::unreachable);
    fixture.now += std::chrono::milliseconds(1100);
    CHECK_FALSE(fixture.status_of("e0").ejected);
}

TEST(endpoint_table_test, one_failure_on_trial_ejects_and_otherwise_three_consecutive_ones)
{
    table_fixture fixture(2, 16);
    for (const auto result : {attempt_result::failed, attempt_result::failed,
                              attempt_result::finished, attempt_result::failed}) {
        fixture.run("e0", result);
    }
    CHECK_FALSE(fixture.status_of("e0").ejected);
    fixture.run("e0", attempt_result::unreachable);
    fixture.now += std::chrono::milliseconds(1100);
    fixture.run("e0", attempt_result::failed);
    CHECK_TRUE(fixture.status_of("e0").ejected);
}

TEST(endpoint_table_test, a_new_process_at_the_address_is_not_ejected)
{
    table_fixture fixture(1, 16);
    fixture.run("e0", attempt_result::unreachable);
    fixture.hosts[0].incarnation = 2;
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

// An endpoint crashes with six requests in flight and restarts at its address. Their connections
// break one by one afterwards. If they were still counted, they would keep work away from an idle
// process; if they were subtracted from the new one, they would hide requests sent to it since.
TEST(endpoint_table_test, attempts_at_an_earlier_incarnation_do_not_affect_the_new_one)
{
    table_fixture fixture(1, 16);
    fixture.start_many("e0", 6);
    fixture.restart("e0", 2);
    CHECK_EQUAL(0U, fixture.status_of("e0").outstanding);
    fixture.start_many("e0", 2);
    for (int broken = 0; broken < 6; ++broken) {
        fixture.end_at("e0", 1, attempt_result::failed);
    }
    CHECK_EQUAL(2U, fixture.status_of("e0").outstanding);
    CHECK_FALSE(fixture.status_of("e0").ejected);
    CHECK_EQUAL(2U, fixture.table.own_loads()[0].requests);
    CHECK_EQUAL(2U, fixture.table.own_loads()[0].incarnation);
}

TEST(endpoint_table_test,
     completed_work_of_an_earlier_incarnation_is_not_subtracted_from_the_new_one)
{
    table_fixture fixture(1, 16);
    fixture.start("e0");
    fixture.restart("e0", 2);
    fixture.start("e0");
    fixture.table.work_completed("e0", 60.0, 1);
    DOUBLES_EQUAL(100.0, fixture.table.own_loads()[0].work, 0.001);
}

// The others' share of readings is assumed to equal the own share. Readings of an earlier
// incarnation that were never removed would keep other readings away from endpoints with room.
TEST(endpoint_table_test, readings_of_an_earlier_incarnation_no_longer_count)
{
    table_fixture fixture(2, 16);
    for (int number = 0; number < 6; ++number) {
        fixture.start("e0", work_class::reading);
    }
    fixture.table.reported("e1", {8, 0, 16, {}, false}, fixture.now);
    CHECK_FALSE(fixture.takes("e1", a_reading));
    fixture.restart("e0", 2);
    CHECK_TRUE(fixture.table.own_loads().empty());
    CHECK_TRUE(fixture.takes("e1", a_reading));
}

// Lookups of an earlier incarnation that were never removed would make the others' requests look
// like lookups, and readings would fill the slots that lookups need.
TEST(endpoint_table_test, lookups_of_an_earlier_incarnation_no_longer_count)
{
    table_fixture fixture(3, 16);
    fixture.start_many("e0", 8);
    fixture.start("e1", work_class::reading);
    fixture.table.reported("e2", {8, 0, 16, {}, false}, fixture.now);
    CHECK_TRUE(fixture.takes("e2", a_reading));
    fixture.restart("e0", 2);
    CHECK_FALSE(fixture.takes("e2", a_reading));
}

TEST(endpoint_table_test, peer_load_at_an_earlier_incarnation_does_not_count)
{
    table_fixture fixture(2, 16);
    fixture.restart("e0", 2);
    fixture.table.peer_reported("lagging", {{"e0", 16, 9000.0, 1}}, fixture.now);
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
    fixture.table.peer_reported("another", {{"e0", 16, 9000.0, 2}}, fixture.now);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
}

// A peer learns of a restart before this router. Its load at the new incarnation does not count for
// the known one, and counts once the list contains the new one.
TEST(endpoint_table_test, peer_load_at_an_incarnation_not_yet_listed_counts_once_listed)
{
    table_fixture fixture(2, 16);
    fixture.table.peer_reported("ahead", {{"e0", 16, 9000.0, 2}}, fixture.now);
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
    fixture.restart("e0", 2);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
}

TEST(endpoint_table_test, a_restart_drops_ejection_and_reports)
{
    table_fixture fixture(1, 16);
    fixture.table.reported("e0", {16.0, 0.0, 16.0, duration::zero(), false}, fixture.now);
    fixture.run("e0", attempt_result::unreachable);
    CHECK_TRUE(fixture.status_of("e0").ejected);
    fixture.restart("e0", 2);
    CHECK_FALSE(fixture.status_of("e0").ejected);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

namespace {

// A table with `lists_in_order`, as with a store.
struct ordered_list_fixture : table_fixture {
    ordered_list_fixture() : table_fixture(2, 16, in_order()) { this->restart("e0", 1000); }

    static endpoint_table_settings in_order()
    {
        endpoint_table_settings settings;
        settings.lists_in_order = true;
        return settings;
    }

    void list_without(const std::string& address)
    {
        auto fewer = this->hosts;
        std::erase_if(fewer, [&address](const auto& host) { return host.address == address; });
        this->table.set_hosts(fewer, this->now);
    }
};

} // namespace

// The clock of an endpoint's host is set back and the endpoint restarts with a lower incarnation.
// If that were ignored, it would get no work until its clock had caught up.
TEST(endpoint_table_test, with_ordered_lists_a_lower_incarnation_replaces_a_higher_one)
{
    ordered_list_fixture fixture;
    fixture.run("e0", attempt_result::unreachable);
    fixture.restart("e0", 400);
    CHECK_EQUAL(400U, fixture.table.find("e0")->incarnation);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

// A process writes its entry and terminates; the store applies the write seconds later, after the
// entry of the process that replaced it. The ended process must not become current again.
TEST(endpoint_table_test, a_late_entry_of_an_ended_incarnation_never_restores_it)
{
    ordered_list_fixture fixture;
    fixture.restart("e0", 2000);
    fixture.restart("e0", 1000);
    CHECK_EQUAL(2000U, fixture.table.find("e0")->incarnation);
    fixture.restart("e0", 400);
    fixture.restart("e0", 2000);
    CHECK_EQUAL(400U, fixture.table.find("e0")->incarnation);
}

TEST(endpoint_table_test, an_ended_incarnation_is_remembered_while_the_list_leaves_out_the_endpoint)
{
    ordered_list_fixture fixture;
    fixture.restart("e0", 2000);
    fixture.list_without("e0");
    fixture.restart("e0", 1000);
    CHECK_FALSE(fixture.table.find("e0").has_value());
    fixture.restart("e0", 2000); // removed and written again: the same incarnation
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, the_leaving_mark_of_an_earlier_incarnation_does_not_apply_to_a_later_one)
{
    ordered_list_fixture fixture;
    fixture.table.mark_leaving("e0", 1000, fixture.now);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
    fixture.restart("e0", 2000);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
    fixture.table.mark_leaving("e0", 1000, fixture.now); // arrives late
    CHECK_TRUE(fixture.takes("e0", a_lookup));
    fixture.restart("e0", 400);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, the_leaving_mark_of_an_incarnation_not_yet_listed_keeps_the_present_mark)
{
    ordered_list_fixture fixture;
    fixture.table.mark_leaving("e0", 1000, fixture.now);
    fixture.table.mark_leaving("e0", 3000, fixture.now);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, a_leaving_mark_persists_while_the_entry_is_absent)
{
    ordered_list_fixture fixture;
    fixture.table.mark_leaving("e0", 1000, fixture.now);
    fixture.list_without("e0");
    fixture.restart("e0", 1000);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
}

// Older writers send no incarnation. All their entries count as one incarnation, and an entry
// without one continues the last known one.
TEST(endpoint_table_test, a_host_without_an_incarnation_keeps_the_last_known_one)
{
    ordered_list_fixture fixture;
    fixture.start("e0");
    fixture.restart("e0", 0);
    CHECK_EQUAL(1000U, fixture.table.find("e0")->incarnation);
    CHECK_EQUAL(1U, fixture.status_of("e0").outstanding);
    fixture.end("e0", attempt_result::finished);
    fixture.table.mark_leaving("e0", 0, fixture.now);
    fixture.list_without("e0");
    fixture.restart("e0", 0);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, attempts_that_fail_together_cause_one_ejection)
{
    // Guards against a replaced engine getting no work for much longer than its restart took. Ten
    // requests were in flight when it stopped; if each caused an ejection, the ejection time would
    // double ten times.
    table_fixture fixture(1, 16);
    fixture.start_many("e0", 10);
    for (int count = 0; count < 10; ++count) {
        fixture.end("e0", attempt_result::unreachable);
    }
    fixture.now += std::chrono::milliseconds(1100);
    CHECK_EQUAL(std::string("e0"), fixture.choose());
}

TEST(endpoint_table_test, a_long_answer_on_trial_does_not_keep_the_endpoint_idle)
{
    table_fixture fixture(1, 16);
    fixture.run("e0", attempt_result::unreachable);
    fixture.now += std::chrono::seconds(2);
    fixture.start("e0");
    CHECK_EQUAL(std::string("none"), fixture.choose());
    fixture.now += std::chrono::seconds(4);
    CHECK_EQUAL(std::string("e0"), fixture.choose());
}

TEST(endpoint_table_test, failing_endpoints_are_ejected_only_while_enough_remain)
{
    // A bad version fails on every endpoint. If all of them were ejected, the good versions that
    // they also serve could not run.
    table_fixture fixture(6, 4);
    for (const auto& host : fixture.hosts) {
        for (int count = 0; count < 3; ++count) {
            fixture.run(host.address, attempt_result::failed);
        }
    }
    CHECK_EQUAL(4U, fixture.chosen(a_lookup).size());
}

TEST(endpoint_table_test, a_much_slower_endpoint_is_ejected_and_again_after_one_slow_trial)
{
    table_fixture fixture(3, 4);
    for (int count = 0; count < 20; ++count) {
        fixture.now += std::chrono::milliseconds(200);
        for (const auto& host : fixture.hosts) {
            fixture.run(host.address, attempt_result::finished,
                        host.address == "e0" ? 10 * quick : quick);
        }
    }
    CHECK_TRUE((names{"e1", "e2"}) == fixture.chosen(a_lookup));
    fixture.now += std::chrono::seconds(2);
    fixture.run("e0", attempt_result::finished, 10 * quick);
    CHECK_TRUE((names{"e1", "e2"}) == fixture.chosen(a_lookup));
}

TEST(endpoint_table_test, silent_connections_do_not_eject_the_endpoint)
{
    // Guards against ejecting a healthy endpoint, which would move its load for nothing. A device
    // on the way has lost its connections, so all of its streams stop; resumed on fresh connections
    // they continue.
    table_fixture fixture(2, 8);
    fixture.start_many("e0", 5);
    for (int count = 0; count < 5; ++count) {
        fixture.end("e0", attempt_result::went_silent);
        fixture.start("e0");
    }
    CHECK_TRUE(fixture.takes("e0", a_lookup));
    fixture.end("e0", attempt_result::finished);
    fixture.end("e0", attempt_result::went_silent);
    CHECK_TRUE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, an_endpoint_whose_fresh_connections_go_silent_too_is_ejected)
{
    table_fixture fixture(2, 8);
    fixture.start_many("e0", 3);
    for (int count = 0; count < 3; ++count) {
        fixture.end("e0", attempt_result::went_silent);
        fixture.start("e0");
    }
    fixture.end("e0", attempt_result::went_silent);
    CHECK_FALSE(fixture.takes("e0", a_lookup));
}

TEST(endpoint_table_test, attempts_that_ended_otherwise_do_not_excuse_later_silence)
{
    table_fixture fixture(1, 16);
    fixture.start_many("e0", 4);
    fixture.end("e0", attempt_result::went_silent);
    for (int count = 0; count < 3; ++count) {
        fixture.end("e0", attempt_result::cancelled);
    }
    fixture.run("e0", attempt_result::went_silent);
    fixture.run("e0", attempt_result::went_silent);
    CHECK_TRUE(fixture.status_of("e0").ejected);
}

TEST(endpoint_table_test, work_stays_in_the_zone_until_another_one_is_much_less_loaded)
{
    table_fixture fixture(2, 16);
    fixture.hosts.push_back(host_at("far", "tema"));
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    fixture.start_many("e0", 2);
    fixture.start_many("e1", 2);
    CHECK_EQUAL(0U, fixture.chosen(a_lookup).count("far"));
    fixture.start_many("e0", 10);
    fixture.start_many("e1", 10);
    CHECK_TRUE((names{"far"}) == fixture.chosen(a_lookup));
}

TEST(endpoint_table_test, a_router_uses_a_bounded_subset_of_healthy_endpoints)
{
    endpoint_table_settings settings;
    settings.subset_size = 8;
    table_fixture fixture(100, 4, settings);
    const auto before = fixture.table.used_addresses(fixture.now);
    CHECK_EQUAL(8U, before.size());
    fixture.table.mark_leaving(before.front(), 0, fixture.now);
    const auto after = fixture.table.used_addresses(fixture.now);
    CHECK_EQUAL(8U, after.size());
    std::vector<std::string> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::back_inserter(kept));
    CHECK_EQUAL(7U, kept.size());
}

TEST(endpoint_table_test, a_prefix_goes_where_all_routers_send_it_unless_that_is_loaded)
{
    table_fixture one(8, 16);
    endpoint_table_settings seeded;
    seeded.router_seed = 77;
    table_fixture two(8, 16, seeded);
    placement warm = a_lookup;
    warm.prefix_hash = 4711;
    const auto first = one.choose(warm);
    CHECK_TRUE((names{first}) == one.chosen(warm));
    CHECK_EQUAL(first, two.choose(warm));
    one.start_many(first, 5);
    const auto second = one.chosen(warm);
    CHECK_EQUAL(1U, second.size());
    CHECK_EQUAL(0U, second.count(first));
}

TEST(endpoint_table_test, attempts_at_a_host_that_leaves_the_list_and_returns_still_count)
{
    table_fixture fixture(1, 1);
    fixture.start("e0");
    fixture.table.set_hosts({}, fixture.now);
    CHECK_FALSE(fixture.table.serves(a_lookup, fixture.now));
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    CHECK_EQUAL(std::string("none"), fixture.choose());
}

namespace {

// Applies random events to a table and tracks the requests in flight.
class random_event_driver {
public:
    void apply_random_event()
    {
        this->fixture.now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
        const auto address = "e" + std::to_string(*rc::gen::inRange(0, 5));
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
            this->fixture.table.mark_leaving(address, 0, this->fixture.now);
            this->leaving.insert(address);
            break;
        case 1:
            this->fixture.table.set_hosts(this->fixture.hosts, this->fixture.now);
            break;
        case 2:
            this->end_one(address);
            break;
        default:
            this->start_one(address);
            break;
        }
    }

private:
    void end_one(const std::string& address)
    {
        if (this->running[address].empty()) {
            return;
        }
        const auto result = *rc::gen::element(
            attempt_result::finished, attempt_result::refused, attempt_result::unreachable,
            attempt_result::failed, attempt_result::went_silent, attempt_result::cancelled);
        this->fixture.end(address, result, quick, this->running[address].back());
        this->running[address].pop_back();
    }

    void start_one(const std::string& avoided)
    {
        placement wanted = wanting(*rc::gen::element(work_class::lookup, work_class::reading));
        wanted.prefix_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
        wanted.avoid = {avoided};
        const auto address = this->fixture.choose(wanted);
        if (address == "none") {
            return;
        }
        RC_ASSERT(address != avoided);
        RC_ASSERT(this->leaving.count(address) == 0U);
        RC_ASSERT(!this->fixture.status_of(address).ejected);
        auto& here = this->running[address];
        RC_ASSERT(static_cast<double>(here.size() + 1) <= this->fixture.status_of(address).limit);
        const auto readings = std::count(here.begin(), here.end(), work_class::reading);
        RC_ASSERT(wanted.kind == work_class::lookup || readings < 2);
        here.push_back(wanted.kind);
        this->fixture.start(address, wanted.kind);
    }

    table_fixture fixture{5, 4};
    std::set<std::string> leaving;
    std::map<std::string, std::vector<work_class>> running;
};

} // namespace

TEST(endpoint_table_test, no_endpoint_that_is_leaving_ejected_avoided_or_full_is_chosen)
{
    CHECK_TRUE(rc::check("choice", [] {
        random_event_driver driver;
        for (int event = 0; event < 150; ++event) {
            driver.apply_random_event();
        }
    }));
}

// Guards against two routers overloading endpoints that neither could judge by its own load alone.
TEST(endpoint_table_test, load_of_other_routers_counts_like_own_load)
{
    table_fixture fixture(2, 16);
    fixture.table.peer_reported("other", {{"e0", 6, 600.0, 1}}, fixture.now);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    fixture.table.peer_reported("other", {{"e1", 6, 600.0, 1}}, fixture.now);
    CHECK_TRUE((names{"e0"}) == fixture.chosen(a_lookup));
}

// A silent router may have terminated, and its callers may have moved elsewhere.
TEST(endpoint_table_test, load_of_a_silent_router_no_longer_counts)
{
    table_fixture fixture(2, 16);
    fixture.table.peer_reported("other", {{"e0", 6, 600.0, 1}}, fixture.now);
    fixture.now += std::chrono::seconds(2);
    CHECK_EQUAL(2U, fixture.chosen(a_lookup).size());
}

TEST(endpoint_table_test, own_loads_contain_only_endpoints_in_use)
{
    table_fixture fixture(3, 16);
    fixture.start_many("e1", 2);
    const auto held = fixture.table.own_loads();
    CHECK_EQUAL(1U, held.size());
    CHECK_EQUAL(std::string("e1"), held[0].address);
    CHECK_EQUAL(2U, held[0].requests);
}

namespace {

// A table with `compares_all`: e0 and e1 in the router's zone osu, `far` in another one.
struct comparison_fixture : table_fixture {
    comparison_fixture() : table_fixture(2, 64, compares_all())
    {
        this->hosts.push_back(host_at("far", "tema"));
        this->table.set_hosts(this->hosts, this->now);
    }

    static endpoint_table_settings compares_all()
    {
        endpoint_table_settings settings;
        settings.compares_all = true;
        settings.typical_work = 14.0;
        settings.zone_bias = 0.5;
        return settings;
    }

    void report_peer_load(std::uint32_t at_e0, std::uint32_t at_e1, std::uint32_t at_far)
    {
        this->table.peer_reported(
            "other", {{"e0", at_e0, 0.0, 1}, {"e1", at_e1, 0.0, 1}, {"far", at_far, 0.0, 1}},
            this->now);
    }
};

} // namespace

TEST(endpoint_table_test, comparing_all_endpoints_chooses_the_least_loaded)
{
    comparison_fixture fixture;
    fixture.report_peer_load(5, 4, 1);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(a_lookup));
    fixture.report_peer_load(60, 60, 1);
    CHECK_TRUE((names{"far"}) == fixture.chosen(a_lookup));
}

namespace {

// A prompt of two shared parts; processing the second takes half of a full endpoint's capacity.
placement shared_prompt()
{
    placement wanted = a_lookup;
    wanted.parts = {{11, 224.0}, {12, 448.0}};
    wanted.prefix_hash = 12;
    return wanted;
}

} // namespace

// No router has sent the prompt yet. If routers chose at random, every endpoint would process it.
TEST(endpoint_table_test, all_routers_send_a_new_prompt_to_the_same_endpoint)
{
    comparison_fixture fixture;
    fixture.report_peer_load(0, 0, 0);
    CHECK_EQUAL(1U, fixture.chosen(shared_prompt()).size());
}

// The accepted extra load is at most the cost of processing the prompt again.
TEST(endpoint_table_test, an_endpoint_with_a_cached_prompt_is_preferred_despite_more_load)
{
    comparison_fixture fixture;
    fixture.table.started("e1", work_class::lookup, 0.0, shared_prompt().parts, fixture.now);
    fixture.report_peer_load(0, 20, 0);
    CHECK_TRUE((names{"e1"}) == fixture.chosen(shared_prompt()));
    fixture.table.peer_reported("other", {{"e0", 0, 0.0, 1}, {"e1", 20, 3 * 14.0 * 64, 1}},
                                fixture.now);
    CHECK_FALSE((names{"e1"}) == fixture.chosen(shared_prompt()));
}

TEST(endpoint_table_test, prompt_parts_of_peers_requests_are_cached_there)
{
    comparison_fixture fixture;
    fixture.table.peer_reported("other", {{"e0", 1, 0.0, 1, {11, 12}}, {"e1", 1, 0.0, 1}},
                                fixture.now);
    CHECK_TRUE((names{"e0"}) == fixture.chosen(shared_prompt()));
    DOUBLES_EQUAL(0.0, fixture.table.cold_work_at("e0", shared_prompt().parts, fixture.now), 0.001);
    DOUBLES_EQUAL(672.0, fixture.table.cold_work_at("e1", shared_prompt().parts, fixture.now),
                  0.001);
}

// An engine can use a cached part only if all parts before it are cached.
TEST(endpoint_table_test, a_part_behind_an_uncached_part_is_processed_again)
{
    comparison_fixture fixture;
    fixture.table.peer_reported("other", {{"e0", 1, 0.0, 1, {12}}, {"e1", 1, 0.0, 1, {11}}},
                                fixture.now);
    DOUBLES_EQUAL(672.0, fixture.table.cold_work_at("e0", shared_prompt().parts, fixture.now),
                  0.001);
    DOUBLES_EQUAL(448.0, fixture.table.cold_work_at("e1", shared_prompt().parts, fixture.now),
                  0.001);
}

TEST(endpoint_table_test, the_cache_of_an_earlier_incarnation_is_lost)
{
    comparison_fixture fixture;
    fixture.table.started("e0", work_class::lookup, 0.0, shared_prompt().parts, fixture.now);
    fixture.hosts[0].incarnation = 2;
    fixture.table.set_hosts(fixture.hosts, fixture.now);
    DOUBLES_EQUAL(672.0, fixture.table.cold_work_at("e0", shared_prompt().parts, fixture.now),
                  0.001);
    fixture.table.peer_reported("late", {{"e0", 1, 0.0, 1, {11, 12}}}, fixture.now);
    DOUBLES_EQUAL(672.0, fixture.table.cold_work_at("e0", shared_prompt().parts, fixture.now),
                  0.001);
}

TEST(endpoint_table_test, a_part_processed_long_ago_is_processed_again)
{
    comparison_fixture fixture;
    fixture.table.started("e0", work_class::lookup, 0.0, shared_prompt().parts, fixture.now);
    const auto parts = shared_prompt().parts;
    DOUBLES_EQUAL(0.0,
                  fixture.table.cold_work_at("e0", parts, fixture.now + std::chrono::seconds(10)),
                  0.001);
    DOUBLES_EQUAL(336.0,
                  fixture.table.cold_work_at("e0", parts, fixture.now + std::chrono::seconds(20)),
                  0.001);
    DOUBLES_EQUAL(672.0,
                  fixture.table.cold_work_at("e0", parts, fixture.now + std::chrono::seconds(30)),
                  0.001);
}

// Two requests share a part and one of them ends: the part is reported while any request uses it.
TEST(endpoint_table_test, own_loads_contain_the_parts_in_use)
{
    comparison_fixture fixture;
    fixture.table.started("e0", work_class::lookup, 1.0, {{11, 1.0}}, fixture.now);
    fixture.table.started("e0", work_class::lookup, 1.0, {{11, 1.0}, {12, 1.0}}, fixture.now);
    CHECK_TRUE((std::vector<std::uint64_t>{11, 12}) == fixture.table.own_loads().at(0).parts);
    fixture.table.ended("e0", work_class::lookup, 1.0, attempt_result::finished, quick, fixture.now,
                        1, {{11, 1.0}, {12, 1.0}});
    CHECK_TRUE((std::vector<std::uint64_t>{11}) == fixture.table.own_loads().at(0).parts);
}

// Both endpoints have the same load, one from many short answers, the other from one long prompt. A
// prompt that takes long to process would delay all those answers.
TEST(endpoint_table_test, comparing_all_endpoints_keeps_a_long_prompt_away_from_many_answers)
{
    comparison_fixture fixture;
    fixture.table.peer_reported(
        "other", {{"e0", 12, 0.0, 1}, {"e1", 1, 11 * 14.0, 1}, {"far", 64, 0.0, 1}}, fixture.now);
    placement prompt = a_lookup;
    prompt.prefill = 500.0;
    CHECK_TRUE((names{"e1"}) == fixture.chosen(prompt));
    placement question = a_lookup;
    question.prefill = 0.0;
    CHECK_EQUAL(2U, fixture.chosen(question).size());
}

// All routers use the same endpoint, and the same next one when it is lost.
TEST(endpoint_table_test, concentrated_requests_go_to_one_endpoint_and_to_the_next_when_it_is_lost)
{
    table_fixture one(8, 16);
    endpoint_table_settings seeded;
    seeded.router_seed = 77;
    table_fixture two(8, 16, seeded);
    placement concentrated = a_lookup;
    concentrated.concentrated = true;
    const auto first = one.choose(concentrated);
    CHECK_TRUE((names{first}) == one.chosen(concentrated));
    CHECK_EQUAL(first, two.choose(concentrated));
    one.table.mark_leaving(first, 0, one.now);
    two.table.mark_leaving(first, 0, two.now);
    const auto next = one.choose(concentrated);
    CHECK_FALSE(first == next);
    CHECK_EQUAL(next, two.choose(concentrated));
    one.start_many(next, 3);
    one.table.peer_reported("other", {{next, 4, 0.0, 1}}, one.now);
    DOUBLES_EQUAL(7.0, one.table.concentrated_requests("reader-1", one.now), 0.001);
}

// Guards against requests whose prompt is not processed yet, and answers of an earlier incarnation,
// counting as load.
TEST(endpoint_table_test, only_answers_that_have_begun_count_as_being_written)
{
    table_fixture fixture(1, 16);
    fixture.start_many("e0", 4);
    fixture.table.peer_reported("other", {{"e0", 8, 0.0, 1, {}, 3}}, fixture.now);
    DOUBLES_EQUAL(3.0 / 16.0, fixture.table.writing_per_slot("e0", 2), 0.001);
    fixture.table.answer_began("e0", 1);
    DOUBLES_EQUAL(4.0 / 16.0, fixture.table.writing_per_slot("e0", 2), 0.001);
    // Two of eight routers report.
    DOUBLES_EQUAL(16.0 / 16.0, fixture.table.writing_per_slot("e0", 8), 0.001);
    fixture.table.answer_ended("e0", 1);
    LONGS_EQUAL(0, fixture.table.own_loads().at(0).writing);
    fixture.table.answer_began("e0", 1);
    fixture.restart("e0", 2);
    fixture.table.answer_began("e0", 1);
    DOUBLES_EQUAL(0.0, fixture.table.writing_per_slot("e0", 2), 0.001);
}

// Guards against a router with most of the callers that takes its load for the fleet's mean.
TEST(endpoint_table_test, the_load_of_a_crowded_router_is_not_multiplied_by_the_idle_ones)
{
    table_fixture fixture(1, 64);
    for (int peer = 0; peer < 16; ++peer) {
        fixture.table.peer_reported(std::to_string(peer), {}, fixture.now);
    }
    for (int request = 0; request < 40; ++request) {
        fixture.table.started("e0", work_class::lookup, 10.0, {}, fixture.now);
    }
    DOUBLES_EQUAL(400.0, fixture.table.work_at("e0", 91), 0.001);
    // An idle router sends nothing more.
    fixture.now += std::chrono::seconds(30);
    const auto backlog = fixture.table.backlog(a_lookup, 91, fixture.now);
    CHECK_TRUE(backlog == std::chrono::milliseconds(400));
}

// Guards against a router that takes the load of a crowded peer for that of all peers.
TEST(endpoint_table_test, the_load_of_a_crowded_peer_is_counted_once)
{
    table_fixture fixture(1, 64);
    fixture.table.started("e0", work_class::lookup, 10.0, {}, fixture.now);
    fixture.table.peer_reported("crowded", {{"e0", 40, 400.0, 1}}, fixture.now);
    for (int peer = 0; peer < 15; ++peer) {
        fixture.table.peer_reported(std::to_string(peer), {{"e0", 1, 10.0, 1}}, fixture.now);
    }
    // 74 of the 91 do not report.
    DOUBLES_EQUAL(560.0 + 74.0 * 10.0, fixture.table.work_at("e0", 91), 0.001);
}

// Guards against a load test that starts over when the endpoint that it had lost returns.
TEST(endpoint_table_test, concentrated_requests_stay_when_a_lost_endpoint_returns)
{
    table_fixture fixture(8, 16);
    placement concentrated = a_lookup;
    concentrated.concentrated = true;
    const auto first = fixture.choose(concentrated);
    fixture.table.drop_host(first, fixture.now);
    const auto next = fixture.choose(concentrated);
    CHECK_FALSE(first == next);
    fixture.start_many(next, 1);
    fixture.table.peer_reported("other", {{next, 5, 0.0, 1}}, fixture.now);
    fixture.restart(first, 2);
    CHECK_EQUAL(next, fixture.choose(concentrated));
}

// Guards against an endpoint that drops its requests and looks idle because of it.
TEST(endpoint_table_test, an_endpoint_whose_connection_was_lost_is_avoided_until_one_succeeds)
{
    comparison_fixture fixture;
    placement once = a_lookup;
    once.runs_once = true;
    fixture.table.started("e0", work_class::lookup, 0.0, {}, fixture.now);
    fixture.table.ended("e0", work_class::lookup, 0.0, attempt_result::failed, quick, fixture.now);
    CHECK_EQUAL(0U, fixture.chosen(once).count("e0"));
    CHECK_EQUAL(1U, fixture.chosen(a_lookup).count("e0"));
    LONGS_EQUAL(1, fixture.table.own_loads(fixture.now).size());
    CHECK_TRUE(fixture.table.own_loads(fixture.now).at(0).in_doubt);
    fixture.table.started("e0", work_class::lookup, 0.0, {}, fixture.now);
    fixture.table.ended("e0", work_class::lookup, 0.0, attempt_result::finished, quick,
                        fixture.now);
    CHECK_EQUAL(1U, fixture.chosen(once).count("e0"));
    CHECK_TRUE(fixture.table.own_loads(fixture.now).empty());
}

// Guards against a failure that is the request's own and says nothing of the endpoint.
TEST(endpoint_table_test, an_error_that_the_endpoint_answered_raises_no_doubt)
{
    comparison_fixture fixture;
    placement once = a_lookup;
    once.runs_once = true;
    fixture.table.started("e0", work_class::lookup, 0.0, {}, fixture.now);
    fixture.table.ended("e0", work_class::lookup, 0.0, attempt_result::failed, quick, fixture.now,
                        1, {}, true);
    CHECK_EQUAL(1U, fixture.chosen(once).count("e0"));
}

// Guards against one router's own fault, such as a cut link, that keeps all requests of the others
// away from good endpoints, and against reports of a process that has been replaced.
TEST(endpoint_table_test, one_peers_doubt_moves_only_requests_that_cannot_be_sent_again)
{
    comparison_fixture fixture;
    placement once = a_lookup;
    once.runs_once = true;
    const endpoint_load doubt{"e0", 0, 0.0, 1, {}, 0, true};
    fixture.table.peer_reported("one", {{"e0", 0, 0.0, 7, {}, 0, true}}, fixture.now);
    CHECK_EQUAL(1U, fixture.chosen(once).count("e0"));
    fixture.table.peer_reported("one", {doubt, doubt, {"nowhere", 0, 0.0, 1, {}, 0, true}},
                                fixture.now);
    CHECK_EQUAL(0U, fixture.chosen(once).count("e0"));
    CHECK_EQUAL(1U, fixture.chosen(a_lookup).count("e0"));
    fixture.table.peer_reported("two", {doubt}, fixture.now);
    CHECK_EQUAL(0U, fixture.chosen(a_lookup).count("e0"));
    fixture.now += std::chrono::seconds(2);
    CHECK_EQUAL(1U, fixture.chosen(once).count("e0"));
}

// Guards against refusing requests because of words of others.
TEST(endpoint_table_test, doubts_of_all_endpoints_change_nothing)
{
    comparison_fixture fixture;
    placement once = a_lookup;
    once.runs_once = true;
    const auto before = fixture.chosen(once);
    fixture.table.peer_reported("one",
                                {{"e0", 0, 0.0, 1, {}, 0, true},
                                 {"e1", 0, 0.0, 1, {}, 0, true},
                                 {"far", 0, 0.0, 1, {}, 0, true}},
                                fixture.now);
    CHECK_TRUE(before == fixture.chosen(once));
}
