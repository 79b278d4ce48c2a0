#include "live_run.hpp"

#include "answer_text.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::standins {

namespace {

run_work work_of(const engine_request& wanted, std::uint64_t block_tokens)
{
    return {wanted.priority, prompt_token_count(wanted.prompt), wanted.max_tokens,
            prefix_hashes(wanted.prompt, block_tokens)};
}

} // namespace

live_run::live_run(engine_request wanted, run_outcome chosen_outcome, std::uint64_t block_tokens,
                   run_observer& watcher)
    : scheduled_run(work_of(wanted, block_tokens)), request(std::move(wanted)),
      outcome(chosen_outcome), seed(answer_seed(this->request.prompt, this->request.version)),
      observer(watcher)
{}

void live_run::on_start()
{
    this->observer.run_started(*this);
}

// Wakes the waiting threads only if one of them can proceed: with thousands of runs, wake-ups are
// most of the cost of a step.
void live_run::on_progress()
{
    const bool ended = has_ended(this->progress.state);
    bool awaited = ended;
    {
        const std::lock_guard guard(this->mutex);
        this->published = this->progress;
        awaited = awaited || this->published.tokens >= this->wake_at;
        if (awaited) {
            this->wake_at = no_waiter;
        }
    }
    if (awaited) {
        this->changed.notify_all();
    }
    if (ended) {
        this->observer.run_ended(*this);
    }
}

run_progress live_run::wait_for_tokens(std::uint64_t wanted)
{
    constexpr std::chrono::seconds max_wait{1};
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, max_wait, [&] {
        const bool there = this->waiters_woken || this->published.tokens >= wanted ||
                           has_ended(this->published.state);
        this->wake_at = there ? this->wake_at : std::min(this->wake_at, wanted);
        return there;
    });
    this->waiters_woken = false;
    return this->published;
}

run_progress live_run::progress_snapshot() const
{
    const std::lock_guard guard(this->mutex);
    return this->published;
}

void live_run::wake_waiters()
{
    {
        const std::lock_guard guard(this->mutex);
        this->waiters_woken = true;
    }
    this->changed.notify_all();
}

std::string live_run::token(std::uint64_t index) const
{
    auto token = answer_token(this->seed, index);
    return this->outcome.bad ? std::string(bad_mark) + token : token;
}

std::string live_run::text() const
{
    std::string text;
    for (std::uint64_t index = 0; index < this->request.max_tokens; ++index) {
        text += this->token(index);
    }
    return text;
}

} // namespace pearhaven::standins
