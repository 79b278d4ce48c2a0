#ifndef PEARHAVEN_DECISION_LOAD_ESTIMATE_HPP
#define PEARHAVEN_DECISION_LOAD_ESTIMATE_HPP

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace pearhaven::decision {

// Estimates how many requests of all routers an endpoint has now. A load report describes a past
// moment; requests that this router has sent, and seen end, since then are added and subtracted.
class load_estimate {
public:
    void on_started(instant now);
    void on_ended(instant now);

    // Reports that arrive out of order are dropped.
    void on_report(const load_report& report, instant now);

    // Nothing if there is no report younger than `lifetime`.
    [[nodiscard]] std::optional<double> held(instant now, duration lifetime) const;

    // As last reported; zero if never reported.
    [[nodiscard]] double capacity() const { return this->last.capacity; }
    [[nodiscard]] bool draining() const { return this->last.draining; }

private:
    // Counts of one time slice. Slices are reused in a ring.
    struct slice {
        std::int64_t number = -1;
        std::uint32_t started = 0;
        std::uint32_t ended = 0;
    };

    slice& slice_at(instant now);

    static constexpr std::size_t ring_size = 64;
    std::array<slice, ring_size> ring{};
    load_report last{};
    std::optional<instant> described; // when the last report was measured
};

} // namespace pearhaven::decision

#endif
