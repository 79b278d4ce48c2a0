#ifndef PEARHAVEN_ROUTER_ENGINE_EVENT_HPP
#define PEARHAVEN_ROUTER_ENGINE_EVENT_HPP

#include "exchange.hpp"

#include "pearhaven/decision/endpoint_table.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pearhaven::router {

// One event of an engine's stream, as far as the router needs it. Missing fields and fields of
// another type are left empty: an endpoint may send anything, and malformed data must not crash the
// router.
struct engine_event {
    std::string run;
    std::optional<std::uint64_t> index; // of the token
    bool closes = false;                // the last event before the end marker
    usage used;                         // of the closing event
    std::string model;
    std::string content;

    friend bool operator==(const engine_event&, const engine_event&) = default;
};

// Returns nothing for a text that is not a JSON object.
[[nodiscard]] std::optional<engine_event> read_engine_event(const std::string& text);

// Whether an engine's error body reports that it is draining and takes no more work.
[[nodiscard]] bool is_draining_error(const std::string& error_body);

// Parses an endpoint's load report. Returns nothing if a field has another type or is out of range.
// A report without an incarnation is attributed to `expected_incarnation`.
[[nodiscard]] std::optional<decision::load_report> read_load(const std::string& body,
                                                             std::uint64_t expected_incarnation);

} // namespace pearhaven::router

#endif
