#include "key_value_wire.hpp"

#include "pearhaven/adapters/percent_encoding.hpp"

#include <nlohmann/json.hpp>

#include <type_traits>

namespace pearhaven::adapters {

namespace {

using namespace coordination;
using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;

template <class Request, class... Kinds>
constexpr bool is_one_of = (std::is_same_v<Request, Kinds> || ...);

template <class Request>
constexpr bool is_read = is_one_of<Request, kv_get, kv_range, kv_watch>;

// Rounds up, so that the service never expires a lease before its holder expects it.
std::int64_t to_milliseconds(decision::duration time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time).count();
}

struct call {
    std::string method;
    std::string path;
    std::string body;
};

call post(std::string path, const json& body)
{
    return {"POST", std::move(path), body.dump()};
}

call to_call(const kv_get& request)
{
    return {"GET", "/v1/kv?key=" + percent_encoded(request.key), {}};
}

call to_call(const kv_range& request)
{
    return {"GET", "/v1/range?prefix=" + percent_encoded(request.prefix), {}};
}

call to_call(const kv_watch& request)
{
    return {"GET",
            "/v1/watch?prefix=" + percent_encoded(request.prefix) +
                "&after=" + std::to_string(request.after) +
                "&wait_ms=" + std::to_string(to_milliseconds(request.wait)),
            {}};
}

call to_call(const kv_compare_and_swap& request)
{
    return post("/v1/cas", {{"key", request.key},
                            {"value", request.value},
                            {"expected", request.expected},
                            {"lease", request.lease}});
}

call to_call(const kv_delete& request)
{
    return post("/v1/delete", {{"key", request.key}, {"expected", request.expected}});
}

call to_call(const kv_grant_lease& request)
{
    return post("/v1/lease", {{"ttl_ms", to_milliseconds(request.time_to_live)}});
}

call to_call(const kv_renew_lease& request)
{
    return post("/v1/lease/renew", {{"lease", request.lease}});
}

call to_call(const kv_revoke_lease& request)
{
    return post("/v1/lease/revoke", {{"lease", request.lease}});
}

bool has_allowed_size(const kv_request& request)
{
    const auto* const write = std::get_if<kv_compare_and_swap>(&request);
    return write == nullptr || write->value.size() <= max_value_bytes;
}

std::chrono::milliseconds watch_wait(const kv_request& request)
{
    const auto* const watch = std::get_if<kv_watch>(&request);
    return std::chrono::milliseconds(watch == nullptr ? 0 : to_milliseconds(watch->wait));
}

bool read_number(const json& object, const char* name, std::uint64_t& number)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return false;
    }
    number = found->get<std::uint64_t>();
    return true;
}

bool read_text(const json& object, const char* name, std::string& text)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        return false;
    }
    text = found->get<std::string>();
    return true;
}

bool read_entries(const json& object, std::vector<kv_entry>& entries)
{
    const auto found = object.find("entries");
    if (found == object.end() || !found->is_array()) {
        return false;
    }
    for (const json& item : *found) {
        kv_entry entry;
        const bool complete = item.is_object() && read_text(item, "key", entry.key) &&
                              read_text(item, "value", entry.value) &&
                              read_number(item, "revision", entry.revision);
        if (!complete) {
            return false;
        }
        entries.push_back(std::move(entry));
    }
    return true;
}

bool is_certainly_not_applied(const http_answer& answer)
{
    if (answer.result.error) {
        return !answer.result.request_sent;
    }
    return answer.result.status == status_unavailable || answer.result.status == status_too_large;
}

template <class Request>
bool read_success(const json& body, kv_reply& reply)
{
    reply.outcome = kv_outcome::ok;
    if constexpr (is_one_of<Request, kv_renew_lease, kv_revoke_lease>) {
        return true;
    } else if constexpr (is_one_of<Request, kv_grant_lease>) {
        return read_number(body, "lease", reply.lease) && reply.lease != 0;
    } else if constexpr (is_one_of<Request, kv_compare_and_swap, kv_delete>) {
        return read_number(body, "revision", reply.revision);
    } else {
        return read_number(body, "revision", reply.revision) && read_entries(body, reply.entries);
    }
}

template <class Request>
bool read_not_found(const json& body, kv_reply& reply)
{
    reply.outcome = kv_outcome::not_found;
    if constexpr (is_one_of<Request, kv_get>) {
        // Without the revision, the 404 may come from another server, and an existing key would
        // appear absent.
        return read_number(body, "revision", reply.revision);
    } else {
        return !is_read<Request>;
    }
}

template <class Request>
bool read_conflict(const json& body, kv_reply& reply)
{
    reply.outcome = kv_outcome::conflict;
    if constexpr (is_one_of<Request, kv_compare_and_swap, kv_delete>) {
        return read_number(body, "revision", reply.revision) && read_entries(body, reply.entries);
    } else {
        return false;
    }
}

template <class Request>
bool read_answer(const http_answer& answer, kv_reply& reply)
{
    if (answer.result.error) {
        return false;
    }
    json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        body = json::object();
    }
    switch (answer.result.status) {
    case status_ok:
        return read_success<Request>(body, reply);
    case status_not_found:
        return read_not_found<Request>(body, reply);
    case status_conflict:
        return read_conflict<Request>(body, reply);
    default:
        return false;
    }
}

template <class Request>
kv_reply reply_to(const http_answer& answer)
{
    kv_reply reply;
    if (read_answer<Request>(answer, reply)) {
        return reply;
    }
    kv_reply failure;
    const bool not_applied = is_read<Request> || is_certainly_not_applied(answer);
    failure.outcome = not_applied ? kv_outcome::unavailable : kv_outcome::unknown;
    return failure;
}

} // namespace

std::optional<http_request> to_http(const kv_request& request, const std::string& base_url,
                                    std::chrono::milliseconds timeout)
{
    if (!has_allowed_size(request)) {
        return std::nullopt;
    }
    http_request http;
    try {
        call http_call = std::visit([](const auto& kind) { return to_call(kind); }, request);
        http.method = std::move(http_call.method);
        http.url = base_url + http_call.path;
        http.body = std::move(http_call.body);
    } catch (const json::exception&) {
        return std::nullopt; // not UTF-8
    }
    if (!http.body.empty()) {
        http.headers.emplace_back("Content-Type", "application/json");
    }
    const std::chrono::milliseconds max_time = timeout + watch_wait(request);
    http.connect_timeout = timeout;
    http.first_byte_timeout = max_time;
    http.progress_timeout = timeout;
    http.total_timeout = max_time;

    // A write sent twice could conflict with its own first copy, and the conflict would be read as
    // "not applied".
    http.may_resend =
        std::visit([](const auto& kind) { return is_read<std::decay_t<decltype(kind)>>; }, request);
    return http;
}

kv_reply to_reply(const kv_request& request, const http_answer& answer)
{
    return std::visit(
        [&answer](const auto& kind) { return reply_to<std::decay_t<decltype(kind)>>(answer); },
        request);
}

} // namespace pearhaven::adapters
