#ifndef PEARHAVEN_STANDINS_RATE_LIMIT_HPP
#define PEARHAVEN_STANDINS_RATE_LIMIT_HPP

#include "pearhaven/decision/time.hpp"

#include <algorithm>

namespace pearhaven::standins {

// Token bucket, initially full.
class rate_limit {
public:
    rate_limit(double rate_per_s, double bucket) : rate(rate_per_s), burst(bucket), left(bucket) {}

    // Takes one token if available.
    bool take(decision::instant now)
    {
        const std::chrono::duration<double> passed = now - this->filled_at;
        this->left = std::min(this->burst, this->left + passed.count() * this->rate);
        this->filled_at = now;
        if (this->left < 1) {
            return false;
        }
        this->left -= 1;
        return true;
    }

private:
    double rate;
    double burst;
    double left;
    decision::instant filled_at;
};

} // namespace pearhaven::standins

#endif
