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

// The strictest bound on hearing of a configuration.
constexpr auto latest = seconds(2);

std::string name_of(std::size_t router)
{
    return "router-" + std::to_string(router);
}

// The store's history: each revision writes a key of its own.
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

std::size_t bytes_of(const mirror_update& news)
{
    std::size_t sum = 0;
    for (const auto& entry : news.entries) {
        sum += entry.key.size() + entry.value.size();
    }
    return sum;
}

// One router of a zone: its mirror, its idea of who watches, and its one open call to the store.
struct model_router {
    explicit model_router(std::size_t number)
        : share(watch_share_settings{name_of(number), "osu"}), mirror(prefix_mirror_settings{})
    {}

    watch_share share;
    prefix_mirror mirror;
    std::optional<store_call> open;
    instant asked;
    store_revision passed_on = 0;
    instant passed_on_at;
    bool alive = true;
    bool cut_off = false; // from the store
    int calls = 0;
    std::size_t bytes_passed_on = 0;
};

class watching_zone {
public:
    explicit watching_zone(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->routers.push_back(std::make_unique<model_router>(i));
            for (std::size_t other = 0; other < size; ++other) {
                this->routers.back()->share.set_peer(name_of(other), "osu");
            }
        }
    }

    void play(duration time)
    {
        for (const auto until = this->now + time; this->now < until; this->now += tick_time) {
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                if (this->routers[i]->alive) {
                    this->step(i);
                }
            }
        }
    }

    // Whether all that live and reach the store know of all that it holds.
    [[nodiscard]] bool all_know() const
    {
        for (const auto& router : this->routers) {
            const bool judged = router->alive && !router->cut_off;
            if (judged && router->mirror.revision() < this->store.revision) {
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
        this->pass_on(number);
    }

    void take_call(model_router& router)
    {
        for (const auto& action : router.mirror.take_actions()) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                router.open = *call;
                router.asked = this->now;
                ++router.calls;
            }
        }
    }

    // A watch is answered once there is something to tell, and at its end; one tick is the way.
    void answer(model_router& router)
    {
        if (!router.open || router.cut_off || this->now - router.asked < tick_time) {
            return;
        }
        const auto* watch = std::get_if<kv_watch>(&router.open->request);
        const auto after = watch == nullptr ? 0 : watch->after;
        const bool is_due = watch == nullptr || this->store.revision > after ||
                            this->now - router.asked >= watch->wait;
        if (is_due) {
            const auto tag = router.open->tag;
            router.open.reset();
            router.mirror.on_reply(tag, this->store.read_after(after), this->now);
            this->take_call(router);
        }
    }

    void pass_on(std::size_t number)
    {
        auto& router = *this->routers[number];
        const bool passes = router.share.mode(this->now) == watch_mode::watcher &&
                            router.mirror.is_synchronized() &&
                            router.mirror.confirmed_at() != router.passed_on_at;
        if (!passes) {
            return;
        }
        const auto from = router.passed_on == 0 ? router.mirror.revision() : router.passed_on;
        const auto news = without_large_values(router.mirror.updates_after(from).value());
        router.passed_on = news.as_of;
        router.passed_on_at = router.mirror.confirmed_at();
        for (std::size_t to = 0; to < this->routers.size(); ++to) {
            if (to != number && this->routers[to]->alive) {
                this->hear(*this->routers[to], router, news);
            }
        }
    }

    void hear(model_router& listener, model_router& teller, const mirror_update& news) const
    {
        const auto known = listener.mirror.revision();
        const bool asks_teller = news.after > known && !listener.mirror.must_read_store();
        const auto rest =
            asks_teller ? without_large_values(teller.mirror.updates_after(known).value()) : news;
        teller.bytes_passed_on += bytes_of(rest);
        listener.mirror.on_peer_update(rest);
        listener.share.on_watcher_update(rest.as_of, listener.mirror.revision(), {}, this->now);
    }
};

} // namespace

TEST_GROUP(watch_share){};

