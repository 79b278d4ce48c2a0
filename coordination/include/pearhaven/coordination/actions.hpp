#ifndef PEARHAVEN_COORDINATION_ACTIONS_HPP
#define PEARHAVEN_COORDINATION_ACTIONS_HPP

#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/peer_message.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace pearhaven::coordination {

// The components of this package share one interface. Events come in through `on_...` functions
// with the time at which they happened. The work to do comes out as values of the component's own
// `action` variant, which the embedder fetches with `take_actions()` after each event and carries
// out. A component performs no I/O itself and is not thread-safe.

// Matches a reply to the call that asked for it. Unique within one component, never reused.
using call_tag = std::uint64_t;

// Submit the request to the key-value service, and pass the reply to the component's `on_reply`
// with the same tag. Exactly one reply is expected for each call, however late.
struct store_call {
    store_call() = default;
    store_call(call_tag call, kv_request what) : tag(call), request(std::move(what)) {}

    call_tag tag = 0;
    kv_request request;

    friend bool operator==(const store_call&, const store_call&) = default;
};

// The address at which a router listens for its peers, and the incarnation that is meant. `id` is
// empty for an address from the settings: any incarnation that answers there is meant.
struct member_address {
    incarnation_id id;
    std::string host; // IP number
    std::uint16_t port = 0;

    friend bool operator==(const member_address&, const member_address&) = default;
};

inline member_address address_of(const member& peer)
{
    return {peer.id, peer.host, peer.peer_port};
}

// Send the message. It may be lost, delayed or reordered; the components allow for that.
struct send_message {
    member_address to;
    peer_message message;

    friend bool operator==(const send_message&, const send_message&) = default;
};

// A stored value that could not be decoded was skipped. To be counted and logged once.
struct unreadable_value {
    std::string key;

    friend bool operator==(const unreadable_value&, const unreadable_value&) = default;
};

} // namespace pearhaven::coordination

#endif
