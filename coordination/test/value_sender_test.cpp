#include "pearhaven/coordination/value_sender.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(value_sender)
{
    static constexpr instant start{seconds(100)};
    value_sender sender{{1000.0, seconds(1), milliseconds(100)}};

    static value_pull from(const std::string& host, store_revision after = 5)
    {
        return {host, 7340, {1, after, true, true}};
    }
};

TEST(value_sender, requests_are_answered_in_order_at_the_allowed_rate)
{
    sender.add(from("10.0.0.1"), start);
    sender.add(from("10.0.0.2"), start);
    CHECK_TRUE(from("10.0.0.1") == sender.next(start));
    sender.on_sent(300, start);
    CHECK_FALSE(sender.next(start + milliseconds(199)).has_value());
    CHECK_TRUE(from("10.0.0.2") == sender.next(start + milliseconds(200)));
    CHECK_FALSE(sender.next(start + milliseconds(200)).has_value());
}

// Guards against a zone in which the last routers are answered too late, because each call answers
// one.
TEST(value_sender, short_answers_are_sent_together)
{
    for (const auto* const host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        sender.add(from(host), start);
    }
    for (int count = 0; count < 3; ++count) {
        CHECK_TRUE(sender.next(start).has_value());
        sender.on_sent(50, start);
    }
}

TEST(value_sender, a_later_request_of_a_peer_replaces_the_earlier_one)
{
    sender.add(from("10.0.0.1", 5), start);
    sender.add(from("10.0.0.1", 6), start);
    CHECK_TRUE(from("10.0.0.1", 6) == sender.next(start));
    CHECK_FALSE(sender.next(start).has_value());
}

// Guards against a link that is filled for peers that have the values from the store by then.
TEST(value_sender, a_request_that_has_waited_too_long_is_not_answered)
{
    sender.add(from("10.0.0.1"), start);
    CHECK_FALSE(sender.next(start + seconds(1)).has_value());
}
