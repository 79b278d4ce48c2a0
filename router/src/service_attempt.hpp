#ifndef PEARHAVEN_ROUTER_SERVICE_ATTEMPT_HPP
#define PEARHAVEN_ROUTER_SERVICE_ATTEMPT_HPP

#include "exchange.hpp"
#include "routing_event.hpp"

#include "pearhaven/adapters/http_client.hpp"

#include <string_view>

namespace pearhaven::router {

// Receives a plain service's answer and passes it unchanged to the caller's thread.
class service_attempt : public adapters::http_listener {
public:
    service_attempt(routing_sink& events, exchange_ptr to_caller,
                    decision::attempt_number attempt_of);

    void on_head(int status,
                 const std::vector<std::pair<std::string, std::string>>& headers) override;
    [[nodiscard]] bool on_body(std::string_view piece) override;
    void on_end(const adapters::http_result& result) override;

private:
    [[nodiscard]] decision::attempt_result judge(const adapters::http_result& result) const;

    routing_sink& sink;
    exchange_ptr caller;
    decision::attempt_number attempt;
    bool not_run = false;
    bool head_forwarded = false;
};

} // namespace pearhaven::router

#endif
