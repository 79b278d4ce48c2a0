#ifndef PEARHAVEN_ROUTER_PACE_METER_HPP
#define PEARHAVEN_ROUTER_PACE_METER_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace pearhaven::router {

// The usual time between two pieces of one stream: the middle one of the first gaps. It is told
// once, as soon as it is known.
class pace_meter {
public:
    // A piece has come. The pace, when this is the piece that shows it.
    [[nodiscard]] std::optional<decision::duration> on_piece(decision::instant now);

    // The stream has ended. The pace, where it was not told yet and there were pieces enough.
    [[nodiscard]] std::optional<decision::duration> at_end();

private:
    [[nodiscard]] std::optional<decision::duration> report();

    std::vector<decision::duration> gaps;
    std::optional<decision::instant> last;
    bool reported = false;
};

} // namespace pearhaven::router

#endif
