#ifndef PEARHAVEN_STANDINS_PACED_BUFFER_HPP
#define PEARHAVEN_STANDINS_PACED_BUFFER_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::standins {

// Delay and rate limit of one direction of a proxied connection.
struct pacing {
    decision::duration delay{};         // time between receiving and sending a byte
    std::uint64_t bytes_per_second = 0; // 0: no limit

    friend bool operator==(const pacing&, const pacing&) = default;
};

// FIFO buffer of bytes passing through a proxy, each with the earliest time at which it may be
// sent. The caller passes the time in, so the buffer needs neither a socket nor a clock.
class paced_buffer {
public:
    void push(std::string_view bytes, const pacing& wanted, decision::instant now);

    // The next bytes that may be sent, at most one chunk as received; empty if none are due yet.
    [[nodiscard]] std::string_view ready(decision::instant now) const;

    // Removes bytes from the front of `ready`.
    void pop(std::size_t bytes);

    // The time at which the next bytes may be sent, if there are any.
    [[nodiscard]] std::optional<decision::instant> next_due() const;

    [[nodiscard]] std::size_t size() const { return this->total; }
    [[nodiscard]] bool empty() const { return this->total == 0; }

private:
    struct chunk {
        std::string bytes;
        decision::instant due;
    };

    std::deque<chunk> chunks;
    std::size_t front_sent = 0; // bytes of the first chunk already sent
    std::size_t total = 0;
    decision::instant last_due;
};

} // namespace pearhaven::standins

#endif
