#ifndef PEARHAVEN_BENCHMARKS_LOAD_PLAN_HPP
#define PEARHAVEN_BENCHMARKS_LOAD_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::benchmarks {

// A group of callers. Open loop if `rate` is set: requests are sent at random times, independently
// of the progress of earlier ones. Otherwise closed loop: each of `callers` sends its next request
// when its last one has ended.
struct load_stream {
    std::string name; // of the series in tables and plots
    std::string key;  // bearer key of the team
    std::string work_class = "lookup";
    std::string model = "adjudicator";
    double rate = 0.0; // requests a second over all targets
    std::uint32_t callers = 0;
    std::uint32_t prompt_bytes = 200;
    std::uint32_t max_tokens = 16;
    double from_s = 0.0; // from and to when it sends, since the start; 0: to the end
    double to_s = 0.0;

    friend bool operator==(const load_stream&, const load_stream&) = default;
};

// Parses `name=lookups,key=K,class=lookup,rate=50,tokens=16,prompt=200,from=5,to=10`, or returns
// what is wrong with it.
struct parsed_stream {
    load_stream stream;
    std::optional<std::string> fault;
};
parsed_stream parse_stream(const std::string& text);

// Result of one request.
struct load_sample {
    std::size_t stream = 0;
    double sent_at = 0.0;         // seconds since the start
    double first_token = 0.0;     // seconds since it was sent; 0 where none came
    double completion_time = 0.0; // seconds until the end
    double token_gap_95 = 0.0;    // seconds between tokens for 95 in 100
    std::uint32_t tokens = 0;
    int status = 0;
    bool completed = false;

    friend bool operator==(const load_sample&, const load_sample&) = default;
};

// The quantile of the values at `share`; 0 if there are none. Sorts the values.
double quantile(std::vector<double>& values, double share);

// One row of the result table.
struct load_summary {
    std::string name;
    std::size_t sent = 0;
    std::size_t completed = 0;
    double goodput = 0.0; // completed requests a second
    double tokens_per_s = 0.0;
    double first_50 = 0.0;
    double first_95 = 0.0;
    double first_99 = 0.0;
    double completion_50 = 0.0;
    double completion_95 = 0.0;
    double completion_99 = 0.0;
    double gap_95 = 0.0;

    friend bool operator==(const load_summary&, const load_summary&) = default;
};

// Samples sent before `warm_up` are left out.
load_summary summarize(const std::vector<load_sample>& samples, std::size_t stream,
                       const std::string& name, double warm_up, double seconds);

std::string to_table(const std::vector<load_summary>& summaries);
std::string to_csv(const std::vector<load_sample>& samples,
                   const std::vector<load_stream>& streams);

// An SVG plot of the cumulative share of requests by time to first token, with a curve for each
// stream.
std::string to_svg(const std::vector<load_sample>& samples,
                   const std::vector<load_stream>& streams);

} // namespace pearhaven::benchmarks

#endif
