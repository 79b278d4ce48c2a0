#include "pearhaven/coordination/prefix_mirror.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};

kv_reply reply_of(kv_outcome outcome, store_revision revision = 0,
                  std::vector<kv_entry> entries = {})
{
    kv_reply reply;
    reply.outcome = outcome;
    reply.revision = revision;
    reply.entries = std::move(entries);
    return reply;
}

} // namespace

TEST_GROUP(prefix_mirror)
{
    prefix_mirror mirror{prefix_mirror_settings{}};
    std::vector<prefix_mirror::action> seen;
    std::vector<store_call> calls;

    void tick(instant now)
    {
        this->mirror.on_tick(now);
        this->collect();
    }

    void answer(const kv_reply& reply, instant now)
    {
        const auto tag = this->calls.back().tag;
        this->mirror.on_reply(tag, reply, now);
        this->collect();
    }

    void collect()
    {
        for (const auto& action : this->mirror.take_actions()) {
            if (const auto* call = std::get_if<store_call>(&action)) {
                this->calls.push_back(*call);
            } else {
                this->seen.push_back(action);
            }
        }
    }

    [[nodiscard]] bool saw(const prefix_mirror::action& wanted) const
    {
        return std::find(this->seen.begin(), this->seen.end(), wanted) != this->seen.end();
    }

    [[nodiscard]] const kv_watch* last_watch() const
    {
        return std::get_if<kv_watch>(&this->calls.back().request);
    }

    // A list with one key, at revision 10.
    void list_one()
    {
        this->tick(start);
        this->answer(reply_of(kv_outcome::ok, 10, {{"things/a", "1", 7}}), start);
    }
};

TEST(prefix_mirror, lists_first_and_watches_from_the_lists_revision)
{
    this->list_one();
    CHECK_TRUE(this->saw(mirror_changed{{"things/a", "1", 7}}));
    CHECK_TRUE(this->saw(mirror_listed{}));
    CHECK_EQUAL(10U, this->last_watch()->after);
    CHECK_TRUE(this->mirror.is_synchronized());
}

TEST(prefix_mirror, tells_changes_and_removals_of_a_watch)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}, {"things/a", "", 12}}),
                 start);
    CHECK_TRUE(this->saw(mirror_changed{{"things/b", "2", 11}}));
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 12}));
    this->tick(start + milliseconds(150));
    CHECK_EQUAL(12U, this->last_watch()->after);
}

// Endpoints that start together write one after the other.
TEST(prefix_mirror, after_a_change_the_next_watch_waits_for_more_of_them)
{
    this->list_one();
    const auto before = this->calls.size();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}}), start);
    this->tick(start + milliseconds(149));
    CHECK_EQUAL(before, this->calls.size());
    this->tick(start + milliseconds(150));
    CHECK_EQUAL(before + 1, this->calls.size());
}

// Guards against three hundred routers that start together and each pay for a fresh list.
TEST(prefix_mirror, only_the_first_list_may_be_old)
{
    prefix_mirror_settings chosen;
    chosen.allow_stale_first_list = true;
    this->mirror = prefix_mirror(chosen);
    this->tick(start);
    CHECK_TRUE(std::get<kv_range>(this->calls.back().request).allow_stale);
    this->answer(reply_of(kv_outcome::ok, 10, {{"things/a", "1", 7}}), start);
    CHECK_EQUAL(10U, this->last_watch()->after);
    this->answer(reply_of(kv_outcome::not_found), start + seconds(1));
    CHECK_FALSE(std::get<kv_range>(this->calls.back().request).allow_stale);
}

// Guards against a list from a store that cannot be read and is asked for its old state for ever.
TEST(prefix_mirror, a_list_that_failed_is_asked_for_afresh)
{
    prefix_mirror_settings chosen;
    chosen.allow_stale_first_list = true;
    this->mirror = prefix_mirror(chosen);
    this->tick(start);
    this->answer(reply_of(kv_outcome::unavailable), start);
    this->tick(start + seconds(1));
    CHECK_FALSE(std::get<kv_range>(this->calls.back().request).allow_stale);
}

