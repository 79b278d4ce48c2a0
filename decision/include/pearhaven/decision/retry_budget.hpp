#ifndef PEARHAVEN_DECISION_RETRY_BUDGET_HPP
#define PEARHAVEN_DECISION_RETRY_BUDGET_HPP

namespace pearhaven::decision {

// Bounds retries to a share of the successes, so that a failing fleet is not hit with a multiple of
// its load. A fixed count per request would multiply the load exactly when everything fails.
class retry_budget {
public:
    // Each success earns `share` of a retry; at most `burst` retries are saved up. A new budget
    // holds the whole burst.
    retry_budget(double share, double burst);

    void on_success();

    // Saves up a part of a retry, or several.
    void earn(double retries);

    // Takes one retry; false when none is left.
    [[nodiscard]] bool try_spend();

    // Takes a retry that is made in any case, from what is earned later if none is left.
    void owe();

    // From now on at most so many are saved up, and owed.
    void set_burst(double burst);

    [[nodiscard]] double balance() const { return this->saved; }

private:
    double share;
    double burst;
    double saved;
};

} // namespace pearhaven::decision

#endif
