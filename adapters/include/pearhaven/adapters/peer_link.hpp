#ifndef PEARHAVEN_ADAPTERS_PEER_LINK_HPP
#define PEARHAVEN_ADAPTERS_PEER_LINK_HPP

#include "pearhaven/coordination/peer_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// Where a peer listens.
struct peer_address {
    std::string host; // IP number
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): a false alarm on defaulted comparisons
    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

struct peer_link_settings {
    std::string listen_host = "127.0.0.1"; // IP number
    std::uint16_t listen_port = 0;         // 0: any free one
    std::string advertise_host;            // where peers reach this one; empty: as listened on
    std::uint16_t advertise_port = 0;      // 0: as listened on
    std::string self;                      // incarnation id put into each frame
    std::string fleet_key;                 // frames without its authentication are dropped
    std::size_t max_frame_bytes = 4U << 20U;
    std::size_t max_queued_frames = 1024;      // to one peer; the oldest goes first when it is full
    std::size_t max_queued_bytes = 16U << 20U; // likewise
    std::size_t max_incoming = 2048;           // connections from peers
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds handshake_timeout{3000};
    std::chrono::milliseconds unacknowledged_timeout{3000}; // then a silent connection is given up
    std::chrono::milliseconds idle_timeout{60000};          // then an unused connection is closed
};

// Counts since the start, for metrics. `rejected` are frames that were truncated, oversized,
// malformed, replayed, turned back or not authenticated: each ends its connection.
struct peer_link_counts {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t rejected = 0;
    std::uint64_t dropped = 0;             // not sent: too large, queue full or no connection
    std::uint64_t connect_failures = 0;    // refused, unreachable or not answered in time
    std::uint64_t handshake_failures = 0;  // connected, but the other end did not speak in time
    std::uint64_t connections_lost = 0;    // outgoing ones that stood, then closed or went silent
    std::uint64_t connections_refused = 0; // incoming ones over the bound
};

// Messages between routers over TCP. Delivery is not promised: a message is lost when its
// connection fails. It never comes twice, nor out of order with others of its connection. Each
// direction between two routers has a connection of its own, opened by the sender when there is
// something to send. One thread does all the work; a peer that is slow, silent or hostile holds up
// nothing but its own queue.
//
// Frames are authenticated, not encrypted. A frame counts for one connection and one place in it
// only, so recorded, reordered or reflected frames are rejected. Somebody in between can still cut
// connections, or lead a whole one to another router of the fleet.
class peer_link {
public:
    // Called on the link's thread; must not block. `from` is the authenticated sender's
    // incarnation, `reply_to` the address that the sender listens on.
    using handler = std::function<void(const std::string& from, const peer_address& reply_to,
                                       coordination::peer_message message)>;

    virtual ~peer_link() = default;

    // Queues the message; does not block. After `stop` it is dropped.
    virtual void send(const peer_address& to, coordination::peer_message message) = 0;

    [[nodiscard]] virtual std::uint16_t port() const = 0; // listened on
    [[nodiscard]] virtual peer_link_counts counts() const = 0;

    // Gives queued messages a moment to leave, then closes all connections and joins the thread.
    // The destructor does so too. Not for the link's own thread.
    virtual void stop() = 0;
};

// Throws std::system_error when the address cannot be listened on, std::invalid_argument when
// `self` or `fleet_key` is empty.
std::unique_ptr<peer_link> make_peer_link(const peer_link_settings& settings,
                                          peer_link::handler on_message);

} // namespace pearhaven::adapters

#endif
