#include "pearhaven/coordination/config_replica.hpp"

#include "property.hpp"
#include "simulation.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::coordination::simulation;

namespace {

config_change change_to(std::uint64_t revision, const std::string& name, const std::string& body)
{
    return {revision, "w" + std::to_string(revision), "ama", 0, {{"team", name, body}}};
}

// A fleet of replicas, each with a link to every other and to the store, that can be cut.
struct replica_fleet {
    explicit replica_fleet(std::uint64_t seed, std::size_t size, std::size_t readers)
        : clock(seed), store(clock), net(clock), reader_count(readers), nodes(size), lives(size),
          store_cut(size, false), group(size, 0), highest(size, 0)
    {
        for (std::size_t node = 0; node < size; ++node) {
            this->start(node);
        }
    }

    incarnation_id id(std::size_t node) const
    {
        return std::to_string(node) + "." + std::to_string(this->lives[node]);
    }

    // After a restart, a host can know no more than what some router still holds.
    void start(std::size_t node)
    {
        ++this->lives[node];
        std::uint64_t held = 0;
        for (const auto& other : this->nodes) {
            held = std::max(held, other ? other->current()->revision() : 0);
        }
        this->highest[node] = std::min(this->highest[node], held);
        config_replica_settings settings;
        settings.self = this->id(node);
        settings.zone = "osu";
        settings.seed = node;
        this->nodes[node] =
            std::make_unique<config_replica>(settings, this->codec, this->clock.now());
        this->nodes[node]->set_reader(node < this->reader_count, this->clock.now());
        this->tick(node, this->lives[node]);
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            this->tell_peers(other);
        }
    }

    void stop(std::size_t node)
    {
        this->nodes[node].reset();
        ++this->lives[node];
    }

    void tell_peers(std::size_t node)
    {
        std::vector<config_peer> live;
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            if (other != node && this->nodes[other]) {
                live.push_back({{this->id(other), "", static_cast<std::uint16_t>(other)},
                                "osu",
                                other < this->reader_count});
            }
        }
        if (this->nodes[node]) {
            this->nodes[node]->set_peers(live, this->clock.now());
        }
    }

    void tick(std::size_t node, std::uint64_t life)
    {
        if (this->lives[node] != life) {
            return;
        }
        this->nodes[node]->on_tick(this->clock.now());
        this->carry_out(node);
        this->clock.after(milliseconds{50}, [=, this] { this->tick(node, life); });
    }

    void carry_out(std::size_t node)
    {
        for (const auto& action : this->nodes[node]->take_actions()) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                this->call(node, *call);
            } else if (const auto* message = std::get_if<send_message>(&action)) {
                this->send(node, *message);
            } else if (const auto* newer = std::get_if<config_in_force>(&action)) {
                this->check_in_force(node, *newer->state);
            }
        }
    }

    void call(std::size_t node, const store_call& call)
    {
        const std::uint64_t life = this->lives[node];
        const auto done = [=, this](const kv_reply& reply) {
            if (this->lives[node] == life) {
                this->nodes[node]->on_reply(call.tag, reply, this->clock.now());
                this->carry_out(node);
            }
        };
        if (this->store_cut[node]) {
            this->clock.after(milliseconds{1}, [done] { done({}); });
        } else {
            this->store.submit(call.request, done);
        }
    }

    void send(std::size_t node, const send_message& message)
    {
        const std::size_t to = message.to.port;
        if (this->group[node] != this->group[to]) {
            return;
        }
        const member_address from{this->id(node), "", static_cast<std::uint16_t>(node)};
        this->net.transmit(node, to, [=, this] {
            if (this->nodes[to] && this->id(to) == message.to.id) {
                this->nodes[to]->on_message(from, message.message, this->clock.now());
                this->carry_out(to);
            }
        });
    }

    void write(bool fold)
    {
        const kv_entry* entry = this->store.find("config/head");
        config_head head =
            entry == nullptr ? config_head{} : this->codec.read_head(entry->value).value();
        const std::uint64_t revision = head.revision + 1;
        if (fold) {
            const std::string page = this->codec.write_page(this->states.back()->objects());
            this->store.apply(kv_compare_and_swap{"config/page/" + page, page, 0, 0});
            head.pages = {"config/page/" + page};
            head.snapshot_revision = head.revision;
            head.changes.clear();
        }
        head.revision = revision;
        head.changes.push_back(change_to(revision, std::to_string(revision % 5),
                                         revision % 7 == 0 ? "" : std::to_string(revision)));
        this->states.push_back(this->states.back()->after(head.changes));
        this->store.apply(kv_compare_and_swap{"config/head", this->codec.write_head(head),
                                              entry == nullptr ? 0 : entry->revision, 0});
        this->written_at.push_back(this->clock.now());
    }

    std::uint64_t accepted_before(instant when) const
    {
        return static_cast<std::uint64_t>(
            std::count_if(this->written_at.begin(), this->written_at.end(),
                          [&](instant written) { return written < when; }));
    }

    // What is in force is the true state at its revision, and newer than any before it, also in an
    // earlier life of the same host.
    void check_in_force(std::size_t node, const config_state& state)
    {
        this->faults += state.objects() != this->states.at(state.revision())->objects() ? 1 : 0;
        this->faults += state.revision() <= this->nodes_revision(node) ? 1 : 0;
        this->last_in_force[this->id(node)] = state.revision();
    }
    std::uint64_t nodes_revision(std::size_t node) { return this->last_in_force[this->id(node)]; }

    void check_claims()
    {
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            if (!this->nodes[node]) {
                continue;
            }
            const auto& replica = *this->nodes[node];
            const auto age = replica.confirmed_age(this->clock.now());
            const std::uint64_t revision = replica.current()->revision();
            if (age && this->accepted_before(this->clock.now() - *age) > revision) {
                ++this->faults;
            }
            if (replica.is_ready()) {
                this->faults += revision < this->highest[node] ? 1 : 0;
                this->highest[node] = revision;
            }
        }
    }

    bool all_at(std::uint64_t revision) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
            return node->is_ready() && node->current()->revision() == revision;
        });
    }

    std::size_t working() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
                return node && node->may_take_new_work(this->clock.now());
            }));
    }

    scheduler clock;
    model_store store;
    network net;
    table_config_codec codec;
    std::size_t reader_count;
    std::vector<std::unique_ptr<config_replica>> nodes;
    std::vector<std::uint64_t> lives;
    std::vector<bool> store_cut;
    std::vector<int> group;
    std::vector<std::uint64_t> highest;
    std::map<incarnation_id, std::uint64_t> last_in_force;
    std::vector<config_state_ptr> states{config_state_ptr(new config_state)};
    std::vector<instant> written_at;
    int faults = 0;
};

