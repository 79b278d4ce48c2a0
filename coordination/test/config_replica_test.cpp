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

// Replicas that all know each other; the first few read the store.
struct replica_fleet : fleet<config_replica> {
    replica_fleet(std::uint64_t seed, std::size_t size, std::size_t readers)
        : fleet(seed, size), reader_count(readers), highest_revision(size, 0)
    {
        this->start_all();
    }

    std::unique_ptr<config_replica> make(std::size_t node) override
    {
        config_replica_settings settings;
        settings.self = this->id(node);
        settings.zone = "osu";
        auto made = std::make_unique<config_replica>(settings, this->codec, this->clock.now());
        made->set_reader(node < this->reader_count, this->clock.now());
        return made;
    }

    void on_ticked(std::size_t node) override
    {
        std::vector<config_peer> live;
        for (const std::size_t other : this->running()) {
            if (other != node && this->live_nodes.count(other) != 0) {
                live.push_back({this->address(other), "osu", other < this->reader_count});
            }
        }
        this->nodes[node]->set_peers(live, this->clock.now());
        this->carry_out(node);
    }

    void replace(std::size_t node)
    {
        this->stop(node);
        // After a restart, a host can only recover a revision that some router still holds.
        std::uint64_t held = 0;
        for (const std::size_t other : this->running()) {
            held = std::max(held, this->nodes[other]->current()->revision());
        }
        this->highest_revision[node] = std::min(this->highest_revision[node], held);
        this->start(node);
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

    // Each applied configuration is the accepted state at its revision, and newer than any before
    // it.
    void on_action(std::size_t node, const config_replica::action& action) override
    {
        if (const auto* newer = std::get_if<config_applied>(&action)) {
            const config_state& state = *newer->state;
            std::uint64_t& last = this->last_in_force[this->id(node)];
            this->faults += state.objects() != this->states.at(state.revision())->objects() ? 1 : 0;
            this->faults += state.revision() <= last ? 1 : 0;
            last = state.revision();
        }
    }

    // A ready router is not behind the host's earlier incarnations, and holds everything accepted
    // before the instant that it reports as confirmed.
    void check_invariants()
    {
        for (const std::size_t node : this->running()) {
            const auto& replica = *this->nodes[node];
            const auto age = replica.confirmed_age(this->clock.now());
            const std::uint64_t revision = replica.current()->revision();
            if (age && this->accepted_before(this->clock.now() - *age) > revision) {
                ++this->faults;
            }
            if (replica.is_ready()) {
                this->faults += revision < this->highest_revision[node] ? 1 : 0;
                this->highest_revision[node] = revision;
            }
        }
    }

    bool all_at(std::uint64_t revision) const
    {
        return this->count_running([&](const config_replica& node) {
            return node.is_ready() && node.current()->revision() == revision;
        }) == this->nodes.size();
    }

    std::size_t count_accepting_work() const
    {
        return this->count_running([this](const config_replica& node) {
            return node.may_take_new_work(this->clock.now());
        });
    }

    table_config_codec codec;
    std::set<std::size_t> live_nodes{0, 1, 2, 3, 4, 5, 6, 7, 8}; // live nodes as seen by membership
    std::size_t reader_count;
    std::vector<std::uint64_t> highest_revision;
    std::map<incarnation_id, std::uint64_t> last_in_force;
    std::vector<config_state_ptr> states{config_state_ptr(new config_state)};
    std::vector<instant> written_at;
    int faults = 0;
};

void random_fault(replica_fleet& fleet)
{
    const std::size_t node = fleet.clock.below(fleet.nodes.size());
    switch (fleet.clock.below(9)) {
    case 0:
        fleet.store.down = !fleet.store.down;
        break;
    case 1:
        fleet.store_cut[node] = !fleet.store_cut[node];
        break;
    case 2:
        fleet.replace(node);
        break;
    case 3:
        fleet.net.cuts.empty() ? fleet.cut_both_ways(node, (node + 1) % 5) : fleet.net.cuts.clear();
        break;
    case 4:
        fleet.net.longest_delay = milliseconds{fleet.clock.chance(50) ? 2 : 4000};
        break;
    case 5:
        fleet.paused[node] = !fleet.paused[node];
        break;
    default:
        fleet.write(fleet.clock.chance(20));
    }
}

} // namespace

TEST_GROUP(config_replica_test){};

TEST(config_replica_test, a_change_takes_effect_everywhere_within_two_seconds)
{
    replica_fleet fleet(1, 6, 2);
    fleet.clock.run_for(seconds{3});
    fleet.write(false);
    fleet.clock.run_for(seconds{2});
    CHECK_TRUE(fleet.all_at(1));
    CHECK_EQUAL(0, fleet.faults);
}

