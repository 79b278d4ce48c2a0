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

    // Appends the event that says the answer is whole, and the mark of the stream's end.
    void append_end(std::string& text, const run_progress& progress) const;

private:
    const live_run& run;
    std::string head; // what all the run's events begin with
};

// `usage` of an answer.
std::string usage_json(const live_run& run, const run_progress& progress);

} // namespace pearhaven::standins

#endif
