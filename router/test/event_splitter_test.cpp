#include "event_splitter.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;

TEST_GROUP(event_splitter)
{
    event_splitter splitter;
};

TEST(event_splitter, returns_complete_events_byte_for_byte)
{
    const auto events = this->splitter.feed("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n");
    LONGS_EQUAL(2, events.size());
    STRCMP_EQUAL("id: 1\ndata: a\n\n", events[0].bytes.c_str());
    STRCMP_EQUAL("id:2\r\ndata: b\r\n\r\n", events[1].bytes.c_str());
    LONGS_EQUAL(1, *events[0].id);
    LONGS_EQUAL(2, *events[1].id);
}

TEST(event_splitter, keeps_a_partial_event_until_it_is_complete)
{
    std::size_t events = 0;
    for (const char byte : std::string("id: 7\ndata: x\n\nid: 8")) {
        events += this->splitter.feed(std::string(1, byte)).size();
    }
    LONGS_EQUAL(1, events);
    CHECK_TRUE(this->splitter.has_part());
}

TEST(event_splitter, an_event_may_have_no_numeric_id)
{
    const auto events = this->splitter.feed(": comment\n\nid: x\n\n");
    LONGS_EQUAL(2, events.size());
    CHECK_FALSE(events[0].id.has_value());
    CHECK_FALSE(events[1].id.has_value());
}
