#include "pearhaven/decision/peer_forwarding.hpp"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};

} // namespace

TEST_GROUP(peer_forwarding)
{
    peer_forwarding forwarding;
};

TEST(peer_forwarding, a_peer_that_refused_is_asked_last_for_a_second)
{
    CHECK_FALSE(this->forwarding.choose({}, 0, start).has_value());
    this->forwarding.set_peer("edge-1", "10.0.0.1:80");
    this->forwarding.set_peer("edge-2", "10.0.0.2:80");
    this->forwarding.on_refused("10.0.0.1:80", start);
    for (std::uint64_t random = 0; random < 8; ++random) {
        STRCMP_EQUAL("10.0.0.2:80", this->forwarding.choose({}, random, start)->c_str());
    }
    STRCMP_EQUAL("10.0.0.1:80", this->forwarding.choose({"10.0.0.2:80"}, 5, start)->c_str());
    std::set<std::string> chosen;
    for (std::uint64_t random = 0; random < 8; ++random) {
        chosen.insert(*this->forwarding.choose({}, random, start + seconds(1)));
    }
    CHECK_EQUAL(2U, chosen.size());
    this->forwarding.drop_peer("edge-1");
    this->forwarding.drop_peer("edge-2");
    CHECK_FALSE(this->forwarding.choose({}, 0, start).has_value());
}

// Guards against routers that ask each other again and again while none of them has room.
TEST(peer_forwarding, requests_to_start_at_once_pause_while_most_of_them_are_refused)
{
    CHECK_FALSE(this->forwarding.may_ask_to_start(start));
    this->forwarding.set_peer("edge-1", "10.0.0.1:80");
    int asked = 0;
    for (; this->forwarding.may_ask_to_start(start) && asked < 100; ++asked) {
        this->forwarding.on_asked_to_start(start);
        this->forwarding.on_refused_to_start(start);
    }
    CHECK_COMPARE(asked, <, 10);
    CHECK_TRUE(this->forwarding.may_ask_to_start(start + seconds(2)));
    for (int request = 0; request < 100; ++request) {
        this->forwarding.on_asked_to_start(start + seconds(2));
    }
    for (int request = 0; request < 50; ++request) {
        this->forwarding.on_refused_to_start(start + seconds(2));
    }
    CHECK_TRUE(this->forwarding.may_ask_to_start(start + seconds(2)));
}
