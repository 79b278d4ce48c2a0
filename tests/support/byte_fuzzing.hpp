#ifndef PEARHAVEN_TESTS_BYTE_FUZZING_HPP
#define PEARHAVEN_TESTS_BYTE_FUZZING_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::tests {

using namespace std::string_view_literals;

// Generates input for parsers: mutated valid examples and occasionally pure noise. Equal seeds
// generate equal bytes.
class byte_mutator {
public:
    explicit byte_mutator(std::uint64_t seed) : source(seed) {}

    // One of the examples with one to eight mutations; noise if there is no example.
    std::string draw(const std::vector<std::string>& examples)
    {
        constexpr std::size_t noise_share = 16;
        constexpr std::size_t max_mutations = 8;
        if (examples.empty() || this->below(noise_share) == 0) {
            return this->noise();
        }
        std::string bytes = examples[this->below(examples.size())];
        const std::size_t changes = 1 + this->below(max_mutations);
        for (std::size_t change = 0; change < changes && bytes.size() < max_size; ++change) {
            this->change(bytes, examples);
        }
        return bytes;
    }

    // Splits the bytes into pieces of one to twelve bytes, or occasionally in two.
    std::vector<std::string_view> split(std::string_view bytes)
    {
        constexpr std::size_t max_piece_size = 12;
        const bool in_two = this->below(4) == 0;
        std::vector<std::string_view> pieces;
        while (!bytes.empty()) {
            const std::size_t bound = in_two && pieces.empty() ? bytes.size() : max_piece_size;
            const std::size_t length =
                in_two && !pieces.empty() ? bytes.size() : 1 + this->below(bound);
            pieces.push_back(bytes.substr(0, length));
            bytes.remove_prefix(pieces.back().size());
        }
        return pieces;
    }

    // A random number from 0 to `bound` - 1; `bound` must be above zero.
    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(this->source() % bound);
    }

private:
    static constexpr std::size_t max_size = std::size_t{1} << 20U;

    std::string noise()
    {
        constexpr std::size_t max_noise_size = 300;
        std::string bytes(this->below(max_noise_size), '\0');
        for (char& byte : bytes) {
            byte = this->byte();
        }
        return bytes;
    }

    char byte() { return static_cast<char>(this->below(256)); }

    std::string piece_of(const std::string& bytes)
    {
        constexpr std::size_t longest = 40;
        if (bytes.empty()) {
            return {};
        }
        return bytes.substr(this->below(bytes.size()), 1 + this->below(longest));
    }

    // Texts that commonly break parsers: limits of numbers, line endings, invalid UTF-8.
    std::string edge_case_text()
    {
        static constexpr std::array texts = {"-1"sv,
                                             "0"sv,
                                             "255"sv,
                                             "65536"sv,
                                             "2147483648"sv,
                                             "4294967296"sv,
                                             "9223372036854775808"sv,
                                             "18446744073709551615"sv,
                                             "18446744073709551616"sv,
                                             "-9223372036854775809"sv,
                                             "1e300"sv,
                                             "-1e300"sv,
                                             "1e-400"sv,
                                             "1e999"sv,
                                             "0.5"sv,
                                             "ffffffffffffffff"sv,
                                             "null"sv,
                                             "true"sv,
                                             "{}"sv,
                                             "[]"sv,
                                             "\"\""sv,
                                             "\r\n"sv,
                                             "\n"sv,
                                             "\r"sv,
                                             "\r\n\r\n"sv,
                                             "\n\n"sv,
                                             "\0"sv,
                                             "\xff\xfe"sv,
                                             "\xc0\x80"sv,
                                             "\xed\xa0\x80"sv,
                                             "\xf4\x90\x80\x80"sv,
                                             "\xe2\x82"sv,
                                             "\xef\xbb\xbf"sv,
                                             "\\ud800"sv,
                                             "\\u0000"sv,
                                             "&a *a"sv,
                                             "---\n"sv,
                                             ": "sv,
                                             ","sv};
        return std::string(texts[this->below(texts.size())]);
    }

    std::string nesting()
    {
        constexpr std::size_t max_depth = 3000;
        constexpr std::size_t overflow_depth =
            100'000; // exceeds the stack for most recursive functions
        static const std::array<std::string_view, 4> openings = {"[", "{\"a\":", "{a: ", "- "};
        const auto opening = openings[this->below(openings.size())];
        std::string text;
        for (std::size_t depth = this->below(this->below(4) == 0 ? overflow_depth : max_depth);
             depth > 0; --depth) {
            text += opening;
        }
        return text;
    }

    // Replaces a number by an edge case and leaves the other bytes unchanged.
    void change_number(std::string& bytes)
    {
        constexpr std::string_view digits = "0123456789";
        const auto begin = bytes.find_first_of(digits, this->below(bytes.size() + 1));
        if (begin == std::string::npos) {
            return;
        }
        const auto end = std::min(bytes.find_first_not_of(digits, begin), bytes.size());
        bytes.replace(begin, end - begin, this->edge_case_text());
    }

    void change(std::string& bytes, const std::vector<std::string>& examples)
    {
        constexpr std::size_t kinds = 9;
        constexpr std::size_t nesting_share = 8;
        const std::size_t at = this->below(bytes.size() + 1);
        switch (this->below(kinds)) {
        case 0:
            if (at < bytes.size()) {
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << this->below(8)));
            }
            return;
        case 1:
            bytes.insert(at, 1, this->byte());
            return;
        case 2:
            bytes.erase(at, this->piece_of(bytes).size());
            return;
        case 3:
            bytes.insert(at, this->piece_of(bytes));
            return;
        case 4: {
            const auto& other = examples[this->below(examples.size())];
            bytes = bytes.substr(0, at) + other.substr(this->below(other.size() + 1));
            return;
        }
        case 5:
            this->change_number(bytes);
            return;
        case 6:
            bytes.insert(at, this->edge_case_text());
            return;
        case 7:
            bytes.resize(at);
            return;
        default:
            bytes.insert(at, this->below(nesting_share) == 0 ? this->nesting()
                                                             : this->edge_case_text());
            return;
        }
    }

    std::mt19937_64 source;
};

