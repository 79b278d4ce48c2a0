#ifndef PEARHAVEN_DECISION_SESSION_TOKEN_HPP
#define PEARHAVEN_DECISION_SESSION_TOKEN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::decision {

// Port to a keyed message authentication code. Both functions are pure for a given key.
class token_authenticator {
public:
    virtual ~token_authenticator() = default;

    // The code of the text under the numbered key.
    [[nodiscard]] virtual std::string seal(std::uint32_t key_number,
                                           std::string_view text) const = 0;

    // Compares in constant time.
    [[nodiscard]] virtual bool verify(std::uint32_t key_number, std::string_view text,
                                      std::string_view code) const = 0;
};

// What a session is bound to. It travels with the caller, so that no router keeps a table of
// sessions and any router can continue one after any restart.
struct session {
    std::string id;
    std::string team;
    std::string model;
    std::string version;

    friend bool operator==(const session&, const session&) = default;
};

// The caller's token: readable fields with a code over them, made under the newest key.
std::string seal_session(const session& bound, std::uint32_t key_number,
                         const token_authenticator& keys);

// Nothing when the token is malformed, forged, made under a key that is not listed, or over 1,024
// bytes.
std::optional<session> open_session(std::string_view token,
                                    const std::vector<std::uint32_t>& key_numbers,
                                    const token_authenticator& keys);

} // namespace pearhaven::decision

#endif
