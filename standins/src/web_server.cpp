#include "web_server.hpp"

#include <civetweb.h>

#include <array>
#include <iostream>
#include <stdexcept>

namespace pearhaven::standins {

namespace {

// Max time for one read or write on a connection.
constexpr const char* io_timeout_ms = "60000";
constexpr const char* connection_queue = "4096";

int report(const mg_connection* /*connection*/, const char* message)
{
    std::cerr << message << '\n';
    return 1;
}

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

web_server::web_server(const web_settings& wanted) : settings(wanted)
{
    mg_init_library(MG_FEATURES_DEFAULT);
}

web_server::~web_server()
{
    if (this->context != nullptr) {
        mg_stop(this->context);
    }
    mg_exit_library();
}

void web_server::route(std::string method, std::string prefix, handler action)
{
    this->entries.push_back({std::move(method), std::move(prefix), std::move(action)});
}

std::string web_server::start()
{
    const auto threads = std::to_string(this->settings.threads);
    const auto keep_alive = std::to_string(this->settings.keep_alive_ms);
    const std::array<const char*, 19> options = {"listening_ports",
                                                 this->settings.listen.c_str(),
                                                 "num_threads",
                                                 threads.c_str(),
                                                 "enable_keep_alive",
                                                 "yes",
                                                 "keep_alive_timeout_ms",
                                                 keep_alive.c_str(),
                                                 "request_timeout_ms",
                                                 io_timeout_ms,
                                                 "tcp_nodelay",
                                                 "1",
                                                 "connection_queue",
                                                 connection_queue,
                                                 "listen_backlog",
                                                 connection_queue,
                                                 "decode_url",
                                                 "yes",
                                                 nullptr};
    mg_callbacks callbacks{};
    callbacks.begin_request = &web_server::handle;
    callbacks.log_message = &report;
    this->context = mg_start(&callbacks, this, const_cast<const char**>(options.data()));
    if (this->context == nullptr) {
        throw std::runtime_error("cannot listen on " + this->settings.listen);
    }
    mg_server_port bound{};
    mg_get_server_ports(this->context, 1, &bound);
    const auto colon = this->settings.listen.rfind(':');
    return this->settings.listen.substr(0, colon + 1) + std::to_string(bound.port);
}

int web_server::handle(mg_connection* connection)
{
    constexpr int handled = 200;
    const auto* self = static_cast<const web_server*>(mg_get_user_data(mg_get_context(connection)));
    web_exchange exchange(connection, self->settings.body_limit);
    self->dispatch(exchange);
    if (!exchange.answered() || exchange.body_too_long()) {
        mg_disable_connection_keep_alive(connection);
    }
    return handled;
}

const web_server::entry* web_server::find(const web_exchange& exchange) const
{
    for (const auto& each : this->entries) {
        const bool method_fits = each.method == "*" || each.method == exchange.method();
        if (method_fits && starts_with(exchange.path(), each.prefix)) {
            return &each;
        }
    }
    return nullptr;
}

void web_server::dispatch(web_exchange& exchange) const
{
    if (exchange.body_too_long()) {
        exchange.answer(413, {{"error", "body too long"}});
        return;
    }
    const auto* found = this->find(exchange);
    if (found == nullptr) {
        exchange.answer(404, {{"error", "no such path"}});
        return;
    }
    try {
        found->action(exchange);
    } catch (const nlohmann::json::exception& problem) {
        exchange.answer(400, {{"error", problem.what()}});
    }
}

} // namespace pearhaven::standins
