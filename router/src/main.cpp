#include "pearhaven/router/router.hpp"

#include "pearhaven/adapters/log.hpp"
#include "pearhaven/platform/run.hpp"

#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <exception>

namespace {

constexpr int status_settings = 2;
constexpr int status_failed = 1;

// Signals that stop the process. They are blocked in every thread, so that only the waiting main
// thread receives them.
sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

// Each stream takes two sockets. The usual soft limit of 1,024 open files would refuse callers long
// before the threads run out, so it is raised to the hard limit.
void raise_open_files()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

void print_ports(const pearhaven::router::router& running)
{
    std::printf("callers on %u\noperators on %u\npeers on %u\n", running.caller_port(),
                running.operator_port(), running.peer_port());
    std::fflush(stdout);
}

int serve(const pearhaven::router::router_settings& settings)
{
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    raise_open_files();
    std::signal(SIGPIPE, SIG_IGN); // disconnected callers are detected by failed writes
    pearhaven::router::router running(settings);
    print_ports(running);
    int signal = 0;
    sigwait(&signals, &signal);
    const auto second_signal = [&signals] {
        const timespec at_once{};
        return sigtimedwait(&signals, nullptr, &at_once) > 0;
    };
    return running.drain(second_signal) == 0 ? 0 : status_failed;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = pearhaven::router::read_settings(argc, argv);
    if (parsed.help_requested) {
        std::fputs(pearhaven::router::settings_help().c_str(), stdout);
        return 0;
    }
    if (pearhaven::platform::is_enabled() && parsed.flag_faults.empty()) {
        return pearhaven::platform::run();
    }
    for (const auto& fault : parsed.faults) {
        std::fprintf(stderr, "pearhavend: %s\n", fault.c_str());
    }
    if (!parsed.faults.empty()) {
        return status_settings;
    }
    pearhaven::adapters::start_log(parsed.settings.json_log ? pearhaven::adapters::log_format::json
                                                            : pearhaven::adapters::log_format::text,
                                   "pearhavend");
    try {
        return serve(parsed.settings);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "pearhavend: %s\n", error.what());
        return status_failed;
    }
}
