#ifndef PEARHAVEN_DECISION_LOAD_ESTIMATE_HPP
#define PEARHAVEN_DECISION_LOAD_ESTIMATE_HPP

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace pearhaven::decision {

// How many requests an endpoint holds now, its own ones and those of other routers. A load report
// describes a moment that has passed; what this router has sent and seen ending since is added.
class load_estimate {
public:
    void on_started(instant now);
    void on_ended(instant now);

    // A report older than the one held is dropped: it was overtaken on its way.
    void on_report(const load_report& report, instant now);

    // Nothing without a report younger than the lifetime.
    [[nodiscard]] std::optional<double> held(instant now, duration lifetime) const;

    // As last reported; zero where it never was.
    [[nodiscard]] double capacity() const { return this->last.capacity; }
    [[nodiscard]] bool draining() const { return this->last.draining; }

private:
    // Counts of one slice of time. Slices are reused in a ring.
    struct slice {
        std::int64_t number = -1;
        std::uint32_t started = 0;
        std::uint32_t ended = 0;
    };

    slice& slice_at(instant now);

    static constexpr std::size_t ring_size = 64;
    std::array<slice, ring_size> ring{};
    load_report last{};
    std::optional<instant> described; // the moment that the last report describes
};

} // namespace pearhaven::decision

#endif
