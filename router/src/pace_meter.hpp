#ifndef PEARHAVEN_ROUTER_PACE_METER_HPP
#define PEARHAVEN_ROUTER_PACE_METER_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace pearhaven::router {

// Measures the pace of one stream: the median of its first gaps between pieces. The pace is
// reported once, as soon as it is known.
class pace_meter {
public:
    // Records a piece. Returns the pace if this piece completes the measurement.
    [[nodiscard]] std::optional<decision::duration> on_piece(decision::instant now);

    // Records the end of the stream. Returns the pace if it was not reported yet and there were
    // enough pieces.
    [[nodiscard]] std::optional<decision::duration> at_end();

private:
    [[nodiscard]] std::optional<decision::duration> report();

    std::vector<decision::duration> gaps;
    std::optional<decision::instant> last;
    bool reported = false;
};

} // namespace pearhaven::router

#endif
