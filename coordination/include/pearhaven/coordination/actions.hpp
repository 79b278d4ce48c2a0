#ifndef PEARHAVEN_COORDINATION_ACTIONS_HPP
#define PEARHAVEN_COORDINATION_ACTIONS_HPP

#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/peer_message.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace pearhaven::coordination {

// The parts of this package share one shape. Events come in through `on_...` functions with the
// time at which they happen; what is to be done comes out as values of the part's own `action`
// variant, which the embedder takes with `take_actions()` after each event and carries out. A part
// does nothing by itself and is not safe for use by two threads at a time.

// Matches a reply to the call that asked for it. Unique within one part, never reused.
using call_tag = std::uint64_t;

// Submit the request to the key-value service, and hand the reply to the part's `on_reply` with the
// same tag. Exactly one reply is expected for each call, however late.
struct store_call {
    store_call() = default;
    store_call(call_tag call, kv_request what) : tag(call), request(std::move(what)) {}

    call_tag tag = 0;
    kv_request request;

    friend bool operator==(const store_call&, const store_call&) = default;
};

// Where a router listens for its peers, and which life of it is meant. `id` is empty for an address
// that comes from the settings: whoever answers there is meant.
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

// Send the message. It may be lost, delayed or come in another order; the parts allow for that.
struct send_message {
    member_address to;
    peer_message message;

    friend bool operator==(const send_message&, const send_message&) = default;
};

// A stored value that could not be read was passed over. For a counter and one log line.
struct unreadable_value {
    std::string key;

    friend bool operator==(const unreadable_value&, const unreadable_value&) = default;
};

} // namespace pearhaven::coordination

#endif
