#ifndef PEARHAVEN_DECISION_SRC_REQUEST_LIMIT_HPP
#define PEARHAVEN_DECISION_SRC_REQUEST_LIMIT_HPP

#include "fleet_turns.hpp"
#include "newest_statement.hpp"

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <optional>

namespace pearhaven::decision {

// Keeps this router's requests to an endpoint within its share of the rate that the endpoint
// accepts from all routers together. The newest statement applies, whichever router received it.
class request_limit {
public:
    // An answer to a request that was sent at `sent` stated this rate in requests per second, or
    // none. Returns whether the known rate changed.
    bool on_answer(std::optional<double> stated, instant sent, instant now,
                   const turn_place& place);

    // A peer knows of this statement, made at `stated_at` by this router's clock. Returns whether
    // the known rate changed.
    bool on_peer(std::optional<double> stated, instant stated_at, instant now,
                 const turn_place& place);

    void set_fleet_size(std::size_t size, instant now);

    // This router sent a request.
    void on_started(instant now);

    // When this router may send its next request: now or later.
    [[nodiscard]] instant opens_at(instant now) const;

    [[nodiscard]] std::optional<double> rate() const { return this->statement.value(); }

    // Requests per second that this router may send; zero without a limit.
    [[nodiscard]] double own_rate() const { return this->turns_per_s; }

    // For the peers. Nothing if no limit was stated lately.
    [[nodiscard]] std::optional<limit_report> report(instant now) const
    {
        return this->statement.report(now);
    }

private:
    bool apply(std::optional<double> before, instant now, const turn_place& place);
    [[nodiscard]] double turns(instant now) const;

    newest_statement statement;
    std::size_t fleet_size = 1;

    // Number of this router's turns that had begun at `since`, with the part of the present one
    // that was over.
    double turns_since = 0.0;
    instant since;
    double turns_per_s = 0.0;
    double last_turn = 0.0; // the last one that was used; the first is 1
};

} // namespace pearhaven::decision

#endif
