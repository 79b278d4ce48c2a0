#include "pearhaven/router/settings.hpp"

#include "pearhaven/adapters/flags.hpp"

#include <gflags/gflags.h>

#include <cctype>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

DEFINE_string(zone, "", "availability zone of this host");
DEFINE_string(host, "127.0.0.1", "IP address for peers and operators");
DEFINE_uint32(caller_port, 8080, "port for callers; 0: any free one");
DEFINE_uint32(operator_port, 0, "port for operators and metrics; 0: any free one");
DEFINE_uint32(peer_port, 0, "port for other routers; 0: any free one");
DEFINE_string(peers, "",
              "comma-separated IP:port of other routers, for a start during a store outage");
DEFINE_string(key_value_url, "", "base URL of the key-value service");
DEFINE_string(host_list_url, "", "base URL of the host list");
DEFINE_string(fleet_key_file, "",
              "file with the key that all routers share (or PEARHAVEND_FLEET_KEY)");
DEFINE_string(operator_key_file, "", "file with the operators' key (or PEARHAVEND_OPERATOR_KEY)");
DEFINE_uint32(caller_threads, 512, "concurrent callers");
DEFINE_uint32(max_body_bytes, 4U << 20U, "maximum size of a request body");
DEFINE_uint32(caller_read_timeout_ms, 10000, "maximum time to receive a complete request");
DEFINE_uint32(default_deadline_ms, 60000, "deadline of requests that specify none");
DEFINE_uint32(longest_deadline_ms, 600000, "maximum deadline that a request may specify");
DEFINE_uint32(connect_timeout_ms, 1000, "timeout for connecting to an endpoint");
DEFINE_uint32(first_byte_timeout_ms, 1500,
              "silence before a run is resumed over a fresh connection");
DEFINE_uint32(progress_timeout_ms, 1500, "maximum silence in an answer that has begun");
DEFINE_uint32(service_timeout_ms, 30000, "maximum silence of a plain service");
DEFINE_uint32(store_timeout_ms, 2000, "timeout for calls to the key-value service");
DEFINE_uint32(host_list_period_ms, 1000, "interval between reads of the host list");
DEFINE_uint32(load_period_ms, 500, "interval between load reports of an endpoint");
DEFINE_uint32(member_lease_ms, 10000, "lease of this router's membership record");
DEFINE_uint32(quiet_before_close_ms, 500,
              "delay between reporting not ready and closing the listeners");
DEFINE_uint32(longest_drain_ms, 600000, "maximum time that a stop waits for requests in flight");
DEFINE_string(log_format, "text", "text or json");

