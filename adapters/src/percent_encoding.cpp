#include "pearhaven/adapters/percent_encoding.hpp"

#include <cctype>

namespace pearhaven::adapters {

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved_marks = "-._~";
    std::string result;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool plain = byte < 0x80U && std::isalnum(byte) != 0;
        if (plain || unreserved_marks.find(letter) != std::string_view::npos) {
            result += letter;
            continue;
        }
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 0x0FU];
    }
    return result;
}

} // namespace pearhaven::adapters