// Guards against late news for a whole zone where single routers may hear of them later.
TEST(prefix_mirror, a_router_that_watches_for_others_gathers_for_a_shorter_time)
{
    prefix_mirror_settings chosen;
    chosen.change_batch_delay = milliseconds(300);
    this->mirror = prefix_mirror(chosen);
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}}), start);
    this->tick(start + milliseconds(299));
    CHECK_EQUAL(2U, this->calls.size());
    this->tick(start + milliseconds(300));
    CHECK_EQUAL(3U, this->calls.size());
    this->mirror.set_mode(watch_mode::watcher);
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/b", "3", 13}}), start + seconds(1));
    this->tick(start + seconds(1) + milliseconds(150));
    CHECK_EQUAL(4U, this->calls.size());
}

TEST(prefix_mirror, an_older_value_never_replaces_a_newer_one)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "old", 6}}), start);
    STRCMP_EQUAL("1", this->mirror.entries().at("things/a").value.c_str());
}

// The store drops its history while a router is cut off. The watch is refused; what was removed in
// the gap is in no event any more, so only a whole list can tell it.
TEST(prefix_mirror, a_lost_history_leads_to_a_list)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::not_found), start + seconds(1));
    CHECK_TRUE(std::holds_alternative<kv_range>(this->calls.back().request));
    this->answer(reply_of(kv_outcome::ok, 30, {}), start + seconds(1));
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 0}));
}

// The store is away and leases run out meanwhile. On its return the key is missing although its
// owner lives, and the owner writes it again a second later. A router that believed the first look
// would have turned every endpoint away.
TEST(prefix_mirror, a_key_that_lapsed_while_the_store_was_away_has_time_to_come_back)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::unavailable), start + seconds(2));
    CHECK_TRUE(this->saw(mirror_lost{}));
    this->tick(start + seconds(6));
    this->answer(reply_of(kv_outcome::ok, 20, {{"things/a", "", 15}}), start + seconds(6));
    CHECK_TRUE(this->saw(mirror_regained{}));
    CHECK_FALSE(this->saw(mirror_removed{"things/a", 15}));
    this->tick(start + seconds(7));
    this->answer(reply_of(kv_outcome::ok, 21, {{"things/a", "1", 21}}), start + seconds(7));
    this->tick(start + seconds(20));
    CHECK_FALSE(this->saw(mirror_removed{"things/a", 15}));
}

TEST(prefix_mirror, a_lapsed_key_that_stays_away_is_gone)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::unavailable), start + seconds(2));
    this->tick(start + seconds(6));
    this->answer(reply_of(kv_outcome::ok, 20, {{"things/a", "", 15}}), start + seconds(6));
    this->tick(start + seconds(6) + milliseconds(2499));
    CHECK_FALSE(this->saw(mirror_removed{"things/a", 15}));
    this->tick(start + seconds(6) + milliseconds(2500));
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 15}));
}

TEST(prefix_mirror, failures_are_retried_with_growing_pauses)
{
    this->tick(start);
    auto now = start;
    for (int failure = 0; failure < 20; ++failure) {
        const auto before = this->calls.size();
        this->answer(reply_of(kv_outcome::unavailable), now);
        while (this->calls.size() == before) {
            now += milliseconds(10);
            this->tick(now);
        }
    }
    const auto spent = now - start;
    CHECK_TRUE(spent > seconds(5));
    CHECK_TRUE(spent < seconds(12));
}

TEST(prefix_mirror, a_reply_to_a_call_that_was_given_up_changes_nothing)
{
    this->tick(start);
    const auto old_tag = this->calls.back().tag;
    this->mirror.restart(start + seconds(1));
    this->collect();
    this->mirror.on_reply(old_tag, reply_of(kv_outcome::ok, 10, {{"things/a", "1", 7}}),
                          start + seconds(1));
    this->collect();
    CHECK_TRUE(this->mirror.entries().empty());
}

