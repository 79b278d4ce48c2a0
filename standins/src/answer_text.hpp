#ifndef PEARHAVEN_STANDINS_ANSWER_TEXT_HPP
#define PEARHAVEN_STANDINS_ANSWER_TEXT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::standins {

// What the engine stand-in answers. Whoever knows the request knows the whole right answer, so a
// test can tell a whole answer from a cut, reordered, spliced or swapped one.

constexpr std::uint64_t default_max_tokens = 32;

// Mark that each token of a bad version's answer begins with. No right answer holds it.
constexpr std::string_view bad_mark = "BAD";

struct chat_message {
    std::string role;
    std::string content;

    friend bool operator==(const chat_message&, const chat_message&) = default;
};

// The prompt that a conversation makes: `role: content` and a line feed for each message. Each
// further turn of a session therefore begins with the prompt of the turn before.
std::string chat_prompt(const std::vector<chat_message>& messages);

// Number of tokens that the engine counts for a prompt: one for each four bytes begun.
std::uint64_t prompt_token_count(std::string_view prompt);

// What the tokens of one answer are worked out from.
std::uint64_t answer_seed(std::string_view prompt, std::string_view version);

// Token of the answer at the index: four syllables picked by hash, and a space.
std::string answer_token(std::uint64_t seed, std::uint64_t index);
std::string answer_token(std::string_view prompt, std::string_view version, std::uint64_t index);

// The first `tokens` tokens of the answer. The answer to a request is as many as its max_tokens
// says, or the default.
std::string answer_text(std::string_view prompt, std::string_view version, std::uint64_t tokens);

} // namespace pearhaven::standins

#endif
