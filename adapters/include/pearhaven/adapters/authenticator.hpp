#ifndef PEARHAVEN_ADAPTERS_AUTHENTICATOR_HPP
#define PEARHAVEN_ADAPTERS_AUTHENTICATOR_HPP

#include "pearhaven/decision/session_token.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// Makes and checks message authentication codes under keys derived from the fleet key: number N of
// the configuration's session keys gives the N-th derived key, so that no secret lies in the store.
std::unique_ptr<decision::token_authenticator> make_token_authenticator(std::string_view fleet_key);

// Compares in time that depends only on the lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

// Random identifier of 16 bytes in hexadecimal, from the operating system's source.
std::string random_identifier();

} // namespace pearhaven::adapters

#endif
