#ifndef PEARHAVEN_COORDINATION_CONFIG_PAGES_HPP
#define PEARHAVEN_COORDINATION_CONFIG_PAGES_HPP

#include "pearhaven/coordination/config_head.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace pearhaven::coordination {

struct config_page {
    std::string key;
    std::string text;
};

// Splits the objects into pages of at most `page_bytes`, unless a single object is larger. The hash
// of an object's name selects its page, so that a few changes between two snapshots leave most
// pages, and their keys, unchanged.
std::vector<config_page> paginate(const std::vector<config_object>& objects,
                                  const config_head_codec& codec, std::size_t page_bytes);

} // namespace pearhaven::coordination

#endif
