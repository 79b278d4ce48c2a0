#include "pearhaven/adapters/authenticator.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;

TEST_GROUP(authenticator_test){};

TEST(authenticator_test, a_code_is_valid_only_for_its_key_number)
{
    const auto keys = make_token_authenticator("fleet key");
    const auto code = keys->seal(1, "text");
    CHECK_TRUE(keys->verify(1, "text", code));
    CHECK_FALSE(keys->verify(2, "text", code));
    CHECK_FALSE(keys->verify(1, "other text", code));
}

TEST(authenticator_test, another_fleet_key_yields_different_codes)
{
    const auto ours = make_token_authenticator("fleet key");
    const auto theirs = make_token_authenticator("another fleet key");
    CHECK_FALSE(ours->verify(1, "text", theirs->seal(1, "text")));
}

TEST(authenticator_test, identifiers_do_not_repeat)
{
    CHECK_TRUE(random_identifier() != random_identifier());
}
