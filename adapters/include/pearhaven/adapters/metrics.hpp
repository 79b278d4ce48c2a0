#ifndef PEARHAVEN_ADAPTERS_METRICS_HPP
#define PEARHAVEN_ADAPTERS_METRICS_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Counters, gauges and latency histograms of one process, exported in the Prometheus text format. A
// series is created on first use. The number of series is bounded: beyond `max_series`, new label
// sets are counted in one series whose label values are all "other". Thread-safe.
class metrics {
public:
    explicit metrics(std::size_t max_series = 4096);
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void add(const std::string& name, const metric_labels& labels, std::uint64_t amount = 1);
    void set(const std::string& name, const metric_labels& labels, double value);

    // Adds a sample to the latency histogram of the series.
    void observe(const std::string& name, const metric_labels& labels,
                 std::chrono::microseconds latency);

    [[nodiscard]] std::string exposition() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::adapters

#endif
