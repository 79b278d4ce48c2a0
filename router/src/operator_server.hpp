#ifndef PEARHAVEN_ROUTER_OPERATOR_SERVER_HPP
#define PEARHAVEN_ROUTER_OPERATOR_SERVER_HPP

#include <cstdint>
#include <functional>
#include <string>

struct mg_connection;
struct mg_context;

namespace pearhaven::router {

// The pages of the operator port. Each function is called on the server's threads.
struct operator_pages {
    std::function<std::string()> status;    // JSON
    std::function<std::string()> endpoints; // JSON
    std::function<std::string()> metrics;   // Prometheus text
    std::function<bool()> ready;
};

// Serves operators on a port of its own: status pages require the operators' key, metrics and
// health do not.
class operator_server {
public:
    // Throws std::system_error if the port cannot be listened on.
    operator_server(const std::string& host, std::uint16_t port, std::string key,
                    operator_pages shown);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void stop();

private:
    static int handle(mg_connection* connection, void* self);
    void serve(mg_connection* connection) const;
    [[nodiscard]] bool has_key(mg_connection* connection) const;

    std::string operator_key;
    operator_pages pages;
    mg_context* context = nullptr;
};

} // namespace pearhaven::router

#endif
