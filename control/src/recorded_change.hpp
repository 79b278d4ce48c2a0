#ifndef PEARHAVEN_CONTROL_RECORDED_CHANGE_HPP
#define PEARHAVEN_CONTROL_RECORDED_CHANGE_HPP

#include "pearhaven/coordination/peer_message.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace pearhaven::control {

// Formats of an accepted change, used by `history` and `watch`.
nlohmann::json recorded_change_json(const coordination::config_change& change);

std::vector<std::string> recorded_change_heading();
std::vector<std::string> recorded_change_row(const coordination::config_change& change);

} // namespace pearhaven::control

#endif
