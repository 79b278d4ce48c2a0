#include "child_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace pearhaven::tests {

namespace {

constexpr std::chrono::milliseconds poll_step{10};
constexpr int killed_by_signal = 128;

// Exit status of a program in which a sanitizer found a fault: `exitcode` of the options that
// CMakeLists.txt passes to the tests.
constexpr int status_of_sanitizer = 99;

// Lets a test continue after a failure, since a destructor must not be left by a jump.
class continue_terminator final : public TestTerminator {
public:
    void exitCurrentTest() const override {}
};

std::vector<char*> to_pointers(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

std::vector<std::string> to_list(const child_process::environment& variables)
{
    std::vector<std::string> list;
    for (char** inherited = environ; *inherited != nullptr; ++inherited) {
        list.emplace_back(*inherited);
    }
    for (const auto& [name, value] : variables) {
        std::string variable = name;
        variable.append("=").append(value);
        list.push_back(std::move(variable));
    }
    return list;
}

// Runs in the child between fork and exec. It must not allocate or lock, since the test's other
// threads may hold any lock. The child is killed when the test ends in any way: a test killed for
// its timeout would otherwise leave a fleet running.
[[noreturn]] void become(const std::vector<char*>& arguments, const std::vector<char*>& variables,
                         int output, const char* error_file)
{
    constexpr int mode = 0644;
    constexpr int status_not_started = 127;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(open(error_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode), STDERR_FILENO);
    execve(arguments.front(), arguments.data(), variables.data());
    _exit(status_not_started);
}

} // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const environment& variables, const std::string& error_file)
    : log(error_file)
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe");
    }
    auto texts = arguments;
    auto variable_texts = to_list(variables);
    const auto argument_pointers = to_pointers(texts);
    const auto variable_pointers = to_pointers(variable_texts);
    this->pid = fork();
    if (this->pid == 0) {
        become(argument_pointers, variable_pointers, ends[1], error_file.c_str());
    }
    const int error = errno;
    close(ends[1]);
    this->output = ends[0];
    if (this->pid < 0) {
        close(this->output);
        throw std::system_error(error, std::generic_category(), arguments.front());
    }
}

child_process::~child_process()
{
    this->kill();
    close(this->output);
    // Some tests expect a program to be killed and continue; an exit by a sanitizer must not pass
    // for that.
    if (this->status == status_of_sanitizer) {
        const auto why = "a sanitizer ended a program, see " + this->log;
        UtestShell::getCurrent()->fail(why.c_str(), __FILE__, __LINE__, continue_terminator());
    }
}

bool child_process::read_more(std::chrono::milliseconds patience)
{
    pollfd waited{this->output, POLLIN, 0};
    if (poll(&waited, 1, static_cast<int>(patience.count())) <= 0) {
        return true;
    }
    char piece[4096];
    const auto got = read(this->output, piece, sizeof piece);
    if (got <= 0) {
        return false;
    }
    this->buffer.append(piece, static_cast<std::size_t>(got));
    for (auto end = this->buffer.find('\n'); end != std::string::npos;
         end = this->buffer.find('\n')) {
        this->lines.push_back(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 1);
    }
    return true;
}

std::optional<std::string>
child_process::wait_for(const std::function<bool(const std::string&)>& is_wanted,
                        std::chrono::seconds patience)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    bool open = true;
    while (true) {
        const auto found = std::find_if(this->lines.begin(), this->lines.end(), is_wanted);
        if (found != this->lines.end()) {
            return *found;
        }
        if (!open || std::chrono::steady_clock::now() > deadline) {
            return std::nullopt;
        }
        open = this->read_more(poll_step);
    }
}

std::string child_process::wait_for_line(const std::string& prefix, std::chrono::seconds patience)
{
    const auto line = this->wait_for(
        [&prefix](const std::string& one) { return one.starts_with(prefix); }, patience);
    if (!line) {
        throw std::runtime_error("no line \"" + prefix + "...\" came from the process");
    }
    return line->substr(prefix.size());
}

bool child_process::wait_for_text(const std::string& text, std::chrono::seconds patience)
{
    return this
        ->wait_for([&text](const std::string& one) { return one.find(text) != std::string::npos; },
                   patience)
        .has_value();
}

std::string child_process::read_output()
{
    while (this->read_more(std::chrono::seconds(60))) {
    }
    std::string text;
    for (const auto& line : this->lines) {
        text.append(line).append("\n");
    }
    return text + this->buffer;
}

void child_process::signal(int number) const
{
    if (!this->status) {
        ::kill(this->pid, number);
    }
}

void child_process::kill()
{
    if (this->status) {
        return;
    }
    ::kill(this->pid, SIGCONT);
    ::kill(this->pid, SIGKILL);
    this->wait(std::chrono::seconds(30));
}

bool child_process::is_running()
{
    if (this->status) {
        return false;
    }
    int raw = 0;
    if (waitpid(this->pid, &raw, WNOHANG) == this->pid) {
        this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : killed_by_signal + WTERMSIG(raw);
    }
    return !this->status;
}

long child_process::status_figure(const std::string& name) const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name, 0) == 0) {
            return std::stol(line.substr(name.size()));
        }
    }
    return 0;
}

long child_process::peak_memory() const
{
    return this->status_figure("VmHWM:");
}

long child_process::resident_memory() const
{
    return this->status_figure("VmRSS:");
}

std::size_t child_process::open_descriptors() const
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

int child_process::wait(std::chrono::seconds patience)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (this->is_running()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("process " + std::to_string(this->pid) +
                                     " did not end in time");
        }
        std::this_thread::sleep_for(poll_step);
    }
    return *this->status;
}

} // namespace pearhaven::tests
