#ifndef PEARHAVEN_STANDINS_ENGINE_REQUESTS_HPP
#define PEARHAVEN_STANDINS_ENGINE_REQUESTS_HPP

#include "live_run.hpp"
#include "web_exchange.hpp"

namespace pearhaven::standins {

// Reads a chat completion. Throws nlohmann::json::exception when the body is not one. A request
// without X-Run-Id gets a run number of the engine's own.
engine_request read_chat_completion(const web_exchange& exchange);

} // namespace pearhaven::standins

#endif
