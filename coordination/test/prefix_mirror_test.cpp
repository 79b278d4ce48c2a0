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
    std::vector<prefix_mirror::action> events;
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
                this->events.push_back(action);
            }
        }
    }

    [[nodiscard]] bool has_action(const prefix_mirror::action& wanted) const
    {
        return std::find(this->events.begin(), this->events.end(), wanted) != this->events.end();
    }

    [[nodiscard]] const kv_watch* last_watch() const
    {
        return std::get_if<kv_watch>(&this->calls.back().request);
    }

    // A list with one key, at revision 10.
    void load_initial_list()
    {
        this->tick(start);
        this->answer(reply_of(kv_outcome::ok, 10, {{"things/a", "1", 7}}), start);
    }
};

TEST(prefix_mirror, lists_first_and_watches_from_the_lists_revision)
{
    this->load_initial_list();
    CHECK_TRUE(this->has_action(mirror_changed{{"things/a", "1", 7}}));
    CHECK_TRUE(this->has_action(mirror_listed{}));
    CHECK_EQUAL(10U, this->last_watch()->after);
    CHECK_TRUE(this->mirror.is_synchronized());
}

TEST(prefix_mirror, reports_changes_and_removals_of_a_watch)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}, {"things/a", "", 12}}),
                 start);
    CHECK_TRUE(this->has_action(mirror_changed{{"things/b", "2", 11}}));
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 12}));
    this->tick(start + milliseconds(150));
    CHECK_EQUAL(12U, this->last_watch()->after);
}

// Guards against a key that is dropped although its owner writes it again, and against one that is
// kept for ever.
TEST(prefix_mirror, keys_that_a_restored_store_lost_are_kept_for_a_while)
{
    constexpr store_revision era = 1'000;
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}, {"things/c", "3", 12}}),
                 start);
    this->mirror.on_store_restored(start + seconds(1));
    this->collect();
    CHECK_TRUE(std::holds_alternative<kv_range>(this->calls.back().request));
    this->answer(reply_of(kv_outcome::ok, era + 8, {{"things/a", "1", era + 7}}),
                 start + seconds(1));
    CHECK_TRUE(this->has_action(mirror_changed{{"things/a", "1", era + 7}}));
    CHECK_EQUAL(3U, this->mirror.entries().size());
    this->answer(reply_of(kv_outcome::ok, era + 9, {{"things/b", "2", era + 9}}),
                 start + seconds(2));
    this->tick(start + seconds(4));
    CHECK_EQUAL(2U, this->mirror.entries().size());
    CHECK_TRUE(this->has_action(mirror_changed{{"things/b", "2", era + 9}}));
    CHECK_TRUE(this->has_action(mirror_removed{"things/c", 0}));
}

// Guards against a late answer that belongs to the store as it was.
TEST(prefix_mirror, answer_to_a_call_before_the_restoration_is_ignored)
{
    this->load_initial_list();
    const auto watch = this->calls.back().tag;
    this->mirror.on_store_restored(start + seconds(1));
    this->collect();
    this->mirror.on_reply(watch, reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}}),
                          start + seconds(1));
    this->collect();
    CHECK_EQUAL(1U, this->mirror.entries().size());
}

// Endpoints that start together write one after the other.
TEST(prefix_mirror, after_a_change_the_next_watch_is_delayed_to_batch_changes)
{
    this->load_initial_list();
    const auto before = this->calls.size();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}}), start);
    this->tick(start + milliseconds(149));
    CHECK_EQUAL(before, this->calls.size());
    this->tick(start + milliseconds(150));
    CHECK_EQUAL(before + 1, this->calls.size());
}

TEST(prefix_mirror, a_watch_without_history_is_followed_by_a_list)
{
    this->tick(start);
    CHECK_TRUE(std::holds_alternative<kv_range>(this->calls.back().request));
    this->answer(reply_of(kv_outcome::ok, 10, {{"things/a", "1", 7}}), start);
    CHECK_EQUAL(10U, this->last_watch()->after);
    this->answer(reply_of(kv_outcome::not_found), start + seconds(1));
    CHECK_TRUE(std::holds_alternative<kv_range>(this->calls.back().request));
}

