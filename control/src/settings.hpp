#ifndef PEARHAVEN_CONTROL_SETTINGS_HPP
#define PEARHAVEN_CONTROL_SETTINGS_HPP

#include "output.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::control {

// One call of the program, as its command line and environment state it.
struct control_settings {
    std::string kv_url;
    output_format format = output_format::table;
    std::string author;
    std::string operator_key; // empty: routers cannot be asked
    std::chrono::milliseconds store_timeout{};
    std::chrono::milliseconds router_timeout{};
    bool wait = false;
    std::optional<std::chrono::milliseconds> timeout; // the command's own where there is none
    std::optional<std::uint64_t> base;
    std::string team;
    std::vector<std::string> files;
    std::vector<std::string> arguments; // what follows the command's name

    friend bool operator==(const control_settings&, const control_settings&) = default;
};

struct read_settings_result {
    std::string command; // empty where none was given
    control_settings settings;
    std::vector<std::string> faults; // one sentence each
    bool help_requested = false;
};

// Reads flags, then environment variables PEARHAVENCTL_FLAG for those that are not given. The
// operator key comes from a file or from PEARHAVENCTL_OPERATOR_KEY, never from the command line,
// which every user of the machine can see.
read_settings_result read_settings(int argc, char** argv);

// The flags, one a line.
std::string describe_settings();

} // namespace pearhaven::control

#endif