TEST(config_replica_test, routers_that_are_no_readers_make_no_store_calls_without_faults)
{
    replica_fleet fleet(2, 6, 2);
    fleet.clock.run_for(seconds{3});
    const std::uint64_t before = fleet.store.calls;
    fleet.clock.run_for(seconds{10});
    const std::uint64_t watches = 2 * 10 * 1000 / 400;
    CHECK_COMPARE(fleet.store.calls - before, <=, watches);
}

TEST(config_replica_test, a_replica_too_far_behind_the_head_loads_the_snapshot)
{
    replica_fleet fleet(3, 3, 2);
    for (int count = 0; count < 9; ++count) {
        fleet.write(count == 6);
    }
    fleet.clock.run_for(seconds{3});
    CHECK_TRUE(fleet.all_at(9));
    CHECK_EQUAL(0, fleet.faults);
}

// The store refuses all calls for a while, or leaves them unanswered until they time out. Nobody
// can change anything meanwhile, and the routers can confirm this to each other: new work must be
// accepted at every moment, also before the outage is detected.
static void check_work_during_outage(duration time_to_fail)
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
            CHECK_EQUAL(9U, fleet.count_accepting_work());
        }
    }
}

TEST(config_replica_test, new_work_is_accepted_during_an_outage_in_which_the_store_refuses_calls)
{
    check_work_during_outage(duration{});
}

TEST(config_replica_test, new_work_is_accepted_during_an_outage_in_which_store_calls_time_out)
{
    check_work_during_outage(seconds{2});
}

// A router fails during an outage and is not detected yet. The others must continue without its
// answer.
TEST(config_replica_test, the_loss_of_a_peer_during_an_outage_stops_no_other_router)
{
    replica_fleet fleet(8, 6, 2);
    fleet.clock.run_for(seconds{5});
    fleet.store.down = true;
    fleet.clock.run_for(seconds{5});
    fleet.paused[5] = true;
    for (int step = 0; step < 100; ++step) {
        fleet.clock.run_for(milliseconds{100});
        CHECK_COMPARE(fleet.count_accepting_work(), >=, 5U);
    }
}

// Two of six routers are partitioned from both the store and the others. A version may be withdrawn
// on the other side at any time, so they must stop accepting work after the bound, also after their
// membership has removed the others; the four others continue.
TEST(config_replica_test, a_minority_partitioned_from_store_and_peers_stops_accepting_work)
{
    replica_fleet fleet(5, 6, 1);
    fleet.clock.run_for(seconds{5});
    for (const std::size_t node : {4U, 5U}) {
        fleet.store_cut[node] = true;
        for (const std::size_t other : {0U, 1U, 2U, 3U}) {
            fleet.cut_both_ways(node, other);
        }
    }
    fleet.clock.run_for(seconds{4});
    CHECK_EQUAL(4U, fleet.count_accepting_work());
    fleet.live_nodes = {4, 5};
    fleet.clock.run_for(seconds{10});
    CHECK_FALSE(fleet.nodes[4]->may_take_new_work(fleet.clock.now()));
    CHECK_FALSE(fleet.nodes[5]->may_take_new_work(fleet.clock.now()));
}

// One zone loses its connection to the store while the others keep it. Its routers must stay fresh
// and continue to work by means of their peers.
TEST(config_replica_test, routers_partitioned_only_from_the_store_follow_their_peers)
{
    replica_fleet fleet(6, 6, 2);
    fleet.clock.run_for(seconds{5});
    fleet.store_cut[0] = fleet.store_cut[4] = true;
    fleet.clock.run_for(seconds{5});
    fleet.write(false);
    fleet.clock.run_for(seconds{3});
    CHECK_TRUE(fleet.all_at(1));
    CHECK_EQUAL(6U, fleet.count_accepting_work());
    CHECK_FALSE(fleet.nodes[4]->is_outage_agreed(fleet.clock.now()));
}

// A router without the store, whose pulls the test answers. Pulls from a peer that is not listed
// are never answered.
struct isolated_replica {
    explicit isolated_replica(const std::vector<std::string>& peers)
        : replica({"a", "osu"}, codec, now)
    {
        std::vector<config_peer> live;
        live.reserve(peers.size());
        for (const std::string& id : peers) {
            live.push_back({{id, "", 0}, "osu", true});
        }
        this->replica.set_peers(live, this->now);
    }

    void answer(const std::map<std::string, config_update>& updates)
    {
        this->now += seconds{5};
        this->replica.on_tick(this->now);
        for (const auto& action : this->replica.take_actions()) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                this->replica.on_reply(call->tag, {}, this->now);
            } else if (const auto* sent = std::get_if<send_message>(&action)) {
                const auto found = updates.find(sent->to.id);
                if (found != updates.end()) {
                    config_update update = found->second;
                    update.nonce = std::get<config_pull>(sent->message).nonce;
                    this->replica.on_message(sent->to, update, this->now);
                }
            }
        }
        this->replica.on_tick(this->now);
    }

    table_config_codec codec;
    instant now{seconds{100}};
    config_replica replica;
};

