#ifndef PEARHAVEN_DECISION_RETRY_BUDGET_HPP
#define PEARHAVEN_DECISION_RETRY_BUDGET_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>

namespace pearhaven::decision {

// Limits retries to a share of the successes, so that a failing fleet does not receive a multiple
// of its normal load. A fixed number of retries per request would multiply the load exactly when
// everything fails.
class retry_budget {
public:
    // How long a budget without a burst keeps an earned retry. If they were kept forever, one for
    // each router of a large fleet would add up to a burst that exceeds the fleet's limit.
    static constexpr duration earned_lifetime = std::chrono::seconds(1);

    // Each success earns `share` of a retry; at most `burst` retries accumulate. A new budget
    // starts with the full burst.
    retry_budget(double share, double burst);

    void on_success();

    // Adds the given number of retries, which may be fractional.
    void earn(double retries, instant now);

    // Takes one retry; returns false if none is left.
    [[nodiscard]] bool try_spend(instant now);

    // Whether `try_spend` would succeed.
    [[nodiscard]] bool can_spend(instant now) const;

    // Charges a retry that is made regardless of the budget. If none is left, later earnings pay
    // for it.
    void debit(instant now);

    // From now on the balance, and the debt, is at most `burst`.
    void set_burst(double burst);

    [[nodiscard]] double balance() const { return this->saved; }

private:
    [[nodiscard]] double earned_at(instant now) const;
    void set_earned(double retries, instant now);

    double share;
    double burst;
    double saved;
    double earned = 0.0; // used without a burst; negative if in debt
    instant earned_since{};
};

// The part of the fleet's burst for the router with this rank, at most `max_share`. If there are
// more routers than retries, some get one and the others none, since a fraction of a retry is of no
// use.
[[nodiscard]] double router_share_of_burst(double fleet_burst, double max_share, std::size_t rank,
                                           std::size_t size);

} // namespace pearhaven::decision

#endif
