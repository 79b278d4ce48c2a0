#include "pearhaven/router/peer_messenger.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;

TEST_GROUP(peer_messenger){};

TEST(peer_messenger, a_peer_survives_a_round_trip)
{
    const pearhaven::coordination::peer_router where{"10.1.0.40", 7340, "osu"};
    STRCMP_EQUAL("10.1.0.40:7340 osu", write_peer(where).c_str());
    CHECK_TRUE(where == *read_peer(write_peer(where)));
}

TEST(peer_messenger, a_peer_tells_its_port_for_callers)
{
    const pearhaven::coordination::peer_router where{"10.1.0.40", 7340, "osu", 8227};
    STRCMP_EQUAL("10.1.0.40:7340 osu 8227", write_peer(where).c_str());
    CHECK_TRUE(where == *read_peer(write_peer(where)));
    CHECK_EQUAL(0U, read_peer("10.1.0.40:7340 osu x")->callers_port);
}

TEST(peer_messenger, a_peer_tells_the_width_of_its_link)
{
    const pearhaven::coordination::peer_router where{"10.1.0.40", 7340, "osu", 8227, 200};
    STRCMP_EQUAL("10.1.0.40:7340 osu 8227 200", write_peer(where).c_str());
    CHECK_TRUE(where == *read_peer(write_peer(where)));
    CHECK_EQUAL(0U, read_peer("10.1.0.40:7340 osu 8227 -1")->link_mbps);
    CHECK_EQUAL(8227U, read_peer("10.1.0.40:7340 osu 8227 -1")->callers_port);
}

TEST(peer_messenger, malformed_addresses_are_rejected)
{
    for (const auto* const text :
         {"", "osu", ":7340 osu", "10.1.0.40: osu", "10.1.0.40:0 osu", "10.1.0.40:70000 osu",
          "10.1.0.40:73x osu", "10.1.0.40:-1 osu", "10.1.0.40:99999999999 osu", "[[[[",
          "999.1.0.40:73 osu", "[[[[:73 osu", "{}:73 osu", "edge-7:73 osu"}) {
        CHECK_FALSE(read_peer(text).has_value());
    }
}
