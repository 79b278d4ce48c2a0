#include "paced_buffer.hpp"
#include "test_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;
using std::chrono::milliseconds;

TEST_GROUP(paced_buffer)
{
    paced_buffer buffer;

    std::string take(pearhaven::decision::instant now)
    {
        std::string taken;
        for (auto bytes = this->buffer.ready(now); !bytes.empty();
             bytes = this->buffer.ready(now)) {
            taken += bytes;
            this->buffer.pop(bytes.size());
        }
        return taken;
    }
};

TEST(paced_buffer, releases_bytes_immediately_without_pacing)
{
    buffer.push("one", {}, at_ms(0));
    buffer.push("two", {}, at_ms(0));
    CHECK_EQUAL(std::string("onetwo"), take(at_ms(0)));
    CHECK_TRUE(buffer.empty());
}

TEST(paced_buffer, delays_bytes)
{
    buffer.push("late", {milliseconds(100), 0}, at_ms(50));
    CHECK_TRUE(*buffer.next_due() == at_ms(150));
    CHECK_EQUAL(std::string(), take(at_ms(149)));
    CHECK_EQUAL(std::string("late"), take(at_ms(150)));
}

TEST(paced_buffer, keeps_the_order_when_the_delay_is_lifted)
{
    buffer.push("first", {milliseconds(100), 0}, at_ms(0));
    buffer.push("second", {}, at_ms(1));
    CHECK_EQUAL(std::string(), take(at_ms(99)));
    CHECK_EQUAL(std::string("firstsecond"), take(at_ms(100)));
}

TEST(paced_buffer, spreads_bytes_over_time_at_the_configured_rate)
{
    buffer.push(std::string(4096, 'x'), {{}, 4096}, at_ms(0));
    LONGS_EQUAL(0, take(at_ms(249)).size());
    LONGS_EQUAL(1024, take(at_ms(250)).size());
    LONGS_EQUAL(3072, take(at_ms(1000)).size());
}

TEST(paced_buffer, resumes_in_the_middle_of_a_chunk)
{
    buffer.push("chunk", {}, at_ms(0));
    buffer.pop(2);
    LONGS_EQUAL(3, buffer.size());
    CHECK_EQUAL(std::string("unk"), take(at_ms(0)));
}
