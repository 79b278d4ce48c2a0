#include "settings.hpp"

#include "pearhaven/adapters/flags.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>

DEFINE_string(kv, "http://127.0.0.1:7000", "base URL of the platform's key-value service");
DEFINE_string(output, "table", "format of the results: table or json");
DEFINE_string(author, "", "name recorded in the history of changes; by default the user's name");
DEFINE_string(operator_key_file, "",
              "file with the operator key; without it, PEARHAVENCTL_OPERATOR_KEY is used");
DEFINE_uint32(store_timeout_ms, 2000, "timeout of one call to the key-value service");
DEFINE_uint32(router_timeout_ms, 1000, "timeout of one call to a router");
DEFINE_bool(wait, false, "after a change, wait until every live router has applied it");
DEFINE_double(timeout, -1,
              "seconds that --wait waits (default 30) or that watch runs (default: no limit)");
DEFINE_int64(base, -1,
             "revision that the change is based on: objects changed after it are a conflict");
DEFINE_string(team, "", "show only this team's bills");

namespace pearhaven::control {

namespace {

constexpr std::uint32_t min_timeout_ms = 10;
constexpr std::uint32_t max_timeout_ms = 600'000;
constexpr double max_wait_seconds = 86'400;
constexpr double ms_per_second = 1000;

constexpr const char* environment_prefix = "PEARHAVENCTL";
constexpr const char* operator_key_variable = "PEARHAVENCTL_OPERATOR_KEY";

// The file flag may be repeated, which gflags does not support, so that it is extracted first.
struct split_arguments {
    std::vector<char*> others;
    std::vector<std::string> files;
    bool file_name_missing = false;
};

split_arguments extract_files(int argc, char** argv)
{
    split_arguments split;
    for (int index = 0; index < argc; ++index) {
        const std::string argument = argv[index];
        if (argument != "-f" && argument != "--file") {
            split.others.push_back(argv[index]);
        } else if (index + 1 < argc) {
            split.files.emplace_back(argv[++index]);
        } else {
            split.file_name_missing = true;
        }
    }
    return split;
}

std::string environment(const char* name)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::string first_line(std::istream& text)
{
    std::string line;
    std::getline(text, line);
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
        line.pop_back();
    }
    return line;
}

// Converts flags into settings and collects their faults.
class settings_reader {
public:
    explicit settings_reader(read_settings_result& target) : result(target) {}

    void read()
    {
        control_settings& settings = this->result.settings;
        settings.kv_url = this->read_url();
        settings.format = this->read_format();
        settings.author = FLAGS_author.empty() ? environment("USER") : FLAGS_author;
        settings.operator_key = this->read_operator_key();
        settings.store_timeout = this->read_timeout_ms("store_timeout_ms", FLAGS_store_timeout_ms);
        settings.router_timeout =
            this->read_timeout_ms("router_timeout_ms", FLAGS_router_timeout_ms);
        settings.wait = FLAGS_wait;
        settings.timeout = this->read_timeout();
        settings.base = this->read_base();
        settings.team = FLAGS_team;
    }

private:
    std::string read_url()
    {
        if (FLAGS_kv.rfind("http://", 0) != 0) {
            this->add("kv", FLAGS_kv, "a URL that starts with http://");
        }
        std::string url = FLAGS_kv;
        while (!url.empty() && url.back() == '/') {
            url.pop_back();
        }
        return url;
    }

    output_format read_format()
    {
        if (FLAGS_output != "table" && FLAGS_output != "json") {
            this->add("output", FLAGS_output, "table or json");
        }
        return FLAGS_output == "json" ? output_format::json : output_format::table;
    }

    std::string read_operator_key()
    {
        if (FLAGS_operator_key_file.empty()) {
            return environment(operator_key_variable);
        }
        std::ifstream file(FLAGS_operator_key_file);
        std::string key = first_line(file);
        if (key.empty()) {
            this->add("operator_key_file", FLAGS_operator_key_file,
                      "a file that can be read, with the key on its first line");
        }
        return key;
    }

    std::chrono::milliseconds read_timeout_ms(const std::string& flag, std::uint32_t value)
    {
        if (value < min_timeout_ms || value > max_timeout_ms) {
            this->add(flag, std::to_string(value),
                      "a number from " + std::to_string(min_timeout_ms) + " to " +
                          std::to_string(max_timeout_ms));
        }
        return std::chrono::milliseconds{value};
    }

    std::optional<std::chrono::milliseconds> read_timeout()
    {
        if (gflags::GetCommandLineFlagInfoOrDie("timeout").is_default) {
            return std::nullopt;
        }
        if (!(FLAGS_timeout >= 0 && FLAGS_timeout <= max_wait_seconds)) {
            this->add("timeout", std::to_string(FLAGS_timeout), "seconds from 0 to 86400");
            return std::nullopt;
        }
        return std::chrono::milliseconds{
            static_cast<std::chrono::milliseconds::rep>(FLAGS_timeout * ms_per_second)};
    }

    std::optional<std::uint64_t> read_base()
    {
        if (gflags::GetCommandLineFlagInfoOrDie("base").is_default) {
            return std::nullopt;
        }
        if (FLAGS_base < 0) {
            this->add("base", std::to_string(FLAGS_base), "a revision");
            return std::nullopt;
        }
        return static_cast<std::uint64_t>(FLAGS_base);
    }

    void add(const std::string& flag, const std::string& found, const std::string& allowed)
    {
        this->result.faults.push_back("--" + flag + ": found \"" + found + "\", allowed " +
                                      allowed);
    }

    read_settings_result& result;
};

} // namespace

read_settings_result read_settings(int argc, char** argv)
{
    split_arguments split = extract_files(argc, argv);
    auto flags = adapters::read_flags(static_cast<int>(split.others.size()), split.others.data(),
                                      environment_prefix);
    read_settings_result result;
    result.faults = std::move(flags.faults);
    result.help_requested = flags.help_requested;
    result.settings.files = std::move(split.files);
    if (split.file_name_missing) {
        result.faults.emplace_back("-f: found nothing, allowed is the name of a file, or -");
    }
    if (!flags.positional.empty()) {
        result.command = flags.positional.front();
        result.settings.arguments.assign(flags.positional.begin() + 1, flags.positional.end());
    }
    settings_reader(result).read();
    return result;
}

std::string describe_settings()
{
    return adapters::describe_flags("control/src/settings.cpp");
}

} // namespace pearhaven::control
