#include "pearhaven/adapters/metrics.hpp"

#include <CppUTest/TestHarness.h>

using pearhaven::adapters::metrics;

TEST_GROUP(metrics_test){static bool shows(const metrics& counts, const std::string& line){
    return counts.exposition().find(line + "\n") != std::string::npos;
}
}
;

TEST(metrics_test, a_counter_is_summed_per_label_set)
{
    metrics counts;
    counts.add("requests_total", {{"team", "deposits"}}, 2);
    counts.add("requests_total", {{"team", "deposits"}});
    CHECK_TRUE(shows(counts, "requests_total{team=\"deposits\"} 3"));
}

TEST(metrics_test, histogram_buckets_are_cumulative)
{
    metrics counts;
    counts.observe("latency_seconds", {}, std::chrono::microseconds(400));
    counts.observe("latency_seconds", {}, std::chrono::milliseconds(4));
    CHECK_TRUE(shows(counts, "latency_seconds_bucket{le=\"0.0005\"} 1"));
    CHECK_TRUE(shows(counts, "latency_seconds_bucket{le=\"0.005\"} 2"));
    CHECK_TRUE(shows(counts, "latency_seconds_count 2"));
}

TEST(metrics_test, series_beyond_the_limit_share_one_series)
{
    metrics counts(1);
    counts.add("requests_total", {{"team", "first"}});
    counts.add("requests_total", {{"team", "second"}});
    counts.add("requests_total", {{"team", "third"}});
    CHECK_TRUE(shows(counts, "requests_total{team=\"other\"} 2"));
}

TEST(metrics_test, quotes_in_a_label_are_escaped)
{
    metrics counts;
    counts.add("requests_total", {{"team", "a\"b"}});
    CHECK_TRUE(shows(counts, "requests_total{team=\"a\\\"b\"} 1"));
}
