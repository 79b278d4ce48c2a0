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

// Maximum number of flag files, counting each time a file is named. Without it, files that each
// name the next one twice would take exponential time.
constexpr std::size_t max_flag_files = 100;

constexpr const char* flag_file_flag = "flagfile";

// Canonical form, equal for all spellings of the same path.
std::string canonical_path(const std::string& path)
{
    std::error_code error;
    const auto canonical = std::filesystem::weakly_canonical(path, error);
    return error ? path : canonical.string();
}

std::string environment_name(const std::string& prefix, const std::string& flag)
{
    std::string name = prefix + "_";
    std::transform(flag.begin(), flag.end(), std::back_inserter(name),
                   [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return name;
}

// A flag file whose arguments are being read.
struct open_flag_file {
    std::string canonical_name;
    std::size_t remaining_after = 0; // number of arguments after those of the file
};

// Parses arguments of the forms `--name=value`, `--name value`, `--name` and `--noname`.
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
            this->parse_flag(argument);
        }
        while (this->next < this->arguments.size()) {
            this->result.positional.push_back(this->arguments[this->next++]);
        }
        return this->result;
    }

    // Inserts the arguments of the file before all others.
    void prepend_file(const std::string& path) { this->insert_file(path); }

    [[nodiscard]] const std::set<std::string>& seen() const { return this->names; }

private:
    void parse_flag(const std::string& argument)
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

    // The next argument belongs to a file as long as more arguments remain than follow that file.
    void close_ended_files()
    {
        const auto remaining = this->arguments.size() - this->next;
        while (!this->open_files.empty() && remaining <= this->open_files.back().remaining_after) {
            this->open_files.pop_back();
        }
    }

    // Inserts the arguments of a file, one per line, at the point where the file is named. Empty
    // lines and lines that start with # are skipped.
    void insert_file(const std::string& path)
    {
        if (!this->can_open(path)) {
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
        this->open_files.push_back({canonical_path(path), this->arguments.size() - this->next});
        this->arguments.insert(this->arguments.begin() + static_cast<std::ptrdiff_t>(this->next),
                               lines.begin(), lines.end());
    }

    // A file that includes itself, directly or through other files, would be read endlessly and the
    // program would never start. A cycle always returns to a file that is still open.
    [[nodiscard]] bool can_open(const std::string& path)
    {
        const bool is_open = std::any_of(this->open_files.begin(), this->open_files.end(),
                                         [canonical_name = canonical_path(path)](const auto& file) {
                                             return file.canonical_name == canonical_name;
                                         });
        if (is_open) {
            this->result.faults.push_back("--flagfile: found \"" + path +
                                          "\" within itself, allowed are files that do not include "
                                          "themselves, directly or through other files");
            return false;
        }
        ++this->file_count;
        if (this->file_count == max_flag_files + 1) {
            const auto limit = std::to_string(max_flag_files);
            this->result.faults.push_back("--flagfile: found more than " + limit +
                                          " files, counted each time they are named, allowed are " +
                                          limit);
        }
        return this->file_count <= max_flag_files;
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
        if (name == flag_file_flag) { // gflags itself overflows the stack on a cycle of files
            this->insert_file(value);
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
    std::vector<open_flag_file> open_files; // in the order of inclusion
    std::size_t file_count = 0;
    read_flags_result result;
};

} // namespace

read_flags_result read_flags(int argc, char** argv, const std::string& environment_prefix)
{
    argument_reader reader(argc, argv);
    const auto file_variable = environment_name(environment_prefix, flag_file_flag);
    if (const char* path = std::getenv(file_variable.c_str())) {
        reader.prepend_file(path);
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
