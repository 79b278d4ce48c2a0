#include "pearhaven/decision/session_token.hpp"

#include <algorithm>
#include <charconv>

namespace pearhaven::decision {

namespace {

// Layout: FORMAT.KEY.ID.TEAM.MODEL.VERSION.CODE, each field escaped; the code covers everything
// before it.
constexpr std::string_view format_version = "s1";
constexpr char separator = '.';
constexpr std::size_t part_count = 7;
constexpr std::size_t max_token_size = 1024;
constexpr std::string_view hexadecimal = "0123456789abcdef";

bool is_unreserved(char symbol)
{
    return (symbol >= 'a' && symbol <= 'z') || (symbol >= 'A' && symbol <= 'Z') ||
           (symbol >= '0' && symbol <= '9') || symbol == '-' || symbol == '_';
}

std::string escape(std::string_view plain)
{
    std::string escaped;
    escaped.reserve(plain.size());
    for (const char symbol : plain) {
        if (is_unreserved(symbol)) {
            escaped.push_back(symbol);
            continue;
        }
        const auto byte = static_cast<unsigned char>(symbol);
        escaped.push_back('%');
        escaped.push_back(hexadecimal[byte >> 4U]);
        escaped.push_back(hexadecimal[byte & 0x0FU]);
    }
    return escaped;
}

std::optional<std::string> unescape(std::string_view escaped)
{
    std::string plain;
    plain.reserve(escaped.size());
    for (std::size_t at = 0; at < escaped.size(); ++at) {
        if (escaped[at] != '%') {
            plain.push_back(escaped[at]);
            continue;
        }
        if (escaped.size() - at < 3) {
            return std::nullopt;
        }
        const auto high = hexadecimal.find(escaped[at + 1]);
        const auto low = hexadecimal.find(escaped[at + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        plain.push_back(static_cast<char>(high * hexadecimal.size() + low));
        at += 2;
    }
    // Each value has only one valid encoding, so an altered token is never accepted.
    if (escape(plain) != escaped) {
        return std::nullopt;
    }
    return plain;
}

std::optional<std::vector<std::string>> split(std::string_view token)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= token.size()) {
        const std::size_t end = std::min(token.find(separator, begin), token.size());
        auto plain = unescape(token.substr(begin, end - begin));
        if (!plain) {
            return std::nullopt;
        }
        parts.push_back(std::move(*plain));
        begin = end + 1;
    }
    if (parts.size() != part_count) {
        return std::nullopt;
    }
    return parts;
}

std::optional<std::uint32_t> parse_key_number(const std::string& text)
{
    std::uint32_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string seal_session(const session& bound, std::uint32_t key_number,
                         const token_authenticator& keys)
{
    std::string token(format_version);
    for (const auto& field :
         {std::to_string(key_number), bound.id, bound.team, bound.model, bound.version}) {
        token.push_back(separator);
        token.append(escape(field));
    }
    const std::string code = escape(keys.seal(key_number, token));
    token.push_back(separator);
    token.append(code);
    return token;
}

std::optional<session> open_session(std::string_view token,
                                    const std::vector<std::uint32_t>& key_numbers,
                                    const token_authenticator& keys)
{
    if (token.size() > max_token_size) {
        return std::nullopt;
    }
    const auto parts = split(token);
    if (!parts || parts->front() != format_version) {
        return std::nullopt;
    }
    const auto key_number = parse_key_number((*parts)[1]);
    if (!key_number ||
        std::find(key_numbers.begin(), key_numbers.end(), *key_number) == key_numbers.end()) {
        return std::nullopt;
    }
    const std::string_view sealed_text = token.substr(0, token.rfind(separator));
    if (!keys.verify(*key_number, sealed_text, parts->back())) {
        return std::nullopt;
    }
    return session{(*parts)[2], (*parts)[3], (*parts)[4], (*parts)[5]};
}

} // namespace pearhaven::decision