// The store turns this router away while it serves the others. What they say reaches it all the
// same, changes and removals, and never takes it back behind what it knows.
TEST(prefix_mirror, hears_of_changes_from_another_router)
{
    this->list_one();
    mirror_update news;
    news.as_of = 14;
    news.entries = {{"things/b", "2", 13}, {"things/a", "", 14}};
    this->mirror.on_peer_update(news);
    this->collect();
    CHECK_TRUE(this->saw(mirror_changed{{"things/b", "2", 13}}));
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 14}));
    CHECK_EQUAL(14U, this->mirror.revision());
    this->seen.clear();
    news.as_of = 12;
    news.entries = {{"things/a", "1", 7}};
    this->mirror.on_peer_update(news);
    this->collect();
    CHECK_TRUE(this->seen.empty());
}

// A list that another router made before this one heard of a key cannot miss that key.
TEST(prefix_mirror, a_whole_list_of_another_router_removes_only_what_it_could_hold)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/new", "3", 13}}), start);
    mirror_update news;
    news.as_of = 12;
    news.complete = true;
    this->mirror.on_peer_update(news); // older than what is known
    this->collect();
    CHECK_EQUAL(2U, this->mirror.entries().size());
    news.as_of = 14;
    news.entries = {{"things/new", "3", 13}};
    this->mirror.on_peer_update(news);
    this->collect();
    CHECK_EQUAL(1U, this->mirror.entries().size());
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 0}));
}

// This router asks the store for a list; while the answer is on its way another router tells of a
// key that came after it. The list must not take the key away again, nor the mirror back.
TEST(prefix_mirror, a_list_that_comes_late_takes_nothing_back)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::not_found),
                 start); // the history is gone: a list is under way
    mirror_update news;
    news.as_of = 14;
    news.entries = {{"things/b", "2", 13}};
    this->mirror.on_peer_update(news);
    this->collect();
    this->seen.clear();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "1", 7}}), start);
    CHECK_FALSE(this->saw(mirror_removed{"things/b", 0}));
    CHECK_EQUAL(2U, this->mirror.entries().size());
    CHECK_EQUAL(14U, this->mirror.revision());
}

