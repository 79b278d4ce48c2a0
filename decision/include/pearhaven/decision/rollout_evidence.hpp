#ifndef PEARHAVEN_DECISION_ROLLOUT_EVIDENCE_HPP
#define PEARHAVEN_DECISION_ROLLOUT_EVIDENCE_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace pearhaven::decision {

// Counts of runs of a version by result.
struct run_counts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    [[nodiscard]] std::uint64_t total() const { return this->good + this->bad; }
    run_counts& operator+=(const run_counts& more)
    {
        this->good += more.good;
        this->bad += more.bad;
        return *this;
    }
    friend bool operator==(const run_counts&, const run_counts&) = default;
};

// Run results by the load of the endpoint when the run was sent. The first element is for endpoints
// with answers being written in less than an eighth of their slots, the last for seven eighths and
// more. An answer counts as good once it begins, because failures caused by load occur before
// answers end.
constexpr std::size_t load_levels = 8;
using load_counts = std::array<run_counts, load_levels>;

load_counts& operator+=(load_counts& sum, const load_counts& more);

// The load level for this number of answers being written per slot.
[[nodiscard]] std::size_t load_level(double writing_per_slot);

// Total of the runs sent at this level and above.
[[nodiscard]] run_counts counts_from(const load_counts& seen, std::size_t level);

// The error rates that a version is tested against and the error probabilities of the test.
struct error_guard {
    double base_rate = 0.01;   // of a good version; above 0
    double max_rate = 0.05;    // of a bad version; above the base rate, below 1
    double false_alarm = 0.01; // probability that a good version is rejected
    double miss = 0.01;        // probability that a bad version is accepted
};

enum class test_verdict : std::uint8_t { open, accepted, rejected };

// Wald's sequential probability ratio test of `max_rate` against `base_rate`. It may be evaluated
// after every run, and of all tests with these error probabilities it needs the fewest runs on
// average.
class sequential_test {
public:
    explicit sequential_test(const error_guard& guard);

    // Log-likelihood ratio of a bad version to a good one, given these results.
    [[nodiscard]] double log_ratio(const run_counts& seen) const;
    [[nodiscard]] test_verdict judge(const run_counts& seen) const;

    // The version is rejected at or above `rejects_from` and accepted at or below `accepts_from`.
    [[nodiscard]] double rejects_from() const { return this->upper; }
    [[nodiscard]] double accepts_from() const { return this->lower; }

    // Change of the log ratio by one result.
    [[nodiscard]] double step_of(bool good) const
    {
        return good ? this->good_step : this->bad_step;
    }

private:
    double upper;
    double lower;
    double good_step;
    double bad_step;
};

// Page's cumulative sum (CUSUM) over the same steps, for a version that was good and may turn bad
// at any time. The sum never falls below zero, so a long good past does not outweigh new failures.
// The test never ends, so its threshold is high: a good version trips it less than once in 10^9
// runs.
class cusum_test {
public:
    void on_end(const sequential_test& test, bool good);
    [[nodiscard]] bool is_tripped() const;

private:
    double sum = 0.0;
};

} // namespace pearhaven::decision

#endif
