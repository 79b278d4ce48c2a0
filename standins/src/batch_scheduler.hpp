#ifndef PEARHAVEN_STANDINS_BATCH_SCHEDULER_HPP
#define PEARHAVEN_STANDINS_BATCH_SCHEDULER_HPP

#include "prefix_cache.hpp"

#include "pearhaven/decision/time.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace pearhaven::standins {

// Size and speed of the modelled engine. A step of the batch lasts
//   (step + step_per_run * runs in the batch + prompt tokens read in it / prefill_tokens_per_s)
// times the slow factor. It produces one token for each run whose prompt has been processed.
struct batch_settings {
    std::uint32_t batch = 16; // runs that are stepped together
    std::uint32_t queue = 64; // runs that may wait for a slot in the batch
    decision::duration step{10'000};
    decision::duration step_per_run{200};
    double prefill_tokens_per_s = 20'000;
    std::uint64_t prefill_chunk = 512;    // max prompt tokens processed in one step
    std::uint64_t kv_tokens = 262'144;    // prompts and answers that the batch can hold
    std::uint64_t cache_tokens = 131'072; // prompt prefixes kept after their runs
    std::uint64_t block_tokens = 16;      // unit of the prefix cache
};

enum class run_state { queued, running, finished, cancelled };

// The part of a request that the scheduler uses.
struct run_work {
    std::uint32_t priority = 5; // 0 is the most urgent
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 1;
    std::vector<prefix_hash> prefixes;

    friend bool operator==(const run_work&, const run_work&) = default;
};

// Progress of a run in the scheduler.
struct run_progress {
    run_state state = run_state::queued;
    std::uint64_t tokens = 0;
    std::uint64_t cached_tokens = 0; // of the prompt, found in the prefix cache
    std::uint64_t read_tokens = 0;   // of the prompt, cached ones included

    friend bool operator==(const run_progress&, const run_progress&) = default;
};

// A run, shared by the scheduler and the threads waiting for its tokens. Only the scheduler changes
// the progress and calls the two hooks, both from within calls to it.
class scheduled_run : public boost::intrusive_ref_counter<scheduled_run> {
public:
    explicit scheduled_run(run_work todo) : work(std::move(todo)) {}
    virtual ~scheduled_run() = default;

    scheduled_run(const scheduled_run&) = delete;
    scheduled_run& operator=(const scheduled_run&) = delete;

    // Called when the run enters the batch.
    virtual void on_start() {}

    // Called when the run has a new token or a new state.
    virtual void on_progress() {}

    const run_work work;
    run_progress progress;
    std::uint64_t arrival = 0; // set by the scheduler: order among runs of equal priority
};

using run_pointer = boost::intrusive_ptr<scheduled_run>;

struct batch_load {
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    std::uint64_t capacity = 0;
    double kv_used = 0; // 0 to 1

    friend bool operator==(const batch_load&, const batch_load&) = default;
};

struct batch_counts {
    std::uint64_t steps = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t peak_running = 0;
    std::uint64_t peak_queued = 0;

    friend bool operator==(const batch_counts&, const batch_counts&) = default;
};

// Continuous batching: at the end of each step finished runs leave the batch and queued ones take
// their slots, most urgent first. A started run is never preempted by a more urgent one.
class batch_scheduler {
public:
    explicit batch_scheduler(const batch_settings& sizes);

    // Queues the run. False if the queue is full and the run was rejected.
    bool submit(const run_pointer& run);

    // Removes the run from the queue or the batch. False if it has already ended.
    bool cancel(const run_pointer& run);

    // Ends the step that is due and begins the next. Returns the time at which that one ends, when
    // the caller must call again; it may be in the past if the caller is late. Nothing when idle.
    std::optional<decision::instant> advance(decision::instant now);

    // Multiplies the duration of every step that begins from now on.
    void set_slow_factor(double factor) { this->slow_factor = factor; }

    [[nodiscard]] batch_load load() const;
    [[nodiscard]] const batch_counts& counts() const { return this->totals; }
    std::vector<cache_event> take_cache_events() { return this->cache.take_events(); }

private:
    struct prefill_share {
        run_pointer run;
        std::uint64_t tokens = 0;
    };

    using queue_key = std::pair<std::uint32_t, std::uint64_t>; // priority, arrival

    void begin_step(decision::instant now);
    void end_step();
    void admit();
    void start(const run_pointer& run);
    void plan_prefill();
    void read_prompts();
    void give_token(scheduled_run& run);
    void leave_batch(const run_pointer& run);
    [[nodiscard]] bool fits(const scheduled_run& run) const;
    [[nodiscard]] decision::duration step_duration() const;
    [[nodiscard]] decision::instant step_start(decision::instant now) const;

    batch_settings settings;
    prefix_cache cache;
    double slow_factor = 1;
    std::uint64_t last_arrival = 0;
    std::map<queue_key, run_pointer> queue;
    std::map<queue_key, run_pointer> batch;
    std::uint64_t reserved_tokens = 0; // prompts and max answer lengths of the batch
    std::vector<prefill_share> prefill;
    std::optional<decision::instant> step_end;
    decision::instant last_end;
    batch_counts totals;
};

} // namespace pearhaven::standins

#endif
