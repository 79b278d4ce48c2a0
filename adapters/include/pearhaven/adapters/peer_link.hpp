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

// Address on which a peer listens.
struct peer_address {
    std::string host; // IP address
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

struct peer_link_settings {
    std::string listen_host = "127.0.0.1"; // IP address
    std::uint16_t listen_port = 0;         // 0: any free port
    std::string advertise_host;            // address announced to peers; empty: listen_host
    std::uint16_t advertise_port = 0;      // 0: the listening port
    std::string self;                      // incarnation id sent in each frame
    std::string fleet_key;                 // frames not authenticated with it are rejected
    std::size_t max_frame_bytes = 4U << 20U;
    std::size_t max_queued_frames = 1024;      // per peer; when full, the oldest is dropped
    std::size_t max_queued_bytes = 16U << 20U; // per peer; when full, the oldest is dropped
    std::size_t max_incoming = 2048;           // incoming connections
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds handshake_timeout{3000};
    std::chrono::milliseconds unacknowledged_timeout{
        3000};                                     // then an unresponsive connection is closed
    std::chrono::milliseconds idle_timeout{60000}; // then an unused connection is closed
};

// Counts since the start, for metrics. `rejected` counts frames that were truncated, oversized,
// malformed, replayed, reflected or not authenticated; each of them closes its connection.
struct peer_link_counts {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t rejected = 0;
    std::uint64_t dropped = 0;             // not sent: too large, queue full or no connection
    std::uint64_t connect_failures = 0;    // refused, unreachable or not answered in time
    std::uint64_t handshake_failures = 0;  // connected, but no nonce was received in time
    std::uint64_t connections_lost = 0;    // established outgoing connections that failed
    std::uint64_t connections_refused = 0; // incoming ones over max_incoming
};

// Exchanges messages between routers over TCP. Delivery is at most once and in order per
// connection: a message is lost when its connection fails. Each direction between two routers uses
// its own connection, which the sender opens when it has something to send. All work is done on one
// thread; a slow, silent or hostile peer delays only its own queue.
//
// Frames are authenticated, not encrypted. A frame is valid only on one connection and at one
// position in it, so recorded, reordered or reflected frames are rejected. An attacker on the
// network path can still close connections, or redirect a complete connection to another router of
// the fleet.
class peer_link {
public:
    // Called on the link's thread; must not block. `from` is the authenticated incarnation of the
    // sender, `reply_to` the address on which the sender listens.
    using handler = std::function<void(const std::string& from, const peer_address& reply_to,
                                       coordination::peer_message message)>;

    virtual ~peer_link() = default;

    // Queues the message without blocking. After `stop`, the message is dropped.
    virtual void send(const peer_address& to, coordination::peer_message message) = 0;

    [[nodiscard]] virtual std::uint16_t port() const = 0; // listening port
    [[nodiscard]] virtual peer_link_counts counts() const = 0;

    // Allows a short time for queued messages to be sent, then closes all connections and joins the
    // thread. The destructor does the same. Must not be called on the link's own thread.
    virtual void stop() = 0;
};

// Throws std::system_error when listening on the address fails, and std::invalid_argument when
// `self` or `fleet_key` is empty.
std::unique_ptr<peer_link> make_peer_link(const peer_link_settings& settings,
                                          peer_link::handler on_message);

} // namespace pearhaven::adapters

#endif
