#ifndef PEARHAVEN_TESTS_CHILD_PROCESS_HPP
#define PEARHAVEN_TESTS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::tests {

// A program started by a test. The destructor kills it, and fails the test if a sanitizer has ended
// it.
class child_process {
public:
    using environment = std::map<std::string, std::string>;

    // The first argument is the program. Standard error goes to the file. Throws std::system_error
    // when the process cannot be started.
    child_process(const std::vector<std::string>& arguments, const environment& variables,
                  const std::string& error_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // Returns the rest of the first line of standard output that begins with the prefix. Fails the
    // test (by an exception) when the process ends or `patience` expires first.
    std::string wait_for_line(const std::string& prefix, std::chrono::seconds patience);

    // Waits until a line of standard output contains the text. Returns false when the process ends
    // or `patience` expires first.
    [[nodiscard]] bool wait_for_text(const std::string& text, std::chrono::seconds patience);

    // The rest of standard output, up to its end.
    std::string read_output();

    void signal(int number) const;
    void kill();

    // Returns the exit status, or 128 + the signal's number. Throws when the process is still
    // running after `patience`.
    int wait(std::chrono::seconds patience);

    [[nodiscard]] bool is_running();

    // The most memory that the process has had resident, in KiB; 0 if it has ended.
    [[nodiscard]] long peak_memory() const;

    // The memory that the process has resident, in KiB; 0 if it has ended.
    [[nodiscard]] long resident_memory() const;

    [[nodiscard]] std::size_t open_descriptors() const;

private:
    // A figure of /proc/PID/status; 0 if there is none.
    [[nodiscard]] long status_figure(const std::string& name) const;
    bool read_more(std::chrono::milliseconds patience);

    // Reads until a line satisfies the predicate. Returns nothing when the process ends or
    // `patience` expires first.
    std::optional<std::string> wait_for(const std::function<bool(const std::string&)>& is_wanted,
                                        std::chrono::seconds patience);

    std::string log;
    pid_t pid = -1;
    int output = -1;
    std::string buffer;
    std::vector<std::string> lines;
    std::optional<int> status;
};

} // namespace pearhaven::tests

#endif