TEST(prefix_mirror, a_failed_list_is_retried)
{
    this->tick(start);
    this->answer(reply_of(kv_outcome::unavailable), start);
    this->tick(start + seconds(1));
    CHECK_TRUE(std::holds_alternative<kv_range>(this->calls.back().request));
}

// Guards against late updates for a complete zone, where a single router may receive them later.
TEST(prefix_mirror, a_watcher_for_others_batches_changes_for_a_shorter_time)
{
    prefix_mirror_settings settings;
    settings.change_batch_delay = milliseconds(300);
    this->mirror = prefix_mirror(settings);
    this->load_initial_list();
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
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "old", 6}}), start);
    STRCMP_EQUAL("1", this->mirror.entries().at("things/a").value.c_str());
}

// The store drops its history while a router is disconnected. The watch is refused, and removals in
// the gap are in no event any more, so only a complete list can show them.
TEST(prefix_mirror, a_dropped_history_leads_to_a_list)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::not_found), start + seconds(1));
    CHECK_TRUE(std::holds_alternative<kv_range>(this->calls.back().request));
    this->answer(reply_of(kv_outcome::ok, 30, {}), start + seconds(1));
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 0}));
}

// The store is unavailable and leases expire meanwhile. When it recovers, the key is missing
// although its owner runs, and the owner writes it again a second later. A router that acted on the
// first list would drop every endpoint.
TEST(prefix_mirror, a_key_that_expired_while_the_store_was_unavailable_has_time_to_reappear)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::unavailable), start + seconds(2));
    CHECK_TRUE(this->has_action(mirror_lost{}));
    this->tick(start + seconds(6));
    this->answer(reply_of(kv_outcome::ok, 20, {{"things/a", "", 15}}), start + seconds(6));
    CHECK_TRUE(this->has_action(mirror_regained{}));
    CHECK_FALSE(this->has_action(mirror_removed{"things/a", 15}));
    this->tick(start + seconds(7));
    this->answer(reply_of(kv_outcome::ok, 21, {{"things/a", "1", 21}}), start + seconds(7));
    this->tick(start + seconds(20));
    CHECK_FALSE(this->has_action(mirror_removed{"things/a", 15}));
}

TEST(prefix_mirror, an_expired_key_that_does_not_reappear_is_removed)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::unavailable), start + seconds(2));
    this->tick(start + seconds(6));
    this->answer(reply_of(kv_outcome::ok, 20, {{"things/a", "", 15}}), start + seconds(6));
    this->tick(start + seconds(6) + milliseconds(2499));
    CHECK_FALSE(this->has_action(mirror_removed{"things/a", 15}));
    this->tick(start + seconds(6) + milliseconds(2500));
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 15}));
}

// Guards against a router that has heard nothing from its watchers for most of the time that a
// change may take, and then waits on a connection that has gone silent.
TEST(prefix_mirror, a_router_that_no_longer_follows_asks_without_waiting)
{
    this->load_initial_list();
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::ok, 12), start + seconds(1));
    this->mirror.set_mode(watch_mode::independent);
    this->tick(start + seconds(3));
    CHECK_TRUE(duration::zero() == this->last_watch()->wait);
    this->answer(reply_of(kv_outcome::ok, 12), start + seconds(3));
    CHECK_TRUE(duration::zero() < this->last_watch()->wait);
}

// Guards against a router that is late once more because its first call after an outage waits.
TEST(prefix_mirror, a_watch_after_a_failure_asks_without_waiting)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::unavailable), start + seconds(1));
    this->tick(start + seconds(2));
    CHECK_TRUE(duration::zero() == this->last_watch()->wait);
    this->answer(reply_of(kv_outcome::ok, 12), start + seconds(2));
    CHECK_TRUE(duration::zero() < this->last_watch()->wait);
}

