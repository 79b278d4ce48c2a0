#include "pearhaven/coordination/fact_table.hpp"

#include "property.hpp"
#include "simulation.hpp"

#include <algorithm>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::coordination::simulation;

namespace {

constexpr fact_kind kind = fact_kind::endpoint_leaving;

struct fact_fleet {
    fact_fleet(std::uint64_t seed, std::size_t size) : clock(seed), net(clock)
    {
        for (std::size_t node = 0; node < size; ++node) {
            this->join();
        }
    }

    void join()
    {
        const std::size_t node = this->tables.size();
        fact_table_settings settings;
        settings.self = std::to_string(node);
        settings.seed = this->clock.below(1000);
        this->tables.emplace_back(settings);
        for (std::size_t other = 0; other <= node; ++other) {
            std::vector<member_address> peers;
            for (std::size_t peer = 0; peer <= node; ++peer) {
                if (peer != other) {
                    peers.push_back({std::to_string(peer), "", static_cast<std::uint16_t>(peer)});
                }
            }
            this->tables[other].set_peers(peers, this->clock.now());
            this->carry_out(other);
        }
    }

    void run_for(duration span)
    {
        for (duration passed{}; passed < span; passed += milliseconds{100}) {
            for (std::size_t node = 0; node < this->tables.size(); ++node) {
                this->tables[node].on_tick(this->clock.now());
                this->carry_out(node);
            }
            this->clock.run_for(milliseconds{100});
        }
    }

    void carry_out(std::size_t node)
    {
        for (const auto& action : this->tables[node].take_actions()) {
            if (const auto* sent = std::get_if<send_message>(&action)) {
                const std::size_t to = sent->to.port;
                this->net.transmit(node, to, [=, this, body = sent->message] {
                    this->tables[to].on_message(body, this->clock.now());
                });
            }
        }
    }

    std::size_t knowing(std::string_view subject, double value) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->tables.begin(), this->tables.end(), [&](const auto& table) {
                const auto found = table.about(kind, subject);
                return found.size() == 1 && found[0].value == value;
            }));
    }

    scheduler clock;
    network net;
    std::deque<fact_table> tables;
};

} // namespace

TEST_GROUP(fact_table_test){};

TEST(fact_table_test, a_fact_is_known_everywhere_within_two_seconds_and_then_costs_nothing)
{
    fact_fleet fleet(1, 40);
    fleet.tables[7].publish(kind, "10.0.0.1:80", 1, seconds{60}, fleet.clock.now());
    fleet.run_for(seconds{2});
    CHECK_EQUAL(40U, fleet.knowing("10.0.0.1:80", 1));
    fleet.run_for(seconds{5});
    const std::uint64_t before = fleet.net.sent;
    fleet.run_for(seconds{10});
    CHECK_EQUAL(before, fleet.net.sent);
}

// Copies of a fact go round for some time. Were each taken with its whole time again, the fact
// would outlive its author's will for ever.
TEST(fact_table_test, a_fact_is_forgotten_everywhere_when_its_time_is_over)
{
    fact_fleet fleet(2, 10);
    fleet.tables[0].publish(kind, "a", 1, seconds{3}, fleet.clock.now());
    fleet.run_for(milliseconds{2500});
    CHECK_EQUAL(10U, fleet.knowing("a", 1));
    fleet.join();
    fleet.run_for(seconds{1});
    CHECK_EQUAL(0U, fleet.knowing("a", 1));
}

TEST(fact_table_test, a_router_that_joins_learns_the_older_facts)
{
    fact_fleet fleet(3, 10);
    for (int subject = 0; subject < 100; ++subject) {
        fleet.tables[0].publish(kind, std::to_string(subject), 1, seconds{600}, fleet.clock.now());
    }
    fleet.run_for(seconds{20});
    const std::uint64_t before = fleet.net.sent;
    fleet.join();
    fleet.run_for(seconds{1});
    CHECK_EQUAL(100U, fleet.tables[10].size());
    const std::uint64_t messages = 2 * 2 + 20; // two welcomes, and the joiner's own pushes
    CHECK_COMPARE(fleet.net.sent - before, <=, messages);
}

TEST(fact_table_test, the_table_is_bounded_and_drops_what_would_be_forgotten_soonest)
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

// Facts are stated anew while older statements are still on their way, late and twice.
TEST(fact_table_test, of_each_author_the_newest_fact_holds_everywhere)
{
    const bool held = holds_for_seeds("facts", [](std::uint64_t seed) {
        fact_fleet fleet(seed, 8);
        fleet.net.longest_delay = milliseconds{1500};
        fleet.net.lost_percent = 10;
        for (int value = 1; value <= 10; ++value) {
            fleet.tables[0].publish(kind, "a", value, seconds{60}, fleet.clock.now());
            fleet.run_for(fleet.clock.delay(milliseconds{700}));
        }
        fleet.run_for(seconds{8});
        RC_ASSERT(fleet.knowing("a", 10) == 8U);
    });
    CHECK_TRUE(held);
}
