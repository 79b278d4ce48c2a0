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

// What the flags --listen, --threads and --keep_alive_ms say.
web_settings web_settings_from_flags();

// Prints a line with an address for whoever started the program, at once.
void announce(const std::string& what, const std::string& address);

void wait_for_termination();

// Starts the server, prints `listening on IP:port` and waits for SIGTERM or SIGINT.
void serve_until_terminated(web_server& server);

// Ends the process with status 0. Handlers may be holding connections on purpose and for good, so
// nothing is joined; a stand-in has nothing to save.
[[noreturn]] void end_program();

// The monotonic clock, as the pure parts are told it.
decision::instant monotonic_now();

// The steady clock's point for an instant, to wait for it.
std::chrono::steady_clock::time_point steady_point(decision::instant when);

std::int64_t unix_ms();

} // namespace pearhaven::standins

#endif
