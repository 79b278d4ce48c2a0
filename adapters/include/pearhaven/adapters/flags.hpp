#ifndef PEARHAVEN_ADAPTERS_FLAGS_HPP
#define PEARHAVEN_ADAPTERS_FLAGS_HPP

#include <string>
#include <vector>

namespace pearhaven::adapters {

// Result of reading the command line, apart from the flags that were set.
struct read_flags_result {
    std::vector<std::string> positional;
    std::vector<std::string> faults; // one sentence each: the value found and the values allowed
    bool help_requested = false;
};

// Sets the gflags of the program from the command line, then sets those not given there from
// environment variables named PREFIX_NAME (in capitals). `--flagfile=PATH` is replaced by the
// arguments in that file, one per line; PREFIX_FLAGFILE names a file that is read before the
// command line. A file that includes itself is a fault, and so are more than 100 files. All faults
// are reported together, whereas the gflags parser exits the process at the first one.
read_flags_result read_flags(int argc, char** argv, const std::string& environment_prefix);

// Lists the flags that the program itself defines, one per line, with type, default and
// description. `source_part` is a part of the path of the source file that defines them.
std::string describe_flags(const std::string& source_part);

} // namespace pearhaven::adapters

#endif
