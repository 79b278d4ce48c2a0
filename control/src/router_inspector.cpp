#include "router_inspector.hpp"

#include "pearhaven/adapters/shallow_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <limits>
#include <mutex>

namespace pearhaven::control {

namespace {

using coordination::member;
using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr std::size_t max_status_bytes = std::size_t{4} << 20U;

// Bounds the number of open connections when hundreds of routers are queried.
constexpr std::size_t max_concurrent_queries = 64;

router_status status_with_problem(std::string text)
{
    router_status status;
    status.problem = std::move(text);
    return status;
}

bool is_count(const json& page, const char* field)
{
    return page.contains(field) && page[field].is_number_unsigned();
}

bool is_flag(const json& page, const char* field)
{
    return page.contains(field) && page[field].is_boolean();
}

bool is_text(const json& page, const char* field)
{
    return page.contains(field) && page[field].is_string();
}

bool is_status_page(const json& page)
{
    return page.is_object() && is_text(page, "incarnation") && is_count(page, "revision") &&
           is_flag(page, "ready") && is_flag(page, "draining") && is_count(page, "in_flight");
}

bool is_port(const json& page, const char* field)
{
    return is_count(page, field) && page[field] > 0 &&
           page[field] <= std::numeric_limits<std::uint16_t>::max();
}

bool is_live_member(const json& value)
{
    return value.is_object() && is_text(value, "incarnation") && is_text(value, "host") &&
           is_text(value, "zone") && is_text(value, "state") && is_port(value, "operator_port") &&
           value["state"] != "dead";
}

std::vector<member> read_live_members(const json& page)
{
    std::vector<member> members;
    for (const auto& value : page.value("members", json::array())) {
        if (is_live_member(value)) {
            member router;
            router.id = value["incarnation"];
            router.host = value["host"];
            router.zone = value["zone"];
            router.operator_port = value["operator_port"];
            members.push_back(std::move(router));
        }
    }
    return members;
}

// Collects statuses from the HTTP client's thread and lets the calling thread wait for all of them.
class status_collector {
public:
    status_collector(std::vector<router_status>& all, std::size_t expected)
        : statuses(all), pending(expected)
    {}

    void put(std::size_t index, router_status status)
    {
        const std::lock_guard guard(this->mutex);
        this->statuses[index] = std::move(status);
        --this->pending;
        this->status_received.notify_one();
    }

    void wait()
    {
        std::unique_lock guard(this->mutex);
        this->status_received.wait(guard, [this] { return this->pending == 0; });
    }

private:
    std::vector<router_status>& statuses;
    std::size_t pending;
    std::mutex mutex;
    std::condition_variable status_received;
};

} // namespace

router_status read_status(const adapters::http_answer& answer,
                          const coordination::incarnation_id& expected)
{
    if (answer.result.error) {
        return status_with_problem("no answer: " + answer.result.error.message());
    }
    if (answer.result.status == status_unauthorized) {
        return status_with_problem("refused the operator key");
    }
    if (answer.result.status != status_ok) {
        return status_with_problem("answered with status " + std::to_string(answer.result.status));
    }
    const json page = adapters::parse_shallow_json(answer.body).value;
    if (!is_status_page(page)) {
        return status_with_problem("the response is not a valid status");
    }
    if (page["incarnation"] != expected) {
        return status_with_problem("its address now belongs to router " +
                                   page["incarnation"].get<std::string>());
    }
    router_status status;
    status.revision = page["revision"];
    status.ready = page["ready"];
    status.draining = page["draining"];
    status.in_flight = page["in_flight"];
    status.members = read_live_members(page);
    if (is_count(page, "confirmed_age_ms")) {
        status.confirmed_age_ms = page["confirmed_age_ms"].get<std::uint64_t>();
    }
    return status;
}

http_router_inspector::http_router_inspector(adapters::http_client& http, std::string key,
                                             std::chrono::milliseconds request_timeout)
    : client(http), operator_key(std::move(key)), timeout(request_timeout)
{}

std::vector<router_status> http_router_inspector::query_status(const std::vector<member>& routers)
{
    std::vector<router_status> statuses(routers.size());
    for (std::size_t first = 0; first < routers.size(); first += max_concurrent_queries) {
        const std::size_t end = std::min(first + max_concurrent_queries, routers.size());
        status_collector answers(statuses, end - first);
        for (std::size_t index = first; index < end; ++index) {
            const auto on_answer = [&answers, index,
                                    id = routers[index].id](const adapters::http_answer& answer) {
                answers.put(index, read_status(answer, id));
            };
            adapters::fetch(this->client, this->status_request(routers[index]), max_status_bytes,
                            on_answer);
        }
        answers.wait();
    }
    return statuses;
}

adapters::http_request http_router_inspector::status_request(const member& router) const
{
    adapters::http_request request;
    request.url =
        "http://" + router.host + ":" + std::to_string(router.operator_port) + "/v1/status";
    request.headers = {{"Authorization", "Bearer " + this->operator_key}};
    request.connect_timeout = this->timeout;
    request.first_byte_timeout = this->timeout;
    request.total_timeout = this->timeout;
    return request;
}

} // namespace pearhaven::control
