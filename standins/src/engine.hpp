#ifndef PEARHAVEN_STANDINS_ENGINE_HPP
#define PEARHAVEN_STANDINS_ENGINE_HPP

#include "batch_scheduler.hpp"
#include "engine_reports.hpp"
#include "live_run.hpp"
#include "run_log.hpp"
#include "weight_loader.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pearhaven::standins {

struct engine_settings {
    batch_settings batch;
    std::vector<std::string> versions;
    decision::duration keep_runs{60'000'000}; // how long an ended run can be resumed
    decision::duration load_lag{500'000};
    decision::duration cache_event_lag{1'000'000};
    double cache_event_gaps = 0.05;
    decision::duration weight_loading{5'000'000};
    bool checks_fencing = false;
    std::string weight_store; // IP:port; empty: weights are not read, only loaded
};

// Faults that can be injected into the engine.
struct engine_behaviours {
    std::string crash_on;
    bool freeze = false;
    bool silence_connections = false;
    double slow_factor = 1;
    bool bad = false;
    double fail_rate = 0;
    bool refuse = false;
    bool draining = false;
    std::uint64_t truncate_after = 0;
    std::string version;
};

enum class admission { accepted, overloaded, draining, no_such_version, refused, duplicate };

struct submission {
    admission outcome = admission::refused;
    live_run_pointer run; // set when accepted
};

enum class engine_order { load, unload, role };

struct order_record {
    engine_order order = engine_order::load;
    std::string version;
    std::uint64_t fence = 0;
    bool obeyed = false;
    std::int64_t at_ms = 0; // unix time

    friend bool operator==(const order_record&, const order_record&) = default;
};

struct engine_load_report {
    batch_load load;
    std::vector<std::string> versions;
    bool draining = false;
    decision::duration age{};
};

// The engine without HTTP. One thread steps the batch in real time; the callers' threads wait for
// their runs. Unless cancelled, a run completes even if no thread waits for it.
class engine : private run_observer {
public:
    explicit engine(const engine_settings& wanted);
    ~engine() override;

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    submission submit(const engine_request& request);

    // The run, if it is in progress or still retained; null otherwise.
    live_run_pointer find(const std::string& run);

    // Ends the run unless it has ended. Returns it, or null when it is unknown.
    live_run_pointer cancel(const std::string& run);

    // Executes the order, unless the engine checks fencing and the fencing number is stale.
    bool obey(engine_order order, const std::string& version, std::uint64_t fence);

    void behave(const engine_behaviours& wanted);

    // Refuses new runs from now on, and waits until all have ended or the timeout expires.
    void drain(std::chrono::milliseconds timeout);

    engine_load_report load_report();
    std::vector<cache_event> cache_events_after(std::uint64_t sequence);
    nlohmann::json show_runs(std::size_t first);
    nlohmann::json show_orders();
    nlohmann::json show_counts();

private:
    [[nodiscard]] admission admit(const engine_request& request) const;
    [[nodiscard]] run_outcome choose_outcome(const engine_request& request) const;
    void load_version(const std::string& version);
    void unload_version(const std::string& version);
    void on_weights_read(const std::string& version);
    void run_started(live_run& run) override;
    void run_ended(live_run& run) override;
    void step_batch();
    void publish_reports(decision::instant now);
    void remove_expired_runs(decision::instant now);

    const engine_settings settings;
    run_log log;

    std::mutex mutex; // guards everything below
    std::condition_variable work_changed;
    batch_scheduler scheduler;
    load_history loads;
    cache_event_feed cache_feed;
    version_table versions;
    engine_behaviours behaviours;
    std::unordered_map<std::string, live_run_pointer> runs;
    std::unordered_set<std::string> known_runs;
    std::deque<live_run_pointer> ended; // those of `runs` that have ended, oldest first
    std::vector<order_record> orders;
    std::uint64_t refused = 0;
    bool stopping = false;
    std::thread stepper;                  // uses all members above
    std::optional<weight_loader> weights; // its thread does too
};

} // namespace pearhaven::standins

#endif
