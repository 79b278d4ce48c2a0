#ifndef PEARHAVEN_ROUTER_EVENT_RELAY_HPP
#define PEARHAVEN_ROUTER_EVENT_RELAY_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_inbound.hpp"
#include "pearhaven/adapters/http_outbound.hpp"
#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/router/caller_dialect.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>

namespace pearhaven::router {

struct event_relay_settings {
    // Longest time for a connection to an endpoint. Within a region one takes milliseconds; a lost
    // first packet is sent again only after a second, so waiting longer gains nothing.
    decision::duration connect_time = std::chrono::milliseconds(400);

    // Parts of the objective that an endpoint may be silent before its answer, where another one
    // may be asked instead. A plain answer takes a fifth of its objective, so twice the objective
    // is an endpoint that hangs. A stream's first piece waits for its prompt to be read.
    double plain_patience = 2.0;
    double stream_patience = 0.6;
    decision::duration least_patience = std::chrono::milliseconds(250);

    // Part of the longest pause that a stream may be silent before another endpoint goes on with
    // it: the rest is for the new run's first piece.
    double pause_patience = 1.4;

    // A piece on any connection of an endpoint shows for so long that the endpoint lives.
    decision::duration sign_of_life = std::chrono::milliseconds(1500);

    // Waits in a row without a piece after which even an endpoint that lives is given up.
    std::uint32_t most_silences = 3;

    // Of one answer, what its caller has not taken yet; beyond it the endpoint is not read.
    std::size_t most_unsent = 64U << 10U;

    // Of one event of a stream, whose end has not come. Events hold some pieces of text; one
    // without an end would fill the memory.
    std::size_t most_event = 1U << 20U;

    // Of a plain answer, what is kept so that it can be repeated elsewhere if it breaks off.
    std::size_t most_held = 256U << 10U;
};

// Carries requests between callers and endpoints on one thread: it asks the dispatcher what to do
// and does it. What a caller gets is always one endpoint's answer whole, a stream joined only at
// event bounds, or a typed refusal; whatever ends early looks like it.
class event_relay : public adapters::inbound_listener {
public:
    // All references must outlive the relay.
    event_relay(adapters::event_loop& loop, adapters::http_outbound& endpoints,
                decision::dispatcher& dispatcher, const caller_dialect& dialect,
                adapters::metrics& counts, const event_relay_settings& settings);
    ~event_relay() override;
    event_relay(const event_relay&) = delete;
    event_relay& operator=(const event_relay&) = delete;

    void on_request(adapters::inbound_exchange_ptr caller) override;
    void on_caller_gone(adapters::inbound_exchange& caller) override;
    void on_flushed(adapters::inbound_exchange& caller) override;

    // Carries out what the dispatcher wants. To be called after each event that it was told
    // directly.
    void run_actions();

    // Tells the dispatcher the time. To be called every 50 ms or so while requests are in flight.
    void tick();

    [[nodiscard]] std::size_t in_flight() const;

    // Shared with the exchanges under way, which may outlive the relay.
    class state;

private:
    boost::intrusive_ptr<state> inner;
};

} // namespace pearhaven::router

#endif
