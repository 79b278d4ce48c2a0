#include "live_run.hpp"

#include "answer_text.hpp"

#include <utility>

namespace pearhaven::standins {

namespace {

run_work work_of(const engine_request& wanted, std::uint64_t block_tokens)
{
    return {wanted.priority, prompt_token_count(wanted.prompt), wanted.max_tokens,
            prefix_hashes(wanted.prompt, block_tokens)};
}

} // namespace

live_run::live_run(engine_request wanted, run_outcome settled, std::uint64_t block_tokens,
                   run_observer& watcher)
    : scheduled_run(work_of(wanted, block_tokens)), request(std::move(wanted)), outcome(settled),
      seed(answer_seed(this->request.prompt, this->request.version)), observer(watcher)
{}

void live_run::on_start()
{
    this->observer.run_started(*this);
}

void live_run::on_progress()
{
    {
        const std::lock_guard guard(this->mutex);
        this->published = this->progress;
    }
    this->changed.notify_all();
    if (has_ended(this->progress.state)) {
        this->observer.run_ended(*this);
    }
}

run_progress live_run::wait_beyond(std::uint64_t seen)
{
    constexpr std::chrono::seconds longest{1};
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, longest, [&] {
        return this->disturbed || this->published.tokens > seen || has_ended(this->published.state);
    });
    this->disturbed = false;
    return this->published;
}

run_progress live_run::seen_progress() const
{
    const std::lock_guard guard(this->mutex);
    return this->published;
}

void live_run::disturb()
{
    {
        const std::lock_guard guard(this->mutex);
        this->disturbed = true;
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
