#include "answer_text.hpp"

#include <xxhash.h>

namespace pearhaven::standins {

namespace {

constexpr std::uint64_t bytes_per_token = 4;
constexpr std::string_view consonants = "bdfgklmnprstvwyz";
constexpr std::string_view vowels = "aeio";
constexpr int syllables = 4;

} // namespace

std::string chat_prompt(const std::vector<chat_message>& messages)
{
    std::string prompt;
    for (const auto& each : messages) {
        prompt.append(each.role).append(": ").append(each.content).append("\n");
    }
    return prompt;
}

std::uint64_t prompt_token_count(std::string_view prompt)
{
    return (prompt.size() + bytes_per_token - 1) / bytes_per_token;
}

std::uint64_t answer_seed(std::string_view prompt, std::string_view version)
{
    const auto version_hash = XXH3_64bits(version.data(), version.size());
    return XXH3_64bits_withSeed(prompt.data(), prompt.size(), version_hash);
}

std::string answer_token(std::uint64_t seed, std::uint64_t index)
{
    auto bits = XXH3_64bits_withSeed(&index, sizeof(index), seed);
    std::string token;
    for (int syllable = 0; syllable < syllables; ++syllable) {
        token.push_back(consonants[bits % consonants.size()]);
        bits /= consonants.size();
        token.push_back(vowels[bits % vowels.size()]);
        bits /= vowels.size();
    }
    token.push_back(' ');
    return token;
}

std::string answer_token(std::string_view prompt, std::string_view version, std::uint64_t index)
{
    return answer_token(answer_seed(prompt, version), index);
}

std::string answer_text(std::string_view prompt, std::string_view version, std::uint64_t tokens)
{
    const auto seed = answer_seed(prompt, version);
    std::string text;
    for (std::uint64_t index = 0; index < tokens; ++index) {
        text += answer_token(seed, index);
    }
    return text;
}

} // namespace pearhaven::standins
