#include "engine.hpp"

#include "program.hpp"
#include "shares.hpp"

#include <algorithm>
#include <cstdlib>

namespace pearhaven::standins {

namespace {

constexpr int crash_status = 3;

const char* name_of(engine_order order)
{
    switch (order) {
    case engine_order::load:
        return "load";
    case engine_order::unload:
        return "unload";
    case engine_order::role:
        break;
    }
    return "role";
}

logged_state to_logged(const live_run& run, run_state state)
{
    switch (state) {
    case run_state::finished:
        return run.outcome.fails ? logged_state::lost : logged_state::finished;
    case run_state::cancelled:
        return logged_state::cancelled;
    case run_state::queued:
    case run_state::running:
        break;
    }
    return logged_state::running;
}

} // namespace

engine::engine(const engine_settings& wanted)
    : settings(wanted), scheduler(wanted.batch), loads(wanted.load_lag),
      cache_feed(wanted.cache_event_lag, wanted.cache_event_gaps), versions(wanted.versions),
      stepper([this] { this->step_batch(); })
{
    if (!wanted.weight_store.empty()) {
        this->weights.emplace(wanted.weight_store, [this](const std::string& version) {
            this->on_weights_read(version);
        });
    }
}

engine::~engine()
{
    this->weights.reset();
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->work_changed.notify_all();
    this->stepper.join();
}

admission engine::admit(const engine_request& request) const
{
    if (this->behaviours.refuse) {
        return admission::refused;
    }
    if (this->behaviours.draining) {
        return admission::draining;
    }
    if (!this->versions.serves(request.version, monotonic_now())) {
        return admission::no_such_version;
    }
    if (this->known_runs.count(request.run) != 0) {
        return admission::duplicate;
    }
    return admission::accepted;
}

run_outcome engine::choose_outcome(const engine_request& request) const
{
    const auto& only = this->behaviours.version;
    if (!only.empty() && only != request.version) {
        return {};
    }
    return {this->behaviours.bad, in_share(request.run, this->behaviours.fail_rate)};
}

submission engine::submit(const engine_request& request)
{
    std::unique_lock lock(this->mutex);
    auto outcome = this->admit(request);
    const auto chosen_outcome = this->choose_outcome(request);
    lock.unlock();
    if (outcome != admission::accepted) {
        const std::lock_guard guard(this->mutex);
        ++this->refused;
        return {outcome, nullptr};
    }
    // Hashing a long prompt is slow, so it is done without holding the lock.
    const live_run_pointer run(
        new live_run(request, chosen_outcome, this->settings.batch.block_tokens, *this));
    lock.lock();
    outcome = this->admit(request);
    if (outcome == admission::accepted && !this->scheduler.submit(run)) {
        outcome = admission::overloaded;
    }
    if (outcome != admission::accepted) {
        ++this->refused;
        return {outcome, nullptr};
    }
    this->runs[request.run] = run;
    this->known_runs.insert(request.run);
    this->loads.record(this->scheduler.load(), monotonic_now());
    lock.unlock();
    this->work_changed.notify_one();
    return {outcome, run};
}

void engine::run_started(live_run& run)
{
    const auto& deadly = this->behaviours.crash_on;
    if (!deadly.empty() && run.request.prompt.find(deadly) != std::string::npos) {
        std::_Exit(crash_status);
    }
    run.log_number = this->log.add({run.request.run, run.request.request, run.request.version,
                                    "/v1/chat/completions", logged_state::running, 0,
                                    run.work.prompt_tokens, unix_ms()});
}

void engine::run_ended(live_run& run)
{
    run.ended_at = monotonic_now();
    this->ended.emplace_back(&run);
    if (run.log_number) {
        const auto state = to_logged(run, run.progress.state);
        this->log.update(*run.log_number, state, run.progress.tokens);
    }
}

live_run_pointer engine::find(const std::string& run)
{
    const std::lock_guard guard(this->mutex);
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? nullptr : found->second;
}

live_run_pointer engine::cancel(const std::string& run)
{
    const std::lock_guard guard(this->mutex);
    const auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return nullptr;
    }
    this->scheduler.cancel(found->second);
    return found->second;
}

bool engine::obey(engine_order order, const std::string& version, std::uint64_t fence)
{
    const std::lock_guard guard(this->mutex);
    const bool current = this->versions.accept_fence(fence);
    const bool obeyed = current || !this->settings.checks_fencing;
    this->orders.push_back({order, version, fence, obeyed, unix_ms()});
    if (!obeyed) {
        return false;
    }
    if (order == engine_order::load) {
        this->load_version(version);
    } else if (order == engine_order::unload) {
        this->unload_version(version);
    }
    return true;
}