// The bytes as a C++ string literal, for a regression test.
inline std::string to_escaped_literal(std::string_view bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char letter : bytes) {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte >= 0x20 && byte < 0x7f && letter != '"' && letter != '\\') {
            text += letter;
        } else {
            text.append("\\x").append(1, digits[byte / 16]).append(1, digits[byte % 16]);
        }
    }
    return text;
}

// The number of rounds or the time to fuzz each property. Settings for manual runs:
// PEARHAVEN_FUZZ_SECONDS (for each property), PEARHAVEN_FUZZ_SEED, and PEARHAVEN_FUZZ_KEEP, a file
// to which the current bytes are written so that they are available after a crash.
class fuzz_plan {
public:
    explicit fuzz_plan(std::size_t default_rounds)
        : rounds(default_rounds * number_in("PEARHAVEN_FUZZ_TIMES", 1)),
          seconds(number_in("PEARHAVEN_FUZZ_SECONDS", 0))
    {}

    static std::uint64_t seed() { return number_in("PEARHAVEN_FUZZ_SEED", 20261202); }

    [[nodiscard]] bool has_next_round(std::size_t round) const
    {
        if (this->seconds == 0) {
            return round < this->rounds;
        }
        const auto past = std::chrono::steady_clock::now() - this->start;
        return past < std::chrono::seconds(this->seconds);
    }

    static void keep(const std::string& bytes)
    {
        const char* const path = std::getenv("PEARHAVEN_FUZZ_KEEP");
        if (path != nullptr) {
            std::ofstream(path, std::ios::binary) << bytes;
        }
    }

private:
    static std::uint64_t number_in(const char* variable, std::uint64_t fallback)
    {
        const char* const text = std::getenv(variable);
        return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
    }

    std::size_t rounds;
    std::uint64_t seconds;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

// Checks a property on generated bytes. The property returns whether it holds and may draw further
// random values, such as splits. Returns the first bytes for which it does not hold or throws, as a
// literal with the cause; empty if there are none.
inline std::string
first_fault(const std::vector<std::string>& examples, std::size_t default_rounds,
            const std::function<bool(const std::string&, byte_mutator&)>& property)
{
    const fuzz_plan plan(default_rounds);
    byte_mutator mutator(fuzz_plan::seed());
    for (std::size_t round = 0; plan.has_next_round(round); ++round) {
        const auto bytes = mutator.draw(examples);
        fuzz_plan::keep(bytes);
        std::string wrong;
        try {
            wrong = property(bytes, mutator) ? "" : "does not hold";
        } catch (const std::exception& error) {
            wrong = std::string("throws ") + error.what();
        }
        if (!wrong.empty()) {
            return wrong + " in round " + std::to_string(round) + ": \"" +
                   to_escaped_literal(bytes) + "\"";
        }
    }
    return {};
}

} // namespace pearhaven::tests

#endif
