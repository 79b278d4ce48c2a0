#ifndef PEARHAVEN_ADAPTERS_IP_ADDRESS_HPP
#define PEARHAVEN_ADAPTERS_IP_ADDRESS_HPP

#include <string>

namespace pearhaven::adapters {

// Whether the whole text is a numeric address, without brackets.
bool is_ipv4_address(const std::string& text);
bool is_ipv6_address(const std::string& text);

} // namespace pearhaven::adapters

#endif