void engine::load_version(const std::string& version)
{
    const auto now = monotonic_now();
    if (this->weights && !this->versions.serves(version, now)) {
        this->weights->start_read(version);
    } else {
        this->versions.load(version, now + this->settings.weight_loading);
    }
}

void engine::unload_version(const std::string& version)
{
    this->versions.unload(version);
    if (this->weights) {
        this->weights->cancel_read(version);
    }
}

void engine::on_weights_read(const std::string& version)
{
    const std::lock_guard guard(this->mutex);
    this->versions.load(version, monotonic_now() + this->settings.weight_loading);
}

void engine::behave(const engine_behaviours& wanted)
{
    std::vector<live_run_pointer> runs_to_wake;
    {
        const std::lock_guard guard(this->mutex);
        this->behaviours = wanted;
        this->scheduler.set_slow_factor(wanted.slow_factor);
        for (const auto& [name, run] : this->runs) {
            runs_to_wake.push_back(run);
        }
    }
    this->work_changed.notify_one();
    for (const auto& each : runs_to_wake) {
        each->wake_waiters();
    }
}

void engine::drain(std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds poll_period{20};
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::unique_lock lock(this->mutex);
    this->behaviours.draining = true;
    const auto busy = [this] {
        const auto load = this->scheduler.load();
        return load.running + load.queued > 0;
    };
    while (busy() && std::chrono::steady_clock::now() < end) {
        lock.unlock();
        std::this_thread::sleep_for(poll_period);
        lock.lock();
    }
}

// Timed waits wake late by an amount that depends on the machine; the scheduler compensates.
void engine::step_batch()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->behaviours.freeze) {
            this->work_changed.wait(lock);
            continue;
        }
        const auto now = monotonic_now();
        const auto step_end = this->scheduler.advance(now);
        this->publish_reports(now);
        if (step_end) {
            this->work_changed.wait_until(lock, steady_point(*step_end));
        } else {
            this->work_changed.wait(lock);
        }
    }
}

void engine::publish_reports(decision::instant now)
{
    this->loads.record(this->scheduler.load(), now);
    this->cache_feed.publish(this->scheduler.take_cache_events(), now);
    this->remove_expired_runs(now);
}

void engine::remove_expired_runs(decision::instant now)
{
    while (!this->ended.empty() &&
           this->ended.front()->ended_at + this->settings.keep_runs <= now) {
        this->runs.erase(this->ended.front()->request.run);
        this->ended.pop_front();
    }
}

engine_load_report engine::load_report()
{
    const auto now = monotonic_now();
    const std::lock_guard guard(this->mutex);
    return {this->loads.report(now), this->versions.served(now), this->behaviours.draining,
            this->settings.load_lag};
}

std::vector<cache_event> engine::cache_events_after(std::uint64_t sequence)
{
    const std::lock_guard guard(this->mutex);
    return this->cache_feed.after(sequence, monotonic_now());
}

nlohmann::json engine::show_runs(std::size_t first)
{
    {
        const std::lock_guard guard(this->mutex);
        for (const auto& [name, run] : this->runs) {
            if (run->progress.state == run_state::running) {
                this->log.update(*run->log_number, logged_state::running, run->progress.tokens);
            }
        }
    }
    return this->log.show(first);
}

nlohmann::json engine::show_orders()
{
    auto shown = nlohmann::json::array();
    const std::lock_guard guard(this->mutex);
    for (const auto& each : this->orders) {
        shown.push_back({{"order", name_of(each.order)},
                         {"version", each.version},
                         {"fence", each.fence},
                         {"obeyed", each.obeyed},
                         {"at_ms", each.at_ms}});
    }
    return shown;
}

nlohmann::json engine::show_counts()
{
    const std::lock_guard guard(this->mutex);
    const auto& counts = this->scheduler.counts();
    const auto load = this->scheduler.load();
    return {{"refused", this->refused},
            {"running", load.running},
            {"queued", load.queued},
            {"highest_concurrency", counts.peak_running},
            {"highest_queue", counts.peak_queued},
            {"steps", counts.steps},
            {"tokens", counts.tokens},
            {"prompt_tokens", counts.prompt_tokens},
            {"cached_tokens", counts.cached_tokens},
            {"finished", counts.finished},
            {"cancelled", counts.cancelled},
            {"weight_read_failures", this->weights ? this->weights->failures() : 0}};
}

} // namespace pearhaven::standins
