#include "sse_reader.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using pearhaven::router::sse_reader;

TEST_GROUP(sse_reader_test){};

TEST(sse_reader_test, an_event_is_returned_at_its_empty_line)
{
    sse_reader reader;
    LONGS_EQUAL(0, reader.feed("data: one\n").size());
    CHECK_TRUE(reader.feed("\n") == std::vector<std::string>{"one"});
}

TEST(sse_reader_test, comments_and_other_fields_are_ignored)
{
    sse_reader reader;
    CHECK_TRUE(reader.feed(": waiting\n\nevent: x\nid: 7\ndata: one\r\n\r\n") ==
               std::vector<std::string>{"one"});
}

TEST(sse_reader_test, multiple_data_lines_form_one_event)
{
    sse_reader reader;
    CHECK_TRUE(reader.feed("data: one\ndata: two\n\n") == std::vector<std::string>{"one\ntwo"});
}

TEST(sse_reader_test, an_oversized_event_stops_the_reader)
{
    sse_reader reader;
    const std::string line(sse_reader::max_event + 1, 'x');
    LONGS_EQUAL(0, reader.feed("data: " + line).size());
    CHECK_TRUE(reader.is_overflowing());
}

// The network may fragment a stream anywhere; the events must not depend on it.
TEST(sse_reader_test, fragmentation_does_not_change_the_events)
{
    const std::string stream =
        "data: one\n\n: note\ndata: two\ndata: three\r\n\r\ndata: [DONE]\n\n";
    sse_reader whole_reader;
    const auto whole = whole_reader.feed(stream);
    const bool holds = rc::check("cuts", [&] {
        sse_reader reader;
        std::vector<std::string> events;
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            for (auto& event : reader.feed(std::string_view(stream).substr(at, size))) {
                events.push_back(std::move(event));
            }
            at += size;
        }
        RC_ASSERT(events == whole);
    });
    CHECK_TRUE(holds);
}
