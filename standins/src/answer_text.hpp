#ifndef PEARHAVEN_STANDINS_ANSWER_TEXT_HPP
#define PEARHAVEN_STANDINS_ANSWER_TEXT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::standins {

// Answers of the engine stand-in. The request determines the complete correct answer, so a test can
// detect an answer that was truncated, reordered, spliced or swapped.

constexpr std::uint64_t default_max_tokens = 32;

// Prefix of each token in a bad version's answer. It never occurs in a correct answer.
constexpr std::string_view bad_mark = "BAD";

struct chat_message {
    std::string role;
    std::string content;

    friend bool operator==(const chat_message&, const chat_message&) = default;
};

// Builds the prompt of a conversation: `role: content` and a line feed for each message. The prompt
// of each turn of a session therefore starts with the prompt of the previous turn.
std::string chat_prompt(const std::vector<chat_message>& messages);

// Number of tokens in a prompt: its size in bytes divided by four, rounded up.
std::uint64_t prompt_token_count(std::string_view prompt);

// Seed from which the tokens of one answer are derived.
std::uint64_t answer_seed(std::string_view prompt, std::string_view version);

// Token of the answer at the index: four syllables selected by a hash, then a space.
std::string answer_token(std::uint64_t seed, std::uint64_t index);
std::string answer_token(std::string_view prompt, std::string_view version, std::uint64_t index);

// The first `tokens` tokens of the answer. A complete answer has max_tokens of the request, or the
// default number.
std::string answer_text(std::string_view prompt, std::string_view version, std::uint64_t tokens);

} // namespace pearhaven::standins

#endif
