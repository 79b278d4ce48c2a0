#ifndef PEARHAVEN_ADAPTERS_SRC_FRAME_AUTHENTICATOR_HPP
#define PEARHAVEN_ADAPTERS_SRC_FRAME_AUTHENTICATOR_HPP

#include <sodium.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace pearhaven::adapters {

// Random bytes that each end of a connection sends first, unencrypted.
using connection_nonce = std::array<unsigned char, 16>;

using frame_code = std::array<unsigned char, crypto_auth_BYTES>;

connection_nonce random_nonce();

// Key for frames between routers, derived from the fleet key.
class frame_key {
public:
    explicit frame_key(std::string_view fleet_key);

    [[nodiscard]] const unsigned char* data() const { return this->bytes.data(); }

private:
    std::array<unsigned char, crypto_auth_KEYBYTES> bytes{};
};

enum class frame_direction : unsigned char { from_opener = 1, from_acceptor = 2 };

// Computes or verifies the authentication codes of one direction of one connection. A code covers
// both nonces, the direction, the sequence number of the frame and its payload. So verification
// fails for a frame recorded on another connection (different nonces), for a frame that was
// dropped, repeated or reordered (different sequence number) and for a reflected frame (different
// direction).
class frame_authenticator {
public:
    frame_authenticator(const frame_key& key, const connection_nonce& opener,
                        const connection_nonce& acceptor, frame_direction direction);

    // Returns the code of the next frame.
    [[nodiscard]] frame_code next_code(std::string_view payload);

    // Whether the code is valid for the payload as the next frame. Takes constant time for invalid
    // codes.
    [[nodiscard]] bool accept_next(const frame_code& code, std::string_view payload);

private:
    crypto_auth_hmacsha512256_state prefix_state{};
    std::uint64_t next_sequence = 0;
};

} // namespace pearhaven::adapters

#endif
