#include "pearhaven/decision/retry_budget.hpp"

#include <algorithm>

namespace pearhaven::decision {

retry_budget::retry_budget(double share_of_successes, double largest_balance)
    : share(share_of_successes), burst(largest_balance), saved(largest_balance)
{}

void retry_budget::on_success()
{
    this->earn(this->share);
}

void retry_budget::earn(double retries)
{
    this->saved = std::min(this->burst, this->saved + retries);
}

bool retry_budget::try_spend()
{
    // Shares such as 0.1 add up to a hair under a whole retry.
    constexpr double rounding = 1e-9;
    if (this->saved + rounding < 1.0) {
        return false;
    }
    this->saved = std::max(0.0, this->saved - 1.0);
    return true;
}

void retry_budget::owe()
{
    this->saved = std::max(-this->burst, this->saved - 1.0);
}

void retry_budget::set_burst(double largest_balance)
{
    this->burst = largest_balance;
    this->saved = std::clamp(this->saved, -this->burst, this->burst);
}

} // namespace pearhaven::decision
