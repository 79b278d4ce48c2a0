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

// A set of candidates for one duty.
struct duty_fleet : fleet<lease_holder> {
    duty_fleet(std::uint64_t seed, std::size_t size) : fleet(seed, size), last_order(size)
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
            this->violations += taken->number <= this->highest_number ? 1 : 0;
            this->highest_number = taken->number;
            ++this->acquisitions;
        }
    }

    // Checks that no two routers may order at the same time, and that endpoints that do not check
    // the fencing number get orders only once no other router has ordered for the longest time of
    // an order.
    void on_ticked(std::size_t node) override
    {
        const instant now = this->clock.now();
        if (!this->nodes[node]->may_order(now)) {
            return;
        }
        this->last_order[node] = now;
        const duration min_idle = this->nodes[node]->may_order_unchecked(now)
                                      ? lease_holder_settings{}.longest_order
                                      : duration{};
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            const bool conflict = other != node && (this->nodes[other]->may_order(now) ||
                                                    now - this->last_order[other] < min_idle);
            this->violations += conflict ? 1 : 0;
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
    int acquisitions = 0;
    int violations = 0;
};

} // namespace

TEST_GROUP(lease_holder_test){};

TEST(lease_holder_test, one_candidate_takes_the_duty_and_keeps_it)
{
    duty_fleet candidates(1, 3);
    candidates.clock.run_for(seconds{120});
    CHECK_COMPARE(candidates.holder(), <, 3U);
    CHECK_EQUAL(1, candidates.acquisitions);
    CHECK_EQUAL(0, candidates.violations);
}

// The holder is paused for longer than its lease, another router takes over, and the first one
// resumes. Its clock must show that its lease has expired before it sends an order.
TEST(lease_holder_test, holder_paused_past_its_lease_may_not_order_when_it_resumes)
{
    duty_fleet candidates(2, 3);
    candidates.clock.run_for(seconds{20});
    const std::size_t first = candidates.holder();
    candidates.paused[first] = true;
    candidates.clock.run_for(seconds{20});
    CHECK_FALSE(candidates.nodes[first]->may_order(candidates.clock.now()));
    CHECK_COMPARE(candidates.holder(), <, 3U);
    candidates.paused[first] = false;
    candidates.clock.run_for(seconds{20});
    CHECK_EQUAL(2, candidates.acquisitions);
    CHECK_EQUAL(0, candidates.violations);
}

// The reply to the grant takes five seconds, while the store counts the lease's time from the
// grant.
TEST(lease_holder_test, lease_time_counts_from_the_start_of_the_grant_request)
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

// The old holder's last order may reach an endpoint that does not check the fencing number long
// after the new holder took over, and revert the new holder's orders.
TEST(lease_holder_test, new_holder_waits_before_ordering_endpoints_that_do_not_check_fencing)
{
    duty_fleet candidates(3, 1);
    candidates.clock.run_for(seconds{5});
    CHECK_TRUE(candidates.nodes[0]->may_order(candidates.clock.now()));
    CHECK_FALSE(candidates.nodes[0]->may_order_unchecked(candidates.clock.now()));
    candidates.clock.run_for(seconds{20});
    CHECK_TRUE(candidates.nodes[0]->may_order_unchecked(candidates.clock.now()));
}

TEST(lease_holder_test, released_duty_is_available_to_others_at_once)
{
    duty_fleet candidates(4, 2);
    candidates.clock.run_for(seconds{20});
    const std::size_t first = candidates.holder();
    candidates.nodes[first]->release();
    candidates.carry_out(first);
    CHECK_EQUAL(0U, candidates.nodes[first]->number());
    candidates.clock.run_for(seconds{4});
    CHECK_EQUAL(1 - first, candidates.holder());
}

// Random pauses, outages and lost replies: there are never two holders at a time, the fencing
// numbers increase, and one candidate holds the duty after the faults have ended.
TEST(lease_holder_test, no_sequence_of_faults_gives_the_duty_to_two_routers)
{
    const bool held = holds_for_seeds("duties", [](std::uint64_t seed) {
        duty_fleet candidates(seed, 3);
        candidates.store.lost_percent = 20;
        candidates.store.longest_delay = milliseconds{3000};
        for (int step = 0; step < 30; ++step) {
            const std::size_t node = candidates.clock.below(3);
            candidates.paused[node] = !candidates.paused[node];
            candidates.store.down = candidates.clock.chance(20);
            candidates.clock.run_for(candidates.clock.delay(seconds{15}));
        }
        candidates.end_faults();
        candidates.clock.run_for(seconds{40});
        RC_ASSERT(candidates.violations == 0);
        RC_ASSERT(candidates.acquisitions > 0);
        RC_ASSERT(candidates.holder() < 3U);
    });
    CHECK_TRUE(held);
}
