#include "pearhaven/adapters/event_loop.hpp"

#include "poller.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

namespace {

// How many polls in a row may return a full batch of ready sockets before `polled_until` advances
// although sockets may have been left out. Enough for all sockets that a process may have.
constexpr std::size_t max_consecutive_full_polls = 32;

// Time over which `lag` is averaged.
constexpr decision::duration lag_period = std::chrono::milliseconds(200);

} // namespace

class event_loop::state {
public:
    void run_soon();
    template <typename Callback>
    void run_callback(std::string_view kind, Callback&& callback);
    void run_posted();
    void run_timers();
    void run_sockets();
    void record_poll(decision::instant poll_started);
    void record_turn(decision::instant poll_started);
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    time_to_next_timer(decision::instant now) const;

    poller sockets;
    std::unordered_map<int, socket_listener*> listeners;
    std::unordered_set<int> forgotten; // sockets forgotten during the current batch of events
    std::map<std::pair<decision::instant, timer_number>, std::function<void()>> timers;
    std::unordered_map<timer_number, decision::instant> due;
    std::map<timer_number, std::function<void()>> soon; // in the order of their creation
    timer_number last_timer = 0;
    decision::instant clock = read_clock();
    decision::instant polled_until{};       // nothing has been read before the first poll
    std::size_t consecutive_full_polls = 0; // polls in a row that filled the batch
    decision::instant turn_started = this->clock;
    decision::duration lag{};
    std::string_view work; // name of the current work
    decision::duration min_pause{};
    std::function<void(const loop_pause&)> on_pause;
    std::atomic<bool> stopping{false};
    std::mutex posted_guard;
    std::vector<std::function<void()>> posted;
};

void event_loop::state::run_soon()
{
    while (!this->soon.empty()) {
        const auto node = this->soon.extract(this->soon.begin());
        node.mapped()();
    }
}

// One clock reading ends a callback and begins the next one.
template <typename Callback>
void event_loop::state::run_callback(std::string_view kind, Callback&& callback)
{
    this->work = kind;
    callback();
    this->run_soon();
    const auto ended = read_clock();
    const auto took = ended - this->clock;
    this->clock = ended;
    if (this->on_pause && took >= this->min_pause) {
        this->on_pause({took, this->work});
    }
}

void event_loop::state::run_posted()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard<std::mutex> lock(this->posted_guard);
        tasks.swap(this->posted);
    }
    for (const auto& task : tasks) {
        this->run_callback("posted task", task);
    }
}

void event_loop::state::run_timers()
{
    // Timers that became due after the poll wait for the next iteration.
    const auto due_by = this->polled_until;
    while (!this->timers.empty() && this->timers.begin()->first.first <= due_by) {
        const auto node = this->timers.extract(this->timers.begin());
        this->due.erase(node.key().second);
        this->run_callback("timer", node.mapped());
    }
}

std::optional<std::chrono::nanoseconds>
event_loop::state::time_to_next_timer(decision::instant now) const
{
    if (this->timers.empty()) {
        return std::nullopt;
    }
    return this->timers.begin()->first.first - now;
}

void event_loop::state::run_sockets()
{
    // Data that arrived before the poll began is included in its result. The time after the poll
    // must not be used, because the process may have been stopped in between.
    const auto poll_started = read_clock();
    const auto& ready = this->sockets.wait(this->time_to_next_timer(poll_started));
    this->clock = read_clock();
    this->record_turn(poll_started);
    this->forgotten.clear();
    for (const auto& socket : ready) {
        const auto found = this->listeners.find(socket.socket);
        if (found != this->listeners.end() && this->forgotten.count(socket.socket) == 0) {
            this->run_callback("socket", [&socket, listener = found->second] {
                listener->on_ready(socket.readable, socket.writable, socket.failed);
            });
        }
    }
    this->record_poll(poll_started);
}

