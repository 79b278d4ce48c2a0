#ifndef PEARHAVEN_ROUTER_RUN_REPORT_LISTENER_HPP
#define PEARHAVEN_ROUTER_RUN_REPORT_LISTENER_HPP

#include "pearhaven/decision/crashing_parts.hpp"
#include "pearhaven/decision/lost_runs.hpp"

#include <cstdint>

namespace pearhaven::router {

// Receives what the other routers should know of this router's runs.
class run_report_listener {
public:
    virtual ~run_report_listener() = default;
    virtual void on_lost_run(const decision::lost_run& lost) = 0;

    // A request of which this router had lost a run has run to its end.
    virtual void on_finished_run(std::uint64_t fingerprint) = 0;

    // A prompt may have crashed the endpoint that ran it.
    virtual void on_lost_prompt(const decision::lost_prompt& lost) = 0;

    // A prompt was answered of which other routers may know as one that crashes endpoints.
    virtual void on_answered_prompt(const decision::answered_prompt& answered) = 0;
};

} // namespace pearhaven::router

#endif
