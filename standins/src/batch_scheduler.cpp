#include "batch_scheduler.hpp"

#include <algorithm>

namespace pearhaven::standins {

namespace {

// A caller that is late by less than this catches up by running steps back to back, so that the
// engine's average speed does not depend on how precisely its thread is woken.
constexpr decision::duration catch_up_limit{50'000};

std::uint64_t reservation(const run_work& work)
{
    return work.prompt_tokens + work.max_tokens;
}

std::pair<std::uint32_t, std::uint64_t> key_of(const scheduled_run& run)
{
    return {run.work.priority, run.arrival};
}

std::uint64_t unread(const scheduled_run& run)
{
    return run.work.prompt_tokens - run.progress.read_tokens;
}

} // namespace

batch_scheduler::batch_scheduler(const batch_settings& sizes)
    : settings(sizes), cache(sizes.cache_tokens, sizes.block_tokens)
{}

bool batch_scheduler::submit(const run_pointer& run)
{
    if (this->queue.size() >= this->settings.queue) {
        return false;
    }
    run->arrival = ++this->last_arrival;
    run->progress.state = run_state::queued;
    this->queue[key_of(*run)] = run;
    this->totals.peak_queued =
        std::max<std::uint64_t>(this->totals.peak_queued, this->queue.size());
    return true;
}

bool batch_scheduler::cancel(const run_pointer& run)
{
    if (run->progress.state == run_state::queued) {
        this->queue.erase(key_of(*run));
    } else if (run->progress.state == run_state::running) {
        this->leave_batch(run);
    } else {
        return false;
    }
    run->progress.state = run_state::cancelled;
    ++this->totals.cancelled;
    run->on_progress();
    return true;
}

std::optional<decision::instant> batch_scheduler::advance(decision::instant now)
{
    if (this->step_end && *this->step_end <= now) {
        this->end_step();
    }
    if (!this->step_end) {
        this->begin_step(now);
    }
    return this->step_end;
}

decision::instant batch_scheduler::step_start(decision::instant now) const
{
    const bool late_by_little = this->last_end + catch_up_limit > now;
    return late_by_little ? std::min(this->last_end, now) : now;
}

void batch_scheduler::begin_step(decision::instant now)
{
    const bool was_idle = this->batch.empty();
    this->admit();
    if (this->batch.empty()) {
        return;
    }
    this->plan_prefill();
    const auto start = was_idle ? now : this->step_start(now);
    this->step_end = start + this->step_duration();
}

void batch_scheduler::admit()
{
    while (!this->queue.empty() && this->batch.size() < this->settings.batch &&
           this->fits(*this->queue.begin()->second)) {
        const auto run = this->queue.begin()->second;
        this->queue.erase(this->queue.begin());
        this->start(run);
    }
    this->totals.peak_running =
        std::max<std::uint64_t>(this->totals.peak_running, this->batch.size());
}

// A run larger than the KV memory runs alone.
bool batch_scheduler::fits(const scheduled_run& run) const
{
    return this->batch.empty() ||
           this->reserved_tokens + reservation(run.work) <= this->settings.kv_tokens;
}

void batch_scheduler::start(const run_pointer& run)
{
    this->batch[key_of(*run)] = run;
    this->reserved_tokens += reservation(run->work);
    const auto cached = std::min(this->cache.use(run->work.prefixes), run->work.prompt_tokens);
    run->progress.state = run_state::running;
    run->progress.cached_tokens = cached;
    run->progress.read_tokens = cached;
    this->totals.prompt_tokens += run->work.prompt_tokens;
    this->totals.cached_tokens += cached;
    run->on_start();
    run->on_progress();
}

// Processes the prompts of the most urgent runs first.
void batch_scheduler::plan_prefill()
{
    this->prefill.clear();
    auto left = this->settings.prefill_chunk;
    for (const auto& [key, run] : this->batch) {
        const auto share = std::min(left, unread(*run));
        if (share > 0) {
            this->prefill.push_back({run, share});
            left -= share;
        }
    }
}

decision::duration batch_scheduler::step_duration() const
{
    std::uint64_t prompt_tokens = 0;
    for (const auto& each : this->prefill) {
        prompt_tokens += each.tokens;
    }
    const auto runs = static_cast<std::int64_t>(this->batch.size());
    const std::chrono::duration<double> fixed =
        this->settings.step + runs * this->settings.step_per_run;
    const std::chrono::duration<double> reading(static_cast<double>(prompt_tokens) /
                                                this->settings.prefill_tokens_per_s);
    return std::chrono::round<decision::duration>((fixed + reading) * this->slow_factor);
}

void batch_scheduler::end_step()
{
    this->last_end = *this->step_end;
    this->step_end.reset();
    ++this->totals.steps;
    this->read_prompts();
    std::vector<run_pointer> done;
    for (const auto& [key, run] : this->batch) {
        if (unread(*run) > 0) {
            continue;
        }
        this->give_token(*run);
        if (run->progress.state == run_state::finished) {
            done.push_back(run);
        }
    }
    for (const auto& run : done) {
        this->leave_batch(run);
        run->on_progress();
    }
}

void batch_scheduler::read_prompts()
{
    for (const auto& each : this->prefill) {
        each.run->progress.read_tokens += each.tokens;
        if (unread(*each.run) == 0) {
            this->cache.add(each.run->work.prefixes);
        }
    }
    this->prefill.clear();
}

void batch_scheduler::give_token(scheduled_run& run)
{
    ++run.progress.tokens;
    ++this->totals.tokens;
    if (run.progress.tokens < run.work.max_tokens) {
        run.on_progress();
        return;
    }
    run.progress.state = run_state::finished;
    ++this->totals.finished;
}

void batch_scheduler::leave_batch(const run_pointer& run)
{
    this->batch.erase(key_of(*run));
    this->reserved_tokens -= reservation(run->work);
}

batch_load batch_scheduler::load() const
{
    const auto used =
        static_cast<double>(this->reserved_tokens) / static_cast<double>(this->settings.kv_tokens);
    return {this->batch.size(), this->queue.size(), this->settings.batch, std::min(used, 1.0)};
}

} // namespace pearhaven::standins
