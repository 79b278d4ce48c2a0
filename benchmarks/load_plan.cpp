#include "load_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace pearhaven::benchmarks {

namespace {

constexpr double milliseconds = 1000.0;

bool read_number(const std::string& text, double& number)
{
    std::istringstream stream(text);
    return static_cast<bool>(stream >> number) && stream.eof() && number >= 0.0;
}

// False if there is no such field or the value is invalid for it.
bool set_field(load_stream& stream, const std::string& name, const std::string& value)
{
    if (name == "name") {
        stream.name = value;
        return true;
    }
    if (name == "key") {
        stream.key = value;
        return true;
    }
    if (name == "class") {
        stream.work_class = value;
        return value == "lookup" || value == "reading";
    }
    if (name == "model") {
        stream.model = value;
        return true;
    }
    double number = 0.0;
    if (!read_number(value, number)) {
        return false;
    }
    const auto integer = static_cast<std::uint32_t>(number);
    if (name == "rate") {
        stream.rate = number;
    } else if (name == "callers") {
        stream.callers = integer;
    } else if (name == "prompt") {
        stream.prompt_bytes = integer;
    } else if (name == "tokens") {
        stream.max_tokens = integer;
    } else if (name == "from") {
        stream.from_s = number;
    } else if (name == "to") {
        stream.to_s = number;
    } else {
        return false;
    }
    return true;
}

std::string format(const char* pattern, double value)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), pattern, value);
    return text.data();
}

