#ifndef PEARHAVEN_ADAPTERS_PERCENT_ENCODING_HPP
#define PEARHAVEN_ADAPTERS_PERCENT_ENCODING_HPP

#include <string>
#include <string_view>

namespace pearhaven::adapters {

// Percent-encodes the text for use as a query value in a URL.
std::string percent_encoded(std::string_view text);

} // namespace pearhaven::adapters

#endif