void random_fault(replica_fleet& fleet)
{
    const std::size_t node = fleet.clock.below(fleet.nodes.size());
    switch (fleet.clock.below(8)) {
    case 0:
        fleet.store.down = !fleet.store.down;
        break;
    case 1:
        fleet.store_cut[node] = !fleet.store_cut[node];
        break;
    case 2:
        fleet.stop(node);
        fleet.start(node);
        break;
    case 3:
        fleet.group[node] = 1 - fleet.group[node];
        break;
    case 4:
        fleet.net.longest_delay =
            fleet.net.longest_delay > milliseconds{2} ? milliseconds{2} : milliseconds{4000};
        break;
    default:
        fleet.write(fleet.clock.chance(20));
    }
}

} // namespace

TEST_GROUP(config_replica_test){};

TEST(config_replica_test, a_change_is_in_force_everywhere_within_two_seconds)
{
    replica_fleet fleet(1, 6, 2);
    fleet.clock.run_for(seconds{3});
    fleet.write(false);
    fleet.clock.run_for(seconds{2});
    CHECK_TRUE(fleet.all_at(1));
    CHECK_EQUAL(0, fleet.faults);
}

TEST(config_replica_test, routers_that_do_not_read_ask_the_store_nothing_while_all_is_well)
{
    replica_fleet fleet(2, 6, 2);
    fleet.clock.run_for(seconds{3});
    const std::uint64_t before = fleet.store.calls;
    fleet.clock.run_for(seconds{10});
    const std::uint64_t watches = 2 * 10 * 1000 / 400;
    CHECK_COMPARE(fleet.store.calls - before, <=, watches);
}

TEST(config_replica_test, a_replica_left_behind_the_head_takes_the_snapshot)
{
    replica_fleet fleet(3, 3, 2);
    for (int count = 0; count < 9; ++count) {
        fleet.write(count == 6);
    }
    fleet.clock.run_for(seconds{3});
    CHECK_TRUE(fleet.all_at(9));
    CHECK_EQUAL(0, fleet.faults);
}

