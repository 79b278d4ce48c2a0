#ifndef PEARHAVEN_COORDINATION_UPDATE_DELAYS_HPP
#define PEARHAVEN_COORDINATION_UPDATE_DELAYS_HPP

#include "pearhaven/decision/time.hpp"

namespace pearhaven::coordination {

// The waits on a change's way from the store to the routers. All of them are parts of one bound, so
// that the longest way through them ends before it. The rest of the bound is for the calls, for
// reading the change and for a busy event loop.
struct update_delays {
    // Longest wait of a watch in which nothing changes. A watch can miss changes that are made
    // while the store drops its history; its end delivers them.
    decision::duration watch_wait{};

    // The same for a watch that other routers rely on.
    decision::duration shared_watch_wait{};

    // Time between a watch that delivered changes and the next one.
    decision::duration change_batch_delay{};

    // How long the store may stay silent beyond a call's wait before the call is repeated on a new
    // connection.
    decision::duration silence_limit{};

    // Maximum age of the store state that a router relies on when others watch for it.
    decision::duration update_lifetime{};

    // How long a router waits for the large values that its watchers offer before it reads them
    // from the store.
    decision::duration value_patience{};

    // Time over which routers that hear nothing from their watchers begin to ask the store.
    decision::duration fallback_spread{};

    friend bool operator==(const update_delays&, const update_delays&) = default;
};

// `bound`: the longest time that a change may take.
[[nodiscard]] update_delays update_delays_within(decision::duration bound);

// Longest time until a change is read by a router that watches the store itself, if the connection
// of its watch goes silent.
[[nodiscard]] decision::duration longest_own_update(const update_delays& delays);

// The same for a router that relies on other routers, which all go silent, and whose own first call
// to the store is sent on a silent connection.
[[nodiscard]] decision::duration longest_shared_update(const update_delays& delays);

} // namespace pearhaven::coordination

#endif
