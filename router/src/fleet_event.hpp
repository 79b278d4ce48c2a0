#ifndef PEARHAVEN_ROUTER_FLEET_EVENT_HPP
#define PEARHAVEN_ROUTER_FLEET_EVENT_HPP

#include "exchange.hpp"

#include "pearhaven/adapters/peer_link.hpp"
#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/peer_message.hpp"

#include <string>
#include <variant>

namespace pearhaven::router {

// The components on the fleet thread. A response from the store goes to the component that made the
// call.
enum class fleet_part : std::uint8_t {
    configuration,
    membership,
    claims,
    bills,
    facts,
    rollouts,
};

struct store_replied {
    fleet_part part = fleet_part::configuration;
    std::uint64_t tag = 0;
    coordination::kv_reply reply;
};

struct peer_message_received {
    std::string from;
    adapters::peer_address reply_to;
    coordination::peer_message message;
};

// A complete answer that must be billed before its end is sent to the caller.
struct bill_due {
    coordination::bill what;
    exchange_ptr caller;
    answer_complete ending;
};

// Requests a claim for a request that must run at most once.
struct claim_requested {
    std::string team;
    std::string key;
    exchange_ptr caller;
};

// A claimed request has ended.
struct claim_settled {
    coordination::claim_number claim = 0;
    decision::run_state run = decision::run_state::unknown;
    std::string outcome; // reported to resends
};

struct fact_observed {
    coordination::fact what;
};

// A graceful stop: first the router finishes its work (`is_over` is false), then it leaves.
struct leave_begun {
    bool is_over = false;
};

using fleet_event = std::variant<store_replied, peer_message_received, bill_due, claim_requested,
                                 claim_settled, fact_observed, leave_begun>;

// Interface through which other threads send events to the fleet thread. Thread-safe.
class fleet_sink {
public:
    virtual ~fleet_sink() = default;

    // Blocks until there is space; returns false if the fleet thread has stopped.
    virtual bool submit(fleet_event event) = 0;
};

} // namespace pearhaven::router

#endif
