#ifndef PEARHAVEN_ADAPTERS_SRC_POLLER_HPP
#define PEARHAVEN_ADAPTERS_SRC_POLLER_HPP

#include <array>
#include <chrono>
#include <optional>
#include <sys/epoll.h>
#include <vector>

namespace pearhaven::adapters {

struct ready_socket {
    int socket = -1;
    bool readable = false;
    bool writable = false;
    bool failed = false;
};

// Waits for many sockets at a cost that depends only on the number of ready ones. One thread waits;
// any thread may wake it.
class poller {
public:
    // Throws std::system_error when the system cannot create the poller.
    poller();
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

    // Sets which events of the socket are watched, replacing earlier ones. Returns false when the
    // system refuses.
    [[nodiscard]] bool watch(int socket, bool readable, bool writable) const noexcept
    {
        return this->set_events(socket, readable, writable, false);
    }

    // Like `watch` without `readable`, but the socket is `failed` also when the other end has ended
    // its bytes, whether or not all of them were read.
    [[nodiscard]] bool watch_unread(int socket, bool writable) const noexcept
    {
        return this->set_events(socket, false, writable, true);
    }

    // Does nothing when the socket is not watched or already closed.
    void forget(int socket) const noexcept;

    // Waits until a socket is ready, `wake` is called, or the timeout expires (none: no timeout).
    // The result is valid until the next call.
    const std::vector<ready_socket>& wait(std::optional<std::chrono::nanoseconds> timeout);

    // Whether the last wait filled its batch, so that more sockets may have been ready.
    [[nodiscard]] bool was_full() const { return this->full; }

    void wake() const;

private:
    [[nodiscard]] bool set_events(int socket, bool readable, bool writable,
                                  bool ended) const noexcept;

    static constexpr std::size_t max_events_per_wait = 256;

    int epoll = -1;
    int wake_event = -1;
    std::array<epoll_event, max_events_per_wait> events{};
    std::vector<ready_socket> ready;
    bool full = false;
};

} // namespace pearhaven::adapters

#endif
