#ifndef PEARHAVEN_STANDINS_TEST_SOCKETS_HPP
#define PEARHAVEN_STANDINS_TEST_SOCKETS_HPP

#include "socket_handle.hpp"
#include "web_server.hpp"

#include <optional>
#include <string>

// Longer than any step of a test takes, so that reaching it is a failure.
constexpr int generous_ms = 10'000;

bool wait_for(const pearhaven::standins::socket_handle& socket, short events, int timeout_ms);

pearhaven::standins::socket_handle connect_to(const std::string& address);

void send_text(const pearhaven::standins::socket_handle& socket, const std::string& text);

// Reads until that many bytes have arrived, the connection ends, or nothing arrives for that time.
std::string receive(const pearhaven::standins::socket_handle& socket, std::size_t length,
                    int timeout_ms);

// Destroys the server. CivetWeb's listener checks for the stop request every two seconds or on a
// new connection, so this opens a connection to stop it immediately.
void stop_server(std::optional<pearhaven::standins::web_server>& server,
                 const std::string& address);

#endif
