#ifndef PEARHAVEN_STANDINS_SHARES_HPP
#define PEARHAVEN_STANDINS_SHARES_HPP

#include <string>

namespace pearhaven::standins {

// Whether the one that the text names belongs to the share (0 to 1) of all, by a hash of the text:
// the same answer each time. Whatever is in a share is in every larger one.
bool in_share(const std::string& name, double share);

} // namespace pearhaven::standins

#endif
