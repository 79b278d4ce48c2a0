#include "request_claim.hpp"

#include <utility>

namespace pearhaven::router {

namespace {

decision::failure not_decided()
{
    return {decision::failure_code::config_unconfirmed, decision::run_state::not_run, true,
            std::chrono::seconds(1), "the claim could not be made in time"};
}

const claim_answer* answer_in(const std::optional<exchange_event>& event)
{
    return event ? std::get_if<claim_answer>(&*event) : nullptr;
}

} // namespace

request_claim::request_claim(fleet_sink& fleet_events, exchange_ptr of_request,
                             std::chrono::milliseconds max_wait)
    : fleet(fleet_events), request(std::move(of_request)), timeout(max_wait)
{}

request_claim::~request_claim()
{
    this->settle(decision::run_state::not_run, "");
}

std::optional<decision::failure> request_claim::acquire(const std::string& key)
{
    this->fleet.submit(claim_requested{this->request->team, key, this->request});
    const auto event = this->request->events.pop_for(this->timeout);
    const auto* answer = answer_in(event);
    if (answer == nullptr) {
        return this->abandon();
    }
    this->granted = answer->granted;
    return answer->granted ? std::nullopt : std::optional(answer->why);
}

// From here on the fleet thread closes a claim that it grants. A claim granted at this very moment
// may already be in the ring and still be closed as not run. If it were used, the request would run
// under a claim that allows a resend elsewhere to run it again. So nothing runs, and both sides may
// close the claim.
decision::failure request_claim::abandon()
{
    this->request->claim_abandoned.store(true);
    const auto event = this->request->events.pop_for(std::chrono::seconds(0));
    const auto* answer = answer_in(event);
    if (answer == nullptr) {
        return not_decided();
    }
    if (!answer->granted) {
        return answer->why;
    }
    this->granted = answer->granted;
    this->settle(decision::run_state::not_run, "");
    return not_decided();
}

void request_claim::settle(decision::run_state run, const std::string& outcome)
{
    if (this->granted) {
        this->fleet.submit(claim_settled{*this->granted, run, outcome});
        this->granted.reset();
    }
}

} // namespace pearhaven::router
