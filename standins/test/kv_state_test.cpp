#include "kv_state.hpp"
#include "test_time.hpp"

#include <rapidcheck.h>

#include <chrono>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;
using std::chrono::milliseconds;

TEST_GROUP(kv_state)
{
    kv_state state;

    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t lease = 0)
    {
        const auto present = this->state.get(key);
        const auto expected = present ? present->revision : 0;
        return this->state.compare_and_swap(key, value, expected, lease, at_ms(0)).revision;
    }
};

TEST(kv_state, creates_a_key_only_if_it_is_absent)
{
    CHECK_TRUE(state.compare_and_swap("k", "1", 0, 0, at_ms(0)).status == kv_status::applied);
    const auto second = state.compare_and_swap("k", "2", 0, 0, at_ms(0));
    CHECK_TRUE(second.status == kv_status::conflict);
    CHECK_EQUAL(std::string("1"), second.current->value);
}

TEST(kv_state, writes_only_over_the_expected_revision)
{
    const auto first = put("k", "1");
    put("other", "x");
    CHECK_TRUE(state.compare_and_swap("k", "2", first, 0, at_ms(0)).status == kv_status::applied);
    CHECK_TRUE(state.compare_and_swap("k", "3", first, 0, at_ms(0)).status == kv_status::conflict);
    CHECK_EQUAL(std::string("2"), state.get("k")->value);
}

TEST(kv_state, lists_a_prefix_in_key_order_without_deleted_keys)
{
    put("a/2", "");
    put("a/1", "");
    put("b", "");
    state.erase("a/2", put("a/2", ""), at_ms(0));
    put("a/3", "");
    const auto found = state.range("a/");
    LONGS_EQUAL(2, found.size());
    CHECK_EQUAL(std::string("a/1"), found[0].key);
    CHECK_EQUAL(std::string("a/3"), found[1].key);
}

TEST(kv_state, deletes_only_the_expected_revision)
{
    const auto first = put("k", "1");
    CHECK_TRUE(state.erase("k", first + 1, at_ms(0)).status == kv_status::conflict);
    CHECK_TRUE(state.erase("k", first, at_ms(0)).status == kv_status::applied);
    CHECK_TRUE(state.erase("k", first, at_ms(0)).status == kv_status::no_such_key);
}

TEST(kv_state, shows_a_watch_each_changed_key_once_with_its_latest_value)
{
    const auto before = put("a/1", "old");
    put("a/1", "new");
    put("b", "");
    state.erase("a/2", put("a/2", ""), at_ms(0));
    const auto changes = state.changes_after("a/", before);
    LONGS_EQUAL(2, changes.size());
    CHECK_EQUAL(std::string("new"), changes[0].value);
    CHECK_EQUAL(std::string("a/2"), changes[1].key);
    CHECK_TRUE(changes[1].deleted);
}

TEST(kv_state, deletes_a_leases_keys_when_it_ends)
{
    const auto lease = state.grant_lease(milliseconds(100), at_ms(0));
    const auto written = put("k", "1", lease);
    state.expire(at_ms(99));
    CHECK_TRUE(state.get("k").has_value());
    state.expire(at_ms(100));
    CHECK_FALSE(state.get("k").has_value());
    LONGS_EQUAL(1, state.changes_after("k", written).size());
}

TEST(kv_state, keeps_a_lease_alive_that_is_renewed_in_time)
{
    const auto lease = state.grant_lease(milliseconds(100), at_ms(0));
    CHECK_TRUE(state.renew_lease(lease, at_ms(90)));
    CHECK_TRUE(state.renew_lease(lease, at_ms(180)));
    CHECK_FALSE(state.renew_lease(lease, at_ms(280)));
}

TEST(kv_state, refuses_a_write_under_a_lease_that_has_lapsed)
{
    const auto lease = state.grant_lease(milliseconds(100), at_ms(0));
    const auto result = state.compare_and_swap("k", "1", 0, lease, at_ms(100));
    CHECK_TRUE(result.status == kv_status::no_such_lease);
    CHECK_FALSE(state.get("k").has_value());
}

TEST(kv_state, leaves_a_key_alone_that_was_written_again_without_the_lease)
{
    const auto lease = state.grant_lease(milliseconds(100), at_ms(0));
    put("k", "1", lease);
    put("k", "2");
    CHECK_TRUE(state.revoke_lease(lease, at_ms(1)));
    CHECK_EQUAL(std::string("2"), state.get("k")->value);
}

TEST(kv_state, returns_the_next_lease_expiry)
{
    CHECK_FALSE(state.next_expiry().has_value());
    state.grant_lease(milliseconds(300), at_ms(0));
    state.grant_lease(milliseconds(100), at_ms(50));
    CHECK_TRUE(*state.next_expiry() == at_ms(150));
}

TEST(kv_state, agrees_with_a_plain_map_whatever_is_written)
{
    rc::check("compare-and-swap and delete against a map", [] {
        kv_state store;
        std::map<std::string, std::uint64_t> model;
        const auto length = *rc::gen::inRange(0, 60);
        std::uint64_t last = 0;
        for (int step = 0; step < length; ++step) {
            const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            const auto expected = *rc::gen::inRange<std::uint64_t>(0, last + 2);
            const bool erases = *rc::gen::inRange(0, 2) == 1;
            const auto result = erases ? store.erase(key, expected, at_ms(0))
                                       : store.compare_and_swap(key, "", expected, 0, at_ms(0));
            const auto found = model.find(key);
            const auto present = found == model.end() ? 0 : found->second;
            const bool absent_delete = erases && present == 0;
            const bool due = present == expected && !absent_delete;
            RC_ASSERT((result.status == kv_status::applied) == due);
            if (due) {
                RC_ASSERT(result.revision == ++last);
                model[key] = erases ? 0 : last;
            }
        }
        RC_ASSERT(store.revision() == last);
    });
}
