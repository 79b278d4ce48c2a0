#ifndef PEARHAVEN_ROUTER_SETTINGS_HPP
#define PEARHAVEN_ROUTER_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pearhaven::router {

// All settings of one router. docs/SETTINGS.md explains each.
struct router_settings {
    std::string zone;
    std::string host = "127.0.0.1"; // IP address for peers and operators
    std::uint16_t caller_port = 8080;
    std::uint16_t operator_port = 0;
    std::uint16_t peer_port = 0;
    std::vector<std::string> peers; // IP:port of routers to ask if the store is unreachable

    std::string key_value_url;
    std::string host_list_url;
    std::string fleet_key;
    std::string operator_key;

    std::uint32_t caller_threads = 512; // concurrent callers; more are refused or wait to connect
    std::uint32_t max_body_bytes = 4U << 20U;
    std::chrono::milliseconds caller_read_timeout{10000}; // to receive a complete request
    std::chrono::milliseconds default_deadline{60000};
    std::chrono::milliseconds longest_deadline{600000};

    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds first_byte_timeout{1500}; // then resumes on a fresh connection
    std::chrono::milliseconds progress_timeout{1500};
    std::chrono::milliseconds service_timeout{30000};

    std::chrono::milliseconds store_timeout{2000};
    std::chrono::milliseconds host_list_period{1000};
    std::chrono::milliseconds load_period{500};
    std::chrono::milliseconds member_lease{10000};

    std::chrono::milliseconds quiet_before_close{500}; // from not ready until the listeners close
    std::chrono::milliseconds longest_drain{600000};

    bool json_log = false;

    friend bool operator==(const router_settings&, const router_settings&) = default;
};

// Returns one sentence for each invalid setting, with the value found and what is allowed. Empty if
// the settings are valid.
std::vector<std::string> check_settings(const router_settings& settings);

// Result of reading the command line and the environment. `settings` is valid only if there are no
// faults.
struct parsed_settings {
    router_settings settings;
    std::vector<std::string> faults;
    std::vector<std::string> flag_faults; // those of `faults` that other settings cannot fix
    bool help_requested = false;
};

// Reads flags, and environment variables PEARHAVEND_NAME for flags that were not given. Secrets are
// read only from files or the environment.
parsed_settings read_settings(int argc, char** argv);

// The text that --help prints.
std::string settings_help();

} // namespace pearhaven::router

#endif
