#ifndef PEARHAVEN_ADAPTERS_SRC_LINK_CONNECTION_HPP
#define PEARHAVEN_ADAPTERS_SRC_LINK_CONNECTION_HPP

#include "deadline_index.hpp"
#include "frame_authenticator.hpp"
#include "pearhaven/adapters/peer_link.hpp"
#include "poller.hpp"

#include <array>
#include <atomic>
#include <unordered_map>

namespace pearhaven::adapters {

using link_counter = std::atomic<std::uint64_t>;

// Live counters of the link; any thread may read them.
struct link_counters {
    link_counter sent{0};
    link_counter sent_bytes{0};
    link_counter received{0};
    link_counter received_bytes{0};
    link_counter rejected{0};
    link_counter dropped{0};
    link_counter connect_failures{0};
    link_counter handshake_failures{0};
    link_counter connections_lost{0};
    link_counter connections_refused{0};

    [[nodiscard]] peer_link_counts snapshot() const;
};

class link_connection;

// State shared by the connections of one link. Used only on the link's thread, except for the
// counters.
struct link_context {
    explicit link_context(const peer_link_settings& link_settings)
        : settings(link_settings), key(link_settings.fleet_key)
    {}

    const peer_link_settings settings;
    const frame_key key;
    link_counters counters;
    poller socket_poller;
    deadline_index deadlines;
    std::unordered_map<int, link_connection*> by_socket;
    bool has_closed_connections = false; // closed connections that can be removed

    // Read buffer shared by all connections. Its size bounds how many bytes one connection may
    // deliver before the others get their turn.
    std::array<char, 64U << 10U> scratch{};
};

// One connection of the link, or the wait before the next connection attempt to the same peer. Its
// events arrive on the link's thread.
class link_connection : public with_deadline {
public:
    explicit link_connection(link_context& shared) : context(shared) {}
    virtual ~link_connection() { this->context.deadlines.disarm(*this); }
    link_connection(const link_connection&) = delete;
    link_connection& operator=(const link_connection&) = delete;

    virtual void on_ready(const ready_socket& state) = 0;

    // Calls on_deadline if the deadline has passed, otherwise arms it again.
    void check_deadline(monotonic_time now);

protected:
    virtual void on_deadline(monotonic_time now) = 0;

    void set_deadline(monotonic_time deadline);
    void watch(int socket, bool readable, bool writable);
    void forget(int socket);

    link_context& context;

private:
    monotonic_time deadline;
};

} // namespace pearhaven::adapters

#endif
