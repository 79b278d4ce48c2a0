#include "pearhaven/adapters/value_packing.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;

TEST_GROUP(value_packing)
{
    const std::string value = std::string(100'000, 'a') + "end";
    const std::string packed = pack(value);
};

TEST(value_packing, a_value_survives_a_round_trip)
{
    CHECK_TRUE(value == unpack(packed, value.size()));
    CHECK_COMPARE(packed.size(), <, value.size() / 10);
    CHECK_TRUE(std::string() == unpack(pack(""), 0));
}

// Guards against a peer that fills the memory with a short message.
TEST(value_packing, a_value_above_the_limit_is_rejected)
{
    CHECK_FALSE(unpack(packed, value.size() - 1).has_value());
}

TEST(value_packing, cut_and_foreign_bytes_are_rejected)
{
    for (std::size_t length = 0; length < packed.size(); ++length) {
        CHECK_FALSE(unpack(packed.substr(0, length), value.size()).has_value());
    }
    CHECK_FALSE(unpack(packed + "x", value.size()).has_value());
    CHECK_FALSE(unpack("not packed", value.size()).has_value());
}
