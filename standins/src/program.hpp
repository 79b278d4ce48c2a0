#ifndef PEARHAVEN_STANDINS_PROGRAM_HPP
#define PEARHAVEN_STANDINS_PROGRAM_HPP

#include "web_server.hpp"

#include "pearhaven/decision/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace pearhaven::standins {

// Reads the flags and blocks SIGTERM and SIGINT for every thread that starts later, so that
// `serve_until_terminated` alone receives them. Call it first in main.
void begin_program(int argc, char** argv, const std::string& usage);

// Settings from the flags --listen, --threads and --keep_alive_ms.
web_settings web_settings_from_flags();

// Prints a line with an address for the parent process and flushes it.
void announce(const std::string& what, const std::string& address);

void wait_for_termination();

// Starts the server, prints `listening on IP:port` and waits for SIGTERM or SIGINT.
void serve_until_terminated(web_server& server);

// Exits with status 0 without joining any thread: handlers may hold connections open indefinitely
// by design, and a stand-in has no state to save.
[[noreturn]] void end_program();

// The monotonic clock's time in the form taken by the classes that don't read a clock themselves.
decision::instant monotonic_now();

// Converts an instant to a time point of the steady clock, for timed waits.
std::chrono::steady_clock::time_point steady_point(decision::instant when);

std::int64_t unix_ms();

} // namespace pearhaven::standins

#endif
