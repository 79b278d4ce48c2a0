#include "pearhaven/coordination/watch_share.hpp"

#include "pearhaven/coordination/prefix_mirror.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr auto tick_time = milliseconds(10);

// The strictest bound on receiving a configuration.
constexpr auto strictest_bound = seconds(2);

std::string name_of(std::size_t router)
{
    return "router-" + std::to_string(router);
}

// The store's history: each revision writes a different key.
class model_store {
public:
    void write() { ++this->revision; }
    void write_large(std::size_t bytes)
    {
        ++this->revision;
        this->large.insert_or_assign(this->revision, std::string(bytes, 'x'));
    }

    [[nodiscard]] kv_reply read_after(store_revision after) const
    {
        kv_reply reply;
        reply.outcome = kv_outcome::ok;
        reply.revision = this->revision;
        for (auto at = after + 1; at <= this->revision; ++at) {
            const auto found = this->large.find(at);
            const auto value = found == this->large.end() ? "value" : found->second;
            reply.entries.push_back({"key-" + std::to_string(at), value, at});
        }
        return reply;
    }

    store_revision revision = 1;

private:
    std::map<store_revision, std::string> large;
};

std::size_t bytes_of(const mirror_update& update)
{
    std::size_t sum = 0;
    for (const auto& entry : update.entries) {
        sum += entry.key.size() + entry.value.size();
    }
    return sum;
}

// One router of a zone: its mirror, its view of who watches, and its open call to the store.
struct model_router {
    explicit model_router(std::size_t number)
        : share(watch_share_settings{name_of(number), "osu"}), mirror(prefix_mirror_settings{})
    {}

    watch_share share;
    prefix_mirror mirror;
    std::optional<store_call> open_call;
    instant called_at;
    store_revision forwarded_revision = 0;
    instant forwarded_at;
    bool alive = true;
    bool cut_off = false; // from the store
    int calls = 0;
    std::size_t bytes_forwarded = 0;
};

class model_zone {
public:
    explicit model_zone(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->routers.push_back(std::make_unique<model_router>(i));
            for (std::size_t other = 0; other < size; ++other) {
                this->routers.back()->share.set_peer(name_of(other), "osu");
            }
        }
    }

    void run_for(duration time)
    {
        for (const auto until = this->now + time; this->now < until; this->now += tick_time) {
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                if (this->routers[i]->alive) {
                    this->step(i);
                }
            }
        }
    }

    // Whether all running routers with access to the store have everything that it holds.
    [[nodiscard]] bool all_up_to_date() const
    {
        for (const auto& router : this->routers) {
            const bool is_checked = router->alive && !router->cut_off;
            if (is_checked && router->mirror.revision() < this->store.revision) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] std::set<std::size_t> in_mode(watch_mode mode) const
    {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            if (this->routers[i]->share.mode(this->now) == mode) {
                found.insert(i);
            }
        }
        return found;
    }

    [[nodiscard]] int calls() const
    {
        int sum = 0;
        for (const auto& router : this->routers) {
            sum += router->calls;
        }
        return sum;
    }

    std::vector<std::unique_ptr<model_router>> routers;
    model_store store;
    instant now = start;

