#include "pearhaven/coordination/registration.hpp"

#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};

kv_reply reply_of(kv_outcome outcome, lease_number lease = 0, std::vector<kv_entry> entries = {})
{
    kv_reply reply;
    reply.outcome = outcome;
    reply.lease = lease;
    reply.entries = std::move(entries);
    return reply;
}

} // namespace

TEST_GROUP(registration)
{
    registration key{registration_settings{}, "routers/a", "here", start};
    std::vector<store_call> calls;

    void setup() override
    {
        this->key.on_tick(start);
        this->answer(reply_of(kv_outcome::ok, 7));
        this->answer(reply_of(kv_outcome::ok));
        CHECK_TRUE(this->key.is_registered());
        this->key.on_store_restored(start);
        this->key.on_tick(start);
        CHECK_TRUE(std::holds_alternative<kv_get>(this->last_request()));
    }

    kv_request last_request()
    {
        for (const auto& call : this->key.take_calls()) {
            this->calls.push_back(call);
        }
        return this->calls.back().request;
    }

    void answer(const kv_reply& reply)
    {
        static_cast<void>(this->last_request());
        this->key.on_reply(this->calls.back().tag, reply, start);
    }
};

// Guards against a lease number that the restored store has given to another owner.
TEST(registration, key_that_a_restored_store_lost_is_written_under_a_new_lease)
{
    this->answer(reply_of(kv_outcome::ok));
    CHECK_TRUE(std::holds_alternative<kv_grant_lease>(this->last_request()));
    this->answer(reply_of(kv_outcome::ok, 8));
    const auto request = this->last_request();
    CHECK_TRUE((kv_request(kv_compare_and_swap{"routers/a", "here", 0, 8}) == request));
}

TEST(registration, key_that_a_restored_store_still_holds_is_kept)
{
    this->answer(reply_of(kv_outcome::ok, 0, {{"routers/a", "here", 5}}));
    CHECK_TRUE(this->key.is_registered());
    this->key.on_tick(start + seconds(7));
    CHECK_TRUE((kv_request(kv_renew_lease{7}) == this->last_request()));
}

// Guards against the end of another owner's lease.
TEST(registration, lease_in_doubt_is_not_revoked)
{
    this->calls.clear();
    this->key.end();
    CHECK_TRUE(this->key.take_calls().empty());
}

TEST_GROUP(registration_after_restart){};

// Guards against a process whose key ends with the lease of the process before it, while it runs.
TEST(registration_after_restart, key_of_an_earlier_process_is_attached_to_the_own_lease)
{
    registration key{registration_settings{}, "routers/a", "here", start};
    key.on_tick(start);
    auto calls = key.take_calls();
    key.on_reply(calls.back().tag, reply_of(kv_outcome::ok, 7), start);
    calls = key.take_calls();
    key.on_reply(calls.back().tag, reply_of(kv_outcome::conflict), start);
    key.on_tick(start + seconds(1));
    calls = key.take_calls();
    CHECK_TRUE(std::holds_alternative<kv_get>(calls.back().request));
    key.on_reply(calls.back().tag, reply_of(kv_outcome::ok, 0, {{"routers/a", "here", 5}}),
                 start + seconds(1));
    CHECK_FALSE(key.is_registered());
    calls = key.take_calls();
    CHECK_TRUE(
        (kv_request(kv_compare_and_swap{"routers/a", "here", 5, 7}) == calls.back().request));
    key.on_reply(calls.back().tag, reply_of(kv_outcome::ok), start + seconds(1));
    CHECK_TRUE(key.is_registered());
}
