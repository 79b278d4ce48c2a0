#include "program.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to serve on; port 0 takes any free one");
DEFINE_uint32(threads, 512, "threads, and so connections, at a time (up to 4096)");
DEFINE_uint32(keep_alive_ms, 60000, "how long an idle connection stays open");

namespace pearhaven::standins {

namespace {

sigset_t ending_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void begin_program(int argc, char** argv, const std::string& usage)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto signals = ending_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

web_settings web_settings_from_flags()
{
    web_settings settings;
    settings.listen = FLAGS_listen;
    settings.threads = FLAGS_threads;
    settings.keep_alive_ms = FLAGS_keep_alive_ms;
    return settings;
}

void announce(const std::string& what, const std::string& address)
{
    std::cout << what << " on " << address << std::endl;
}

void serve_until_terminated(web_server& server)
{
    announce("listening", server.start());
    wait_for_termination();
}

void wait_for_termination()
{
    const auto signals = ending_signals();
    int received = 0;
    sigwait(&signals, &received);
}

void end_program()
{
    std::cout.flush();
    std::_Exit(EXIT_SUCCESS);
}

decision::instant monotonic_now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return decision::instant(std::chrono::duration_cast<decision::duration>(since));
}

std::chrono::steady_clock::time_point steady_point(decision::instant when)
{
    return std::chrono::steady_clock::time_point(when.time_since_epoch());
}

std::int64_t unix_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace pearhaven::standins