// Guards against a router that pauses once more after each call that a silent store has not
// answered, and so hears of the end of an outage later than it has to.
TEST(prefix_mirror, a_call_that_failed_late_is_retried_after_the_first_pause)
{
    this->load_initial_list();
    auto now = start;
    for (int failure = 0; failure < 6; ++failure) {
        now += milliseconds(1500);
        const auto before = this->calls.size();
        this->answer(reply_of(kv_outcome::unavailable), now);
        now += prefix_mirror_settings{}.first_retry;
        this->tick(now);
        CHECK_EQUAL(before + 1, this->calls.size());
    }
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

TEST(prefix_mirror, a_reply_to_an_abandoned_call_changes_nothing)
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

// The store refuses this router while it serves the others. Their updates must still deliver
// changes and removals, and must never revert what this router holds.
TEST(prefix_mirror, applies_changes_from_another_router)
{
    this->load_initial_list();
    mirror_update update;
    update.as_of = 14;
    update.entries = {{"things/b", "2", 13}, {"things/a", "", 14}};
    this->mirror.on_peer_update(update);
    this->collect();
    CHECK_TRUE(this->has_action(mirror_changed{{"things/b", "2", 13}}));
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 14}));
    CHECK_EQUAL(14U, this->mirror.revision());
    this->events.clear();
    update.as_of = 12;
    update.entries = {{"things/a", "1", 7}};
    this->mirror.on_peer_update(update);
    this->collect();
    CHECK_TRUE(this->events.empty());
}

// A list that another router made before this one learned of a key cannot remove that key.
TEST(prefix_mirror, a_complete_list_of_another_router_removes_only_older_keys)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/new", "3", 13}}), start);
    mirror_update update;
    update.as_of = 12;
    update.complete = true;
    this->mirror.on_peer_update(update); // older than what is known
    this->collect();
    CHECK_EQUAL(2U, this->mirror.entries().size());
    update.as_of = 14;
    update.entries = {{"things/new", "3", 13}};
    this->mirror.on_peer_update(update);
    this->collect();
    CHECK_EQUAL(1U, this->mirror.entries().size());
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 0}));
}

// This router requests a list from the store; while the reply is in transit, another router reports
// a key that is newer. The list must neither remove the key nor decrease the mirror's revision.
TEST(prefix_mirror, a_late_list_reverts_nothing)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::not_found),
                 start); // the history was dropped: a list is in progress
    mirror_update update;
    update.as_of = 14;
    update.entries = {{"things/b", "2", 13}};
    this->mirror.on_peer_update(update);
    this->collect();
    this->events.clear();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "1", 7}}), start);
    CHECK_FALSE(this->has_action(mirror_removed{"things/b", 0}));
    CHECK_EQUAL(2U, this->mirror.entries().size());
    CHECK_EQUAL(14U, this->mirror.revision());
}

