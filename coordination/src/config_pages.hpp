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

// Cuts the objects into pages of at most `page_bytes`, where single objects allow that. An object
// goes to a page by the hash of its name, so that few changes between two snapshots leave most
// pages, and their keys, as they were.
std::vector<config_page> paginate(const std::vector<config_object>& objects,
                                  const config_head_codec& codec, std::size_t page_bytes);

} // namespace pearhaven::coordination

#endif