TEST(watch_share, two_routers_of_a_large_zone_watch_for_all)
{
    watching_zone zone(30);
    zone.play(seconds(2));
    CHECK_EQUAL(2U, zone.in_mode(watch_mode::watcher).size());
    CHECK_EQUAL(28U, zone.in_mode(watch_mode::follower).size());
    const int before = zone.calls();
    for (int i = 0; i < 20; ++i) {
        zone.store.write();
        zone.play(milliseconds(500));
        CHECK_TRUE(zone.all_know());
    }
    // Alone, each of thirty would have made a call for each write.
    CHECK_TRUE(zone.calls() - before <= 2 * 40 + 10);
}

TEST(watch_share, in_a_small_zone_each_router_watches_for_itself)
{
    watching_zone zone(7);
    zone.play(seconds(1));
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

// Callers get no answers from two routers of each zone, for many seconds after the operators stated
// a configuration of half a megabyte: it went from them to all the others of the zone, and whatever
// these two had to send waited behind it for their links.
TEST(watch_share, a_large_value_takes_no_watchers_link)
{
    constexpr std::size_t half_a_megabyte = 500'000;
    constexpr std::size_t part_of_a_link = 500'000; // passed on to 28 others
    watching_zone zone(30);
    zone.play(seconds(2));
    zone.store.write_large(half_a_megabyte);
    zone.store.write(); // an endpoint leaves
    zone.play(milliseconds(600));
    CHECK_TRUE(zone.all_know());
    for (const auto& router : zone.routers) {
        CHECK_COMPARE(router->bytes_passed_on, <, part_of_a_link);
    }
}

// Callers are refused on a route that was added two seconds ago. Both watchers of the zone died at
// the moment of the change, and are registered still. Their followers notice that no word comes and
// ask the store themselves.
TEST(watch_share, followers_watch_for_themselves_when_all_watchers_die)
{
    watching_zone zone(30);
    zone.play(seconds(2));
    for (const auto watcher : zone.in_mode(watch_mode::watcher)) {
        zone.routers[watcher]->alive = false;
    }
    zone.store.write();
    zone.play(latest - milliseconds(300));
    CHECK_TRUE(zone.all_know());
}

// The same with watchers that live, reach their peers, and wait for a store that answers them no
// more. What they could still say is no word of the store's.
TEST(watch_share, watchers_that_are_cut_off_from_the_store_are_not_gone_by)
{
    watching_zone zone(30);
    zone.play(seconds(2));
    for (const auto watcher : zone.in_mode(watch_mode::watcher)) {
        zone.routers[watcher]->cut_off = true;
    }
    zone.store.write();
    zone.play(latest - milliseconds(300));
    CHECK_TRUE(zone.all_know());
}

// The death of one of two watchers is no news to anybody.
TEST(watch_share, one_watchers_death_delays_nothing)
{
    watching_zone zone(30);
    zone.play(seconds(2));
    zone.routers[*zone.in_mode(watch_mode::watcher).begin()]->alive = false;
    zone.store.write();
    zone.play(milliseconds(600));
    CHECK_TRUE(zone.all_know());
}

TEST(watch_share, the_next_by_name_watches_when_a_watcher_is_gone)
{
    watching_zone zone(30);
    zone.play(seconds(1));
    const auto gone = *zone.in_mode(watch_mode::watcher).begin();
    zone.routers[gone]->alive = false;
    for (const auto& router : zone.routers) {
        router->share.drop_peer(name_of(gone));
    }
    auto watchers = zone.in_mode(watch_mode::watcher);
    watchers.erase(gone);
    CHECK_EQUAL(2U, watchers.size());
}

// A deaf watcher's words name a revision that its listeners have passed already.
TEST(watch_share, a_word_that_is_behind_is_none)
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

TEST(watch_share, a_word_counts_from_when_the_store_said_it)
{
    watch_share share({"a", "osu", 0});
    for (int i = 0; i < 9; ++i) {
        share.set_peer(std::to_string(i), "osu");
    }
    share.on_watcher_update(8, 8, seconds(1), start);
    CHECK_TRUE(watch_mode::follower == share.mode(start + milliseconds(199)));
    CHECK_TRUE(watch_mode::independent == share.mode(start + milliseconds(401)));
}