// A watcher of the zone reports a large configuration without its value, and in the same update the
// removal of an endpoint. The removal must apply at once, and this router must read the omitted
// value from the store.
TEST(prefix_mirror, reads_values_omitted_from_an_update_from_the_store)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 11, {}), start);
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::ok, 11, {}), start);
    const auto calls_before = this->calls.size();
    this->tick(start + seconds(1));
    CHECK_EQUAL(calls_before, this->calls.size());
    mirror_update partial_update;
    partial_update.after = 11;
    partial_update.as_of = 14;
    partial_update.first_omitted = 12;
    partial_update.entries = {{"things/a", "", 13}};
    this->mirror.on_peer_update(partial_update);
    this->collect();
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 13}));
    CHECK_TRUE(this->mirror.must_read_store());
    CHECK_EQUAL(11U, this->mirror.revision());
    this->tick(start + seconds(2));
    CHECK_EQUAL(11U, this->last_watch()->after);
    const kv_entry large{"things/large", std::string(100'000, 'x'), 12};
    this->answer(reply_of(kv_outcome::ok, 14, {large, {"things/a", "", 13}}), start + seconds(2));
    CHECK_TRUE(this->has_action(mirror_changed{large}));
    CHECK_FALSE(this->mirror.must_read_store());
    CHECK_EQUAL(14U, this->mirror.revision());
    const auto call_count = this->calls.size();
    this->tick(start + seconds(4));
    CHECK_EQUAL(call_count, this->calls.size());
}

// One router keeps an outdated configuration, or sends callers to an endpoint that has left. Two
// watchers send it overlapping updates: the second omits two values, of which this router has the
// first. Only the lowest omitted revision is named; since that one is known, the second value was
// counted as received and never read.
TEST(prefix_mirror, an_update_that_omits_a_known_and_an_unknown_value_leads_to_a_read)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 15, {{"things/b", std::string(20'000, 'x'), 12}}), start);
    mirror_update other_update;
    other_update.after = 11;
    other_update.as_of = 20;
    other_update.entries = {{"things/b", std::string(20'000, 'x'), 12},
                            {"things/c", std::string(20'000, 'x'), 18}};
    this->mirror.on_peer_update(without_large_values(other_update));
    this->collect();
    CHECK_TRUE(this->mirror.must_read_store());
    CHECK_TRUE(this->mirror.revision() < 18);
}

// As above, with an update from a router that becomes a watcher again: more has changed since its
// last update than it keeps, so everything is omitted, starting at a revision that this router has
// already. No other update contains the changes of its last watch, since the other watcher's update
// is no newer.
TEST(prefix_mirror, an_update_that_omits_everything_from_a_known_revision_on_leads_to_a_read)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 15, {}), start);
    mirror_update complete_update;
    complete_update.complete = true;
    complete_update.after = 5;
    complete_update.as_of = 20;
    complete_update.entries = {{"things/a", "1", 7}, {"things/c", "new", 18}};
    this->mirror.on_peer_update(without_large_values(complete_update));
    this->collect();
    CHECK_TRUE(this->mirror.must_read_store());
    CHECK_TRUE(this->mirror.revision() < 18);
}

// Callers are sent to an endpoint that left long ago, by a router that relies on a peer's updates.
// The peer had lost the store's history and listed again: it never saw the endpoint, which was
// added and removed meanwhile, so it reports no removal, although it claims that its update is
// complete.
TEST(prefix_mirror, a_list_after_a_dropped_history_hides_no_removal_from_peers)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::not_found), start);
    this->answer(reply_of(kv_outcome::ok, 30, {{"things/a", "1", 7}}), start);
    const auto update = this->mirror.updates_after(15);
    CHECK_TRUE(update.has_value());
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    follower.on_reply(
        1, reply_of(kv_outcome::ok, 15, {{"things/a", "1", 7}, {"things/b", "1", 12}}), start);
    follower.on_peer_update(*update);
    CHECK_TRUE(follower.entries().count("things/b") == 0 || follower.revision() < 18);
}

// As above; the peer started while the store refused it, and has its first list from another
// router. It cannot know what was removed before that list.
TEST(prefix_mirror, a_first_list_from_a_peer_hides_no_removal_from_peers)
{
    this->tick(start);
    this->answer(reply_of(kv_outcome::unavailable), start);
    mirror_update complete_update;
    complete_update.complete = true;
    complete_update.as_of = 20;
    complete_update.entries = {{"things/a", "1", 7}};
    this->mirror.on_peer_update(complete_update);
    this->tick(start + seconds(1));
    this->answer(reply_of(kv_outcome::ok, 30, {{"things/a", "1", 7}}), start + seconds(1));
    const auto update = this->mirror.updates_after(15);
    CHECK_TRUE(update.has_value());
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    follower.on_reply(
        1, reply_of(kv_outcome::ok, 15, {{"things/a", "1", 7}, {"things/b", "1", 12}}), start);
    follower.on_peer_update(*update);
    CHECK_TRUE(follower.entries().count("things/b") == 0 || follower.revision() < 18);
}

// The store refuses this router just when it has to read. It must keep trying until it is served,
// even if another router has sent everything meanwhile, or it would count as disconnected forever.
TEST(prefix_mirror, a_refused_mirror_synchronizes_again)
{
    this->load_initial_list();
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::unavailable), start);
    CHECK_FALSE(this->mirror.is_synchronized());
    mirror_update update;
    update.after = 10;
    update.as_of = 12;
    update.entries = {{"things/large", std::string(100'000, 'x'), 12}};
    this->mirror.on_peer_update(update);
    this->tick(start + seconds(1));
    CHECK_EQUAL(12U, this->last_watch()->after);
    this->answer(reply_of(kv_outcome::ok, 12, {}), start + seconds(1));
    CHECK_TRUE(this->mirror.is_synchronized());
}

// Callers are sent to an endpoint for 2.5 s after it has left. The store had refused this router
// and, according to the others, served them all the time. When it was served again, the endpoint's
// key was missing, and this router waited for the key as if the store had been unavailable to the
// endpoint as well.
TEST(prefix_mirror, a_removal_applies_at_once_if_the_store_served_others_all_the_time)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::unavailable), start);
    auto now = start;
    for (; now < start + seconds(4); now += milliseconds(300)) {
        this->mirror.on_peer_served_by_store(now - milliseconds(100));
    }
    this->tick(now);
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "", 12}}), now);
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 12}));
}

