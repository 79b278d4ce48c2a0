#ifndef PEARHAVEN_ADAPTERS_PERCENT_ENCODING_HPP
#define PEARHAVEN_ADAPTERS_PERCENT_ENCODING_HPP

#include <string>
#include <string_view>

namespace pearhaven::adapters {

// The text as a query value of a URL.
std::string percent_encoded(std::string_view text);

} // namespace pearhaven::adapters

#endif