// A watcher of the zone tells of a large configuration without its text, and in the same word that
// an endpoint leaves. Nothing more goes there at once, and this router asks the store for the rest.
TEST(prefix_mirror, asks_the_store_for_what_a_word_leaves_out)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 11, {}), start);
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::ok, 11, {}), start);
    const auto asked_before = this->calls.size();
    this->tick(start + seconds(1));
    CHECK_EQUAL(asked_before, this->calls.size());
    mirror_update word;
    word.after = 11;
    word.as_of = 14;
    word.first_omitted = 12;
    word.entries = {{"things/a", "", 13}};
    this->mirror.on_peer_update(word);
    this->collect();
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 13}));
    CHECK_TRUE(this->mirror.must_read_store());
    CHECK_EQUAL(11U, this->mirror.revision());
    this->tick(start + seconds(2));
    CHECK_EQUAL(11U, this->last_watch()->after);
    const kv_entry large{"things/large", std::string(100'000, 'x'), 12};
    this->answer(reply_of(kv_outcome::ok, 14, {large, {"things/a", "", 13}}), start + seconds(2));
    CHECK_TRUE(this->saw(mirror_changed{large}));
    CHECK_FALSE(this->mirror.must_read_store());
    CHECK_EQUAL(14U, this->mirror.revision());
    const auto asked = this->calls.size();
    this->tick(start + seconds(4));
    CHECK_EQUAL(asked, this->calls.size());
}

// Callers are answered as an older configuration wants, or go to an endpoint that has left, at one
// router and for as long as it runs. Two routers watch for it, and their words overlap: the second
// one leaves out two values, of which this router has the first. Only the first one's revision is
// named; since that is known, the second value counts as heard, and nobody asks for it again.
TEST(prefix_mirror, a_word_that_leaves_out_a_known_value_and_another_one_is_asked_for)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 15, {{"things/b", std::string(20'000, 'x'), 12}}), start);
    mirror_update of_other;
    of_other.after = 11;
    of_other.as_of = 20;
    of_other.entries = {{"things/b", std::string(20'000, 'x'), 12},
                        {"things/c", std::string(20'000, 'x'), 18}};
    this->mirror.on_peer_update(without_large_values(of_other));
    this->collect();
    CHECK_TRUE(this->mirror.must_read_store());
    CHECK_TRUE(this->mirror.revision() < 18);
}

// As above, by a word of a router that watches again after a while: more has changed since its last
// word than it keeps, so all is left out, from a revision on that this router knows already. What
// its newest watch brought is told by nobody any more, since the other watcher's word is no newer.
TEST(prefix_mirror, a_word_that_leaves_out_all_is_asked_for_also_behind_what_is_known)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 15, {}), start);
    mirror_update everything;
    everything.complete = true;
    everything.after = 5;
    everything.as_of = 20;
    everything.entries = {{"things/a", "1", 7}, {"things/c", "new", 18}};
    this->mirror.on_peer_update(without_large_values(everything));
    this->collect();
    CHECK_TRUE(this->mirror.must_read_store());
    CHECK_TRUE(this->mirror.revision() < 18);
}

// Callers are sent to an endpoint that left long ago, by a router that goes by another one's word.
// The other one had lost the store's history and listed anew: it never heard of the endpoint, which
// came and left meanwhile, and so tells of no removal; but it says that its word is all there was.
TEST(prefix_mirror, a_list_after_a_lost_history_hides_no_removal_from_others)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::not_found), start);
    this->answer(reply_of(kv_outcome::ok, 30, {{"things/a", "1", 7}}), start);
    const auto word = this->mirror.updates_after(15);
    CHECK_TRUE(word.has_value());
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    follower.on_reply(
        1, reply_of(kv_outcome::ok, 15, {{"things/a", "1", 7}, {"things/b", "1", 12}}), start);
    follower.on_peer_update(*word);
    CHECK_TRUE(follower.entries().count("things/b") == 0 || follower.revision() < 18);
}

// As above; the other one started while the store turned it away, and has its first list from a
// peer. What was removed before that list it cannot know.
TEST(prefix_mirror, a_first_list_from_a_peer_hides_no_removal_from_others)
{
    this->tick(start);
    this->answer(reply_of(kv_outcome::unavailable), start);
    mirror_update everything;
    everything.complete = true;
    everything.as_of = 20;
    everything.entries = {{"things/a", "1", 7}};
    this->mirror.on_peer_update(everything);
    this->tick(start + seconds(1));
    this->answer(reply_of(kv_outcome::ok, 30, {{"things/a", "1", 7}}), start + seconds(1));
    const auto word = this->mirror.updates_after(15);
    CHECK_TRUE(word.has_value());
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    follower.on_reply(
        1, reply_of(kv_outcome::ok, 15, {{"things/a", "1", 7}, {"things/b", "1", 12}}), start);
    follower.on_peer_update(*word);
    CHECK_TRUE(follower.entries().count("things/b") == 0 || follower.revision() < 18);
}

// The store turns this router away just when it has to ask. It goes on asking until it is answered,
// also when another router has told it everything meanwhile: else it would count as cut off for
// ever.
TEST(prefix_mirror, one_that_was_turned_away_comes_back_into_touch)
{
    this->list_one();
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::unavailable), start);
    CHECK_FALSE(this->mirror.is_synchronized());
    mirror_update news;
    news.after = 10;
    news.as_of = 12;
    news.entries = {{"things/large", std::string(100'000, 'x'), 12}};
    this->mirror.on_peer_update(news);
    this->tick(start + seconds(1));
    CHECK_EQUAL(12U, this->last_watch()->after);
    this->answer(reply_of(kv_outcome::ok, 12, {}), start + seconds(1));
    CHECK_TRUE(this->mirror.is_synchronized());
}

// Callers are sent to an endpoint for 2.5 s after it has left. The store had turned this router
// away and served the others all the while, as these said; when it is served again it hears that
// the endpoint's key is gone, and waits for it as if the store had been away for the endpoint as
// well.
TEST(prefix_mirror, a_removal_holds_at_once_where_the_store_served_others_all_the_while)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::unavailable), start);
    auto now = start;
    for (; now < start + seconds(4); now += milliseconds(300)) {
        this->mirror.on_peer_served_by_store(now - milliseconds(100));
    }
    this->tick(now);
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "", 12}}), now);
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 12}));
}

