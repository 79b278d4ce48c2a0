#ifndef PEARHAVEN_ROUTER_EVENT_RELAY_HPP
#define PEARHAVEN_ROUTER_EVENT_RELAY_HPP

#include "pearhaven/adapters/event_loop.hpp"
#include "pearhaven/adapters/http_inbound.hpp"
#include "pearhaven/adapters/http_outbound.hpp"
#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/router/caller_dialect.hpp"
#include "pearhaven/router/run_report_listener.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>

namespace pearhaven::router {

struct event_relay_settings {
    // Timeout for connecting to an endpoint. Connecting within a region takes milliseconds. A lost
    // first packet is retransmitted only after a second, so a longer timeout gains nothing.
    decision::duration connect_time = std::chrono::milliseconds(400);

    // Time to wait for the start of an answer, as a multiple of the latency objective, when another
    // endpoint may be asked instead. A plain answer usually takes a fifth of its objective, so an
    // endpoint that takes twice the objective hangs. The first piece of a stream arrives only after
    // the prompt has been read.
    double plain_timeout_ratio = 2.0;
    double stream_timeout_ratio = 0.6;
    decision::duration min_answer_timeout = std::chrono::milliseconds(250);

    // Silence in a stream after which another endpoint resumes it, as a multiple of the longest
    // allowed pause. The rest is left for the first piece of the new run.
    double pause_timeout_ratio = 1.4;

    // If no endpoint has sent anything for this long while several are asked, requests use new
    // connections: those in use may hang, and only a new one shows quickly whether an endpoint can
    // be reached.
    decision::duration common_silence = std::chrono::milliseconds(700);

    // How long a piece received on any connection of an endpoint counts as proof that the endpoint
    // is alive.
    decision::duration liveness_window = std::chrono::milliseconds(1500);

    // Consecutive timeouts without a piece after which even an endpoint that is alive is given up.
    std::uint32_t max_silences = 3;

    // A crowded router turns new connections away while its event loop lags more than this. Callers
    // come back through another router, whereas requests that it has read can only get late.
    decision::duration max_lag_when_crowded = std::chrono::milliseconds(50);

    // Bytes of one answer that the caller has not taken yet. Above the first value the relay reads
    // on from the endpoint only while the server of callers has room, and above the second one it
    // does not.
    std::size_t max_unsent = 16U << 10U;
    std::size_t max_unsent_with_room = 4U << 20U;

    // How long a request waits for a configuration by which another router has run an earlier one
    // of this router. It is refused after that, or at its deadline.
    decision::duration max_configuration_wait = std::chrono::seconds(2);

    // How long such a configuration is expected. A router that it has not reached by then goes on
    // with its own, since the other one may be wrong.
    decision::duration max_time_behind = std::chrono::seconds(10);

    // Maximum bytes of an unfinished event of a stream. An event holds a few pieces of text; one
    // that never ends would exhaust the memory.
    std::size_t max_event_size = 1U << 20U;

    // Maximum bytes of a plain answer that are buffered so that the request can be retried at
    // another endpoint if the answer breaks off. The answer of a failure that is longer counts as
    // none, and a refusal is not read further: an endpoint in trouble may send bytes without end.
    std::size_t max_buffered = 256U << 10U;
};

// Relays requests between callers and endpoints on one thread, as the dispatcher decides. A caller
// always gets the complete answer of one endpoint, a stream joined only at event boundaries, or a
// typed refusal. An answer that ends early is always recognizable as incomplete. Once another
// router has begun to answer a request by a newer configuration, later ones wait for that one.
class event_relay : public adapters::inbound_listener {
public:
    // All references must outlive the relay.
    event_relay(adapters::event_loop& loop, adapters::http_outbound& endpoints,
                decision::dispatcher& dispatcher, const caller_dialect& dialect,
                adapters::metrics& counts, const event_relay_settings& settings);
    ~event_relay() override;
    event_relay(const event_relay&) = delete;
    event_relay& operator=(const event_relay&) = delete;

    [[nodiscard]] bool accepts_connection() override;
    void on_request(adapters::inbound_exchange_ptr caller) override;
    void on_caller_gone(adapters::inbound_exchange& caller) override;
    void on_flushed(adapters::inbound_exchange& caller) override;

    // Without a listener, other routers do not learn of lost runs. It must live for as long as the
    // relay carries out actions.
    void report_runs_to(run_report_listener& listener);

    // Executes the dispatcher's pending actions. Call it after each event that was passed to the
    // dispatcher directly.
    void run_actions();

    // Passes the current time to the dispatcher. Call it about every 50 ms while requests are in
    // flight.
    void tick();

    [[nodiscard]] std::size_t in_flight() const;

    // Shared with the exchanges in flight, which may outlive the relay.
    class state;

private:
    boost::intrusive_ptr<state> inner;
};

} // namespace pearhaven::router

#endif
