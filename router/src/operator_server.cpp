#include "operator_server.hpp"

#include "http_reply.hpp"

#include "pearhaven/adapters/authenticator.hpp"

#include <civetweb.h>

#include <system_error>
#include <utility>

namespace pearhaven::router {

operator_server::operator_server(const std::string& host, std::uint16_t port, std::string key,
                                 operator_pages shown)
    : operator_key(std::move(key)), pages(std::move(shown))
{
    const auto listen = host + ":" + std::to_string(port);
    const char* options[] = {"listening_ports",
                             listen.c_str(),
                             "num_threads",
                             "4",
                             "request_timeout_ms",
                             "5000",
                             "tcp_nodelay",
                             "1",
                             nullptr};
    const mg_callbacks callbacks{};
    this->context = mg_start(&callbacks, this, options);
    if (this->context == nullptr) {
        throw std::system_error(std::make_error_code(std::errc::address_in_use),
                                "operators' port " + listen + " cannot be listened on");
    }
    mg_set_request_handler(this->context, "/", handle, this);
}

operator_server::~operator_server()
{
    this->stop();
}

void operator_server::stop()
{
    if (this->context != nullptr) {
        mg_stop(std::exchange(this->context, nullptr));
    }
}

std::uint16_t operator_server::port() const
{
    mg_server_port port{};
    mg_get_server_ports(this->context, 1, &port);
    return static_cast<std::uint16_t>(port.port);
}

int operator_server::handle(mg_connection* connection, void* self)
{
    static_cast<const operator_server*>(self)->serve(connection);
    return 1;
}

bool operator_server::has_key(mg_connection* connection) const
{
    const char* sent = mg_get_header(connection, "Authorization");
    return sent != nullptr &&
           adapters::equal_in_constant_time(sent, "Bearer " + this->operator_key);
}

void operator_server::serve(mg_connection* connection) const
{
    const std::string path = mg_get_request_info(connection)->local_uri;
    if (path == "/healthz") {
        send_answer(connection, status_ok, "text/plain", {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = this->pages.ready();
        send_answer(connection, ready ? status_ok : status_unavailable, "text/plain", {},
                    ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        send_answer(connection, status_ok, "text/plain; version=0.0.4", {}, this->pages.metrics());
    } else if (path != "/v1/status" && path != "/v1/endpoints") {
        send_failure(connection,
                     make_rejection(
                         status_not_found, "unknown_path",
                         "allowed are /v1/status, /v1/endpoints, /metrics, /healthz and /readyz"));
    } else if (!this->has_key(connection)) {
        send_failure(connection, make_rejection(status_unauthorized, "unknown_key",
                                                "Authorization: found no operators' key"));
    } else {
        const auto body = path == "/v1/status" ? this->pages.status() : this->pages.endpoints();
        send_answer(connection, status_ok, "application/json", {}, body);
    }
}

} // namespace pearhaven::router
