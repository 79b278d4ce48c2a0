#ifndef PEARHAVEN_DECISION_TEST_ONE_ROUTER_HPP
#define PEARHAVEN_DECISION_TEST_ONE_ROUTER_HPP

#include "pearhaven/decision/dispatcher.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pearhaven::decision::test {

// A dispatcher that serves one model, `api`, at hosts of one availability zone, and the requests
// that a test sends to it.
class one_router {
public:
    explicit one_router(const std::vector<std::string>& hosts, dispatcher_settings settings = {})
    {
        settings.endpoints.zone = "osu";
        this->router = std::make_unique<dispatcher>(settings);
        this->router->on_configuration(make_configuration(), this->now);
        std::vector<endpoint_host> listed;
        listed.reserve(hosts.size());
        for (const auto& id : hosts) {
            listed.push_back(host(id));
        }
        this->router->on_hosts(listed, this->now);
        this->router->on_config_confirmed(instant::max(), this->now);
    }

    static endpoint_host host(const std::string& id, std::uint64_t incarnation = 1)
    {
        return {id, id, "osu", incarnation, false, {}};
    }

    arrival make_request(bool idempotent)
    {
        arrival request;
        request.ticket = ++this->last_ticket;
        request.team = "deposits";
        request.asked = "api";
        request.idempotent = idempotent;
        request.on_loss = continuation::none;
        request.work = {work_class::lookup, 30.0};
        request.deadline = this->now + std::chrono::seconds(10);
        request.fingerprint = request.ticket;
        request.max_attempts = 5;
        return request;
    }

    // The run that the request starts; none if it is refused.
    std::optional<start_attempt> send(const arrival& request)
    {
        this->router->on_arrival(request, this->now);
        return this->take_start();
    }

    std::optional<start_attempt> take_start()
    {
        this->actions = this->router->take_actions();
        const auto* start = this->find_action<start_attempt>();
        return start == nullptr ? std::nullopt : std::make_optional(*start);
    }

    // The first action of this type that the last event led to; null if there is none.
    template <typename Action>
    [[nodiscard]] const Action* find_action() const
    {
        for (const auto& action : this->actions) {
            if (const auto* found = std::get_if<Action>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    // All of them, in order.
    template <typename Action>
    [[nodiscard]] std::vector<Action> find_actions() const
    {
        std::vector<Action> found;
        for (const auto& action : this->actions) {
            if (const auto* one = std::get_if<Action>(&action)) {
                found.push_back(*one);
            }
        }
        return found;
    }

    void end(const start_attempt& run, attempt_result result, bool connection_lost = false)
    {
        attempt_end end;
        end.ticket = run.ticket;
        end.attempt = run.attempt;
        end.result = result;
        end.connection_lost = connection_lost;
        this->router->on_attempt_end(end, this->now);
    }

    std::unique_ptr<dispatcher> router;
    instant now{std::chrono::seconds(100)};

private:
    static configuration_ptr make_configuration()
    {
        team deposits;
        deposits.name = "deposits";
        deposits.versions = selector();
        deposits.max_in_flight = 1000;
        version served;
        served.name = "api@v1";
        served.model = "api";
        pool endpoints;
        endpoints.name = "endpoints";
        endpoints.versions = selector();
        endpoints.hosts = selector();
        endpoints.slots_per_host = 6;
        return configuration_builder().revision(1).add(deposits).add(served).add(endpoints).build();
    }

    std::vector<dispatch_action> actions;
    ticket_number last_ticket = 0;
};

} // namespace pearhaven::decision::test

#endif
