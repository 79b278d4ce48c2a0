#include "pearhaven/decision/rollout_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace pearhaven::decision {

namespace {

// Lower bound of the mean number of runs between false alarms of a version exactly at the base
// rate.
constexpr double runs_between_alarms = 1e9;

} // namespace

load_counts& operator+=(load_counts& sum, const load_counts& more)
{
    for (std::size_t level = 0; level < load_levels; ++level) {
        sum.at(level) += more.at(level);
    }
    return sum;
}

std::size_t load_level(double writing_per_slot)
{
    const double level = std::floor(writing_per_slot * static_cast<double>(load_levels));
    const auto highest = static_cast<double>(load_levels - 1);
    return static_cast<std::size_t>(std::clamp(level, 0.0, highest));
}

run_counts counts_from(const load_counts& seen, std::size_t level)
{
    run_counts sum;
    for (; level < load_levels; ++level) {
        sum += seen.at(level);
    }
    return sum;
}

sequential_test::sequential_test(const error_guard& guard)
    : upper(std::log((1.0 - guard.miss) / guard.false_alarm)),
      lower(std::log(guard.miss / (1.0 - guard.false_alarm))),
      good_step(std::log((1.0 - guard.max_rate) / (1.0 - guard.base_rate))),
      bad_step(std::log(guard.max_rate / guard.base_rate))
{}

double sequential_test::log_ratio(const run_counts& seen) const
{
    return static_cast<double>(seen.good) * this->good_step +
           static_cast<double>(seen.bad) * this->bad_step;
}

test_verdict sequential_test::judge(const run_counts& seen) const
{
    const double ratio = this->log_ratio(seen);
    if (ratio >= this->upper) {
        return test_verdict::rejected;
    }
    return ratio <= this->lower ? test_verdict::accepted : test_verdict::open;
}

void cusum_test::on_end(const sequential_test& test, bool good)
{
    this->sum = std::max(0.0, this->sum + test.step_of(good));
}

bool cusum_test::is_tripped() const
{
    return this->sum >= std::log(runs_between_alarms);
}

} // namespace pearhaven::decision
