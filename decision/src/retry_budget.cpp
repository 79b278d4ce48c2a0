#include "pearhaven/decision/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

// Sums of shares such as 0.1 come out slightly below a whole retry.
constexpr double rounding_tolerance = 1e-9;

// Maximum number of recently earned retries kept without a burst. With a maximum of one, no whole
// retry would be left a moment later, since the balance decays linearly.
constexpr double max_earned = 2.0;

bool is_whole(double retries)
{
    return retries + rounding_tolerance >= 1.0;
}

} // namespace

retry_budget::retry_budget(double share_of_successes, double largest_balance)
    : share(share_of_successes), burst(largest_balance), saved(largest_balance)
{}

void retry_budget::on_success()
{
    this->saved = std::min(this->burst, this->saved + this->share);
}

void retry_budget::earn(double retries, instant now)
{
    if (this->burst > 0.0) {
        this->saved = std::min(this->burst, this->saved + retries);
    } else {
        this->set_earned(std::min(max_earned, this->earned_at(now) + retries), now);
    }
}

bool retry_budget::try_spend(instant now)
{
    if (!this->can_spend(now)) {
        return false;
    }
    if (is_whole(this->saved)) {
        this->saved = std::max(0.0, this->saved - 1.0);
    } else {
        this->set_earned(std::max(0.0, this->earned_at(now) - 1.0), now);
    }
    return true;
}

bool retry_budget::can_spend(instant now) const
{
    return is_whole(this->saved) || is_whole(this->earned_at(now));
}

void retry_budget::debit(instant now)
{
    if (this->burst > 0.0) {
        this->saved = std::max(-this->burst, this->saved - 1.0);
    } else {
        this->set_earned(std::max(-1.0, this->earned_at(now) - 1.0), now);
    }
}

void retry_budget::set_burst(double largest_balance)
{
    this->burst = largest_balance;
    this->saved = std::clamp(this->saved, -this->burst, this->burst);
}

// A positive balance decays linearly, so that nothing is left of what was earned more than
// `earned_lifetime` ago. A debt does not decay.
double retry_budget::earned_at(instant now) const
{
    const auto age = std::chrono::duration<double>(now - this->earned_since);
    const double elapsed_share = age / std::chrono::duration<double>(earned_lifetime);
    return this->earned <= 0.0 ? this->earned
                               : std::max(0.0, this->earned - max_earned * elapsed_share);
}

void retry_budget::set_earned(double retries, instant now)
{
    this->earned = retries;
    this->earned_since = now;
}

double router_share_of_burst(double fleet_burst, double max_share, std::size_t rank,
                             std::size_t size)
{
    const double share = fleet_burst / static_cast<double>(size);
    if (share >= 1.0) {
        return std::min(share, std::max(1.0, max_share));
    }
    return static_cast<double>(rank) + 1.0 <= std::floor(fleet_burst) ? 1.0 : 0.0;
}

} // namespace pearhaven::decision
