#include "pearhaven/coordination/fact_table.hpp"

#include "property.hpp"
#include "simulation.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::coordination::simulation;

namespace {

constexpr fact_kind kind = fact_kind::endpoint_leaving;

struct fact_fleet : fleet<fact_table> {
    fact_fleet(std::uint64_t seed, std::size_t size) : fleet(seed, size) { this->start_all(); }

    std::unique_ptr<fact_table> make(std::size_t node) override
    {
        return std::make_unique<fact_table>(
            fact_table_settings{this->id(node), this->clock.below(1000)});
    }

    void on_ticked(std::size_t node) override
    {
        std::vector<member_address> peers;
        for (const std::size_t peer : this->running()) {
            if (peer != node) {
                peers.push_back(this->address(peer));
            }
        }
        this->nodes[node]->set_peers(peers, this->clock.now());
        this->carry_out(node);
    }

    void publish(const std::string& subject, double value, duration time_to_live)
    {
        this->nodes[0]->publish(kind, subject, value, time_to_live, this->clock.now());
    }

    std::size_t count_knowing(std::string_view subject, double value) const
    {
        return this->count_running([&](const fact_table& table) {
            const auto found = table.about(kind, subject);
            return found.size() == 1 && found[0].value == value;
        });
    }
};

} // namespace

TEST_GROUP(fact_table_test){};

TEST(fact_table_test, a_fact_spreads_everywhere_within_two_seconds_and_then_costs_no_messages)
{
    fact_fleet fleet(1, 40);
    fleet.publish("10.0.0.1:80", 1, seconds{60});
    fleet.clock.run_for(seconds{2});
    CHECK_EQUAL(40U, fleet.count_knowing("10.0.0.1:80", 1));
    fleet.clock.run_for(seconds{5});
    const std::uint64_t before = fleet.net.sent;
    fleet.clock.run_for(seconds{10});
    CHECK_EQUAL(before, fleet.net.sent);
}

// Copies of a fact circulate for some time. If each were accepted with its full time to live again,
// the fact would never expire.
TEST(fact_table_test, a_fact_expires_everywhere_after_its_time_to_live)
{
    fact_fleet fleet(2, 10);
    fleet.publish("a", 1, seconds{3});
    fleet.clock.run_for(milliseconds{2500});
    CHECK_EQUAL(10U, fleet.count_knowing("a", 1));
    fleet.stop(9);
    fleet.start(9);
    fleet.clock.run_for(seconds{1});
    CHECK_EQUAL(0U, fleet.count_knowing("a", 1));
}

TEST(fact_table_test, a_router_that_joins_receives_the_older_facts)
{
    fact_fleet fleet(3, 10);
    for (int subject = 0; subject < 100; ++subject) {
        fleet.publish(std::to_string(subject), 1, seconds{600});
    }
    fleet.clock.run_for(seconds{20});
    const std::uint64_t before = fleet.net.sent;
    fleet.stop(9);
    fleet.start(9);
    fleet.clock.run_for(seconds{1});
    CHECK_EQUAL(100U, fleet.nodes[9]->size());
    const std::uint64_t messages =
        2 * 2 + 20; // all facts from two peers, and the joiner's own pushes
    CHECK_COMPARE(fleet.net.sent - before, <=, messages);
}

// The peers are set again before each push, as embedders do. The router must still not skip any.
TEST(fact_table_test, all_peers_of_a_small_fleet_are_pushed_to_before_any_repeats)
{
    fact_table table({"self", 1});
    std::vector<member_address> peers;
    for (std::uint16_t port = 0; port < 8; ++port) {
        peers.push_back({std::to_string(port), "", port});
    }
    instant now{seconds{1}};
    table.set_peers(peers, now);
    table.publish(kind, "a", 1, seconds{60}, now);
    std::ignore = table.take_actions();
    std::set<std::uint16_t> pushed;
    for (int push = 0; push < 4; ++push) {
        now += milliseconds{200};
        table.set_peers(peers, now);
        table.on_tick(now);
        for (const auto& action : table.take_actions()) {
            pushed.insert(std::get<send_message>(action).to.port);
        }
    }
    CHECK_EQUAL(8U, pushed.size());
}

TEST(fact_table_test, the_table_is_bounded_and_drops_the_fact_that_expires_first)
{
    fact_table_settings settings;
    settings.max_facts = 2;
    fact_table table(settings);
    table.publish(kind, "long", 1, seconds{60}, instant{});
    table.publish(kind, "short", 1, seconds{5}, instant{});
    table.publish(kind, "middle", 1, seconds{30}, instant{});
    CHECK_EQUAL(2U, table.size());
    CHECK_EQUAL(0U, table.about(kind, "short").size());
}

// Newer versions of a fact are published while older ones are still in transit, late and
// duplicated.
TEST(fact_table_test, the_newest_fact_of_each_author_wins_everywhere)
{
    const bool held = holds_for_seeds("facts", [](std::uint64_t seed) {
        fact_fleet fleet(seed, 8);
        fleet.net.longest_delay = milliseconds{1500};
        fleet.net.lost_percent = 10;
        for (int value = 1; value <= 10; ++value) {
            fleet.publish("a", value, seconds{60});
            fleet.clock.run_for(fleet.clock.delay(milliseconds{700}));
        }
        fleet.clock.run_for(seconds{8});
        RC_ASSERT(fleet.count_knowing("a", 10) == 8U);
    });
    CHECK_TRUE(held);
}
