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
    CHECK_TRUE(this->mirror.is_in_touch());
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
