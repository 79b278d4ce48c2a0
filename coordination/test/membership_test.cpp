#include "pearhaven/coordination/membership.hpp"

#include "property.hpp"
#include "simulation.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::coordination::simulation;

namespace {

// Routers of two zones, each at its own address, where a later incarnation replaces the previous
// one.
struct membership_fleet : fleet<membership> {
    membership_fleet(std::uint64_t seed, std::size_t size) : fleet(seed, size)
    {
        this->start_all();
    }

    std::unique_ptr<membership> make(std::size_t node) override
    {
        membership_settings settings;
        settings.self.id = this->id(node);
        settings.self.zone = node % 2 == 0 ? "osu" : "tema";
        settings.self.peer_port = static_cast<std::uint16_t>(node);
        settings.seeds = {{"", "", 0}, {"", "", 1}};
        settings.seed = this->clock.below(1000);
        return std::make_unique<membership>(settings, this->codec, this->clock.now());
    }

    void on_action(std::size_t /*node*/, const membership::action& action) override
    {
        if (const auto* change = std::get_if<member_changed>(&action)) {
            this->dead_reports += change->changed.state == member_state::dead ? 1 : 0;
        }
    }

    void on_message(const peer_message& message) override
    {
        this->max_updates = std::max(this->max_updates, updates_in(message));
    }

    static std::size_t updates_in(const peer_message& message)
    {
        const auto* request = std::get_if<probe>(&message);
        return request != nullptr ? request->updates.size()
                                  : std::get<probe_reply>(message).updates.size();
    }

    // Number of running routers that see exactly the running ones as alive.
    std::size_t count_with_correct_view() const
    {
        std::set<std::string> expected;
        for (const std::size_t node : this->running()) {
            expected.insert(this->id(node));
        }
        return this->count_running([&](const membership& node) {
            std::set<std::string> seen{node.self().id};
            for (const member& peer : node.live()) {
                if (peer.state == member_state::alive) {
                    seen.insert(peer.id);
                }
            }
            return seen == expected;
        });
    }

    std::size_t count_live_at(std::size_t observer) const
    {
        return this->nodes[observer]->live().size();
    }
    std::size_t count_registered() { return this->store.range("routers/").size(); }

    table_member_codec codec;
    std::size_t max_updates = 0;
    int dead_reports = 0;
};

void random_fault(membership_fleet& fleet)
{
    const std::size_t node = fleet.clock.below(fleet.nodes.size());
    const std::size_t other = fleet.clock.below(fleet.nodes.size());
    switch (fleet.clock.below(6)) {
    case 0:
        fleet.stop(node);
        break;
    case 1:
        if (!fleet.nodes[node]) {
            fleet.start(node);
        }
        break;
    case 2:
        fleet.paused[node] = !fleet.paused[node];
        break;
    case 3:
        fleet.net.cuts.insert({node, other});
        break;
    case 4:
        fleet.net.cuts.clear();
        break;
    default:
        fleet.store.down = !fleet.store.down;
    }
}

} // namespace

TEST_GROUP(membership_test){};

TEST(membership_test, routers_find_each_other_through_the_store)
{
    membership_fleet fleet(1, 6);
    fleet.clock.run_for(seconds{20});
    CHECK_EQUAL(6U, fleet.count_with_correct_view());
    CHECK_EQUAL(6U, fleet.count_registered());
}

// The records of the older routers are no longer spread by gossip, and the list in the store cannot
// be read.
TEST(membership_test, a_router_that_starts_during_an_outage_soon_learns_a_large_fleet)
{
    membership_fleet fleet(2, 40);
    fleet.clock.run_for(seconds{60});
    fleet.store.down = true;
    fleet.stop(5);
    fleet.start(5);
    fleet.clock.run_for(seconds{3});
    CHECK_EQUAL(40U, fleet.count_live_at(5)); // its previous incarnation is not removed yet
}

// A host is lost and replaced. The previous incarnation must become dead to all although the new
// one answers at its address, and no other member may become dead.
TEST(membership_test, a_replaced_router_is_dead_to_all_and_its_new_incarnation_is_alive)
{
    membership_fleet fleet(3, 6);
    fleet.clock.run_for(seconds{20});
    fleet.stop(3);
    fleet.start(3);
    fleet.clock.run_for(seconds{20});
    CHECK_EQUAL(6U, fleet.count_with_correct_view());
    CHECK_EQUAL(6, fleet.dead_reports); // one for each router
}

// The link from one router to another is cut in one direction. All others reach both, so neither
// may become dead.
TEST(membership_test, a_cut_link_between_two_routers_makes_neither_dead)
{
    membership_fleet fleet(4, 6);
    fleet.clock.run_for(seconds{20});
    fleet.net.cuts.insert({1, 2});
    fleet.clock.run_for(seconds{60});
    CHECK_EQUAL(0, fleet.dead_reports);
    CHECK_EQUAL(6U, fleet.count_with_correct_view());
}

// A router still sends, but receives nothing. Its messages indicate that it is alive, but it cannot
// serve anybody, so the others must treat it as dead.
TEST(membership_test, a_router_that_receives_nothing_is_dead_to_the_others_until_it_receives_again)
{
    membership_fleet fleet(5, 6);
    fleet.clock.run_for(seconds{20});
    for (std::size_t node = 0; node < 5; ++node) {
        fleet.net.cuts.insert({node, 5});
    }
    fleet.clock.run_for(seconds{20});
    for (std::size_t node = 0; node < 5; ++node) {
        CHECK_EQUAL(4U, fleet.count_live_at(node));
    }
    fleet.net.cuts.clear();
    fleet.clock.run_for(seconds{20});
    CHECK_EQUAL(6U, fleet.count_with_correct_view());
}