// The store was unavailable to everybody, and serves others again a moment before this router. Keys
// that could not be renewed meanwhile may still reappear.
TEST(prefix_mirror, a_removal_is_delayed_if_the_store_served_others_only_for_a_moment)
{
    this->load_initial_list();
    this->mirror.on_peer_served_by_store(start);
    this->answer(reply_of(kv_outcome::unavailable), start);
    const auto back = start + seconds(6);
    this->mirror.on_peer_served_by_store(back - milliseconds(400));
    this->mirror.on_peer_served_by_store(back - milliseconds(100));
    this->tick(back);
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/a", "", 12}}), back);
    CHECK_FALSE(this->has_action(mirror_removed{"things/a", 12}));
    this->tick(back + seconds(3));
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 12}));
}

// Callers are sent to an endpoint that has left, by routers that rely on updates. One of two
// watchers had just lost the store; it waits for the key to reappear, but claimed that its update
// was complete. The other watcher's update, with the removal, was no newer then, and when the wait
// for the key was over, there was nothing newer to send.
TEST(prefix_mirror, updates_do_not_advance_past_a_key_that_may_reappear)
{
    this->load_initial_list();
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
    mirror_update other_update;
    other_update.after = 10;
    other_update.as_of = 13;
    other_update.entries = {{"things/a", "", 12}, {"things/b", "1", 13}};
    by_other.on_peer_update(other_update);
    CHECK_EQUAL(1U, by_other.entries().size());
    this->tick(start + seconds(3));
    follower.on_peer_update(*this->mirror.updates_after(11));
    CHECK_EQUAL(1U, follower.entries().size());
    CHECK_EQUAL(13U, follower.revision());
}

// A peer reports a revision that the store never had. The store must be asked for it only once.
TEST(prefix_mirror, a_reported_revision_that_never_existed_is_dropped)
{
    this->load_initial_list();
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::ok, 10, {}), start);
    mirror_update partial_update;
    partial_update.after = 10;
    partial_update.as_of = 1'000'000;
    partial_update.first_omitted = 999'999;
    this->mirror.on_peer_update(partial_update);
    this->collect();
    this->tick(start + seconds(1));
    const auto call_count = this->calls.size();
    this->answer(reply_of(kv_outcome::ok, 11, {}), start + seconds(2));
    this->tick(start + seconds(3));
    CHECK_EQUAL(call_count, this->calls.size());
    CHECK_FALSE(this->mirror.must_read_store());
}

TEST(prefix_mirror, an_update_to_many_routers_holds_small_values)
{
    mirror_update update;
    update.after = 10;
    update.as_of = 15;
    update.entries = {{"large", std::string(500'000, 'x'), 11},
                      {"small", "1", 12},
                      {"gone", "", 13},
                      {"larger", std::string(600'000, 'x'), 14}};
    const auto partial_update = without_large_values(update);
    CHECK_TRUE((std::vector<kv_entry>{{"gone", "", 13}, {"small", "1", 12}}) ==
               partial_update.entries);
    CHECK_EQUAL(11U, partial_update.first_omitted);
    CHECK_EQUAL(15U, partial_update.as_of);
    update.entries.erase(update.entries.begin());
    update.entries.pop_back();
    CHECK_EQUAL(0U, without_large_values(update).first_omitted);
    update.complete = true;
    const auto nothing = without_large_values(update);
    CHECK_FALSE(nothing.complete);
    CHECK_TRUE(nothing.entries.empty());
    CHECK_EQUAL(11U, nothing.first_omitted);
}

TEST(prefix_mirror, updates_hold_the_changes_after_the_given_revision)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::ok, 12, {{"things/b", "2", 11}, {"things/a", "", 12}}),
                 start);
    const auto update = this->mirror.updates_after(11);
    CHECK_TRUE(update.has_value());
    CHECK_FALSE(update->complete);
    CHECK_EQUAL(12U, update->as_of);
    CHECK_TRUE((std::vector<kv_entry>{{"things/a", "", 12}}) == update->entries);
    const auto all = this->mirror.updates_after(0); // before this mirror's own first list
    CHECK_TRUE(all->complete);
    CHECK_TRUE((std::vector<kv_entry>{{"things/b", "2", 11}}) == all->entries);
}

TEST(prefix_mirror, provides_no_updates_while_it_cannot_read_the_store)
{
    CHECK_FALSE(this->mirror.updates_after(0).has_value());
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::unavailable), start);
    CHECK_FALSE(this->mirror.updates_after(0).has_value());
}

