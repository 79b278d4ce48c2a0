#ifndef PEARHAVEN_CONTROL_ROUTER_INSPECTOR_HPP
#define PEARHAVEN_CONTROL_ROUTER_INSPECTOR_HPP

#include "pearhaven/adapters/http_client.hpp"
#include "pearhaven/coordination/peer_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::control {

// Status that a router reports on its operator port.
struct router_status {
    std::string problem; // why there is no valid status; the other members are empty then
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> confirmed_age_ms;
    bool ready = false;
    bool draining = false;
    std::uint64_t in_flight = 0;
    std::vector<coordination::member> members; // other routers that it does not consider dead

    friend bool operator==(const router_status&, const router_status&) = default;
};

// Port to the routers' operator ports.
class router_inspector {
public:
    virtual ~router_inspector() = default;

    // Queries all routers within bounded time. The statuses are in the order of `routers`.
    virtual std::vector<router_status>
    query_status(const std::vector<coordination::member>& routers) = 0;
};

// Parses the response to `GET /v1/status` from the router `expected`. A response of another
// incarnation is a problem: a replacement has taken over the address, and its revision does not
// apply to the expected router.
router_status read_status(const adapters::http_answer& answer,
                          const coordination::incarnation_id& expected);

class http_router_inspector : public router_inspector {
public:
    // The client must outlive the inspector.
    http_router_inspector(adapters::http_client& client, std::string operator_key,
                          std::chrono::milliseconds timeout);

    std::vector<router_status>
    query_status(const std::vector<coordination::member>& routers) override;

private:
    [[nodiscard]] adapters::http_request status_request(const coordination::member& router) const;

    adapters::http_client& client;
    std::string operator_key;
    std::chrono::milliseconds timeout;
};

} // namespace pearhaven::control

#endif
