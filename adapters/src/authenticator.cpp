#include "pearhaven/adapters/authenticator.hpp"

#include <sodium.h>

#include <array>
#include <cstring>
#include <stdexcept>

namespace pearhaven::adapters {

namespace {

using derived_key = std::array<unsigned char, crypto_auth_KEYBYTES>;

// Domain separation of session keys from other keys derived from the fleet key.
constexpr char key_context[crypto_kdf_CONTEXTBYTES + 1] = "phsessn1";

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, size);
    text.pop_back();
    return text;
}

class sodium_authenticator : public decision::token_authenticator {
public:
    explicit sodium_authenticator(std::string_view fleet_key)
    {
        if (sodium_init() < 0) {
            throw std::runtime_error("libsodium cannot be initialised");
        }
        const auto* text = reinterpret_cast<const unsigned char*>(fleet_key.data());
        crypto_generichash(this->master.data(), this->master.size(), text, fleet_key.size(),
                           nullptr, 0);
    }

    [[nodiscard]] std::string seal(std::uint32_t key_number, std::string_view text) const override
    {
        std::array<unsigned char, crypto_auth_BYTES> code{};
        const auto key = this->derive(key_number);
        const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
        crypto_auth(code.data(), bytes, text.size(), key.data());
        return to_hex(code.data(), code.size());
    }

    [[nodiscard]] bool verify(std::uint32_t key_number, std::string_view text,
                              std::string_view code) const override
    {
        return equal_in_constant_time(this->seal(key_number, text), code);
    }

private:
    [[nodiscard]] derived_key derive(std::uint32_t key_number) const
    {
        derived_key key{};
        crypto_kdf_derive_from_key(key.data(), key.size(), key_number, key_context,
                                   this->master.data());
        return key;
    }

    std::array<unsigned char, crypto_kdf_KEYBYTES> master{};
};

} // namespace

std::unique_ptr<decision::token_authenticator> make_token_authenticator(std::string_view fleet_key)
{
    return std::make_unique<sodium_authenticator>(fleet_key);
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_identifier()
{
    std::array<unsigned char, 16> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return to_hex(bytes.data(), bytes.size());
}

} // namespace pearhaven::adapters
