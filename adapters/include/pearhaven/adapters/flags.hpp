#ifndef PEARHAVEN_ADAPTERS_FLAGS_HPP
#define PEARHAVEN_ADAPTERS_FLAGS_HPP

#include <string>
#include <vector>

namespace pearhaven::adapters {

// What came of a command line beside the flags that were set.
struct read_flags_result {
    std::vector<std::string> positional;
    std::vector<std::string> faults; // one sentence each: what was found and what is allowed
    bool help_requested = false;
};

// Sets the program's gflags from the command line, then from environment variables PREFIX_NAME (in
// capitals) those that the command line left out. `--flagfile=PATH` stands for the arguments in a
// file, one a line; PREFIX_FLAGFILE names one that is read before the command line. A file that is
// named within itself is a fault, as are more than 100. All faults come back together, where
// gflags' own parser would end the process at the first.
read_flags_result read_flags(int argc, char** argv, const std::string& environment_prefix);

// The flags that the program itself defines, with type, default and meaning, one a line.
// `source_part` is a part of the path of the file that defines them.
std::string describe_flags(const std::string& source_part);

} // namespace pearhaven::adapters

#endif