static const config_update store_unreachable{0, 0, seconds{9}, false, {}, {}};
static const config_update store_readable{0, 0, seconds{9}, true, {}, {}};
static const config_update starting{0, 0, duration::max(), false, {}, {}};

// This router cannot read the store, and its copy ages. One of its two peers still reads the store:
// a withdrawal can arrive there at any time, so there must be no agreement on an outage.
TEST(config_replica_test, one_peer_that_reaches_the_store_prevents_agreement_on_an_outage)
{
    isolated_replica isolated({"b", "c"});
    isolated.answer({{"b", store_unreachable}, {"c", store_unreachable}});
    CHECK_TRUE(isolated.replica.is_outage_agreed(isolated.now));
    isolated.answer({{"b", store_unreachable}, {"c", store_readable}});
    CHECK_FALSE(isolated.replica.is_outage_agreed(isolated.now));
}

// The previous incarnation on this host, and one of its four peers, had revision 1. The other three
// peers are a majority, but becoming ready after their answers alone would revert to an older
// revision.
TEST(config_replica_test, a_startup_during_an_outage_waits_for_every_live_peer)
{
    isolated_replica isolated({"b", "c", "d", "e"});
    isolated.answer({{"b", store_unreachable}, {"c", store_unreachable}, {"d", store_unreachable}});
    CHECK_FALSE(isolated.replica.is_ready());
    const config_update ahead{0, 1, seconds{9}, false, {change_to(1, "x", "1")}, {}};
    isolated.answer({{"b", store_unreachable},
                     {"c", store_unreachable},
                     {"d", store_unreachable},
                     {"e", ahead}});
    CHECK_TRUE(isolated.replica.is_ready());
    CHECK_EQUAL(1U, isolated.replica.current()->revision());
}

TEST(config_replica_test, routers_that_all_start_during_an_outage_do_not_make_each_other_ready)
{
    isolated_replica isolated({"b", "c"});
    isolated.answer({{"b", starting}, {"c", starting}});
    CHECK_FALSE(isolated.replica.is_ready());
}

// A router is replaced during an outage. Its previous incarnation had revision 1, so it must not
// serve before it holds that revision again, which only its peers can provide.
TEST(config_replica_test, a_startup_during_an_outage_waits_for_the_highest_revision_of_peers)
{
    replica_fleet fleet(7, 4, 2);
    fleet.write(false);
    fleet.clock.run_for(seconds{5});
    fleet.store.down = true;
    fleet.clock.run_for(seconds{5});
    fleet.stop(3);
    for (const std::size_t other : {0U, 1U, 2U}) {
        fleet.cut_both_ways(3, other);
    }
    fleet.start(3);
    fleet.clock.run_for(seconds{5});
    CHECK_FALSE(fleet.nodes[3]->is_ready());
    fleet.net.cuts.clear();
    fleet.clock.run_for(seconds{5});
    CHECK_TRUE(fleet.all_at(1));
    CHECK_TRUE(fleet.nodes[3]->may_take_new_work(fleet.clock.now()));
}

// The reply to an early read of the head arrives after a later head was applied.
TEST(config_replica_test, a_late_old_reply_does_not_revert_the_revision)
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

TEST(config_replica_test, an_answer_confirms_only_the_start_of_its_pull_minus_its_age)
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

// Random outages, partitions, restarts, slow and lost messages. At all times each router's state is
// the accepted one at its revision, the revision never decreases (for a ready router not below that
// of the host's earlier incarnations), and everything accepted before the confirmed instant is
// applied. When the faults end, all routers agree.
TEST(config_replica_test, no_schedule_of_faults_reverts_a_revision_or_invalidates_the_confirmed_age)
{
    const bool held = holds_for_seeds("replicas", [](std::uint64_t seed) {
        replica_fleet fleet(seed, 5, 2);
        fleet.net.lost_percent = 10;
        fleet.store.lost_percent = 10;
        fleet.store.longest_delay = milliseconds{800};
        for (int step = 0; step < 60; ++step) {
            random_fault(fleet);
            fleet.clock.run_for(fleet.clock.delay(milliseconds{1500}));
            fleet.check_invariants();
        }
        fleet.end_faults();
        fleet.write(false);
        fleet.clock.run_for(seconds{15});
        RC_ASSERT(fleet.faults == 0);
        RC_ASSERT(fleet.all_at(fleet.written_at.size()));
    });
    CHECK_TRUE(held);
}
