#include "pearhaven/adapters/authenticator.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;

TEST_GROUP(authenticator_test){};

TEST(authenticator_test, a_code_is_accepted_under_its_own_key_number_only)
{
    const auto keys = make_token_authenticator("fleet key");
    const auto code = keys->seal(1, "text");
    CHECK_TRUE(keys->verify(1, "text", code));
    CHECK_FALSE(keys->verify(2, "text", code));
    CHECK_FALSE(keys->verify(1, "other text", code));
}

TEST(authenticator_test, another_fleet_key_gives_other_codes)
{
    const auto ours = make_token_authenticator("fleet key");
    const auto theirs = make_token_authenticator("another fleet key");
    CHECK_FALSE(ours->verify(1, "text", theirs->seal(1, "text")));
}

TEST(authenticator_test, identifiers_do_not_repeat)
{
    CHECK_TRUE(random_identifier() != random_identifier());
}
