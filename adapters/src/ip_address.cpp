#include "pearhaven/adapters/ip_address.hpp"

#include <arpa/inet.h>

namespace pearhaven::adapters {

namespace {

template <class Address>
bool is_address(int family, const std::string& text)
{
    Address ignored{};
    return text.find('\0') == std::string::npos && // inet_pton stops at a zero byte
           inet_pton(family, text.c_str(), &ignored) == 1;
}

} // namespace

bool is_ipv4_address(const std::string& text)
{
    return is_address<in_addr>(AF_INET, text);
}

bool is_ipv6_address(const std::string& text)
{
    return is_address<in6_addr>(AF_INET6, text);
}

} // namespace pearhaven::adapters
