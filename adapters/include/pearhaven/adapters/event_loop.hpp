#ifndef PEARHAVEN_ADAPTERS_EVENT_LOOP_HPP
#define PEARHAVEN_ADAPTERS_EVENT_LOOP_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace pearhaven::adapters {

// Identifies a pending task of one loop. 0 means none.
using timer_number = std::uint64_t;

// Receives the readiness events of a socket.
class socket_listener {
public:
    virtual ~socket_listener() = default;

    // `failed` means that the socket has an error or is closed at both ends; a read returns which.
    virtual void on_ready(bool readable, bool writable, bool failed) = 0;
};

// A callback that ran for a long time. The loop served no other socket, timer or task meanwhile.
struct loop_pause {
    decision::duration took{};
    std::string_view work; // set by `set_work_name`, or else the kind of callback
};

// Waits on one thread for many sockets and timers and runs their callbacks. A router that holds a
// few thousand mostly idle connections on a quarter of a core cannot afford a thread, a stack and
// two context switches for each of them; here an idle connection costs only its descriptor.
//
// All functions but `post` and `stop` must be called on the thread that runs the loop. Callbacks
// must not block and must not throw.
class event_loop {
public:
    // Throws std::system_error when the system cannot create the poller.
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Sets which events of the socket are watched, replacing earlier ones. The listener must
    // outlive the watch.
    void watch(int socket, socket_listener& listener, bool readable, bool writable);

    // Like `watch` without `readable`, for a socket whose bytes are to wait. It is `failed` also
    // when the other end has ended its bytes.
    void watch_unread(int socket, socket_listener& listener, bool writable);

    // Must be called before the socket is closed. Drops events of the socket that are already
    // fetched, so that they cannot reach a new socket with the same descriptor.
    void forget(int socket);

    // Runs `task` once after `delay`, unless it is cancelled. A due task runs only after the
    // sockets have been polled since it became due, so that data which arrived in time is read
    // before a timeout fires.
    timer_number after(decision::duration delay, std::function<void()> task);

    // Runs `task` once, unless it is cancelled, right after the current callback has returned and
    // before any other callback. Connections defer calls to their listeners and the destruction of
    // objects to such tasks: a listener called from within its own call could destroy objects that
    // the call still uses. Tasks must not add further tasks endlessly, because nothing else runs
    // before them.
    timer_number soon(std::function<void()> task);

    // Does nothing for a task that has run.
    void cancel(timer_number timer);

    // The monotonic time at which the current callback began. It is read for each callback, not
    // once for each batch of events: when many sockets are ready at once, the work for the first
    // ones delays the later ones, and with one time for all a request would be processed with a
    // time before its arrival and accepted after a limit that has passed.
    [[nodiscard]] decision::instant now() const;

    // All data that had arrived on watched sockets by this time has been reported to their
    // listeners, though a listener may have read only a part of it. Silence timeouts must be
    // measured against this time, not against the clock: the clock advances during a long callback,
    // and data that arrives meanwhile is read only afterwards.
    [[nodiscard]] decision::instant polled_until() const;

    // How long events have lately waited for the callbacks before them, on average over some tenths
    // of a second. It grows without bound while there is more to do than the host has time for.
    [[nodiscard]] decision::duration lag() const;

    // Reads the clock of `now` directly. Thread-safe.
    [[nodiscard]] static decision::instant read_clock();

    // Runs `task` on the loop's thread. Thread-safe.
    void post(std::function<void()> task);

    // Calls `on_pause` after each callback that took at least `min_pause`.
    void watch_pauses(decision::duration min_pause,
                      std::function<void(const loop_pause&)> on_pause);

    // Names the work of the current callback for pause reports. The text must outlive the loop.
    void set_work_name(std::string_view what);

    // Runs callbacks until `stop` is called.
    void run();
    void stop();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::adapters

#endif
