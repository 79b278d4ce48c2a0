#ifndef PEARHAVEN_ROUTER_ROUTER_HPP
#define PEARHAVEN_ROUTER_ROUTER_HPP

#include "pearhaven/router/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace pearhaven::router {

// One running router: all its servers, clients and threads.
class router {
public:
    // Starts everything. Throws std::system_error when a port cannot be listened on.
    explicit router(const router_settings& settings);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t operator_port() const;
    [[nodiscard]] std::uint16_t peer_port() const;

    // The planned stop, in steps: not ready any more, so that the balancer sends nothing new; after
    // a quiet time no new work is taken; requests in flight run to their end and their bills land.
    // `hurry` is asked now and then: true ends the wait and cuts off what is left.
    // Returns the number of requests that were cut off.
    std::size_t drain(const std::function<bool()>& stop_now);

private:
    class parts;
    std::unique_ptr<parts> inner;
};

} // namespace pearhaven::router

#endif