private:
    void step(std::size_t number)
    {
        auto& router = *this->routers[number];
        router.mirror.set_mode(router.share.mode(this->now));
        router.mirror.on_tick(this->now);
        this->take_call(router);
        this->answer(router);
        this->forward(number);
    }

    void take_call(model_router& router)
    {
        for (const auto& action : router.mirror.take_actions()) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                router.open_call = *call;
                router.called_at = this->now;
                ++router.calls;
            }
        }
    }

    // A watch is answered once there are changes, or at its timeout; a call takes one tick.
    void answer(model_router& router)
    {
        if (!router.open_call || router.cut_off || this->now - router.called_at < tick_time) {
            return;
        }
        const auto* watch = std::get_if<kv_watch>(&router.open_call->request);
        const auto after = watch == nullptr ? 0 : watch->after;
        const bool is_due = watch == nullptr || this->store.revision > after ||
                            this->now - router.called_at >= watch->wait;
        if (is_due) {
            const auto tag = router.open_call->tag;
            router.open_call.reset();
            router.mirror.on_reply(tag, this->store.read_after(after), this->now);
            this->take_call(router);
        }
    }

    void forward(std::size_t number)
    {
        auto& router = *this->routers[number];
        const bool forwards = router.share.mode(this->now) == watch_mode::watcher &&
                              router.mirror.is_synchronized() &&
                              router.mirror.confirmed_at() != router.forwarded_at;
        if (!forwards) {
            return;
        }
        const auto from =
            router.forwarded_revision == 0 ? router.mirror.revision() : router.forwarded_revision;
        const auto update = without_large_values(router.mirror.updates_after(from).value());
        router.forwarded_revision = update.as_of;
        router.forwarded_at = router.mirror.confirmed_at();
        for (std::size_t to = 0; to < this->routers.size(); ++to) {
            if (to != number && this->routers[to]->alive) {
                this->receive(*this->routers[to], router, update);
            }
        }
    }

    void receive(model_router& recipient, model_router& sender, const mirror_update& update) const
    {
        const auto known = recipient.mirror.revision();
        const bool pulls_from_sender = update.after > known && !recipient.mirror.must_read_store();
        const auto received = pulls_from_sender
                                  ? without_large_values(sender.mirror.updates_after(known).value())
                                  : update;
        sender.bytes_forwarded += bytes_of(received);
        recipient.mirror.on_peer_update(received);
        recipient.share.on_watcher_update(received.as_of, recipient.mirror.revision(), {},
                                          this->now);
    }
};

} // namespace

TEST_GROUP(watch_share){};

TEST(watch_share, two_routers_of_a_large_zone_watch_for_all)
{
    model_zone zone(30);
    zone.run_for(seconds(2));
    CHECK_EQUAL(2U, zone.in_mode(watch_mode::watcher).size());
    CHECK_EQUAL(28U, zone.in_mode(watch_mode::follower).size());
    const int before = zone.calls();
    for (int i = 0; i < 20; ++i) {
        zone.store.write();
        zone.run_for(milliseconds(500));
        CHECK_TRUE(zone.all_up_to_date());
    }
    // Without sharing, each of the thirty routers would have made a call for each write.
    CHECK_TRUE(zone.calls() - before <= 2 * 40 + 10);
}

TEST(watch_share, in_a_small_zone_each_router_watches_for_itself)
{
    model_zone zone(7);
    zone.run_for(seconds(1));
    CHECK_EQUAL(7U, zone.in_mode(watch_mode::independent).size());
}

TEST(watch_share, routers_of_other_zones_do_not_count)
{
    watch_share share({"self", "osu"});
    for (int i = 0; i < 90; ++i) {
        share.set_peer(std::to_string(i), "tema");
    }
    CHECK_TRUE(watch_mode::independent == share.mode(start));
}

// Callers get no answers from two routers of each zone for many seconds after operators wrote a
// configuration of half a megabyte: the two watchers forwarded it to all others of the zone, and
// their answers to callers were queued behind it on their links.
TEST(watch_share, a_large_value_does_not_saturate_the_links_of_watchers)
{
    constexpr std::size_t half_a_megabyte = 500'000;
    constexpr std::size_t max_forwarded_bytes = 500'000; // passed on to 28 others
    model_zone zone(30);
    zone.run_for(seconds(2));
    zone.store.write_large(half_a_megabyte);
    zone.store.write(); // an endpoint leaves
    zone.run_for(milliseconds(600));
    CHECK_TRUE(zone.all_up_to_date());
    for (const auto& router : zone.routers) {
        CHECK_COMPARE(router->bytes_forwarded, <, max_forwarded_bytes);
    }
}