// The system returns the ready sockets in turn, a bounded number for each poll. Sockets that are
// always ready must not keep timers from running forever.
void event_loop::state::record_poll(decision::instant poll_started)
{
    const bool may_be_incomplete =
        this->sockets.was_full() && this->consecutive_full_polls < max_consecutive_full_polls;
    this->consecutive_full_polls = may_be_incomplete ? this->consecutive_full_polls + 1 : 0;
    if (!may_be_incomplete) {
        this->polled_until = poll_started;
    }
}

// An event that arrives at any moment of a turn waits until its end, and one that arrives during
// the poll does not wait.
void event_loop::state::record_turn(decision::instant poll_started)
{
    const std::chrono::duration<double, decision::duration::period> turn =
        poll_started - this->turn_started;
    const std::chrono::duration<double, decision::duration::period> all =
        this->clock - this->turn_started;
    this->turn_started = this->clock;
    if (all.count() <= 0.0) {
        return;
    }
    const auto waits = turn * (turn / all);
    const double weight = all / (all + lag_period);
    this->lag += std::chrono::duration_cast<decision::duration>(weight * (waits - this->lag));
}

event_loop::event_loop() : inner(std::make_unique<event_loop::state>()) {}

event_loop::~event_loop() = default;

void event_loop::watch(int socket, socket_listener& listener, bool readable, bool writable)
{
    this->inner->listeners[socket] = &listener;
    // Watching fails only when the system is out of memory; the connection's own timeouts then end
    // it.
    [[maybe_unused]] const bool watched = this->inner->sockets.watch(socket, readable, writable);
}

void event_loop::watch_unread(int socket, socket_listener& listener, bool writable)
{
    this->inner->listeners[socket] = &listener;
    [[maybe_unused]] const bool watched = this->inner->sockets.watch_unread(socket, writable);
}

void event_loop::forget(int socket)
{
    this->inner->sockets.forget(socket);
    this->inner->listeners.erase(socket);
    this->inner->forgotten.insert(socket);
}

timer_number event_loop::after(decision::duration delay, std::function<void()> task)
{
    const auto number = ++this->inner->last_timer;
    const auto due = this->inner->clock + delay;
    this->inner->timers.emplace(std::make_pair(due, number), std::move(task));
    this->inner->due.emplace(number, due);
    return number;
}

timer_number event_loop::soon(std::function<void()> task)
{
    const auto number = ++this->inner->last_timer;
    this->inner->soon.emplace(number, std::move(task));
    return number;
}

void event_loop::cancel(timer_number timer)
{
    this->inner->soon.erase(timer);
    const auto found = this->inner->due.find(timer);
    if (found != this->inner->due.end()) {
        this->inner->timers.erase({found->second, timer});
        this->inner->due.erase(found);
    }
}

decision::instant event_loop::read_clock()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return decision::instant(std::chrono::duration_cast<decision::duration>(since));
}

decision::instant event_loop::now() const
{
    return this->inner->clock;
}

decision::instant event_loop::polled_until() const
{
    return this->inner->polled_until;
}

decision::duration event_loop::lag() const
{
    return this->inner->lag;
}

void event_loop::post(std::function<void()> task)
{
    {
        const std::lock_guard<std::mutex> lock(this->inner->posted_guard);
        this->inner->posted.push_back(std::move(task));
    }
    this->inner->sockets.wake();
}

void event_loop::watch_pauses(decision::duration min_pause,
                              std::function<void(const loop_pause&)> on_pause)
{
    this->inner->min_pause = min_pause;
    this->inner->on_pause = std::move(on_pause);
}

void event_loop::set_work_name(std::string_view what)
{
    this->inner->work = what;
}

void event_loop::run()
{
    while (!this->inner->stopping) {
        this->inner->run_soon(); // tasks added outside of any callback
        this->inner->run_sockets();
        this->inner->run_posted();
        this->inner->run_timers();
    }
}

void event_loop::stop()
{
    this->inner->stopping = true;
    this->inner->sockets.wake();
}

} // namespace pearhaven::adapters
