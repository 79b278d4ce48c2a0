#ifndef PEARHAVEN_DECISION_ROLLOUT_EVIDENCE_HPP
#define PEARHAVEN_DECISION_ROLLOUT_EVIDENCE_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace pearhaven::decision {

// How runs of a version ended.
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

// How runs ended by the load of their endpoint when they were sent: the first element is for less
// than an eighth of its slots writing answers, the last for seven eighths and more. An answer that
// begins counts as good at once, since the failures that load brings come sooner than answers end.
constexpr std::size_t load_levels = 8;
using load_counts = std::array<run_counts, load_levels>;

load_counts& operator+=(load_counts& sum, const load_counts& more);

// The level for so many answers being written per slot.
[[nodiscard]] std::size_t load_level(double writing_per_slot);

// Runs that were sent at that level and above.
[[nodiscard]] run_counts counts_from(const load_counts& seen, std::size_t level);

// Which error rates a version is judged by, and how often the judgement may be wrong.
struct error_guard {
    double base_rate = 0.01;   // of a good version; above 0
    double max_rate = 0.05;    // of a bad version; above the base rate, below 1
    double false_alarm = 0.01; // probability that a good version is rejected
    double miss = 0.01;        // probability that a bad version is accepted
};

enum class test_verdict : std::uint8_t { open, accepted, rejected };

// Wald's sequential probability ratio test of `max_rate` against `base_rate`. It may be asked after
// every run, and comes to a verdict after the fewest runs of all tests with these probabilities.
class sequential_test {
public:
    explicit sequential_test(const error_guard& guard);

    // Logarithm of how much more likely a bad version is than a good one to give these ends.
    [[nodiscard]] double log_ratio(const run_counts& seen) const;
    [[nodiscard]] test_verdict judge(const run_counts& seen) const;

    // The log ratios from which the version is rejected, and down from which it is accepted.
    [[nodiscard]] double rejects_from() const { return this->upper; }
    [[nodiscard]] double accepts_from() const { return this->lower; }

    // What one end adds to the log ratio.
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

// Page's cumulative sum over the same steps, for a version that has been good and may turn bad at
// any time: its good past does not outweigh bad ends now, since the sum never falls below zero.
// It has no end, so its threshold is high: a good version trips it less than once in 10^9 runs.
class cusum_test {
public:
    void on_end(const sequential_test& test, bool good);
    [[nodiscard]] bool is_tripped() const;

private:
    double sum = 0.0;
};

} // namespace pearhaven::decision

#endif
