#ifndef PEARHAVEN_ROUTER_REQUEST_CLAIM_HPP
#define PEARHAVEN_ROUTER_REQUEST_CLAIM_HPP

#include "exchange.hpp"
#include "fleet_event.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace pearhaven::router {

// The claim of a request that must run at most once, held by its caller's thread. A granted claim
// that is never settled is closed as not run, since nothing was dispatched.
class request_claim {
public:
    // The fleet thread decides each claim within a shorter timeout of its own. This one covers a
    // stalled fleet thread.
    static constexpr std::chrono::milliseconds default_timeout{5000};

    request_claim(fleet_sink& fleet_events, exchange_ptr of_request,
                  std::chrono::milliseconds max_wait = default_timeout);
    ~request_claim();
    request_claim(const request_claim&) = delete;
    request_claim& operator=(const request_claim&) = delete;

    // Requests the claim under the caller's key and waits for the decision. Returns nothing if it
    // is granted, else the final answer.
    [[nodiscard]] std::optional<decision::failure> acquire(const std::string& key);

    // Reports how the request ended. No effect if no claim is held.
    void settle(decision::run_state run, const std::string& outcome);

private:
    decision::failure abandon();

    fleet_sink& fleet;
    exchange_ptr request;
    std::chrono::milliseconds timeout;
    std::optional<coordination::claim_number> granted;
};

} // namespace pearhaven::router

#endif
