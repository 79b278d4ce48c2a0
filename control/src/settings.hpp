#ifndef PEARHAVEN_CONTROL_SETTINGS_HPP
#define PEARHAVEN_CONTROL_SETTINGS_HPP

#include "output.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::control {

// Settings of one call of the program, from its command line and environment.
struct control_settings {
    std::string kv_url;
    output_format format = output_format::table;
    std::string author;
    std::string operator_key; // empty: routers cannot be queried
    std::chrono::milliseconds store_timeout{};
    std::chrono::milliseconds router_timeout{};
    bool wait = false;
    std::optional<std::chrono::milliseconds> timeout; // absent: the command's default applies
    std::optional<std::uint64_t> base;
    std::string team;
    std::vector<std::string> files;
    std::vector<std::string> arguments; // positional arguments after the command's name

    friend bool operator==(const control_settings&, const control_settings&) = default;
};

struct read_settings_result {
    std::string command; // empty when none was given
    control_settings settings;
    std::vector<std::string> faults; // one sentence each
    bool help_requested = false;
};

// Reads the flags, and the environment variable PEARHAVENCTL_FLAG for each flag that is not given.
// The operator key is read from a file or from PEARHAVENCTL_OPERATOR_KEY, never from the command
// line, which every user of the host can see.
read_settings_result read_settings(int argc, char** argv);

// Returns the descriptions of all flags, one per line.
std::string describe_settings();

} // namespace pearhaven::control

#endif
