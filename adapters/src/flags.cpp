#include "pearhaven/adapters/flags.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <system_error>

namespace pearhaven::adapters {

namespace {

// Files that one command line may name, each counted as often as it is named. Files that name the
// next one twice would otherwise take a time that doubles with each.
constexpr std::size_t most_flag_files = 100;

constexpr const char* flag_file_flag = "flagfile";

// One name for all the ways to write the path.
std::string identity_of(const std::string& path)
{
    std::error_code failed;
    const auto whole = std::filesystem::weakly_canonical(path, failed);
    return failed ? path : whole.string();
}

std::string environment_name(const std::string& prefix, const std::string& flag)
{
    std::string name = prefix + "_";
    std::transform(flag.begin(), flag.end(), std::back_inserter(name),
                   [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return name;
}

// A file whose arguments are being read.
struct open_flag_file {
    std::string identity;
    std::size_t left_after = 0; // arguments that follow its own
};

// One argument `--name=value`, `--name value`, `--name` or `--noname`.
class argument_reader {
public:
    argument_reader(int argc, char** argv) : arguments(argv + 1, argv + argc) {}

    read_flags_result read()
    {
        while (this->next < this->arguments.size()) {
            this->close_ended_files();
            const auto argument = this->arguments[this->next++];
            if (argument == "--") {
                break;
            }
            if (argument.size() < 2 || argument.front() != '-') {
                this->result.positional.push_back(argument);
                continue;
            }
            this->take_flag(argument);
        }
        while (this->next < this->arguments.size()) {
            this->result.positional.push_back(this->arguments[this->next++]);
        }
        return this->result;
    }

    // Puts the file's arguments before all others.
    void begin_with_file(const std::string& path) { this->take_file(path); }

    [[nodiscard]] const std::set<std::string>& seen() const { return this->names; }

private:
    void take_flag(const std::string& argument)
    {
        const auto begin = argument.find_first_not_of('-');
        const auto equals = argument.find('=');
        auto name = argument.substr(std::min(begin, argument.size()), equals - begin);
        std::replace(name.begin(), name.end(), '-', '_');
        if (name == "help" || name == "h") {
            this->result.help_requested = true;
            return;
        }
        gflags::CommandLineFlagInfo info;
        const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
        if (equals != std::string::npos) {
            this->set(name, known, argument.substr(equals + 1));
        } else if (known && info.type == "bool") {
            this->set(name, known, "true");
        } else if (!known && name.rfind("no", 0) == 0 && this->is_bool(name.substr(2))) {
            this->set(name.substr(2), true, "false");
        } else if (known && this->next >= this->arguments.size()) {
            this->result.faults.push_back(
                "--" + name + ": found no value, allowed is a value of type " + info.type);
        } else {
            this->set(name, known, known ? this->arguments[this->next++] : "");
        }
    }

    // The argument that is about to be read is a file's as long as more are left than follow the
    // file.
    void close_ended_files()
    {
        const auto left = this->arguments.size() - this->next;
        while (!this->open_files.empty() && left <= this->open_files.back().left_after) {
            this->open_files.pop_back();
        }
    }

    // A file of arguments, one a line; empty lines and those that begin with # are passed over. Its
    // flags stand where the file is named.
    void take_file(const std::string& path)
    {
        if (!this->may_open(path)) {
            return;
        }
        std::ifstream file(path);
        if (!file) {
            this->result.faults.push_back("--flagfile: found \"" + path +
                                          "\", which cannot be read");
            return;
        }
        std::vector<std::string> lines;
        for (std::string line; std::getline(file, line);) {
            if (!line.empty() && line.front() != '#') {
                lines.push_back(line);
            }
        }
        this->open_files.push_back({identity_of(path), this->arguments.size() - this->next});
        this->arguments.insert(this->arguments.begin() + static_cast<std::ptrdiff_t>(this->next),
                               lines.begin(), lines.end());
    }

    // A file that names itself, straight or through others, would be read without end: the program
    // would neither start nor say why. A ring always comes back to a file that is open.
    [[nodiscard]] bool may_open(const std::string& path)
    {
        const bool is_open = std::any_of(
            this->open_files.begin(), this->open_files.end(),
            [identity = identity_of(path)](const auto& file) { return file.identity == identity; });
        if (is_open) {
            this->result.faults.push_back("--flagfile: found \"" + path +
                                          "\" within itself, allowed are files that do not name "
                                          "themselves, nor name each other in a ring");
            return false;
        }
        ++this->named_files;
        if (this->named_files == most_flag_files + 1) {
            const auto most = std::to_string(most_flag_files);
            this->result.faults.push_back("--flagfile: found more than " + most +
                                          " files, counted each time they are named, allowed are " +
                                          most);
        }
        return this->named_files <= most_flag_files;
    }

    [[nodiscard]] static bool is_bool(const std::string& name)
    {
        gflags::CommandLineFlagInfo info;
        return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
    }

    void set(const std::string& name, bool known, const std::string& value)
    {
        if (!known) {
            this->result.faults.push_back("--" + name +
                                          ": found an unknown flag, --help lists those allowed");
            return;
        }
        this->names.insert(name);
        if (name == flag_file_flag) { // gflags' own reader goes round a ring until its stack ends
            this->take_file(value);
            return;
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
            this->result.faults.push_back("--" + name + ": found \"" + value +
                                          "\", allowed is a value of type " + info.type);
        }
    }

    std::vector<std::string> arguments;
    std::size_t next = 0;
    std::set<std::string> names;
    std::vector<open_flag_file> open_files; // the one named last comes last
    std::size_t named_files = 0;
    read_flags_result result;
};

} // namespace

read_flags_result read_flags(int argc, char** argv, const std::string& environment_prefix)
{
    argument_reader reader(argc, argv);
    const auto file_variable = environment_name(environment_prefix, flag_file_flag);
    if (const char* path = std::getenv(file_variable.c_str())) {
        reader.begin_with_file(path);
    }
    auto result = reader.read();
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags) {
        const auto variable = environment_name(environment_prefix, flag.name);
        const char* value = std::getenv(variable.c_str());
        if (value == nullptr || flag.name == flag_file_flag || reader.seen().count(flag.name) > 0) {
            continue;
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            result.faults.push_back(variable + ": found \"" + value +
                                    "\", allowed is a value of type " + flag.type);
        }
    }
    return result;
}

std::string describe_flags(const std::string& source_part)
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::string text;
    for (const auto& flag : flags) {
        if (flag.filename.find(source_part) != std::string::npos) {
            text.append("  --").append(flag.name).append(" (").append(flag.type).append(
                ", default \"");
            text.append(flag.default_value).append("\"): ").append(flag.description).append("\n");
        }
    }
    return text;
}

} // namespace pearhaven::adapters