// The store refuses each call for a while, or leaves it without any answer until it times out.
// Nobody can change anything meanwhile, and all routers can tell each other so: callers see no
// refusal at any moment, also not while the routers find it out.
static void check_work_through_an_outage(duration time_to_fail)
{
    for (int phase = 0; phase < 20; ++phase) {
        replica_fleet fleet(4, 9, 2);
        fleet.net.longest_delay = milliseconds{50};
        fleet.write(false);
        fleet.clock.run_for(seconds{5} + milliseconds{73} * phase);
        fleet.store.down = true;
        fleet.store.time_to_fail = time_to_fail;
        for (int step = 0; step < 100; ++step) {
            fleet.clock.run_for(milliseconds{100});
            CHECK_EQUAL(9U, fleet.working());
        }
    }
}

TEST(config_replica_test, work_goes_on_through_an_outage_in_which_the_store_refuses_calls)
{
    check_work_through_an_outage(duration{});
}

TEST(config_replica_test, work_goes_on_through_an_outage_in_which_the_store_is_silent)
{
    check_work_through_an_outage(seconds{2});
}

// Two of six routers lose both the store and the others. A version may be withdrawn on the other
// side at any time, so they stop taking work after the bound, and go on doing so when their
// membership has long given up the others; the four others go on.
TEST(config_replica_test, a_minority_cut_off_from_store_and_peers_stops_taking_work)
{
    replica_fleet fleet(5, 6, 1);
    fleet.clock.run_for(seconds{5});
    for (const std::size_t node : {4U, 5U}) {
        fleet.group[node] = 1;
        fleet.store_cut[node] = true;
    }
    fleet.clock.run_for(seconds{4});
    CHECK_EQUAL(4U, fleet.working());
    fleet.nodes[4]->set_peers({{{fleet.id(5), "", 5}, "osu", false}}, fleet.clock.now());
    fleet.nodes[5]->set_peers({{{fleet.id(4), "", 4}, "osu", false}}, fleet.clock.now());
    fleet.clock.run_for(seconds{10});
    CHECK_EQUAL(4U, fleet.working());
}

// One zone loses its way to the store while the others keep it. Its routers hear from the others
// and stay both fresh and at work.
TEST(config_replica_test, routers_cut_off_from_the_store_alone_follow_their_peers)
{
    replica_fleet fleet(6, 6, 2);
    fleet.clock.run_for(seconds{5});
    fleet.store_cut[0] = fleet.store_cut[4] = true;
    fleet.clock.run_for(seconds{5});
    fleet.write(false);
    fleet.clock.run_for(seconds{3});
    CHECK_TRUE(fleet.all_at(1));
    CHECK_EQUAL(6U, fleet.working());
    CHECK_FALSE(fleet.nodes[4]->is_outage_agreed(fleet.clock.now()));
}

// This router cannot read the store, and what it knows grows old. One of its two peers still reads:
// a withdrawal can come through there at any time, so that there is no outage to agree on.
TEST(config_replica_test, one_peer_that_reaches_the_store_forbids_to_agree_on_an_outage)
{
    table_config_codec codec;
    instant now{seconds{100}};
    config_replica replica({"a", "osu"}, codec, now);
    replica.set_peers({{{"b", "", 0}, "osu", true}, {{"c", "", 0}, "osu", true}}, now);
    for (const bool reachable : {false, true}) {
        now += seconds{5};
        replica.on_tick(now);
        for (const auto& action : replica.take_actions()) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                replica.on_reply(call->tag, {}, now);
            } else if (const auto* sent = std::get_if<send_message>(&action)) {
                const std::uint64_t nonce = std::get<config_pull>(sent->message).nonce;
                const bool reads = reachable && sent->to.id == "c";
                replica.on_message(sent->to, config_update{nonce, 0, seconds{9}, reads, {}, {}},
                                   now);
            }
        }
        CHECK_TRUE(replica.is_outage_agreed(now) == !reachable);
    }
}

