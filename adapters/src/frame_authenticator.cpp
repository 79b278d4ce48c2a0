#include "frame_authenticator.hpp"

#include <stdexcept>

namespace pearhaven::adapters {

namespace {

// Domain separation from other keys derived from the fleet key.
constexpr char key_context[crypto_kdf_CONTEXTBYTES + 1] = "phpeers1";
constexpr std::uint64_t key_number = 1;

std::array<unsigned char, 8> little_endian(std::uint64_t number)
{
    std::array<unsigned char, 8> bytes{};
    for (unsigned char& byte : bytes) {
        byte = static_cast<unsigned char>(number & 0xFFU);
        number >>= 8U;
    }
    return bytes;
}

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

connection_nonce random_nonce()
{
    connection_nonce nonce{};
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

frame_key::frame_key(std::string_view fleet_key)
{
    if (sodium_init() < 0) {
        throw std::runtime_error("libsodium cannot be initialised");
    }
    std::array<unsigned char, crypto_kdf_KEYBYTES> master{};
    crypto_generichash(master.data(), master.size(), bytes_of(fleet_key), fleet_key.size(), nullptr,
                       0);
    crypto_kdf_derive_from_key(this->bytes.data(), this->bytes.size(), key_number, key_context,
                               master.data());
    sodium_memzero(master.data(), master.size());
}

frame_authenticator::frame_authenticator(const frame_key& key, const connection_nonce& opener,
                                         const connection_nonce& acceptor,
                                         frame_direction direction)
{
    const auto direction_byte = static_cast<unsigned char>(direction);
    crypto_auth_hmacsha512256_init(&this->prefix_state, key.data(), crypto_auth_KEYBYTES);
    crypto_auth_hmacsha512256_update(&this->prefix_state, opener.data(), opener.size());
    crypto_auth_hmacsha512256_update(&this->prefix_state, acceptor.data(), acceptor.size());
    crypto_auth_hmacsha512256_update(&this->prefix_state, &direction_byte, 1);
}

frame_code frame_authenticator::next_code(std::string_view payload)
{
    const auto sequence = little_endian(this->next_sequence++);
    crypto_auth_hmacsha512256_state state = this->prefix_state;
    crypto_auth_hmacsha512256_update(&state, sequence.data(), sequence.size());
    crypto_auth_hmacsha512256_update(&state, bytes_of(payload), payload.size());
    frame_code code{};
    crypto_auth_hmacsha512256_final(&state, code.data());
    return code;
}

bool frame_authenticator::accept_next(const frame_code& code, std::string_view payload)
{
    const frame_code expected = this->next_code(payload);
    return sodium_memcmp(expected.data(), code.data(), code.size()) == 0;
}

} // namespace pearhaven::adapters
