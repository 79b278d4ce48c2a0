#ifndef PEARHAVEN_STANDINS_PACED_BUFFER_HPP
#define PEARHAVEN_STANDINS_PACED_BUFFER_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace pearhaven::standins {

// How a proxied direction holds bytes back.
struct pacing {
    decision::duration delay{};         // each byte goes out this much later than it came
    std::uint64_t bytes_per_second = 0; // 0: no limit

    friend bool operator==(const pacing&, const pacing&) = default;
};

// Bytes on their way through a proxy, in order, each with the time from which it may go out. Told
// the time, so that it needs neither a socket nor a clock.
class paced_buffer {
public:
    void push(std::string_view bytes, const pacing& wanted, decision::instant now);

    // The next bytes that may go out, at most one read's worth; empty when there are none yet.
    [[nodiscard]] std::string_view ready(decision::instant now) const;

    // Takes away the first bytes of `ready`.
    void pop(std::size_t bytes);

    // When the next bytes may go out, if there are any.
    [[nodiscard]] std::optional<decision::instant> next_due() const;

    [[nodiscard]] std::size_t size() const { return this->total; }
    [[nodiscard]] bool empty() const { return this->total == 0; }

private:
    struct chunk {
        std::string bytes;
        decision::instant due;
    };

    std::deque<chunk> chunks;
    std::size_t front_sent = 0; // bytes of the first chunk that went out
    std::size_t total = 0;
    decision::instant last_due;
};

} // namespace pearhaven::standins

#endif