// A router is paused for half a minute, long enough to be declared dead. When it resumes, it
// receives the suspicion from another router and refutes it.
TEST(membership_test, a_router_that_was_declared_dead_rejoins_soon)
{
    membership_fleet fleet(6, 40);
    fleet.clock.run_for(seconds{20});
    fleet.paused[2] = true;
    fleet.clock.run_for(seconds{30});
    CHECK_EQUAL(39, fleet.dead_reports);
    fleet.paused[2] = false;
    fleet.clock.run_for(seconds{10});
    CHECK_EQUAL(39, fleet.dead_reports);
    CHECK_EQUAL(40U, fleet.count_with_correct_view());
    CHECK_EQUAL(40U, fleet.count_registered());
}

// This router was paused while another one was suspected, and could not receive the refutation. The
// time of the pause must not count toward the suspicion timeout.
TEST(membership_test, a_paused_router_declares_nobody_dead_on_resuming)
{
    table_member_codec codec;
    membership_settings settings;
    settings.self.id = "a";
    instant now{seconds{100}};
    membership self(settings, codec, now);
    self.on_tick(now);
    const member suspect{"b", "", 1, 1, "osu", 0, member_state::suspect, 0};
    self.on_message({"c", "", 2}, probe{1, "", {suspect}}, now);
    now += seconds{30};
    self.on_tick(now);
    CHECK_EQUAL(1U, self.live().size());
    for (int step = 0; step < 50; ++step) {
        now += milliseconds{100};
        self.on_tick(now);
    }
    CHECK_EQUAL(0U, self.live().size());
}

// Two halves of a fleet are partitioned from each other and from the store, and declare each other
// dead. They must find each other again although neither has a live member of the other half to
// probe.
TEST(membership_test, two_halves_that_declared_each_other_dead_rejoin_without_the_store)
{
    membership_fleet fleet(10, 6);
    fleet.clock.run_for(seconds{20});
    fleet.store.down = true;
    for (std::size_t pair = 0; pair < 9; ++pair) {
        fleet.cut_both_ways(pair / 3, 3 + pair % 3);
    }
    fleet.clock.run_for(seconds{20});
    CHECK_EQUAL(2U, fleet.count_live_at(0));
    fleet.net.cuts.clear();
    fleet.clock.run_for(seconds{25});
    CHECK_EQUAL(6U, fleet.count_with_correct_view());
}

TEST(membership_test, a_leaving_router_stays_a_member_until_it_departs)
{
    membership_fleet fleet(7, 6);
    fleet.clock.run_for(seconds{20});
    fleet.nodes[0]->leave(fleet.clock.now());
    fleet.clock.run_for(seconds{5});
    CHECK_EQUAL(5U, fleet.count_live_at(1));
    CHECK_FALSE(fleet.nodes[0]->is_reader());
    fleet.nodes[0]->depart(fleet.clock.now());
    fleet.carry_out(0);
    fleet.stop(0);
    fleet.clock.run_for(seconds{4});
    CHECK_EQUAL(5U, fleet.count_with_correct_view());
    CHECK_EQUAL(5U, fleet.count_registered());
}

TEST(membership_test, each_zone_has_two_readers_and_others_take_over)
{
    membership_fleet fleet(8, 10);
    fleet.clock.run_for(seconds{20});
    const auto readers = fleet.nodes[0]->readers();
    CHECK_EQUAL(4U, readers.size());
    for (std::size_t node = 0; node < 10; ++node) {
        CHECK_TRUE(fleet.nodes[node]->readers() == readers);
        if (fleet.nodes[node]->is_reader()) {
            fleet.stop(node);
        }
    }
    fleet.clock.run_for(seconds{20});
    CHECK_EQUAL(6U, fleet.count_with_correct_view());
}

TEST(membership_test, the_cost_of_a_member_does_not_depend_on_the_fleet_size)
{
    for (const std::size_t size : {5U, 40U}) {
        membership_fleet fleet(9, size);
        fleet.clock.run_for(seconds{30});
        const std::uint64_t before = fleet.net.sent;
        fleet.clock.run_for(seconds{20});
        const std::uint64_t messages = 41 * size; // a probe and an answer in each of 20 periods
        CHECK_COMPARE(fleet.net.sent - before, <=, messages);
        CHECK_COMPARE(fleet.max_updates, <=, 66U);
    }
}

// Random crashes, replacements, pauses, one-way partitions, store outages and lost messages. After
// they end, all running routers see exactly each other.
TEST(membership_test, after_any_schedule_of_faults_all_routers_agree)
{
    const bool held = holds_for_seeds("members", [](std::uint64_t seed) {
        membership_fleet fleet(seed, 6);
        fleet.net.lost_percent = fleet.store.lost_percent = 10;
        for (int step = 0; step < 30; ++step) {
            random_fault(fleet);
            fleet.clock.run_for(fleet.clock.delay(milliseconds{8000}));
        }
        fleet.end_faults();
        const std::size_t running = fleet.running().size();
        fleet.clock.run_for(seconds{90});
        RC_ASSERT(fleet.count_with_correct_view() == running);
        RC_ASSERT(fleet.count_registered() == running);
    });
    CHECK_TRUE(held);
}
