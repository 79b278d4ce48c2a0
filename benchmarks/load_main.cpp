#include "load_plan.hpp"

#include "pearhaven/adapters/flags.hpp"
#include "pearhaven/adapters/http_client.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <queue>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(targets, "",
              "IP:port of routers or engines, separated by commas; requests go round them");
DEFINE_string(streams, "",
              "streams of callers, separated by semicolons: "
              "name=lookups,key=K,class=lookup,rate=50,tokens=16,prompt=200 (or callers=100)");
DEFINE_double(seconds, 10.0, "how long requests are sent");
DEFINE_double(warm_up, 1.0, "seconds at the start whose requests are not counted");
DEFINE_uint64(seed, 1, "of the arrival times and prompts");
DEFINE_string(csv, "", "file for one line a request");
DEFINE_string(svg, "", "file for a plot");
DEFINE_bool(fail_on_errors, false, "end with status 1 when any request did not complete");

namespace pearhaven::benchmarks {

namespace {

using clock = std::chrono::steady_clock;

double seconds_between(clock::time_point from, clock::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

// Receives one answer and counts its tokens by their events.
class answer_listener : public adapters::http_listener {
public:
    answer_listener(load_sample begun, std::function<void(const load_sample&)> done)
        : sample(begun), on_done(std::move(done)), sent(clock::now()), last(this->sent)
    {}

    void on_head(int status,
                 const std::vector<std::pair<std::string, std::string>>& /*headers*/) override
    {
        this->sample.status = status;
    }

    [[nodiscard]] bool on_body(std::string_view piece) override
    {
        constexpr std::string_view event_mark = "\"delta\":{\"content\"";
        this->tail.append(piece);
        std::size_t at = 0;
        std::uint32_t found = 0;
        for (auto mark = this->tail.find(event_mark); mark != std::string::npos;
             mark = this->tail.find(event_mark, mark + 1)) {
            at = mark + event_mark.size();
            ++found;
        }
        this->has_end_marker =
            this->has_end_marker || this->tail.find("[DONE]") != std::string::npos;
        this->tail.erase(
            0, std::max(at, this->tail.size() > 64 ? this->tail.size() - 64 : std::size_t{0}));
        if (found > 0) {
            this->note_tokens(found);
        }
        return true;
    }

    void on_end(const adapters::http_result& result) override
    {
        constexpr int ok = 200;
        this->sample.completion_time = seconds_between(this->sent, clock::now());
        this->sample.completed = !result.error && this->sample.status == ok && this->has_end_marker;
        this->sample.token_gap_95 = quantile(this->gaps, 0.95);
        this->on_done(this->sample);
    }

private:
    void note_tokens(std::uint32_t count)
    {
        const auto now = clock::now();
        if (this->sample.tokens == 0) {
            this->sample.first_token = seconds_between(this->sent, now);
        } else {
            this->gaps.push_back(seconds_between(this->last, now) / count);
        }
        this->sample.tokens += count;
        this->last = now;
    }

    load_sample sample;
    std::function<void(const load_sample&)> on_done;
    clock::time_point sent;
    clock::time_point last;
    std::vector<double> gaps;
    std::string tail;
    bool has_end_marker = false;
};

class load_run {
public:
    load_run(std::vector<std::string> all_targets, std::vector<load_stream> all_streams)
        : targets(std::move(all_targets)), streams(std::move(all_streams)), random(FLAGS_seed),
          client(adapters::make_http_client({8192, std::chrono::seconds(5)}))
    {}

    std::vector<load_sample> run()
    {
        this->begun = clock::now();
        for (std::size_t i = 0; i < this->streams.size(); ++i) {
            this->schedule_first(i);
        }
        this->send_until_end();
        std::unique_lock guard(this->mutex);
        this->changed.wait_for(guard, std::chrono::seconds(120),
                               [this] { return this->in_flight == 0; });
        if (this->in_flight > 0) {
            std::printf("not ended after 120 s: %zu requests\n", this->in_flight);
        }
        guard.unlock();
        this->client->stop();
        return this->samples;
    }

private:
    struct due_request {
        double at = 0.0;
        std::size_t stream = 0;
        bool operator<(const due_request& other) const { return this->at > other.at; }
    };

    [[nodiscard]] double end_of(const load_stream& stream) const
    {
        return stream.to_s > 0.0 ? std::min(stream.to_s, FLAGS_seconds) : FLAGS_seconds;
    }

    void schedule_first(std::size_t i)
    {
        const auto& stream = this->streams[i];
        if (stream.rate > 0.0) {
            this->due.push({stream.from_s + this->next_gap(stream), i});
            return;
        }
        for (std::uint32_t k = 0; k < stream.callers; ++k) {
            this->due.push({stream.from_s + 0.001 * k * 1000.0 / stream.callers, i});
        }
    }

    double next_gap(const load_stream& stream)
    {
        return std::exponential_distribution<double>(stream.rate)(this->random);
    }

    void send_until_end()
    {
        std::unique_lock guard(this->mutex);
        while (seconds_between(this->begun, clock::now()) < FLAGS_seconds) {
            if (this->due.empty()) {
                this->changed.wait_for(guard, std::chrono::milliseconds(1));
                continue;
            }
            const auto next = this->due.top();
            const auto at = this->begun + std::chrono::duration_cast<clock::duration>(
                                              std::chrono::duration<double>(next.at));
            if (at > clock::now()) {
                this->changed.wait_until(guard,
                                         std::min(at, clock::now() + std::chrono::milliseconds(2)));
                continue;
            }
            this->due.pop();
            const auto& stream = this->streams[next.stream];
            if (next.at >= this->end_of(stream)) {
                continue;
            }
            if (stream.rate > 0.0) {
                this->due.push({next.at + this->next_gap(stream), next.stream});
            }
            ++this->in_flight;
            auto request = this->make_request(stream);
            guard.unlock();
            this->send(next.stream, std::move(request));
            guard.lock();
        }
    }

    adapters::http_request make_request(const load_stream& stream)
    {
        const auto number = this->next_number++;
        std::string prompt = "question " + std::to_string(this->random()) + " ";
        prompt.resize(std::max<std::size_t>(stream.prompt_bytes, prompt.size()), 'x');
        const nlohmann::json message = {{"role", "user"}, {"content", prompt}};
        adapters::http_request request;
        request.method = "POST";
        request.url =
            "http://" + this->targets[number % this->targets.size()] + "/v1/chat/completions";
        request.headers = {
            {"Content-Type", "application/json"},
            {"Authorization", "Bearer " + stream.key},
            {"Pearhaven-Class", stream.work_class},
            {"X-Run-Id", "load-" + std::to_string(FLAGS_seed) + "-" + std::to_string(number)},
            {"X-Request-Id", "load-" + std::to_string(FLAGS_seed) + "-" + std::to_string(number)}};
        request.body = nlohmann::json({{"model", stream.model},
                                       {"stream", true},
                                       {"max_tokens", stream.max_tokens},
                                       {"messages", nlohmann::json::array({message})}})
                           .dump();
        request.first_byte_timeout = std::chrono::seconds(120);
        request.progress_timeout = std::chrono::seconds(120);
        return request;
    }

    void send(std::size_t stream, adapters::http_request request)
    {
        load_sample sample;
        sample.stream = stream;
        sample.sent_at = seconds_between(this->begun, clock::now());
        this->client->start(
            std::move(request),
            new answer_listener(sample, [this](const load_sample& done) { this->on_done(done); }));
    }

    void on_done(const load_sample& done)
    {
        const std::lock_guard guard(this->mutex);
        this->samples.push_back(done);
        --this->in_flight;
        if (this->streams[done.stream].rate <= 0.0) {
            // A caller retries after a short pause when its request did not complete.
            const double pause = done.completed ? 0.0 : 0.05;
            this->due.push({seconds_between(this->begun, clock::now()) + pause, done.stream});
        }
        this->changed.notify_all();
    }

    std::vector<std::string> targets;
    std::vector<load_stream> streams;
    std::mt19937_64 random;
    clock::time_point begun;
    std::mutex mutex;
    std::condition_variable changed;
    std::priority_queue<due_request> due;
    std::vector<load_sample> samples;
    std::size_t in_flight = 0;
    std::uint64_t next_number = 0;
    std::unique_ptr<adapters::http_client> client;
};

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

int run_load(const std::vector<load_stream>& streams)
{
    const auto samples = load_run(split(FLAGS_targets, ','), streams).run();
    std::vector<load_summary> summaries;
    bool all_completed = true;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        summaries.push_back(summarize(samples, i, streams[i].name, FLAGS_warm_up, FLAGS_seconds));
        all_completed = all_completed && summaries.back().completed == summaries.back().sent;
    }
    std::cout << to_table(summaries);
    if (!FLAGS_csv.empty()) {
        std::ofstream(FLAGS_csv) << to_csv(samples, streams);
    }
    if (!FLAGS_svg.empty()) {
        std::ofstream(FLAGS_svg) << to_svg(samples, streams);
    }
    return FLAGS_fail_on_errors && !all_completed ? 1 : 0;
}

} // namespace

} // namespace pearhaven::benchmarks

int main(int argc, char** argv)
{
    using namespace pearhaven::benchmarks;
    auto flags = pearhaven::adapters::read_flags(argc, argv, "PEARHAVEN_LOAD");
    if (flags.help_requested) {
        std::cout << "load: sends chat requests and prints statistics of their results\n"
                  << pearhaven::adapters::describe_flags("load_main.cpp");
        return 0;
    }
    std::vector<load_stream> streams;
    for (const auto& text : split(FLAGS_streams, ';')) {
        auto parsed = parse_stream(text);
        if (parsed.fault) {
            flags.faults.push_back("--streams: " + *parsed.fault);
        }
        streams.push_back(std::move(parsed.stream));
    }
    if (FLAGS_targets.empty() || streams.empty()) {
        flags.faults.emplace_back(
            "--targets and --streams: found none, allowed are one or more of each");
    }
    for (const auto& fault : flags.faults) {
        std::cerr << "load: " << fault << '\n';
    }
    return flags.faults.empty() ? run_load(streams) : 2;
}
