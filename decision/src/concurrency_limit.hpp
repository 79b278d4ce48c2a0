#ifndef PEARHAVEN_DECISION_CONCURRENCY_LIMIT_HPP
#define PEARHAVEN_DECISION_CONCURRENCY_LIMIT_HPP

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"
#include "pearhaven/decision/work.hpp"

#include <array>

namespace pearhaven::decision {

// Limits the concurrent requests offered to one endpoint (additive increase, multiplicative
// decrease). The limit is multiplied by a backoff factor when the endpoint refuses or its first
// tokens come late, and grows by one per window of as many finished requests. It stays between 1
// and the ceiling.
class concurrency_limit {
public:
    // Starts at the ceiling.
    explicit concurrency_limit(double ceiling);

    // A limit that was at the old ceiling moves to the new one.
    void set_ceiling(double ceiling);

    // Restarts from a part of the ceiling: the endpoint is back, perhaps with cold caches.
    void restart();

    // `in_use` is the number of requests at the endpoint before this one ended. A `first_token` of
    // zero gives no information about latency.
    void on_finished(work_class kind, double in_use, duration first_token, instant now,
                     const endpoint_table_settings& settings);
    void on_refused(instant now, const endpoint_table_settings& settings);

    [[nodiscard]] double value() const { return this->current; }
    [[nodiscard]] double ceiling() const { return this->max_limit; }

private:
    // First-token latency of one class in microseconds: baseline and recent average; zero before
    // the first sample.
    struct latency_track {
        double baseline = 0.0;
        double recent = 0.0;
    };

    [[nodiscard]] bool is_late(work_class kind, duration first_token,
                               const endpoint_table_settings& settings);
    void reduce(double factor, double min_limit, instant now,
                const endpoint_table_settings& settings);

    double max_limit;
    double current;
    instant next_reduction{};
    std::array<latency_track, 2> latency{};
};

} // namespace pearhaven::decision

#endif
