#include "pearhaven/adapters/flags.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

namespace pearhaven::adapters {

namespace {

std::string environment_name(const std::string& prefix, const std::string& flag)
{
    std::string name = prefix + "_";
    std::transform(flag.begin(), flag.end(), std::back_inserter(name),
                   [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return name;
}

// One argument `--name=value`, `--name value`, `--name` or `--noname`.
class argument_reader {
public:
    argument_reader(int argc, char** argv) : arguments(argv + 1, argv + argc) {}

    read_flags_result read()
    {
        while (this->next < this->arguments.size()) {
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

    [[nodiscard]] const std::set<std::string>& seen() const { return this->names; }

private:
    void take_flag(const std::string& argument)
    {
        const auto begin = argument.find_first_not_of('-');
        const auto equals = argument.find('=');
        auto name = argument.substr(std::min(begin, argument.size()), equals - begin);
        std::replace(name.begin(), name.end(), '-', '_');
        if (name == "help" || name == "h") {
            this->result.help_wanted = true;
            return;
        }
        gflags::CommandLineFlagInfo info;
        const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
        if (name == "flagfile" && equals != std::string::npos) {
            this->take_file(argument.substr(equals + 1));
            return;
        }
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

    // A file of arguments, one a line; empty lines and those that begin with # are passed over. Its
    // flags stand where the file is named.
    void take_file(const std::string& path)
    {
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
        this->arguments.insert(this->arguments.begin() + static_cast<std::ptrdiff_t>(this->next),
                               lines.begin(), lines.end());
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
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
            this->result.faults.push_back("--" + name + ": found \"" + value +
                                          "\", allowed is a value of type " + info.type);
        }
    }

    std::vector<std::string> arguments;
    std::size_t next = 0;
    std::set<std::string> names;
    read_flags_result result;
};

} // namespace

read_flags_result read_flags(int argc, char** argv, const std::string& environment_prefix)
{
    argument_reader reader(argc, argv);
    auto result = reader.read();
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags) {
        const auto variable = environment_name(environment_prefix, flag.name);
        const char* value = std::getenv(variable.c_str());
        if (value == nullptr || reader.seen().count(flag.name) > 0) {
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
