#ifndef PEARHAVEN_STANDINS_LIVE_RUN_HPP
#define PEARHAVEN_STANDINS_LIVE_RUN_HPP

#include "batch_scheduler.hpp"

#include <condition_variable>
#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <string>

namespace pearhaven::standins {

// A request to the engine.
struct engine_request {
    std::string run;     // one attempt
    std::string request; // one request over all its attempts
    std::string version;
    std::string prompt;
    std::uint32_t priority = 5;
    std::uint64_t max_tokens = 0;
    bool stream = false;

    friend bool operator==(const engine_request&, const engine_request&) = default;
};

// Outcome of a run's answer, decided at acceptance so that a resumed stream is consistent with it.
struct run_outcome {
    bool bad = false;   // every token has the bad-answer prefix
    bool fails = false; // the run completes, but the answer is an error

    friend bool operator==(const run_outcome&, const run_outcome&) = default;
};

class live_run;

// Notified when runs start and end, on the thread that calls the scheduler.
class run_observer {
public:
    virtual ~run_observer() = default;
    virtual void run_started(live_run& run) = 0;
    virtual void run_ended(live_run& run) = 0;
};

// A run that connection threads can wait on. Several may wait at once, because a run can be resumed
// while its first connection is still open.
class live_run : public scheduled_run {
public:
    // The observer must outlive the run's stay in the scheduler.
    live_run(engine_request wanted, run_outcome chosen_outcome, std::uint64_t block_tokens,
             run_observer& watcher);

    void on_start() override;
    void on_progress() override;

    // Waits until there are that many tokens, the run has ended or `wake_waiters` was called, for
    // at most one second. Returns the progress.
    run_progress wait_for_tokens(std::uint64_t wanted);

    [[nodiscard]] run_progress progress_snapshot() const;

    // Wakes all waiting threads so that they check the behaviours again.
    void wake_waiters();

    [[nodiscard]] std::string token(std::uint64_t index) const;
    [[nodiscard]] std::string text() const;

    const engine_request request;
    const run_outcome outcome;

    // Set by the observer only.
    std::optional<std::size_t> log_number; // empty: never started
    decision::instant ended_at;

private:
    static constexpr auto no_waiter = std::numeric_limits<std::uint64_t>::max();

    const std::uint64_t seed;
    run_observer& observer;
    mutable std::mutex mutex;
    std::condition_variable changed;
    run_progress published;
    std::uint64_t wake_at = no_waiter; // the lowest token count that a thread waits for
    bool waiters_woken = false;
};

using live_run_pointer = boost::intrusive_ptr<live_run>;

inline bool has_ended(run_state state)
{
    return state == run_state::finished || state == run_state::cancelled;
}

} // namespace pearhaven::standins

#endif
