#include "caller_server.hpp"

#include "answer_relay.hpp"
#include "clock.hpp"

#include "pearhaven/adapters/authenticator.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <system_error>
#include <utility>

namespace pearhaven::router {

namespace {

// Threads beyond the limit of concurrent callers, which refuse further callers at once.
constexpr std::uint32_t spare_threads = 16;

// Any value above 0 tells CivetWeb that the request was handled.
constexpr int request_handled = 1;

// Bytes at the start of the prompt that engines are likely to cache.
constexpr std::size_t affinity_prefix = 512;

constexpr std::string_view services_prefix = "/services/";

int on_malformed(mg_connection* connection, int status, const char* message)
{
    const auto response = make_rejection(status, "bad_request", message == nullptr ? "" : message);
    send_failure(connection, response, {{"Connection", "close"}});
    return 0;
}

decision::failure retryable_failure(decision::failure_code code, std::string detail)
{
    return {code, decision::run_state::not_run, true, std::chrono::seconds(1), std::move(detail)};
}

std::string class_name(decision::work_class kind)
{
    return kind == decision::work_class::lookup ? "lookup" : "reading";
}

} // namespace

// Counts a caller from the arrival of its request to the end of its answer.
class caller_server::active_guard {
public:
    explicit active_guard(std::atomic<std::size_t>& counted) : count(counted), ordinal(++counted) {}
    ~active_guard() { --this->count; }
    active_guard(const active_guard&) = delete;
    active_guard& operator=(const active_guard&) = delete;

