#include "pearhaven/adapters/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace pearhaven::adapters {

namespace {

namespace acc = boost::accumulators;

// Upper bounds of the latency buckets in seconds, from a relayed token to a long prefill.
constexpr std::array<double, 15> bucket_bounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0};

// The accumulator set tracks count and sum. The bucket bounds are fixed here, because the density
// accumulator derives its bounds from samples: they would differ between routers, and the counts
// could not be added up.
struct histogram {
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> totals;
    std::array<std::uint64_t, bucket_bounds.size()> buckets{};

    void add(double seconds)
    {
        this->totals(seconds);
        for (std::size_t i = 0; i < bucket_bounds.size(); ++i) {
            if (seconds <= bucket_bounds[i]) {
                ++this->buckets[i];
                return;
            }
        }
    }
};

// Label values contain names chosen by operators; unescaped quotes, backslashes and newlines would
// break the format.
std::string escaped(const std::string& value)
{
    std::string text;
    for (const char letter : value) {
        if (letter == '"' || letter == '\\') {
            text.push_back('\\');
        }
        text.append(letter == '\n' ? "\\n" : std::string(1, letter));
    }
    return text;
}

std::string label_text(const metric_labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels) {
        text.append(text.empty() ? "" : ",")
            .append(name)
            .append("=\"")
            .append(escaped(value))
            .append("\"");
    }
    return text;
}

std::string overflow_labels(const metric_labels& labels)
{
    metric_labels others = labels;
    for (auto& [name, value] : others) {
        value = "other";
    }
    return label_text(others);
}

template <class Value>
using family_map = std::map<std::string, std::map<std::string, Value>>;

void write_sample(std::ostream& out, const std::string& name, const std::string& labels,
                  double value)
{
    out << name;
    if (!labels.empty()) {
        out << '{' << labels << '}';
    }
    out << ' ' << value << '\n';
}

template <class Value>
void write_family(std::ostream& out, const family_map<Value>& families, const char* type)
{
    for (const auto& [name, series] : families) {
        out << "# TYPE " << name << ' ' << type << '\n';
        for (const auto& [labels, value] : series) {
            write_sample(out, name, labels, static_cast<double>(value));
        }
    }
}

void write_histogram(std::ostream& out, const std::string& name, const std::string& labels,
                     const histogram& values)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bucket_bounds.size(); ++i) {
        cumulative += values.buckets[i];
        std::ostringstream bound;
        bound << bucket_bounds[i];
        write_sample(out, name + "_bucket", prefix + "le=\"" + bound.str() + "\"",
                     static_cast<double>(cumulative));
    }
    const auto count = static_cast<double>(acc::count(values.totals));
    write_sample(out, name + "_bucket", prefix + "le=\"+Inf\"", count);
    write_sample(out, name + "_sum", labels, acc::sum(values.totals));
    write_sample(out, name + "_count", labels, count);
}

} // namespace

class metrics::state {
public:
    explicit state(std::size_t series_bound) : max_series(series_bound) {}

    template <class Value>
    Value& find(family_map<Value>& families, const std::string& name, const metric_labels& labels)
    {
        auto& series = families[name];
        auto text = label_text(labels);
        const auto found = series.find(text);
        if (found != series.end()) {
            return found->second;
        }
        // Callers choose some label values; without this bound the series would grow without limit.
        if (this->series_count >= this->max_series) {
            text = overflow_labels(labels);
        } else {
            ++this->series_count;
        }
        return series[text];
    }

    std::mutex mutex;
    std::size_t max_series;
    std::size_t series_count = 0;
    family_map<std::uint64_t> counters;
    family_map<double> gauges;
    family_map<histogram> histograms;
};

metrics::metrics(std::size_t max_series) : inner(std::make_unique<state>(max_series)) {}

metrics::~metrics() = default;

void metrics::add(const std::string& name, const metric_labels& labels, std::uint64_t amount)
{
    const std::lock_guard guard(this->inner->mutex);
    this->inner->find(this->inner->counters, name, labels) += amount;
}

void metrics::set(const std::string& name, const metric_labels& labels, double value)
{
    const std::lock_guard guard(this->inner->mutex);
    this->inner->find(this->inner->gauges, name, labels) = value;
}

void metrics::observe(const std::string& name, const metric_labels& labels,
                      std::chrono::microseconds latency)
{
    const std::lock_guard guard(this->inner->mutex);
    this->inner->find(this->inner->histograms, name, labels)
        .add(std::chrono::duration<double>(latency).count());
}

std::string metrics::exposition() const
{
    const std::lock_guard guard(this->inner->mutex);
    std::ostringstream out;
    out.precision(15);
    write_family(out, this->inner->counters, "counter");
    write_family(out, this->inner->gauges, "gauge");
    for (const auto& [name, series] : this->inner->histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, values] : series) {
            write_histogram(out, name, labels, values);
        }
    }
    return out.str();
}

} // namespace pearhaven::adapters
