#ifndef PEARHAVEN_ROUTER_FLEET_EVENT_HPP
#define PEARHAVEN_ROUTER_FLEET_EVENT_HPP

#include "exchange.hpp"

#include "pearhaven/adapters/peer_link.hpp"
#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/peer_message.hpp"

#include <string>
#include <variant>

namespace pearhaven::router {

// The parts that share the fleet thread; a reply of the store goes back to the part that asked.
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

// A whole answer that has to be billed before its end goes to the caller.
struct bill_due {
    coordination::bill what;
    exchange_ptr caller;
    answer_complete ending;
};

// A request that must run at most once asks for its claim.
struct claim_requested {
    std::string team;
    std::string key;
    exchange_ptr caller;
};

// A claimed request has come to its end.
struct claim_settled {
    coordination::claim_number claim = 0;
    decision::run_state run = decision::run_state::unknown;
    std::string outcome; // as a resend is to be told
};

struct fact_observed {
    coordination::fact what;
};

// A planned stop: first the router finishes its work, then it is gone.
struct leave_begun {
    bool is_over = false;
};

using fleet_event = std::variant<store_replied, peer_message_received, bill_due, claim_requested,
                                 claim_settled, fact_observed, leave_begun>;

// Port through which the other duties reach the fleet thread. Safe from any thread.
class fleet_sink {
public:
    virtual ~fleet_sink() = default;

    // Waits for room; false when the fleet thread has stopped.
    virtual bool submit(fleet_event event) = 0;
};

} // namespace pearhaven::router

#endif
