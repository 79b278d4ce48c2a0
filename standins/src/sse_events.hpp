#ifndef PEARHAVEN_STANDINS_SSE_EVENTS_HPP
#define PEARHAVEN_STANDINS_SSE_EVENTS_HPP

#include "live_run.hpp"

#include <string>

namespace pearhaven::standins {

// The server-sent events of one run's stream.
class sse_events {
public:
    explicit sse_events(const live_run& run);

    // Appends the event of one token.
    void append_token(std::string& text, std::uint64_t index) const;

    // Appends the event that marks the answer as complete, and the end-of-stream marker.
    void append_end(std::string& text, const run_progress& progress) const;

private:
    const live_run& run;
    std::string head; // common start of all events of the run
};

// The `usage` object of an answer.
std::string usage_json(const live_run& run, const run_progress& progress);

} // namespace pearhaven::standins

#endif