    [[nodiscard]] std::size_t position() const { return this->ordinal; }

private:
    std::atomic<std::size_t>& count;
    std::size_t ordinal;
};

caller_server::caller_server(const caller_server_dependencies& all_dependencies)
    : deps(all_dependencies)
{
    const auto& settings = this->deps.settings;
    const auto listen = settings.host + ":" + std::to_string(settings.caller_port);
    const auto threads = std::to_string(settings.caller_threads + spare_threads);
    const auto timeout = std::to_string(settings.caller_read_timeout.count());
    const char* options[] = {"listening_ports",
                             listen.c_str(),
                             "num_threads",
                             threads.c_str(),
                             "request_timeout_ms",
                             timeout.c_str(),
                             "enable_keep_alive",
                             "yes",
                             "keep_alive_timeout_ms",
                             "2000",
                             "tcp_nodelay",
                             "1",
                             nullptr};
    mg_callbacks callbacks{};
    callbacks.http_error = on_malformed;
    this->context = mg_start(&callbacks, this, options);
    if (this->context == nullptr) {
        throw std::system_error(std::make_error_code(std::errc::address_in_use),
                                "callers' port " + listen + " cannot be listened on");
    }
    mg_set_request_handler(this->context, "/v1/chat/completions$", handle_chat, this);
    mg_set_request_handler(this->context, "/v1/models$", handle_models, this);
    mg_set_request_handler(this->context, "/services/", handle_service, this);
    mg_set_request_handler(this->context, "/", handle_unknown, this);
}

caller_server::~caller_server()
{
    this->stop();
}

void caller_server::stop()
{
    if (this->context != nullptr) {
        mg_stop(std::exchange(this->context, nullptr));
    }
}

std::uint16_t caller_server::port() const
{
    mg_server_port port{};
    mg_get_server_ports(this->context, 1, &port);
    return static_cast<std::uint16_t>(port.port);
}

int caller_server::handle_chat(mg_connection* connection, void* self)
{
    static_cast<caller_server*>(self)->serve_chat(connection);
    return request_handled;
}

int caller_server::handle_models(mg_connection* connection, void* self)
{
    static_cast<caller_server*>(self)->serve_models(connection);
    return request_handled;
}

int caller_server::handle_service(mg_connection* connection, void* self)
{
    static_cast<caller_server*>(self)->serve_service(connection);
    return request_handled;
}

int caller_server::handle_unknown(mg_connection* connection, void* self)
{
    return static_cast<caller_server*>(self)->refuse(
        connection,
        make_rejection(status_not_found, "unknown_path",
                       "allowed are /v1/chat/completions, /v1/models and /services/NAME/"));
}

int caller_server::refuse(mg_connection* connection, const error_response& response)
{
    this->deps.counts.add("pearhaven_turned_away_total",
                          {{"status", std::to_string(response.status)}});
    // Closing the connection avoids reading the rest of an unwanted body.
    send_failure(connection, response, {{"Connection", "close"}});
    mg_disable_connection_keep_alive(connection);
    return response.status;
}

std::optional<caller_server::admitted> caller_server::admit(mg_connection* connection,
                                                            std::size_t position)
{
    if (position > this->deps.settings.caller_threads) {
        this->refuse(connection,
                     to_error_response(retryable_failure(decision::failure_code::overloaded,
                                                         "this router has too many callers")));
        return std::nullopt;
    }
    auto fields = read_fields(connection);
    if (const auto* fault = std::get_if<error_response>(&fields)) {
        this->refuse(connection, *fault);
        return std::nullopt;
    }
    admitted caller;
    caller.fields = std::get<caller_fields>(std::move(fields));
    caller.configuration = this->deps.configuration.get();
    if (!caller.configuration) {
        this->refuse(connection,
                     to_error_response(retryable_failure(decision::failure_code::config_unconfirmed,
                                                         "no configuration has come yet")));
        return std::nullopt;
    }
    caller.team = caller.configuration->find_team_by_key(caller.fields.key_digest);
    if (caller.team == nullptr) {
        this->refuse(connection, make_rejection(status_unauthorized, "unknown_key",
                                                "Authorization: found no key of a team"));
        return std::nullopt;
    }
    auto body = read_body(connection, this->deps.settings.max_body_bytes);
    if (const auto* fault = std::get_if<error_response>(&body)) {
        this->refuse(connection, *fault);
        return std::nullopt;
    }
    caller.body = std::get<std::string>(std::move(body));
    return caller;
}

exchange_ptr caller_server::make_exchange(const admitted& from)
{
    exchange_ptr request(new exchange);
    request->ticket = this->next_ticket++;
    request->team = from.team->name;
    request->request_id = request_id_of(from.team->name, from.fields.idempotency_key);
    request->priority = from.fields.priority;
    request->content_type = from.fields.content_type;
    request->arrived_at = std::chrono::steady_clock::now();
    return request;
}

decision::instant caller_server::deadline_of(const caller_fields& fields) const
{
    const auto& settings = this->deps.settings;
    return now() +
           std::min(fields.deadline.value_or(settings.default_deadline), settings.longest_deadline);
}

bool caller_server::dispatch(mg_connection* connection, decision::arrival arrival,
                             const exchange_ptr& request)
{
    routing_event event = request_arrived{std::move(arrival), request};
    if (this->deps.routing.offer(event)) {
        return true;
    }
    this->refuse(connection,
                 to_error_response(retryable_failure(decision::failure_code::overloaded,
                                                     "this router has too many events waiting")));
    return false;
}

// Fills in the fields of an arrival that all kinds of requests have.
decision::arrival caller_server::arrival_of(const admitted& from, const exchange_ptr& request) const
{
    decision::arrival arrival;
    arrival.ticket = request->ticket;
    arrival.team = request->team;
    arrival.key_sha256 = from.fields.key_digest;
    arrival.idempotent = request->idempotent;
    arrival.streamed = request->streamed;
    arrival.priority = request->priority;
    arrival.deadline = this->deadline_of(from.fields);
    return arrival;
}

void caller_server::serve_chat(mg_connection* connection)
{
    const active_guard guard(this->active);
    const auto caller = this->admit(connection, guard.position());
    if (!caller) {
        return;
    }
    auto chat = read_chat(caller->body);
    if (const auto* fault = std::get_if<error_response>(&chat)) {
        this->refuse(connection, *fault);
        return;
    }
    const auto& read = std::get<chat_body>(chat);
    auto session = this->read_session(*caller, read.requested_model);
    if (!session) {
        this->refuse(connection,
                     make_rejection(status_bad_request, "bad_session",
                                    "Pearhaven-Session: found a token that is not this team's"));
        return;
    }
    const auto request = this->make_exchange(*caller);
    request->streamed = read.streamed;
    request->idempotent = caller->fields.idempotent.value_or(true);
    request->body = read.rest;

    auto arrival = this->arrival_of(*caller, request);
    arrival.asked = read.requested_model;
    arrival.work =
        decision::estimate_work(read.prompt.size(), read.max_tokens, caller->fields.kind);
    arrival.prefix_hash = decision::fingerprint("", "", read.prompt.substr(0, affinity_prefix));
    arrival.fingerprint = decision::fingerprint(request->team, read.requested_model, read.rest);
    if (!session->version.empty()) {
        arrival.bound = *session;
    }
    const auto headers_of = [&](const std::string& version) {
        header_list headers = {{"Pearhaven-Request", request->request_id},
                               {"Pearhaven-Version", version}};
        if (!caller->fields.session.empty()) {
            session->version = version;
            headers.emplace_back("Pearhaven-Session", this->seal(*caller, *session));
        }
        return headers;
    };
    if (read.streamed) {
        streamed_chat relay(connection, request, this->deps.client);
        this->serve(connection, *caller, request, std::move(arrival), relay, headers_of);
    } else {
        collected_chat relay(connection, request, this->deps.client);
        this->serve(connection, *caller, request, std::move(arrival), relay, headers_of);
    }
}

// The session that the caller names. A new session has no version yet. Returns nothing for a token
// that is forged or belongs to another team.
std::optional<decision::session> caller_server::read_session(const admitted& caller,
                                                             const std::string& asked) const
{
    const auto& token = caller.fields.session;
    if (token.empty() || token == "new") {
        return decision::session{adapters::random_identifier(), caller.team->name, asked, ""};
    }
    auto bound = decision::open_session(token, caller.configuration->session_keys(),
                                        this->deps.session_keys);
    if (!bound || bound->team != caller.team->name) {
        return std::nullopt;
    }
    return bound;
}

std::string caller_server::seal(const admitted& caller, const decision::session& session) const
{
    const auto newest = caller.configuration->session_keys().front();
    return decision::seal_session(session, newest, this->deps.session_keys);
}

// Claims the request if necessary, passes it to the dispatcher and writes the answer.
void caller_server::serve(mg_connection* connection, const admitted& caller,
                          const exchange_ptr& request, decision::arrival arrival,
                          answer_relay& relay, const answer_relay::version_headers& headers_of)
{
    request_claim claim(this->deps.fleet, request);
    if (!this->acquire_claim(connection, claim, caller.fields, request->idempotent)) {
        return;
    }
    const auto kind = class_name(arrival.work.kind);
    if (!this->dispatch(connection, std::move(arrival), request)) {
        return;
    }
    const auto end = relay.run(headers_of);
    this->finish(connection, request, claim, end, kind);
}

// Requests without an idempotency key cannot be distinguished, so they are not claimed. The
// dispatcher then only ensures that this send runs at most once.
bool caller_server::acquire_claim(mg_connection* connection, request_claim& claim,
                                  const caller_fields& fields, bool idempotent)
{
    if (idempotent || fields.idempotency_key.empty()) {
        return true;
    }
    const auto refused = claim.acquire(fields.idempotency_key);
    if (refused) {
        this->refuse(connection, to_error_response(*refused));
    }
    return !refused;
}

void caller_server::finish(mg_connection* connection, const exchange_ptr& request,
                           request_claim& claim, const relay_end& end, const std::string& kind)
{
    if (end.caller_gone) {
        this->deps.routing.submit(caller_gone{request->ticket});
        claim.settle(decision::run_state::unknown, end.outcome);
    } else {
        claim.settle(end.completed ? decision::run_state::ran : end.why.run, end.outcome);
    }
    if (!end.completed) {
        mg_disable_connection_keep_alive(connection);
    }
    const std::string result = end.completed     ? "completed"
                               : end.caller_gone ? "caller_gone"
                                                 : "failed";
    const adapters::metric_labels labels = {{"team", request->team}, {"class", kind}};
    this->deps.counts.add("pearhaven_requests_total",
                          {{"team", request->team}, {"class", kind}, {"result", result}});
    const auto total = std::chrono::steady_clock::now() - request->arrived_at;
    this->deps.counts.observe("pearhaven_request_seconds", labels,
                              std::chrono::duration_cast<std::chrono::microseconds>(total));
    if (end.first_piece.count() > 0) {
        this->deps.counts.observe("pearhaven_first_token_seconds", labels, end.first_piece);
    }
}

void caller_server::serve_models(mg_connection* connection)
{
    const active_guard guard(this->active);
    const auto caller = this->admit(connection, guard.position());
    if (!caller) {
        return;
    }
    auto list = nlohmann::json::array();
    for (const auto& [name, version] : caller->configuration->versions()) {
        if (caller->configuration->allows(*caller->team, version)) {
            list.push_back({{"id", name}, {"object", "model"}, {"owned_by", version.model}});
        }
    }
    const nlohmann::json body = {{"object", "list"}, {"data", list}};
    send_answer(connection, status_ok, "application/json", {}, body.dump());
}

void caller_server::serve_service(mg_connection* connection)
{
    const active_guard guard(this->active);
    const auto caller = this->admit(connection, guard.position());
    if (!caller) {
        return;
    }
    const auto* info = mg_get_request_info(connection);
    // The path as the caller encoded it, since a decoded path could not be forwarded.
    const auto path = std::string(info->request_uri).substr(services_prefix.size());
    const auto name = path.substr(0, path.find('/'));
    const auto request = this->make_exchange(*caller);
    request->is_service = true;
    request->streamed = true;
    request->method = info->request_method;
    request->idempotent = this->is_idempotent_call(*caller, name, request->method);
    request->path = path.size() > name.size() ? path.substr(name.size()) : "/";
    if (info->query_string != nullptr) {
        request->path.append("?").append(info->query_string);
    }
    request->body = caller->body;

    auto arrival = this->arrival_of(*caller, request);
    arrival.asked = name;
    arrival.is_service = true;
    arrival.work =
        decision::work_estimate{caller->fields.kind.value_or(decision::work_class::lookup), 1.0};
    arrival.fingerprint =
        decision::fingerprint(request->team, name, request->path + "\n" + request->body);
    const auto headers_of = [&](const std::string& /*target*/) {
        return header_list{{"Pearhaven-Request", request->request_id}};
    };
    service_answer relay(connection, request, this->deps.client);
    this->serve(connection, *caller, request, std::move(arrival), relay, headers_of);
}

// The configuration takes precedence over the caller's header, except that a caller may always
// declare its call as not idempotent.
bool caller_server::is_idempotent_call(const admitted& caller, const std::string& service_name,
                                       const std::string& method)
{
    const auto found = caller.configuration->services().find(service_name);
    if (found == caller.configuration->services().end()) {
        return true; // the unknown service is refused later
    }
    const auto& repeatable = found->second.idempotent_methods;
    const bool by_method =
        std::find(repeatable.begin(), repeatable.end(), method) != repeatable.end();
    return (found->second.idempotent || by_method) && caller.fields.idempotent.value_or(true);
}

} // namespace pearhaven::router
