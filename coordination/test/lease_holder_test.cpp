#include "pearhaven/coordination/lease_holder.hpp"

#include "property.hpp"
#include "simulation.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::coordination::simulation;

namespace {

class table_duty_codec : public duty_codec {
public:
    [[nodiscard]] std::string write_duty(const duty_record& record) const override
    {
        return this->records.write(record);
    }
    [[nodiscard]] std::optional<duty_record> read_duty(std::string_view text) const override
    {
        return this->records.read(text);
    }

private:
    mutable value_table<duty_record> records;
};

// Candidates for one duty.
struct duty_bench : fleet<lease_holder> {
    duty_bench(std::uint64_t seed, std::size_t size) : fleet(seed, size), last_order(size)
    {
        this->start_all();
    }

    std::unique_ptr<lease_holder> make(std::size_t node) override
    {
        lease_holder_settings settings{"rollouts", this->id(node), node};
        auto made = std::make_unique<lease_holder>(settings, this->codec, this->clock.now());
        made->set_candidate(true);
        return made;
    }

    void on_action(std::size_t /*node*/, const lease_holder::action& action) override
    {
        if (const auto* taken = std::get_if<duty_taken>(&action)) {
            this->faults += taken->number <= this->highest_number ? 1 : 0;
            this->highest_number = taken->number;
            ++this->takes;
        }
    }

    // No two routers may order at a time; orders to endpoints that check no number come only when
    // no other router has ordered for as long as an order can take.
    void on_ticked(std::size_t node) override
    {
        const instant now = this->clock.now();
        if (!this->nodes[node]->may_order(now)) {
            return;
        }
        this->last_order[node] = now;
        const duration quiet = this->nodes[node]->may_order_unchecked(now)
                                   ? lease_holder_settings{}.longest_order
                                   : duration{};
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            const bool clash = other != node && (this->nodes[other]->may_order(now) ||
                                                 now - this->last_order[other] < quiet);
            this->faults += clash ? 1 : 0;
        }
    }

    std::size_t holder() const
    {
        std::size_t node = 0;
        while (node < this->nodes.size() && !this->nodes[node]->may_order(this->clock.now())) {
            ++node;
        }
        return node;
    }

    table_duty_codec codec;
    std::vector<instant> last_order;
    fencing_number highest_number = 0;
    int takes = 0;
    int faults = 0;
};

} // namespace

TEST_GROUP(lease_holder_test){};

TEST(lease_holder_test, one_candidate_takes_the_duty_and_keeps_it)
{
    duty_bench bench(1, 3);
    bench.clock.run_for(seconds{120});
    CHECK_COMPARE(bench.holder(), <, 3U);
    CHECK_EQUAL(1, bench.takes);
    CHECK_EQUAL(0, bench.faults);
}

// The holder is stopped for longer than its lease, another takes over, and the first goes on where
// it stood. It must see by its clock that its time is over before it does anything.
TEST(lease_holder_test, a_holder_paused_past_its_lease_may_not_order_when_it_wakes)
{
    duty_bench bench(2, 3);
    bench.clock.run_for(seconds{20});
    const std::size_t first = bench.holder();
    bench.paused[first] = true;
    bench.clock.run_for(seconds{20});
    CHECK_FALSE(bench.nodes[first]->may_order(bench.clock.now()));
    CHECK_COMPARE(bench.holder(), <, 3U);
    bench.paused[first] = false;
    bench.clock.run_for(seconds{20});
    CHECK_EQUAL(2, bench.takes);
    CHECK_EQUAL(0, bench.faults);
}

// The reply to the grant was on its way for five seconds, and the store counts from its sending.
TEST(lease_holder_test, the_lease_counts_from_the_start_of_its_grant)
{
    table_duty_codec codec;
    const instant start{seconds{100}};
    lease_holder holder({"rollouts", "a"}, codec, start);
    holder.set_candidate(true);
    holder.on_tick(start);
    holder.on_reply(1, {kv_outcome::not_found, 3, 0, {}}, start);
    holder.on_reply(2, {kv_outcome::ok, 3, 7, {}}, start + seconds{5});
    holder.on_reply(3, {kv_outcome::ok, 4, 0, {}}, start + seconds{5});
    CHECK_TRUE(holder.may_order(start + seconds{7}));
    CHECK_FALSE(holder.may_order(start + seconds{8}));
    CHECK_EQUAL(4U, holder.number());
}

// The old holder's last order may reach an endpoint that takes any number long after the new holder
// has begun, and undo what that one ordered.
TEST(lease_holder_test, a_new_holder_waits_before_it_orders_endpoints_that_check_no_number)
{
    duty_bench bench(3, 1);
    bench.clock.run_for(seconds{5});
    CHECK_TRUE(bench.nodes[0]->may_order(bench.clock.now()));
    CHECK_FALSE(bench.nodes[0]->may_order_unchecked(bench.clock.now()));
    bench.clock.run_for(seconds{20});
    CHECK_TRUE(bench.nodes[0]->may_order_unchecked(bench.clock.now()));
}

TEST(lease_holder_test, a_released_duty_is_free_at_once_for_others)
{
    duty_bench bench(4, 2);
    bench.clock.run_for(seconds{20});
    const std::size_t first = bench.holder();
    bench.nodes[first]->release();
    bench.carry_out(first);
    CHECK_EQUAL(0U, bench.nodes[first]->number());
    bench.clock.run_for(seconds{4});
    CHECK_EQUAL(1 - first, bench.holder());
}

// Random pauses, outages and lost replies. Never two at a time, the numbers rise, and when the
// faults end one candidate holds the duty.
TEST(lease_holder_test, no_schedule_of_faults_gives_the_duty_to_two_routers)
{
    const bool held = holds_for_seeds("duties", [](std::uint64_t seed) {
        duty_bench bench(seed, 3);
        bench.store.lost_percent = 20;
        bench.store.longest_delay = milliseconds{3000};
        for (int step = 0; step < 30; ++step) {
            const std::size_t node = bench.clock.below(3);
            bench.paused[node] = !bench.paused[node];
            bench.store.down = bench.clock.chance(20);
            bench.clock.run_for(bench.clock.delay(seconds{15}));
        }
        bench.end_faults();
        bench.clock.run_for(seconds{40});
        RC_ASSERT(bench.faults == 0);
        RC_ASSERT(bench.takes > 0);
        RC_ASSERT(bench.holder() < 3U);
    });
    CHECK_TRUE(held);
}
