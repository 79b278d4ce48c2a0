#include "pearhaven/adapters/course_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;
using namespace pearhaven::coordination;

TEST_GROUP(course_codec){};

TEST(course_codec, a_record_reads_as_it_was_written)
{
    for (const auto state : {course_state::staged, course_state::loaded, course_state::whole,
                             course_state::finished, course_state::bad}) {
        const course_record written{28, 3, 9, 40'000, state};
        const auto read = read_course_record(write_course_record(written));
        CHECK_TRUE(read.has_value());
        CHECK_TRUE(written == *read);
    }
}

TEST(course_codec, evidence_reads_as_it_was_written)
{
    const course_evidence written{28, course_state::loaded, {31, 2}, {20, 7}, {11, 1}, 3.5};
    const auto read = read_course_evidence(write_course_evidence(written));
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(written == *read);
}

TEST(course_codec, what_cannot_be_read_is_nothing)
{
    for (const auto* const text : {"", "{}", "[1]", "{\"run\":1,\"state\":\"lost\"}",
                                   "{\"run\":\"x\",\"part\":\"loaded\"}"}) {
        CHECK_FALSE(read_course_record(text).has_value());
        CHECK_FALSE(read_course_evidence(text).has_value());
    }
}
