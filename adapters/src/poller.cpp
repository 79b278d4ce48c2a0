#include "poller.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace pearhaven::adapters {

namespace {

[[noreturn]] void throw_last_error(const char* what)
{
    throw std::system_error(errno, std::system_category(), what);
}

// Rounds up: a wait that ends slightly early would make the loop spin until the time is reached.
int to_milliseconds(std::optional<std::chrono::nanoseconds> timeout)
{
    constexpr std::chrono::milliseconds max_wait{60'000};
    if (!timeout) {
        return -1;
    }
    if (*timeout <= std::chrono::nanoseconds::zero()) {
        return 0;
    }
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(*timeout);
    return static_cast<int>(std::min(rounded, max_wait).count());
}

} // namespace

poller::poller()
    : epoll(epoll_create1(EPOLL_CLOEXEC)), wake_event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (!this->watch(this->wake_event, true, false)) {
        throw_last_error("epoll");
    }
}

poller::~poller()
{
    close(this->wake_event);
    close(this->epoll);
}

bool poller::set_events(int socket, bool readable, bool writable, bool ended) const noexcept
{
    epoll_event event{};
    event.events = (readable ? std::uint32_t{EPOLLIN} : 0U) |
                   (writable ? std::uint32_t{EPOLLOUT} : 0U) |
                   (ended ? std::uint32_t{EPOLLRDHUP} : 0U);
    event.data.fd = socket;
    if (epoll_ctl(this->epoll, EPOLL_CTL_MOD, socket, &event) == 0) {
        return true;
    }
    return errno == ENOENT && epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event) == 0;
}

void poller::forget(int socket) const noexcept
{
    epoll_event unused{};
    epoll_ctl(this->epoll, EPOLL_CTL_DEL, socket, &unused);
}

const std::vector<ready_socket>& poller::wait(std::optional<std::chrono::nanoseconds> timeout)
{
    this->ready.clear();
    const auto capacity = static_cast<int>(this->events.size());
    int count = epoll_wait(this->epoll, this->events.data(), capacity, to_milliseconds(timeout));
    // A stop of the process (SIGSTOP) ends the wait with EINTR before the sockets are checked.
    // Polling again returns data that arrived meanwhile.
    while (count < 0 && errno == EINTR) {
        count = epoll_wait(this->epoll, this->events.data(), capacity, 0);
    }
    this->full = count == capacity;
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = this->events[static_cast<std::size_t>(index)];
        if (event.data.fd == this->wake_event) {
            std::uint64_t wakes = 0;
            [[maybe_unused]] const auto taken = read(this->wake_event, &wakes, sizeof wakes);
            continue;
        }
        this->ready.push_back({event.data.fd, (event.events & EPOLLIN) != 0,
                               (event.events & EPOLLOUT) != 0,
                               (event.events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0});
    }
    return this->ready;
}

void poller::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(this->wake_event, &one, sizeof one);
}

} // namespace pearhaven::adapters
