#ifndef PEARHAVEN_ADAPTERS_AUTHENTICATOR_HPP
#define PEARHAVEN_ADAPTERS_AUTHENTICATOR_HPP

#include "pearhaven/decision/session_token.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// Computes and verifies message authentication codes under keys derived from the fleet key. Session
// key number N of the configuration selects the N-th derived key, so no secret is kept in the
// store.
std::unique_ptr<decision::token_authenticator> make_token_authenticator(std::string_view fleet_key);

// Compares in a time that depends only on the lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

// Random 16-byte identifier in hexadecimal, from the operating system's random source.
std::string random_identifier();

} // namespace pearhaven::adapters

#endif