// A key that is missing from a list was removed at some time since the previous list. A router that
// asks for changes from before this list must get the complete state, since other keys may have
// been added and removed meanwhile.
TEST(prefix_mirror, updates_include_removals_that_only_a_list_has_shown)
{
    this->load_initial_list();
    this->answer(reply_of(kv_outcome::not_found), start); // the history was dropped
    this->answer(reply_of(kv_outcome::ok, 20, {{"things/b", "2", 15}}), start);
    const auto update = this->mirror.updates_after(19);
    CHECK_TRUE(update->complete);
    CHECK_TRUE((std::vector<kv_entry>{{"things/b", "2", 15}}) == update->entries);
    prefix_mirror follower{prefix_mirror_settings{}};
    follower.on_tick(start);
    const std::vector<kv_entry> held = {{"things/a", "1", 7}, {"things/b", "2", 15}};
    follower.on_reply(1, reply_of(kv_outcome::ok, 19, held), start);
    follower.on_peer_update(*update);
    CHECK_TRUE(follower.entries() == this->mirror.entries());
    CHECK_EQUAL(20U, follower.revision());
    CHECK_TRUE(this->mirror.updates_after(20)->entries.empty());
}

// Two mirrors of one store. One receives everything from the store, the other now and then from the
// first, in updates that are lost, late or duplicated. The second mirror is never newer than the
// store and never reverts, and once it has received the last update both hold the same.
TEST(prefix_mirror, a_mirror_fed_by_another_mirror_converges_with_it)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        auto random = seed * 2654435761U;
        const auto draw = [&random](std::uint32_t below) {
            random = random * 1664525U + 1013904223U;
            return (random >> 8U) % below;
        };
        prefix_mirror source{prefix_mirror_settings{}};
        prefix_mirror follower_mirror{prefix_mirror_settings{}};
        call_tag tag = 0;
        const auto serve = [&source, &tag](const kv_reply& reply, instant now) {
            source.on_tick(now);
            for (const auto& action : source.take_actions()) {
                if (const auto* call = std::get_if<store_call>(&action)) {
                    tag = call->tag;
                }
            }
            source.on_reply(tag, reply, now);
            for (const auto& action : source.take_actions()) {
                if (const auto* call = std::get_if<store_call>(&action)) {
                    tag = call->tag;
                }
            }
        };
        auto now = start;
        store_revision revision = 5;
        serve(reply_of(kv_outcome::ok, revision), now);
        std::vector<mirror_update> in_transit;
        store_revision reached = 0;
        for (int step = 0; step < 60; ++step) {
            now += seconds(1);
            const auto key = "k" + std::to_string(draw(4));
            const auto value = draw(3) == 0 ? std::string() : std::to_string(step);
            ++revision;
            serve(reply_of(kv_outcome::ok, revision, {{key, value, revision}}), now);
            if (draw(2) == 0) {
                in_transit.push_back(*source.updates_after(follower_mirror.revision()));
            }
            if (!in_transit.empty() && draw(2) == 0) {
                follower_mirror.on_peer_update(
                    in_transit[draw(static_cast<std::uint32_t>(in_transit.size()))]);
                CHECK_TRUE(follower_mirror.revision() >= reached);
                reached = follower_mirror.revision();
            }
        }
        follower_mirror.on_peer_update(*source.updates_after(follower_mirror.revision()));
        CHECK_TRUE(source.entries() == follower_mirror.entries());
    }
}

TEST_GROUP_BASE(prefix_mirror_beside_a_long_answer, TEST_GROUP_CppUTestGroupprefix_mirror)
{
    call_tag long_call = 0;

    void setup() override
    {
        prefix_mirror_settings settings;
        settings.urgent_prefix = "things/";
        this->mirror = prefix_mirror(settings);
        this->load_initial_list();
        this->long_call = this->calls.back().tag;
        this->mirror.on_long_answer(start);
        this->collect();
    }
};

