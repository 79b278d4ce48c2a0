#ifndef PEARHAVEN_ROUTER_ROUTER_HPP
#define PEARHAVEN_ROUTER_ROUTER_HPP

#include "pearhaven/router/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace pearhaven::router {

// A running router with all its servers, clients and threads.
class router {
public:
    // Starts all servers and threads. Throws std::system_error if a port cannot be listened on.
    explicit router(const router_settings& settings);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t operator_port() const;
    [[nodiscard]] std::uint16_t peer_port() const;

    // Stops gracefully: the router first reports that it is not ready, so that the load balancer
    // sends nothing new. After a quiet period it refuses new work. Requests in flight complete and
    // their bills are stored. `stop_now` is polled; once it returns true, the remaining requests
    // are cut off. Returns the number of requests that were cut off.
    std::size_t drain(const std::function<bool()>& stop_now);

private:
    class parts;
    std::unique_ptr<parts> inner;
};

} // namespace pearhaven::router

#endif