// The store was away for everybody, and others are served again a moment before this router. What
// could not be renewed meanwhile may still come back.
TEST(prefix_mirror, a_removal_waits_where_the_store_has_served_others_for_a_moment)
{
    this->list_one();
    this->mirror.on_peer_served_by_store(start);
    this->answer(reply_of(kv_outcome::unavailable), start);
    const auto back = start + seconds(6);
    this->mirror.on_peer_served_by_store(back - milliseconds(400));
    this->mirror.on_peer_served_by_store(back - milliseconds(100));
    this->tick(back);
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "", 12}}), back);
    CHECK_FALSE(this->saw(mirror_removed{"things/a", 12}));
    this->tick(back + seconds(3));
    CHECK_TRUE(this->saw(mirror_removed{"things/a", 12}));
}

// Callers are sent to an endpoint that has left, by routers that go by the words of others. One of
// two that watch for them had lost the store a moment before; it waits for the key to come back,
// and told that its word was all there was. The other one's word, with the removal, was no newer
// then; and when the time of the key was up, nothing newer was there to tell.
TEST(prefix_mirror, others_are_not_told_past_a_key_that_may_come_back)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::unavailable), start);
    this->tick(start + milliseconds(100));
    this->answer(reply_of(kv_outcome::ok, 10, {}), start + milliseconds(100));
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/a", "", 12}, {"things/b", "1", 13}}),
                 start + milliseconds(200));
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    follower.on_reply(1, reply_of(kv_outcome::ok, 10, {{"things/a", "1", 7}}), start);
    follower.on_peer_update(*this->mirror.updates_after(10));
    CHECK_EQUAL(2U, follower.entries().size());
    CHECK_EQUAL(11U, follower.revision());
    auto by_other = follower;
    mirror_update of_other;
    of_other.after = 10;
    of_other.as_of = 13;
    of_other.entries = {{"things/a", "", 12}, {"things/b", "1", 13}};
    by_other.on_peer_update(of_other);
    CHECK_EQUAL(1U, by_other.entries().size());
    this->tick(start + seconds(3));
    follower.on_peer_update(*this->mirror.updates_after(11));
    CHECK_EQUAL(1U, follower.entries().size());
    CHECK_EQUAL(13U, follower.revision());
}

// A peer tells of a revision that the store has never had. The store is asked once for it.
TEST(prefix_mirror, a_word_of_what_never_was_is_forgotten)
{
    this->list_one();
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::ok, 10, {}), start);
    mirror_update word;
    word.after = 10;
    word.as_of = 1'000'000;
    word.first_omitted = 999'999;
    this->mirror.on_peer_update(word);
    this->collect();
    this->tick(start + seconds(1));
    const auto asked = this->calls.size();
    this->answer(reply_of(kv_outcome::ok, 11, {}), start + seconds(2));
    this->tick(start + seconds(3));
    CHECK_EQUAL(asked, this->calls.size());
    CHECK_FALSE(this->mirror.must_read_store());
}

TEST(prefix_mirror, a_word_to_many_holds_small_values)
{
    mirror_update news;
    news.after = 10;
    news.as_of = 15;
    news.entries = {{"large", std::string(500'000, 'x'), 11},
                    {"small", "1", 12},
                    {"gone", "", 13},
                    {"larger", std::string(600'000, 'x'), 14}};
    const auto word = without_large_values(news);
    CHECK_TRUE((std::vector<kv_entry>{{"gone", "", 13}, {"small", "1", 12}}) == word.entries);
    CHECK_EQUAL(11U, word.first_omitted);
    CHECK_EQUAL(15U, word.as_of);
    news.entries.erase(news.entries.begin());
    news.entries.pop_back();
    CHECK_EQUAL(0U, without_large_values(news).first_omitted);
    news.complete = true;
    const auto nothing = without_large_values(news);
    CHECK_FALSE(nothing.complete);
    CHECK_TRUE(nothing.entries.empty());
    CHECK_EQUAL(11U, nothing.first_omitted);
}

TEST(prefix_mirror, tells_others_what_has_changed_since_they_heard)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}, {"things/a", "", 12}}),
                 start);
    const auto news = this->mirror.updates_after(11);
    CHECK_TRUE(news.has_value());
    CHECK_FALSE(news->complete);
    CHECK_EQUAL(12U, news->as_of);
    CHECK_TRUE((std::vector<kv_entry>{{"things/a", "", 12}}) == news->entries);
    const auto all = this->mirror.updates_after(0); // before this mirror's own first list
    CHECK_TRUE(all->complete);
    CHECK_TRUE((std::vector<kv_entry>{{"things/b", "2", 11}}) == all->entries);
}

