#ifndef PEARHAVEN_DECISION_SESSION_TOKEN_HPP
#define PEARHAVEN_DECISION_SESSION_TOKEN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::decision {

// Interface to a keyed message authentication code. Both functions are pure for a given key.
class token_authenticator {
public:
    virtual ~token_authenticator() = default;

    // Returns the code of the text under the numbered key.
    [[nodiscard]] virtual std::string seal(std::uint32_t key_number,
                                           std::string_view text) const = 0;

    // Compares in constant time.
    [[nodiscard]] virtual bool verify(std::uint32_t key_number, std::string_view text,
                                      std::string_view code) const = 0;
};

// The team, model and version that a session is bound to. The caller carries them in a token, so
// routers keep no table of sessions and any router can continue a session after a restart.
struct session {
    std::string id;
    std::string team;
    std::string model;
    std::string version;

    friend bool operator==(const session&, const session&) = default;
};

// Returns the caller's token: readable fields followed by their authentication code, made with the
// newest key.
std::string seal_session(const session& bound, std::uint32_t key_number,
                         const token_authenticator& keys);

// Returns nothing if the token is malformed, forged, made with a key that is not listed, or longer
// than 1,024 bytes.
std::optional<session> open_session(std::string_view token,
                                    const std::vector<std::uint32_t>& key_numbers,
                                    const token_authenticator& keys);

} // namespace pearhaven::decision

#endif
