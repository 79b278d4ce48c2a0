#ifndef PEARHAVEN_DECISION_SRC_COLD_START_HPP
#define PEARHAVEN_DECISION_SRC_COLD_START_HPP

#include "fleet_turns.hpp"

#include "pearhaven/decision/time.hpp"

namespace pearhaven::decision {

// What a router may send to a cold endpoint.
struct cold_share {
    double rate = 0.0; // requests per second that all routers together may send; 0: no limit
    turn_place place;

    friend bool operator==(const cold_share&, const cold_share&) = default;
};

// Limits this router's requests to an endpoint whose process has just started, and which crashes
// under more than a few requests per second. To each router it looks like the emptiest endpoint, so
// without a limit all of them would choose it at the same moment.
//
// Routers take turns. A turn that is not used expires. After the cold period the rate rises before
// the limit ends, so that the routers do not all return at once.
class cold_start {
public:
    // The endpoint is cold from `from` on, for that time. A period in progress is extended.
    void begin(instant from, duration time);

    // This router sent it a request.
    void on_started(const cold_share& share, instant now);

    [[nodiscard]] bool may_send(const cold_share& share, instant now) const;

private:
    [[nodiscard]] bool is_limited(instant now) const;
    [[nodiscard]] double turns(const cold_share& share, instant now) const;

    instant since{};
    instant until{};        // end of the cold period; the limit ends later
    double last_turn = 0.0; // the last one that was used; the first is 1
};

} // namespace pearhaven::decision

#endif
