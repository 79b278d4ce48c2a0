#ifndef PEARHAVEN_COORDINATION_VALUE_SENDER_HPP
#define PEARHAVEN_COORDINATION_VALUE_SENDER_HPP

#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace pearhaven::coordination {

struct value_sender_settings {
    // Bytes a second that may be spent on large values. What is more urgent, such as answers and
    // news of endpoints, uses the rest of the link.
    double bytes_per_second = 0.0;

    // Time after which a peer that has asked has turned to the store.
    decision::duration pull_lifetime{};

    // How far sending may be ahead of that rate. At least the time between two calls of `next`:
    // otherwise they limit the rate.
    decision::duration burst = std::chrono::milliseconds(100);
};

// A peer's request for large values, and the address to which they are sent.
struct value_pull {
    std::string host;
    std::uint16_t port = 0;
    mirror_pull pull;

    friend bool operator==(const value_pull&, const value_pull&) = default;
};

// Puts the large values that peers ask for in order, and limits the rate at which they are sent.
class value_sender {
public:
    explicit value_sender(value_sender_settings chosen) : settings(chosen) {}

    // A later request of the same peer replaces the earlier one.
    void add(value_pull wanted, decision::instant now);

    // The request to answer now; nothing if there is none, or while the link has to rest.
    [[nodiscard]] std::optional<value_pull> next(decision::instant now);

    // The last request has been answered with so many bytes.
    void on_sent(std::size_t bytes, decision::instant now);

private:
    struct waiting_pull {
        value_pull wanted;
        decision::instant until;
    };

    value_sender_settings settings;
    std::deque<waiting_pull> waiting;
    decision::instant free_at; // when the bytes sent so far have left at the allowed rate
};

} // namespace pearhaven::coordination

#endif