// A router is replaced during an outage. Its former life had revision 1 in force, so that it must
// not serve before it has that again, which only its peers can tell.
TEST(config_replica_test, a_start_during_an_outage_waits_for_the_highest_revision_of_peers)
{
    replica_fleet fleet(7, 4, 2);
    fleet.write(false);
    fleet.clock.run_for(seconds{5});
    fleet.store.down = true;
    fleet.clock.run_for(seconds{5});
    fleet.stop(3);
    fleet.group[3] = 1;
    fleet.start(3);
    fleet.clock.run_for(seconds{5});
    CHECK_FALSE(fleet.nodes[3]->is_ready());
    fleet.group[3] = 0;
    fleet.clock.run_for(seconds{5});
    CHECK_TRUE(fleet.all_at(1));
    CHECK_TRUE(fleet.nodes[3]->may_take_new_work(fleet.clock.now()));
}

// An answer to an early read of the head comes after a later one was applied.
TEST(config_replica_test, a_slow_old_reply_does_not_bring_back_an_old_revision)
{
    table_config_codec codec;
    const instant start{seconds{1}};
    config_replica replica({"a", "osu"}, codec, start);
    replica.on_tick(start);
    const auto asked = std::get<store_call>(replica.take_actions().at(0));
    replica.set_peers({{{"b", "", 0}, "osu", true}}, start);
    const auto sent = std::get<send_message>(replica.take_actions().at(0));
    const std::uint64_t nonce = std::get<config_pull>(sent.message).nonce;
    const std::vector<config_change> both{change_to(1, "x", "1"), change_to(2, "x", "2")};
    replica.on_message(sent.to, config_update{nonce, 2, seconds{1}, true, both, {}},
                       start + seconds{1});
    const config_head old{1, "w1", {change_to(1, "x", "1")}, {}, 0};
    replica.on_reply(asked.tag, {kv_outcome::ok, 5, 0, {{"config/head", codec.write_head(old), 5}}},
                     start + seconds{2});
    CHECK_EQUAL(2U, replica.current()->revision());
    CHECK_TRUE(replica.is_ready());
}

TEST(config_replica_test, an_answer_confirms_no_more_than_the_start_of_its_pull_less_its_age)
{
    table_config_codec codec;
    const instant start{seconds{100}};
    config_replica replica({"a", "osu"}, codec, start);
    replica.set_peers({{{"b", "", 0}, "osu", true}}, start);
    const auto sent = std::get<send_message>(replica.take_actions().at(0));
    const std::uint64_t nonce = std::get<config_pull>(sent.message).nonce;
    const config_update update{nonce, 0, seconds{2}, true, {}, {}};
    replica.on_message(sent.to, update, start + seconds{5});
    CHECK_TRUE(replica.confirmed_age(start + seconds{5}) == seconds{7});
    CHECK_FALSE(replica.is_ready());
}

TEST(config_replica_test, an_unreadable_head_is_reported_and_confirms_nothing)
{
    table_config_codec codec;
    const instant start{seconds{1}};
    config_replica replica({"a", "osu"}, codec, start);
    replica.on_tick(start);
    const auto asked = std::get<store_call>(replica.take_actions().at(0));
    replica.on_reply(asked.tag, {kv_outcome::ok, 5, 0, {{"config/head", "{", 5}}}, start);
    CHECK_TRUE(std::holds_alternative<unreadable_value>(replica.take_actions().at(0)));
    CHECK_FALSE(replica.confirmed_age(start).has_value());
}

// Random outages, cuts, restarts, slow and lost messages. At all times each router's state is the
// accepted one at its revision, the revision never falls (for a ready router: nor below that of the
// host's earlier lives), and all that was accepted before the confirmed instant is in force. When
// the faults end, all routers agree.
TEST(config_replica_test, no_schedule_of_faults_reverts_a_router_or_falsifies_its_age)
{
    const bool held = holds_for_seeds("replicas", [](std::uint64_t seed) {
        replica_fleet fleet(seed, 5, 2);
        fleet.net.lost_percent = 10;
        fleet.store.lost_percent = 10;
        fleet.store.longest_delay = milliseconds{800};
        for (int step = 0; step < 60; ++step) {
            random_fault(fleet);
            fleet.clock.run_for(fleet.clock.delay(milliseconds{1500}));
            fleet.check_claims();
        }
        fleet.store.down = false;
        fleet.net.lost_percent = fleet.store.lost_percent = 0;
        fleet.store_cut.assign(5, false);
        fleet.group.assign(5, 0);
        fleet.write(false);
        fleet.clock.run_for(seconds{15});
        RC_ASSERT(fleet.faults == 0);
        RC_ASSERT(fleet.all_at(fleet.written_at.size()));
    });
    CHECK_TRUE(held);
}
