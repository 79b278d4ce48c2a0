#ifndef PEARHAVEN_DECISION_RETRY_BUDGET_HPP
#define PEARHAVEN_DECISION_RETRY_BUDGET_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>

namespace pearhaven::decision {

// Bounds retries to a share of the successes, so that a failing fleet is not hit with a multiple of
// its load. A fixed count per request would multiply the load exactly when everything fails.
class retry_budget {
public:
    // For how long a budget without a burst keeps a retry that was paid for. Kept for ever, one for
    // each router of a large fleet would add up to a burst that nobody allowed.
    static constexpr duration earned_lifetime = std::chrono::seconds(1);

    // Each success earns `share` of a retry; at most `burst` retries are saved up. A new budget
    // holds the whole burst.
    retry_budget(double share, double burst);

    void on_success();

    // Saves up a part of a retry, or several.
    void earn(double retries, instant now);

    // Takes one retry; false when none is left.
    [[nodiscard]] bool try_spend(instant now);

    // Whether `try_spend` would take one.
    [[nodiscard]] bool can_spend(instant now) const;

    // Takes a retry that is made in any case, from what is earned later if none is left.
    void debit(instant now);

    // From now on at most so many are saved up, and owed.
    void set_burst(double burst);

    [[nodiscard]] double balance() const { return this->saved; }

private:
    [[nodiscard]] double earned_at(instant now) const;
    void set_earned(double retries, instant now);

    double share;
    double burst;
    double saved;
    double earned = 0.0; // without a burst; below zero what is owed
    instant earned_since{};
};

// The part of the fleet's burst that the router of the rank holds, `most` at most. Where there are
// more routers than whole retries, some hold one and the others none: a part of a retry is none.
[[nodiscard]] double router_share_of_burst(double fleet_burst, double max_share, std::size_t rank,
                                           std::size_t size);

} // namespace pearhaven::decision

#endif
