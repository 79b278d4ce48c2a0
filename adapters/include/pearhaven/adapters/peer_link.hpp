#ifndef PEARHAVEN_ADAPTERS_PEER_LINK_HPP
#define PEARHAVEN_ADAPTERS_PEER_LINK_HPP

#include "pearhaven/coordination/peer_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pearhaven::adapters {

// Where a peer listens, and which life of it the sender means.
struct peer_address {
    std::string host; // IP number
    std::uint16_t port = 0;
    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

struct peer_link_settings {
    std::string listen_host = "127.0.0.1";
    std::uint16_t listen_port = 0; // 0: any free one
    std::string self;              // incarnation id put into each frame
    std::string fleet_key;         // 32 bytes; frames without its authentication are dropped
    std::size_t max_frame_bytes = 4U << 20U;
    std::size_t max_queued_frames = 1024; // to one peer; the oldest goes first when it is full
};

// Counts of frames, for metrics. `rejected` are frames that were truncated, oversized, malformed,
// replayed or not authenticated.
struct peer_link_counts {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t rejected = 0;
    std::uint64_t dropped = 0; // not sent: queue full or no connection
};

// Messages between routers over TCP. Delivery is not promised: a message is lost when its connection
// fails, and never comes twice over one connection. One thread does all the work.
class peer_link {
public:
    // Called on the link's thread; must not block. `from` is the authenticated sender's incarnation,
    // `reply_to` the address that the sender listens on.
    using handler =
        std::function<void(const std::string& from, const peer_address& reply_to, coordination::peer_message message)>;

    virtual ~peer_link() = default;
    virtual void send(const peer_address& to, coordination::peer_message message) = 0;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    [[nodiscard]] virtual peer_link_counts counts() const = 0;
    virtual void stop() = 0;
};

// Throws std::system_error when the address cannot be listened on.
std::unique_ptr<peer_link> make_peer_link(const peer_link_settings& settings, peer_link::handler on_message);

} // namespace pearhaven::adapters

#endif
