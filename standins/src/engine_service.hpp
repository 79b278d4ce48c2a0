#ifndef PEARHAVEN_STANDINS_ENGINE_SERVICE_HPP
#define PEARHAVEN_STANDINS_ENGINE_SERVICE_HPP

#include "behaviours.hpp"
#include "call_counts.hpp"
#include "engine.hpp"
#include "hold.hpp"
#include "web_server.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace pearhaven::standins {

behaviour_table<engine_behaviours> engine_behaviour_table();

// Serves the engine over HTTP.
class engine_service {
public:
    // A stream is written once this many new tokens are available; the first token immediately.
    engine_service(engine& served, unsigned threads, std::uint64_t tokens_per_write = 1);

    void add_routes(web_server& server);

    // Waits until no answer is in progress or the timeout expires.
    void wait_for_answers(std::chrono::milliseconds timeout) const;

private:
    void complete(web_exchange& exchange);
    void resume(web_exchange& exchange);
    void cancel(web_exchange& exchange);
    void load(web_exchange& exchange);
    void cache_events(web_exchange& exchange);
    void order(web_exchange& exchange);
    void stats(web_exchange& exchange);
    void behave(const engine_behaviours& wanted);

    void stream(web_exchange& exchange, live_run& run, std::uint64_t offset);
    void stream_tokens(web_exchange& exchange, live_run& run, std::uint64_t offset);
    void answer_whole(web_exchange& exchange, live_run& run);

    // Waits until the run has ended and the engine is not frozen.
    run_progress wait_for_end(live_run& run);
    run_progress wait_unfrozen(live_run& run, std::uint64_t wanted);
    std::uint64_t take_truncation(std::uint64_t sent, std::uint64_t end);

    engine& served_engine;
    const std::uint64_t tokens_per_write;
    behaviour_control<engine_behaviours> control;
    call_holder holder;
    call_counts counts;
    // Copies of the behaviours that are checked for each token.
    std::atomic<bool> frozen{false};
    std::atomic<std::uint64_t> silencings{0};
    std::atomic<std::uint64_t> truncate_after{0};
    std::atomic<std::uint64_t> answers_open{0};
};

} // namespace pearhaven::standins

#endif
