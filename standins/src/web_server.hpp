#ifndef PEARHAVEN_STANDINS_WEB_SERVER_HPP
#define PEARHAVEN_STANDINS_WEB_SERVER_HPP

#include "web_exchange.hpp"

#include <functional>
#include <string>
#include <vector>

struct mg_context;

namespace pearhaven::standins {

// Settings of a server. Each open connection occupies a thread.
struct web_settings {
    std::string listen = "127.0.0.1:0";
    unsigned threads = 512;
    unsigned keep_alive_ms = 60'000;
    std::size_t body_limit = 16U << 20U; // a longer body is answered with 413
};

// A CivetWeb server with routes. Handlers run on many threads at once.
class web_server {
public:
    using handler = std::function<void(web_exchange&)>;

    // Throws std::runtime_error when the address cannot be bound.
    explicit web_server(const web_settings& settings);
    ~web_server();

    web_server(const web_server&) = delete;
    web_server& operator=(const web_server&) = delete;

    // Adds a route for the method ("*": any) and all paths that start with the prefix. The first
    // match wins. Add all routes before `start`.
    void route(std::string method, std::string prefix, handler action);

    // Binds and starts serving. Returns the bound address as IP:port.
    std::string start();

private:
    struct entry {
        std::string method;
        std::string prefix;
        handler action;
    };

    static int handle(mg_connection* connection);
    void dispatch(web_exchange& exchange) const;
    [[nodiscard]] const entry* find(const web_exchange& exchange) const;

    web_settings settings;
    std::vector<entry> entries;
    mg_context* context = nullptr;
};

} // namespace pearhaven::standins

#endif