// Callers are refused on a route that was added two seconds ago. Both watchers of the zone crashed
// at the moment of the change and are still registered. Their followers must notice the missing
// updates and read the store themselves.
TEST(watch_share, followers_watch_for_themselves_when_all_watchers_crash)
{
    model_zone zone(30);
    zone.run_for(seconds(2));
    for (const auto watcher : zone.in_mode(watch_mode::watcher)) {
        zone.routers[watcher]->alive = false;
    }
    zone.store.write();
    zone.run_for(strictest_bound - milliseconds(300));
    CHECK_TRUE(zone.all_up_to_date());
}

// The same with watchers that run and reach their peers, but get no more replies from the store.
// Updates that they could still send do not confirm the store's state.
TEST(watch_share, followers_do_not_rely_on_watchers_without_access_to_the_store)
{
    model_zone zone(30);
    zone.run_for(seconds(2));
    for (const auto watcher : zone.in_mode(watch_mode::watcher)) {
        zone.routers[watcher]->cut_off = true;
    }
    zone.store.write();
    zone.run_for(strictest_bound - milliseconds(300));
    CHECK_TRUE(zone.all_up_to_date());
}

// The crash of one of two watchers must not affect any router.
TEST(watch_share, the_crash_of_one_watcher_delays_nothing)
{
    model_zone zone(30);
    zone.run_for(seconds(2));
    zone.routers[*zone.in_mode(watch_mode::watcher).begin()]->alive = false;
    zone.store.write();
    zone.run_for(milliseconds(600));
    CHECK_TRUE(zone.all_up_to_date());
}

TEST(watch_share, another_router_watches_when_a_watcher_is_removed)
{
    model_zone zone(30);
    zone.run_for(seconds(1));
    const auto removed = *zone.in_mode(watch_mode::watcher).begin();
    zone.routers[removed]->alive = false;
    for (const auto& router : zone.routers) {
        router->share.drop_peer(name_of(removed));
    }
    auto watchers = zone.in_mode(watch_mode::watcher);
    watchers.erase(removed);
    CHECK_EQUAL(2U, watchers.size());
}

// A watcher whose watch misses changes sends updates with a revision that its recipients have
// passed already.
TEST(watch_share, an_update_behind_the_own_revision_is_ignored)
{
    watch_share share({"a", "osu", 0});
    for (int i = 0; i < 9; ++i) {
        share.set_peer(std::to_string(i), "osu");
    }
    share.on_watcher_update(7, 8, {}, start);
    CHECK_TRUE(watch_mode::independent == share.mode(start + milliseconds(300)));
    share.on_watcher_update(8, 8, milliseconds(-1), start);
    CHECK_TRUE(watch_mode::independent == share.mode(start + milliseconds(300)));
    share.on_watcher_update(8, 8, {}, start);
    CHECK_TRUE(watch_mode::follower == share.mode(start + milliseconds(300)));
}

TEST(watch_share, the_age_of_an_update_counts_from_the_reply_of_the_store)
{
    watch_share share({"a", "osu", 0});
    for (int i = 0; i < 9; ++i) {
        share.set_peer(std::to_string(i), "osu");
    }
    share.on_watcher_update(8, 8, seconds(1), start);
    CHECK_TRUE(watch_mode::follower == share.mode(start + milliseconds(199)));
    CHECK_TRUE(watch_mode::independent == share.mode(start + milliseconds(401)));
}

// Guards against large values that take a watcher's narrow link, and then those of its zone.
TEST(watch_share, the_routers_with_the_widest_links_watch)
{
    std::vector<watch_share> routers;
    constexpr int count = 10;
    for (int own = 0; own < count; ++own) {
        watch_share_settings settings{std::to_string(own), "osu"};
        settings.link_mbps = own < 2 ? 200 : 10;
        auto& share = routers.emplace_back(settings);
        for (int other = 0; other < count; ++other) {
            share.set_peer(std::to_string(other), "osu", other < 2 ? 200 : 10);
        }
    }
    for (int own = 0; own < count; ++own) {
        CHECK_EQUAL(own < 2, watch_mode::watcher == routers[own].mode(start));
    }
}
