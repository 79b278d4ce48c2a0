#include "answer_text.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

TEST_GROUP(answer_text){};

TEST(answer_text, is_deterministic)
{
    CHECK_EQUAL(answer_token("a prompt", "v1", 7), answer_token("a prompt", "v1", 7));
}

TEST(answer_text, differs_by_prompt_version_and_index)
{
    const std::set<std::string> tokens = {
        answer_token("a prompt", "v1", 7), answer_token("b prompt", "v1", 7),
        answer_token("a prompt", "v2", 7), answer_token("a prompt", "v1", 8)};
    LONGS_EQUAL(4, tokens.size());
}

TEST(answer_text, is_its_tokens_in_order)
{
    CHECK_EQUAL(answer_token("p", "v", 0) + answer_token("p", "v", 1), answer_text("p", "v", 2));
}

TEST(answer_text, never_contains_the_prefix_of_a_bad_answer)
{
    CHECK_TRUE(answer_text("p", "v", 1000).find(bad_mark) == std::string::npos);
}

// Changing the answers breaks every recorded history and every test with an expected answer.
TEST(answer_text, matches_the_recorded_text)
{
    CHECK_EQUAL(std::string("kewizoto "), answer_token("user: hello there\n", "a", 0));
}

TEST(answer_text, of_each_turn_starts_with_the_previous_prompt)
{
    const std::vector<chat_message> first = {{"user", "hi"}};
    auto second = first;
    second.push_back({"assistant", "yes"});
    CHECK_EQUAL(0U, chat_prompt(second).find(chat_prompt(first)));
}

TEST(answer_text, counts_one_token_per_four_bytes_rounded_up)
{
    LONGS_EQUAL(0, prompt_token_count(""));
    LONGS_EQUAL(1, prompt_token_count("abcd"));
    LONGS_EQUAL(2, prompt_token_count("abcde"));
}
