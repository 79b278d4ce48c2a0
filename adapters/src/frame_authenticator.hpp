#ifndef PEARHAVEN_ADAPTERS_SRC_FRAME_AUTHENTICATOR_HPP
#define PEARHAVEN_ADAPTERS_SRC_FRAME_AUTHENTICATOR_HPP

#include <sodium.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace pearhaven::adapters {

// Random bytes that each end of a connection sends first, in the clear.
using connection_nonce = std::array<unsigned char, 16>;

using frame_code = std::array<unsigned char, crypto_auth_BYTES>;

connection_nonce random_nonce();

// The key of frames between routers, derived from the fleet key.
class frame_key {
public:
    explicit frame_key(std::string_view fleet_key);

    [[nodiscard]] const unsigned char* data() const { return this->bytes.data(); }

private:
    std::array<unsigned char, crypto_auth_KEYBYTES> bytes{};
};

enum class frame_direction : unsigned char { from_opener = 1, from_acceptor = 2 };

// Makes or checks the codes of one direction of one connection. A code covers both nonces, the
// direction, the frame's place and its payload. So a frame recorded on another connection fails,
// since that one had other nonces; a frame left out, repeated or moved fails, since its place is
// another; a frame turned back fails, since its direction is another.
class frame_authenticator {
public:
    frame_authenticator(const frame_key& key, const connection_nonce& opener,
                        const connection_nonce& acceptor, frame_direction direction);

    // The code of the next frame.
    [[nodiscard]] frame_code next_code(std::string_view payload);

    // Whether the payload is the next frame's. Takes the same time for any wrong code.
    [[nodiscard]] bool accept_next(const frame_code& code, std::string_view payload);

private:
    crypto_auth_hmacsha512256_state common_part{};
    std::uint64_t next_place = 0;
};

} // namespace pearhaven::adapters

#endif
