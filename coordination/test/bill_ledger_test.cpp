#include "pearhaven/coordination/bill_ledger.hpp"

#include "simulation.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using pearhaven::decision::duration;
using pearhaven::decision::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Stores only the request names, separated by spaces; the ledger uses no other field.
class name_codec : public bill_page_codec {
public:
    [[nodiscard]] std::string write_bills(const std::vector<bill>& bills) const override
    {
        std::string text;
        for (const auto& one : bills) {
            text += one.request + " ";
        }
        return text;
    }

    [[nodiscard]] std::optional<std::vector<bill>> read_bills(std::string_view text) const override
    {
        std::vector<bill> bills;
        while (!text.empty()) {
            const auto end = text.find(' ');
            bills.push_back(make(std::string(text.substr(0, end))));
            text.remove_prefix(end + 1);
        }
        return bills;
    }

    static bill make(std::string request)
    {
        bill made;
        made.request = std::move(request);
        return made;
    }
};

const name_codec codec;

std::map<std::string, bill> folded(simulation::model_store& store)
{
    std::vector<bill> all;
    for (const auto& entry : store.range(std::string(bill_page_prefix))) {
        const auto bills = codec.read_bills(entry.value);
        all.insert(all.end(), bills->begin(), bills->end());
    }
    return fold_bills(all);
}

struct split_actions {
    std::vector<store_call> calls;
    std::vector<send_message> messages;
    std::vector<std::string> safe;
};

split_actions take(bill_ledger& ledger)
{
    split_actions split;
    for (auto& one : ledger.take_actions()) {
        if (auto* call = std::get_if<store_call>(&one)) {
            split.calls.push_back(*call);
        } else if (auto* message = std::get_if<send_message>(&one)) {
            split.messages.push_back(*message);
        } else if (auto* safe = std::get_if<bill_safe>(&one)) {
            split.safe.push_back(safe->request);
        }
    }
    return split;
}

member peer(const std::string& id, const std::string& zone)
{
    member made;
    made.id = id;
    made.zone = zone;
    return made;
}

} // namespace

TEST_GROUP(bill_ledger_test)
{
    bill_ledger_settings settings{"self", "osu"};
    instant now{};
    simulation::scheduler schedule{1};
    simulation::model_store store{schedule};

    void setup() override
    {
        settings.page_bills = 4;
    }

    void advance(bill_ledger & ledger, duration time)
    {
        now += time;
        ledger.on_tick(now);
    }
};

TEST(bill_ledger_test, bill_is_safe_once_its_page_is_committed)
{
    bill_ledger ledger(settings, codec);
    ledger.on_bill(name_codec::make("a"), now);
    const auto first_actions = take(ledger);
    LONGS_EQUAL(1, first_actions.calls.size());
    LONGS_EQUAL(0, first_actions.safe.size());
    ledger.on_reply(first_actions.calls[0].tag, store.apply(first_actions.calls[0].request), now);
    CHECK_TRUE(take(ledger).safe == std::vector<std::string>{"a"});
    LONGS_EQUAL(0, ledger.waiting());
}

// Bills arrive faster than writes of four bills complete. All pending bills go into the next write;
// otherwise the end of each answer would be delayed more than the one before.
TEST(bill_ledger_test, all_pending_bills_go_into_one_write)
{
    bill_ledger ledger(settings, codec);
    for (int i = 0; i < 40; ++i) {
        ledger.on_bill(name_codec::make(std::to_string(i)), now);
    }
    for (int write = 0; write < 2; ++write) {
        advance(ledger, seconds(1));
        for (const auto& call : take(ledger).calls) {
            ledger.on_reply(call.tag, store.apply(call.request), now);
        }
    }
    LONGS_EQUAL(0, ledger.waiting());
    LONGS_EQUAL(40, folded(store).size());
}

// Bill `b` is added while the write of `a` is in flight, and the reply to that write covers only
// `a`. If the reply made `b` safe, its caller would get the end of the answer while `b` is on no
// page, and a kill of the router would lose the bill.
TEST(bill_ledger_test, bill_added_during_a_write_is_not_made_safe_by_that_write)
{
    bill_ledger ledger(settings, codec);
    ledger.on_bill(name_codec::make("a"), now);
    const auto first = take(ledger);
    ledger.on_bill(name_codec::make("b"), now);
    ledger.on_reply(first.calls[0].tag, store.apply(first.calls[0].request), now);
    CHECK_TRUE(take(ledger).safe == std::vector<std::string>{"a"});
    LONGS_EQUAL(1, ledger.waiting());
}

// The reply to a committed write is lost while the caller waits for the end of its answer. Writing
// the page again at the old revision would always fail, so the page is read instead.
TEST(bill_ledger_test, write_with_a_lost_reply_is_resolved_by_reading_the_page)
{
    bill_ledger ledger(settings, codec);
    ledger.on_bill(name_codec::make("a"), now);
    const auto first_actions = take(ledger);
    store.apply(first_actions.calls[0].request);
    ledger.on_reply(first_actions.calls[0].tag, {kv_outcome::unknown, 0, 0, {}}, now);
    advance(ledger, std::chrono::seconds(1));
    const auto retry_actions = take(ledger);
    CHECK_TRUE(std::holds_alternative<kv_get>(retry_actions.calls.at(0).request));
    ledger.on_reply(retry_actions.calls[0].tag, store.apply(retry_actions.calls[0].request), now);
    CHECK_TRUE(take(ledger).safe == std::vector<std::string>{"a"});
}