TEST(prefix_mirror, tells_nothing_while_it_cannot_read_the_store_itself)
{
    CHECK_FALSE(this->mirror.updates_after(0).has_value());
    this->list_one();
    this->answer(reply_of(kv_outcome::unavailable), start);
    CHECK_FALSE(this->mirror.updates_after(0).has_value());
}

// A key that a list lacks was removed at some time since the list before. Whoever asks from before
// this list is told: of all that is there now, since other keys may have come and gone meanwhile.
TEST(prefix_mirror, tells_others_of_removals_that_only_a_list_has_shown)
{
    this->list_one();
    this->answer(reply_of(kv_outcome::not_found), start); // the history is gone
    this->answer(reply_of(kv_outcome::ok, 20, {{"things/b", "2", 15}}), start);
    const auto news = this->mirror.updates_after(19);
    CHECK_TRUE(news->complete);
    CHECK_TRUE((std::vector<kv_entry>{{"things/b", "2", 15}}) == news->entries);
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    const std::vector<kv_entry> held = {{"things/a", "1", 7}, {"things/b", "2", 15}};
    follower.on_reply(1, reply_of(kv_outcome::ok, 19, held), start);
    follower.on_peer_update(*news);
    CHECK_TRUE(follower.entries() == this->mirror.entries());
    CHECK_EQUAL(20U, follower.revision());
    CHECK_TRUE(this->mirror.updates_after(20)->entries.empty());
}

// Two mirrors of one store. One hears everything from the store, the other now and then from the
// first, in news that get lost, come late or come twice. What the second holds is never newer than
// the store and never goes back, and once it has heard the last news both hold the same.
TEST(prefix_mirror, a_mirror_that_hears_from_another_one_ends_like_it)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        auto random = seed * 2654435761U;
        const auto draw = [&random](std::uint32_t below) {
            random = random * 1664525U + 1013904223U;
            return (random >> 8U) % below;
        };
        prefix_mirror near{prefix_mirror_settings{}};
        prefix_mirror far{prefix_mirror_settings{}};
        call_tag tag = 0;
        const auto serve = [&near, &tag](const kv_reply& reply, instant now) {
            near.on_tick(now);
            for (const auto& action : near.take_actions()) {
                if (const auto* call = std::get_if<store_call>(&action)) {
                    tag = call->tag;
                }
            }
            near.on_reply(tag, reply, now);
            for (const auto& action : near.take_actions()) {
                if (const auto* call = std::get_if<store_call>(&action)) {
                    tag = call->tag;
                }
            }
        };
        auto now = start;
        store_revision revision = 5;
        serve(reply_of(kv_outcome::ok, revision), now);
        std::vector<mirror_update> late;
        store_revision heard = 0;
        for (int step = 0; step < 60; ++step) {
            now += seconds(1);
            const auto key = "k" + std::to_string(draw(4));
            const auto value = draw(3) == 0 ? std::string() : std::to_string(step);
            ++revision;
            serve(reply_of(kv_outcome::ok, revision, {{key, value, revision}}), now);
            if (draw(2) == 0) {
                late.push_back(*near.updates_after(far.revision()));
            }
            if (!late.empty() && draw(2) == 0) {
                far.on_peer_update(late[draw(static_cast<std::uint32_t>(late.size()))]);
                CHECK_TRUE(far.revision() >= heard);
                heard = far.revision();
            }
        }
        far.on_peer_update(*near.updates_after(far.revision()));
        CHECK_TRUE(near.entries() == far.entries());
    }
}