std::vector<double> first_tokens(const std::vector<load_sample>& samples, std::size_t stream)
{
    std::vector<double> times;
    for (const auto& sample : samples) {
        if (sample.stream == stream && sample.completed) {
            times.push_back(sample.first_token * milliseconds);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace

parsed_stream parse_stream(const std::string& text)
{
    parsed_stream parsed;
    std::istringstream fields(text);
    for (std::string field; std::getline(fields, field, ',');) {
        const auto equals = field.find('=');
        const auto name = field.substr(0, equals);
        const auto value = equals == std::string::npos ? "" : field.substr(equals + 1);
        if (!set_field(parsed.stream, name, value)) {
            parsed.fault = "found \"" + field +
                           "\", allowed are name, key, class (lookup or reading), model, rate, "
                           "callers, prompt, tokens, from and to, with numbers of 0 or more";
            return parsed;
        }
    }
    if (parsed.stream.name.empty() || (parsed.stream.rate <= 0.0) == (parsed.stream.callers == 0)) {
        parsed.fault =
            "found \"" + text + "\", allowed is a stream with a name and either rate or callers";
    }
    return parsed;
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto position = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(position, values.size() - 1)];
}

load_summary summarize(const std::vector<load_sample>& samples, std::size_t stream,
                       const std::string& name, double warm_up, double seconds)
{
    load_summary summary;
    summary.name = name;
    std::vector<double> first;
    std::vector<double> completion;
    std::vector<double> gaps;
    std::uint64_t tokens = 0;
    for (const auto& sample : samples) {
        if (sample.stream != stream || sample.sent_at < warm_up) {
            continue;
        }
        ++summary.sent;
        if (!sample.completed) {
            continue;
        }
        ++summary.completed;
        tokens += sample.tokens;
        first.push_back(sample.first_token * milliseconds);
        completion.push_back(sample.completion_time * milliseconds);
        gaps.push_back(sample.token_gap_95 * milliseconds);
    }
    const double measured = std::max(seconds - warm_up, 1e-9);
    summary.goodput = static_cast<double>(summary.completed) / measured;
    summary.tokens_per_s = static_cast<double>(tokens) / measured;
    summary.first_50 = quantile(first, 0.50);
    summary.first_95 = quantile(first, 0.95);
    summary.first_99 = quantile(first, 0.99);
    summary.completion_50 = quantile(completion, 0.50);
    summary.completion_95 = quantile(completion, 0.95);
    summary.completion_99 = quantile(completion, 0.99);
    summary.gap_95 = quantile(gaps, 0.95);
    return summary;
}

std::string to_table(const std::vector<load_summary>& summaries)
{
    std::string text =
        "stream            sent completed  good/s  tokens/s   first ms: 50     95      99   "
        "whole ms: 50      95      99   gap 95 ms\n";
    for (const auto& one : summaries) {
        std::array<char, 256> line{};
        std::snprintf(line.data(), line.size(),
                      "%-16s %6zu %9zu %7.1f %9.0f %15.2f %7.2f %7.2f %13.2f %7.2f %7.2f %11.2f\n",
                      one.name.c_str(), one.sent, one.completed, one.goodput, one.tokens_per_s,
                      one.first_50, one.first_95, one.first_99, one.completion_50,
                      one.completion_95, one.completion_99, one.gap_95);
        text += line.data();
    }
    return text;
}

std::string to_csv(const std::vector<load_sample>& samples, const std::vector<load_stream>& streams)
{
    std::string text =
        "stream,class,sent_at_s,first_token_ms,whole_ms,token_gap_95_ms,tokens,status,completed\n";
    for (const auto& sample : samples) {
        const auto& stream = streams[sample.stream];
        text += stream.name + "," + stream.work_class + "," + format("%.4f", sample.sent_at) + "," +
                format("%.3f", sample.first_token * milliseconds) + "," +
                format("%.3f", sample.completion_time * milliseconds) + "," +
                format("%.3f", sample.token_gap_95 * milliseconds) + "," +
                std::to_string(sample.tokens) + "," + std::to_string(sample.status) + "," +
                (sample.completed ? "1" : "0") + "\n";
    }
    return text;
}

std::string to_svg(const std::vector<load_sample>& samples, const std::vector<load_stream>& streams)
{
    constexpr double width = 640.0;
    constexpr double height = 360.0;
    constexpr double margin = 50.0;
    constexpr std::array<const char*, 6> colours = {"#1f77b4", "#d62728", "#2ca02c",
                                                    "#9467bd", "#ff7f0e", "#17becf"};
    double longest = 1.0;
    for (const auto& sample : samples) {
        longest = std::max(longest, sample.completed ? sample.first_token * milliseconds : 0.0);
    }
    // A logarithmic scale from 0.1 ms, so that a long tail does not compress the rest.
    const double decades = std::log10(longest / 0.1);
    const auto x_of = [&](double ms) {
        return margin + (width - 2 * margin) * std::log10(std::max(ms, 0.1) / 0.1) / decades;
    };
    std::string svg =
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"360\" font-size=\"11\">\n"
        "<rect width=\"640\" height=\"360\" fill=\"white\"/>\n"
        "<text x=\"250\" y=\"350\">time to first token, ms (log)</text>\n"
        "<text x=\"8\" y=\"20\">share of requests</text>\n";
    for (double ms = 0.1; ms <= longest; ms *= 10.0) {
        svg += "<text x=\"" + format("%.1f", x_of(ms)) + "\" y=\"330\">" + format("%g", ms) +
               "</text>\n";
    }
    for (std::size_t i = 0; i < streams.size(); ++i) {
        const auto times = first_tokens(samples, i);
        const auto* colour = colours[i % colours.size()];
        svg += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"";
        const auto step = std::max<std::size_t>(1, times.size() / 400);
        for (std::size_t k = 0; k < times.size(); k += step) {
            const double share = static_cast<double>(k + 1) / static_cast<double>(times.size());
            svg += format("%.1f", x_of(times[k])) + "," +
                   format("%.1f", height - margin - (height - 2 * margin) * share) + " ";
        }
        svg += "\"/>\n<text x=\"520\" y=\"" + std::to_string(60 + 16 * i) + "\" fill=\"" + colour +
               "\">" + streams[i].name + "</text>\n";
    }
    return svg + "</svg>\n";
}

} // namespace pearhaven::benchmarks