namespace pearhaven::router {

namespace {

constexpr std::size_t min_key_length = 16;

// A paused router stops accepting work 3 s after its last confirmation by its own clock. Its
// membership must not expire before that, since operators' commands stop waiting for a router whose
// membership has expired.
constexpr long min_member_lease_ms = 5000;

std::string trimmed(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    return text;
}

std::string read_secret(const std::string& file, const char* variable,
                        std::vector<std::string>& faults)
{
    if (file.empty()) {
        const char* value = std::getenv(variable);
        return value == nullptr ? "" : value;
    }
    std::ifstream stream(file);
    if (!stream) {
        faults.push_back("key file: found \"" + file + "\", which cannot be read");
        return "";
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return trimmed(text.str());
}

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::uint16_t to_port(std::uint32_t value, const char* name, std::vector<std::string>& faults)
{
    constexpr std::uint32_t highest = 65535;
    if (value > highest) {
        faults.push_back(std::string(name) + ": found " + std::to_string(value) +
                         ", allowed 0 to 65535");
    }
    return static_cast<std::uint16_t>(value);
}

void check_url(const std::string& value, const char* name, std::vector<std::string>& faults)
{
    if (value.rfind("http://", 0) != 0) {
        faults.push_back(std::string(name) + ": found \"" + value +
                         "\", allowed a URL like http://127.0.0.1:7000");
    }
}

void check_peers(const std::vector<std::string>& peers, std::vector<std::string>& faults)
{
    for (const auto& peer : peers) {
        const auto colon = peer.rfind(':');
        const auto port = colon == std::string::npos ? "" : peer.substr(colon + 1);
        const bool is_number = !port.empty() && port.size() <= 5 &&
                               port.find_first_not_of("0123456789") == std::string::npos;
        if (!is_number || colon == 0) {
            faults.push_back("peers: found \"" + peer + "\", allowed IP:port, separated by commas");
        }
    }
}

void check_key(const std::string& value, const char* name, std::vector<std::string>& faults)
{
    if (value.size() < min_key_length) {
        faults.push_back(std::string(name) + ": found " + std::to_string(value.size()) +
                         " bytes, allowed " + std::to_string(min_key_length) + " or more");
    }
}

template <class Number>
void check_range(Number value, Number lowest, Number highest, const char* name,
                 std::vector<std::string>& faults)
{
    if (value < lowest || value > highest) {
        faults.push_back(std::string(name) + ": found " + std::to_string(value) + ", allowed " +
                         std::to_string(lowest) + " to " + std::to_string(highest));
    }
}

std::chrono::milliseconds to_ms(std::uint32_t value)
{
    return std::chrono::milliseconds(value);
}

void read_durations(router_settings& settings)
{
    settings.caller_read_timeout = to_ms(FLAGS_caller_read_timeout_ms);
    settings.default_deadline = to_ms(FLAGS_default_deadline_ms);
    settings.longest_deadline = to_ms(FLAGS_longest_deadline_ms);
    settings.connect_timeout = to_ms(FLAGS_connect_timeout_ms);
    settings.first_byte_timeout = to_ms(FLAGS_first_byte_timeout_ms);
    settings.progress_timeout = to_ms(FLAGS_progress_timeout_ms);
    settings.service_timeout = to_ms(FLAGS_service_timeout_ms);
    settings.store_timeout = to_ms(FLAGS_store_timeout_ms);
    settings.host_list_period = to_ms(FLAGS_host_list_period_ms);
    settings.load_period = to_ms(FLAGS_load_period_ms);
    settings.member_lease = to_ms(FLAGS_member_lease_ms);
    settings.quiet_before_close = to_ms(FLAGS_quiet_before_close_ms);
    settings.longest_drain = to_ms(FLAGS_longest_drain_ms);
}

} // namespace

std::vector<std::string> check_settings(const router_settings& settings)
{
    std::vector<std::string> faults;
    if (settings.zone.empty()) {
        faults.emplace_back("zone: found nothing, allowed the name of an availability zone");
    }
    check_peers(settings.peers, faults);
    check_url(settings.key_value_url, "key_value_url", faults);
    check_url(settings.host_list_url, "host_list_url", faults);
    check_key(settings.fleet_key, "fleet key", faults);
    check_key(settings.operator_key, "operator key", faults);
    check_range<std::uint32_t>(settings.caller_threads, 2, 4096, "caller_threads", faults);
    check_range<std::uint32_t>(settings.max_body_bytes, 1024, 64U << 20U, "max_body_bytes", faults);
    check_range<long>(settings.progress_timeout.count(), 50, 600000, "progress_timeout_ms", faults);
    check_range<long>(settings.first_byte_timeout.count(), 50, 600000, "first_byte_timeout_ms",
                      faults);
    check_range<long>(settings.connect_timeout.count(), 10, 60000, "connect_timeout_ms", faults);
    check_range<long>(settings.store_timeout.count(), 50, 60000, "store_timeout_ms", faults);
    check_range<long>(settings.host_list_period.count(), 50, 60000, "host_list_period_ms", faults);
    check_range<long>(settings.load_period.count(), 50, 60000, "load_period_ms", faults);
    check_range<long>(settings.member_lease.count(), min_member_lease_ms, 600000, "member_lease_ms",
                      faults);
    check_range<long>(settings.default_deadline.count(), 1, settings.longest_deadline.count(),
                      "default_deadline_ms", faults);
    return faults;
}

std::string settings_help()
{
    return "pearhavend routes callers' requests to allowed versions of language models.\n\n"
           "  pearhavend --zone osu --key_value_url http://127.0.0.1:7000 --host_list_url "
           "http://127.0.0.1:7001\n\n"
           "Each flag can also be set in the environment as PEARHAVEND_NAME, the two keys only "
           "there or by file.\n"
           "Exit status: 0 after a stop that cut off nothing, 1 otherwise, 2 for invalid "
           "settings.\n\n" +
           adapters::describe_flags("router/src/settings.cpp");
}

parsed_settings read_settings(int argc, char** argv)
{
    auto flags = adapters::read_flags(argc, argv, "PEARHAVEND");
    parsed_settings parsed;
    parsed.help_requested = flags.help_requested;
    parsed.flag_faults = flags.faults;
    parsed.faults = std::move(flags.faults);
    auto& faults = parsed.faults;
    for (const auto& argument : flags.positional) {
        faults.push_back("command line: found \"" + argument + "\", allowed are flags only");
    }
    auto& settings = parsed.settings;
    settings.zone = FLAGS_zone;
    settings.host = FLAGS_host;
    settings.caller_port = to_port(FLAGS_caller_port, "caller_port", faults);
    settings.operator_port = to_port(FLAGS_operator_port, "operator_port", faults);
    settings.peer_port = to_port(FLAGS_peer_port, "peer_port", faults);
    settings.peers = split(FLAGS_peers);
    settings.key_value_url = FLAGS_key_value_url;
    settings.host_list_url = FLAGS_host_list_url;
    settings.fleet_key = read_secret(FLAGS_fleet_key_file, "PEARHAVEND_FLEET_KEY", faults);
    settings.operator_key = read_secret(FLAGS_operator_key_file, "PEARHAVEND_OPERATOR_KEY", faults);
    settings.caller_threads = FLAGS_caller_threads;
    settings.max_body_bytes = FLAGS_max_body_bytes;
    settings.json_log = FLAGS_log_format == "json";
    if (FLAGS_log_format != "json" && FLAGS_log_format != "text") {
        faults.push_back("log_format: found \"" + FLAGS_log_format + "\", allowed text or json");
    }
    read_durations(settings);
    const auto checked = check_settings(settings);
    faults.insert(faults.end(), checked.begin(), checked.end());
    return parsed;
}

} // namespace pearhaven::router
