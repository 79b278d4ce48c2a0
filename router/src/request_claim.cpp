#include "request_claim.hpp"

#include <chrono>
#include <utility>

namespace pearhaven::router {

namespace {

// The fleet thread decides each claim within its own, shorter patience; this one covers a fleet
// thread that is itself held up.
constexpr std::chrono::seconds claim_patience{5};

decision::failure not_decided()
{
    return {decision::failure_code::not_in_touch, decision::run_state::not_run, true,
            std::chrono::seconds(1), "the claim could not be made in time"};
}

const claim_answer* answer_in(const std::optional<exchange_event>& event)
{
    return event ? std::get_if<claim_answer>(&*event) : nullptr;
}

} // namespace

request_claim::request_claim(fleet_sink& fleet_events, exchange_ptr of_request)
    : fleet(fleet_events), request(std::move(of_request))
{}

request_claim::~request_claim()
{
    this->settle(decision::run_state::not_run, "");
}

std::optional<decision::failure> request_claim::take(const std::string& key)
{
    this->fleet.submit(claim_wanted{this->request->team, key, this->request});
    auto event = this->request->events.pop_for(claim_patience);
    if (!event) {
        // From here on the fleet thread closes a claim that is still granted; one that was granted
        // just before lies in the ring.
        this->request->claim_dropped.store(true);
        event = this->request->events.pop_for(std::chrono::seconds(0));
    }
    const auto* answer = answer_in(event);
    if (answer == nullptr) {
        return not_decided();
    }
    this->granted = answer->granted;
    return answer->granted ? std::nullopt : std::optional(answer->why);
}

void request_claim::settle(decision::run_state run, const std::string& outcome)
{
    if (this->granted) {
        this->fleet.submit(claim_settled{*this->granted, run, outcome});
        this->granted.reset();
    }
}

} // namespace pearhaven::router
