#ifndef PEARHAVEN_DECISION_NEWEST_STATEMENT_HPP
#define PEARHAVEN_DECISION_NEWEST_STATEMENT_HPP

#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <optional>

namespace pearhaven::decision {

// What an endpoint last stated about one of its limits, whichever router received it. It states a
// limit in all its answers for as long as the limit applies.
class newest_statement {
public:
    // An answer to a request that was sent at `sent` stated this limit, or none. Returns whether
    // the statement is the newest one.
    bool on_answer(std::optional<double> stated, instant sent, instant now);

    // A peer knows of this statement, made at `made_at` by this router's clock. Returns the same.
    bool on_peer(std::optional<double> stated, instant made_at);

    [[nodiscard]] std::optional<double> value() const { return this->current; }

    // For the peers. Nothing if no limit was stated lately.
    [[nodiscard]] std::optional<limit_report> report(instant now) const;

private:
    std::optional<double> current;
    instant stated_at;
};

} // namespace pearhaven::decision

#endif
