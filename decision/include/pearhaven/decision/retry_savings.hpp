#ifndef PEARHAVEN_DECISION_RETRY_SAVINGS_HPP
#define PEARHAVEN_DECISION_RETRY_SAVINGS_HPP

#include "pearhaven/decision/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pearhaven::decision {

// The retries that a router may save for one target beyond its part of the fleet's burst: a share
// of the requests that it admitted for the target in the last `period`. A router whose requests
// arrive in clumps would otherwise run out of retries, although the fleet uses a fraction of what
// it may send.
class retry_savings {
public:
    static constexpr duration period = std::chrono::seconds(10);

    explicit retry_savings(double share_of_requests) : share(share_of_requests) {}

    void on_admitted(instant now);

    // Requests are counted in time slices. Of the oldest slice, a part of which may be older than
    // `period`, nothing counts.
    [[nodiscard]] double extra(instant now) const;

private:
    static constexpr duration slice_length = std::chrono::milliseconds(500);
    static constexpr std::size_t ring_size = period / slice_length;

    struct slice {
        std::int64_t number = 0;
        std::uint32_t admitted = 0;
    };

    [[nodiscard]] static std::int64_t slice_number(instant at)
    {
        return at.time_since_epoch() / slice_length;
    }

    double share;
    std::array<slice, ring_size> ring{}; // slices are reused
};

// The burst of a router's budget. A router without a part of the fleet's burst uses its savings
// once they amount to a whole retry. Until then it keeps a burst of zero, with which it spends what
// its recent requests earned.
[[nodiscard]] double burst_with_savings(double part_of_burst, double extra);

} // namespace pearhaven::decision

#endif
