#ifndef PEARHAVEN_ROUTER_ENGINE_EVENT_HPP
#define PEARHAVEN_ROUTER_ENGINE_EVENT_HPP

#include "exchange.hpp"

#include "pearhaven/decision/endpoint_table.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pearhaven::router {

// One event of an engine's stream, as far as a router needs it. What is missing or of another type
// is empty: an endpoint may write anything, and its mistakes must not end the router.
struct engine_event {
    std::string run;
    std::optional<std::uint64_t> index; // of the token
    bool closes = false;                // it is the last event before the end marker
    usage used;                         // of the closing event
    std::string model;
    std::string content;

    friend bool operator==(const engine_event&, const engine_event&) = default;
};

// Nothing for a text that is no JSON object.
[[nodiscard]] std::optional<engine_event> read_engine_event(const std::string& text);

// Whether the body of an engine's error says that it takes no more work.
[[nodiscard]] bool is_draining_error(const std::string& error_body);

// An endpoint's report of its load. Nothing when a field is of another type or out of its range.
// Where it does not name its incarnation, it is taken to be of the `asked` one.
[[nodiscard]] std::optional<decision::load_report> read_load(const std::string& body,
                                                             std::uint64_t expected_incarnation);

} // namespace pearhaven::router

#endif
