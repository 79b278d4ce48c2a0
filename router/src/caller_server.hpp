#ifndef PEARHAVEN_ROUTER_CALLER_SERVER_HPP
#define PEARHAVEN_ROUTER_CALLER_SERVER_HPP

#include "answer_relay.hpp"
#include "caller_request.hpp"
#include "fleet_event.hpp"
#include "published.hpp"
#include "request_claim.hpp"
#include "routing_event.hpp"

#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/decision/session_token.hpp"
#include "pearhaven/router/settings.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

struct mg_connection;
struct mg_context;

namespace pearhaven::router {

// What the server uses of the rest of the router. All of it must outlive the server.
struct caller_server_dependencies {
    const router_settings& settings;
    const published<decision::configuration_ptr>& configuration;
    const decision::token_authenticator& session_keys;
    routing_sink& routing;
    fleet_sink& fleet;
    adapters::http_client& client;
    adapters::metrics& counts;
};

// Serves callers over HTTP with CivetWeb, one thread per caller in flight.
class caller_server {
public:
    // Throws std::system_error if the port cannot be listened on.
    explicit caller_server(const caller_server_dependencies& all_dependencies);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // The port that callers connect to.
    [[nodiscard]] std::uint16_t port() const;

    // Requests whose answer has not been sent completely.
    [[nodiscard]] std::size_t in_flight() const { return this->active.load(); }

    // Closes the listener and stops the threads. Requests in flight are cut off.
    void stop();

private:
    class active_guard;
    struct admitted {
        decision::configuration_ptr configuration;
        const decision::team* team = nullptr;
        caller_fields fields;
        std::string body;
    };

    static int handle_chat(mg_connection* connection, void* self);
    static int handle_models(mg_connection* connection, void* self);
    static int handle_service(mg_connection* connection, void* self);
    static int handle_unknown(mg_connection* connection, void* self);

    [[nodiscard]] std::optional<admitted> admit(mg_connection* connection, std::size_t position);
    bool acquire_claim(mg_connection* connection, request_claim& claim, const caller_fields& fields,
                       bool idempotent);
    [[nodiscard]] decision::arrival arrival_of(const admitted& from,
                                               const exchange_ptr& request) const;
    [[nodiscard]] std::optional<decision::session> read_session(const admitted& caller,
                                                                const std::string& asked) const;
    [[nodiscard]] std::string seal(const admitted& caller, const decision::session& session) const;
    void serve(mg_connection* connection, const admitted& caller, const exchange_ptr& request,
               decision::arrival arrival, answer_relay& relay,
               const answer_relay::version_headers& headers_of);
    void serve_chat(mg_connection* connection);
    void serve_models(mg_connection* connection);
    void serve_service(mg_connection* connection);
    [[nodiscard]] exchange_ptr make_exchange(const admitted& from);
    [[nodiscard]] decision::instant deadline_of(const caller_fields& fields) const;
    bool dispatch(mg_connection* connection, decision::arrival arrival,
                  const exchange_ptr& request);
    void finish(mg_connection* connection, const exchange_ptr& request, request_claim& claim,
                const relay_end& end, const std::string& kind);
    [[nodiscard]] static bool is_idempotent_call(const admitted& caller,
                                                 const std::string& service_name,
                                                 const std::string& method);
    int refuse(mg_connection* connection, const error_response& response);

    caller_server_dependencies deps;
    std::atomic<std::size_t> active{0};
    std::atomic<decision::ticket_number> next_ticket{1};
    mg_context* context = nullptr;
};

} // namespace pearhaven::router

#endif
