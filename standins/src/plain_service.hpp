#ifndef PEARHAVEN_STANDINS_PLAIN_SERVICE_HPP
#define PEARHAVEN_STANDINS_PLAIN_SERVICE_HPP

#include "behaviours.hpp"
#include "call_counts.hpp"
#include "hold.hpp"
#include "run_log.hpp"
#include "web_server.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace pearhaven::standins {

// Faults that can be injected into the plain service.
struct plain_behaviours {
    bool refuse = false;
    bool fail = false;
    bool hang = false;
    std::uint64_t delay_ms = 0;
    std::uint64_t lose_reply_next = 0;
};

behaviour_table<plain_behaviours> plain_behaviour_table();

// A service that accepts any call on any path and answers with a description of what it ran.
class plain_service {
public:
    plain_service(std::string service_name, std::chrono::milliseconds service_time,
                  unsigned threads);

    void add_routes(web_server& server);

private:
    void run(web_exchange& exchange);
    void give_outcome(web_exchange& exchange, std::size_t number, const std::string& run);
    bool loses_reply();

    const std::string name;
    const std::chrono::milliseconds service_time;
    behaviour_control<plain_behaviours> control;
    call_holder holder;
    call_counts counts;
    run_log log;
    std::atomic<std::uint64_t> unnamed_runs{0};
};

} // namespace pearhaven::standins

#endif
