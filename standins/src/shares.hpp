#ifndef PEARHAVEN_STANDINS_SHARES_HPP
#define PEARHAVEN_STANDINS_SHARES_HPP

#include <string>

namespace pearhaven::standins {

// Whether the item identified by the text falls into the share (0 to 1) of all items, by a hash of
// the text. Deterministic; an item in one share is also in every larger share.
bool in_share(const std::string& name, double share);

} // namespace pearhaven::standins

#endif
