#ifndef PEARHAVEN_ADAPTERS_EVENT_LOOP_HPP
#define PEARHAVEN_ADAPTERS_EVENT_LOOP_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace pearhaven::adapters {

// Names a task of one loop that is still to be run. 0 is none.
using timer_number = std::uint64_t;

// What a socket's readiness is told to.
class socket_listener {
public:
    virtual ~socket_listener() = default;

    // `failed` means that the socket is in error or closed at both ends; reading tells how.
    virtual void on_ready(bool readable, bool writable, bool failed) = 0;
};

// A callback that took long. No other socket, timer or task of the loop was served meanwhile.
struct loop_pause {
    decision::duration took{};
    std::string_view work; // as the callback named it, or what kind of callback it was
};

// One thread that waits for many sockets and timers and runs what is due. A router that holds a
// few thousand mostly idle connections on a quarter of a core cannot afford a thread, a stack and
// two context switches for each of them; here an idle connection costs its descriptor.
//
// All functions but `post` and `stop` belong to the thread that runs the loop. Callbacks must not
// block and must not throw.
class event_loop {
public:
    // Throws std::system_error when the system refuses.
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Replaces what is watched of the socket. The listener must outlive the watch.
    void watch(int socket, socket_listener& listener, bool readable, bool writable);

    // To be called before the socket is closed. Events of it that are already fetched are dropped,
    // so that they cannot reach a new socket that was given the same number.
    void forget(int socket);

    // Runs `task` once after the time, unless it is cancelled, and not before the sockets have been
    // looked at since it became due: what came in time is heard before its time is up.
    timer_number after(decision::duration delay, std::function<void()> task);

    // Runs `task` once, unless it is cancelled, as soon as the callback that is being run has
    // returned and before any other callback. What a call into a connection has to tell its
    // listener, and the end of whatever may be in the middle of one of its own functions, wait
    // until here: a listener that was told inside its own call would drop objects that the call
    // still uses. A task must not lead to further ones without end: nothing else runs before them.
    timer_number soon(std::function<void()> task);

    // Harmless for a task that has run.
    void cancel(timer_number timer);

    // The monotonic clock as the event or timer that is being run began. Where many sockets are
    // ready at once, the work for the first ones makes the later ones late: with one time for all,
    // a request is judged by a moment before it came, and taken after a limit that has passed.
    [[nodiscard]] decision::instant now() const;

    // All that had come to a watched socket by this moment has been told to its listener, though a
    // listener may have read only a part. A silence is to be judged by it: while a callback takes
    // long the clock goes on, and what has come meanwhile is read only afterwards.
    [[nodiscard]] decision::instant polled_until() const;

    // The same clock at this moment. For any thread.
    [[nodiscard]] static decision::instant read_clock();

    // Runs `task` on the loop's thread. For any thread.
    void post(std::function<void()> task);

    // `told` hears of each callback that takes at least `least`, once it has returned.
    void watch_pauses(decision::duration min_pause,
                      std::function<void(const loop_pause&)> on_pause);

    // Names what the callback that is being run does, for whoever hears of pauses. The text must
    // outlive the loop.
    void set_work_name(std::string_view what);

    // Runs until `stop`.
    void run();
    void stop();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::adapters

#endif