// Guards against requests to an endpoint that has left, while a configuration is being received.
TEST(prefix_mirror_beside_a_long_answer, urgent_changes_are_watched)
{
    STRCMP_EQUAL("things/", this->last_watch()->prefix.c_str());
    CHECK_EQUAL(10U, this->last_watch()->after);
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/b", "2", 12}, {"things/a", "", 13}}),
                 start);
    CHECK_TRUE(this->has_action(mirror_changed{{"things/b", "2", 12}}));
    CHECK_TRUE(this->has_action(mirror_removed{"things/a", 13}));
    CHECK_TRUE(start == this->mirror.answered_at());
    this->tick(start + milliseconds(150));
    CHECK_EQUAL(13U, this->last_watch()->after);
}

// Guards against changes under other prefixes that are never read.
TEST(prefix_mirror_beside_a_long_answer, the_revision_of_all_changes_stays)
{
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/b", "2", 12}}), start);
    CHECK_EQUAL(10U, this->mirror.revision());
    this->mirror.on_reply(this->long_call, reply_of(kv_outcome::ok, 11, {{"large", "3", 11}}),
                          start + seconds(3));
    this->tick(start + seconds(4));
    STRCMP_EQUAL("", this->last_watch()->prefix.c_str());
    CHECK_EQUAL(11U, this->last_watch()->after);
}

// Guards against an entry that comes back although a later list does not have it.
TEST(prefix_mirror_beside_a_long_answer, a_reply_after_the_long_answer_is_ignored)
{
    this->mirror.on_reply(this->long_call, reply_of(kv_outcome::not_found), start);
    const auto urgent_call = this->calls.back().tag;
    this->collect();
    this->answer(reply_of(kv_outcome::ok, 14), start);
    this->mirror.on_reply(urgent_call, reply_of(kv_outcome::ok, 13, {{"things/b", "2", 12}}),
                          start);
    this->collect();
    CHECK_FALSE(this->has_action(mirror_changed{{"things/b", "2", 12}}));
}

TEST(prefix_mirror_beside_a_long_answer, a_failed_call_is_repeated)
{
    const auto before = this->calls.size();
    this->answer(reply_of(kv_outcome::unavailable), start);
    CHECK_EQUAL(before, this->calls.size());
    CHECK_TRUE(this->mirror.is_synchronized());
    this->tick(start + milliseconds(500));
    CHECK_EQUAL(before + 1, this->calls.size());
}

// Guards against calls without end for a history that the store no longer holds.
TEST(prefix_mirror_beside_a_long_answer, no_call_follows_once_the_history_is_missing)
{
    const auto before = this->calls.size();
    this->answer(reply_of(kv_outcome::not_found), start);
    this->tick(start + seconds(1));
    CHECK_EQUAL(before, this->calls.size());
    CHECK_TRUE(this->mirror.is_synchronized());
}

// Guards against followers that hear nothing of endpoints while their watcher receives a
// configuration.
TEST(prefix_mirror_beside_a_long_answer, a_follower_takes_urgent_changes)
{
    this->answer(reply_of(kv_outcome::ok, 13, {{"things/b", "2", 12}, {"things/a", "", 13}}),
                 start);
    prefix_mirror follower{prefix_mirror_settings{}};
    mirror_update complete;
    complete.as_of = 10;
    complete.complete = true;
    complete.entries = {{"things/a", "1", 7}};
    follower.on_peer_update(complete);
    follower.on_peer_update(*this->mirror.updates_after(10));
    CHECK_EQUAL(1U, follower.entries().size());
    CHECK_EQUAL(1U, follower.entries().count("things/b"));
    CHECK_EQUAL(10U, follower.revision());
}

// Guards against all routers of a zone that receive a large value from the store at once.
TEST(prefix_mirror, a_follower_waits_for_values_that_its_watcher_offers)
{
    this->load_initial_list();
    this->mirror.set_mode(watch_mode::follower);
    this->answer(reply_of(kv_outcome::ok, 10), start);
    mirror_update update;
    update.as_of = 12;
    update.after = 10;
    update.first_omitted = 12;
    this->mirror.on_peer_update(update);
    this->mirror.expect_values_until(start + seconds(1));
    const auto before = this->calls.size();
    this->tick(start + milliseconds(999));
    CHECK_EQUAL(before, this->calls.size());
    this->tick(start + seconds(1));
    CHECK_EQUAL(before + 1, this->calls.size());
}