// The store is unavailable for minutes. Callers still get the end of their answers, since two
// routers in other availability zones hold the bill.
TEST(bill_ledger_test, bill_is_safe_with_two_peers_during_a_store_outage)
{
    bill_ledger ledger(settings, codec);
    ledger.set_peers({peer("near", "osu"), peer("p1", "tema"), peer("p2", "legon")});
    ledger.on_bill(name_codec::make("a"), now);
    const auto first_actions = take(ledger);
    ledger.on_reply(first_actions.calls[0].tag, {kv_outcome::unavailable, 0, 0, {}}, now);
    advance(ledger, milliseconds(20));
    const auto copies = take(ledger).messages;
    LONGS_EQUAL(2, copies.size());
    CHECK_TRUE(copies[0].to.id == "p1" && copies[1].to.id == "p2");
    ledger.on_message(copies[0].to, bill_copy_ack{"self", 1}, now);
    LONGS_EQUAL(0, take(ledger).safe.size());
    ledger.on_message(copies[1].to, bill_copy_ack{"self", 1}, now);
    CHECK_TRUE(take(ledger).safe == std::vector<std::string>{"a"});
    LONGS_EQUAL(1, ledger.waiting());
}

// A router is killed during an outage of the store, after its caller got the end of the answer.
// Both holders write their copy once the store is back: the request is on two pages and is still
// billed once.
TEST(bill_ledger_test, copies_of_a_dead_owner_are_written_by_each_holder_and_counted_once)
{
    for (const std::string holder : {"p1", "p2"}) {
        bill_ledger_settings own = settings;
        own.self = holder;
        bill_ledger ledger(own, codec);
        ledger.on_message({"owner", "", 0}, bill_copy{"owner", 1, {name_codec::make("a")}}, now);
        ledger.on_member_dead("owner", now);
        const auto calls = take(ledger).calls;
        LONGS_EQUAL(1, calls.size());
        ledger.on_reply(calls[0].tag, store.apply(calls[0].request), now);
        LONGS_EQUAL(0, ledger.waiting());
    }
    LONGS_EQUAL(1, folded(store).size());
}

// The report of the owner's death arrives before its last copy, which was delayed. The death is not
// reported again, so the copy would stay in the holder's memory until the holder is restarted.
TEST(bill_ledger_test, copy_received_after_its_owners_death_is_written)
{
    bill_ledger holder(settings, codec);
    holder.set_peers({peer("other", "osu")});
    holder.on_member_dead("owner", now);
    holder.on_message({"owner", "", 0}, bill_copy{"owner", 1, {name_codec::make("a")}}, now);
    advance(holder, seconds(1));
    LONGS_EQUAL(0, take(holder).calls.size());
    advance(holder, seconds(31));
    LONGS_EQUAL(1, take(holder).calls.size());
}

TEST(bill_ledger_test, committed_batch_is_dropped_by_its_holders)
{
    bill_ledger holder(settings, codec);
    holder.on_message({"owner", "", 0}, bill_copy{"owner", 1, {name_codec::make("a")}}, now);
    holder.on_message({"owner", "", 0}, bill_copy_drop{"owner", 1}, now);
    holder.on_member_dead("owner", now);
    LONGS_EQUAL(0, take(holder).calls.size());
}

// Writes fail, are committed without a reply, or are answered, in any order. Every bill that was
// reported safe is in the store, and once the store replies again all bills are.
TEST(bill_ledger_test, no_sequence_of_failed_writes_loses_or_repeats_a_bill)
{
    const bool holds = rc::check("bills land once", [this] {
        bill_ledger ledger(settings, codec);
        simulation::scheduler virtual_time{1};
        simulation::model_store backing_store{virtual_time};
        instant clock{};
        std::size_t count = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 5));
        const auto answer = [&](const store_call& call, int how) {
            if (how == 0) {
                ledger.on_reply(call.tag, {kv_outcome::unavailable, 0, 0, {}}, clock);
                return;
            }
            const auto reply = backing_store.apply(call.request);
            ledger.on_reply(call.tag, how == 1 ? kv_reply{kv_outcome::unknown, 0, 0, {}} : reply,
                            clock);
        };
        for (const int step : steps) {
            if (step >= 3) {
                ledger.on_bill(name_codec::make(std::to_string(count++)), clock);
            }
            clock += milliseconds(300);
            ledger.on_tick(clock);
            const auto split = take(ledger);
            for (const auto& request : split.safe) {
                RC_ASSERT(folded(backing_store).count(request) == 1);
            }
            for (const auto& call : split.calls) {
                answer(call, step);
            }
        }
        for (int round = 0; round < 200 && ledger.waiting() > 0; ++round) {
            clock += std::chrono::seconds(1);
            ledger.on_tick(clock);
            for (const auto& call : take(ledger).calls) {
                answer(call, 2);
            }
        }
        RC_ASSERT(ledger.waiting() == 0);
        RC_ASSERT(folded(backing_store).size() == count);
    });
    CHECK_TRUE(holds);
}
