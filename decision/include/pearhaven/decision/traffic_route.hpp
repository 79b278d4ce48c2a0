#ifndef PEARHAVEN_DECISION_TRAFFIC_ROUTE_HPP
#define PEARHAVEN_DECISION_TRAFFIC_ROUTE_HPP

#include "pearhaven/decision/time.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pearhaven::decision {

// How a request whose run was lost may be retried.
enum class work_kind : std::uint8_t {
    idempotent,       // may run again
    at_most_once,     // must not run again
    stream,           // must not run again; the answer comes in chunks
    resumable_stream, // another endpoint may resume after the last complete chunk
};

[[nodiscard]] constexpr bool is_streamed(work_kind kind)
{
    return kind == work_kind::stream || kind == work_kind::resumable_stream;
}

[[nodiscard]] constexpr bool may_run_again(work_kind kind)
{
    return kind == work_kind::idempotent || kind == work_kind::resumable_stream;
}

// One of the models or services that share a route's requests.
struct route_target {
    std::string name;
    std::uint32_t weight = 1; // share of the requests, relative to the other targets

    friend bool operator==(const route_target&, const route_target&) = default;
};

// The targets of requests for a host and path prefix, and the requirements on their answers.
struct traffic_route {
    std::string name;
    std::string host;        // without a port, in lower case
    std::string path_prefix; // begins and ends with a slash
    std::vector<route_target> targets;
    work_kind kind = work_kind::at_most_once;
    std::uint32_t max_attempts = 1;       // endpoints that one request may be sent to
    std::uint32_t priority = 5;           // 0 is most urgent
    duration timeout{};                   // max total wait; zero: unlimited
    duration objective{};                 // until the answer, or a stream's first chunk
    duration longest_pause{};             // between two chunks of a stream
    bool is_public = false;               // requires no API key
    std::vector<std::string> model_sizes; // smallest first; empty: the request names its model

    friend bool operator==(const traffic_route&, const traffic_route&) = default;
};

// Finds the route of a request: of the routes of its host, the one with the longest prefix of the
// path. Immutable and reference-counted; configurations with the same routes share one table.
class route_table : public boost::intrusive_ref_counter<route_table> {
public:
    route_table() = default;

    // Of several routes with the same name, the last one is kept.
    explicit route_table(std::vector<traffic_route> all);

    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table() = default;

    // Returns null if there is none. `host` may contain a port, `path` a query. The cost grows with
    // the length of the path, not with the number of routes.
    [[nodiscard]] const traffic_route* find(std::string_view host, std::string_view path) const;

    [[nodiscard]] const std::map<std::string, traffic_route>& by_name() const
    {
        return this->routes;
    }

    friend bool operator==(const route_table& left, const route_table& right)
    {
        return left.routes == right.routes;
    }

private:
    // Host names are case-insensitive.
    struct host_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view host) const;
    };
    struct same_host {
        using is_transparent = void;
        bool operator()(std::string_view left, std::string_view right) const;
    };

    // The routes of one host. The pointers refer to elements of `routes`.
    struct host_routes {
        std::unordered_map<std::string_view, const traffic_route*> by_prefix;
        std::vector<std::size_t> lengths; // distinct prefix lengths, longest first
    };

    void index(const traffic_route& one);

    std::map<std::string, traffic_route> routes;
    std::unordered_map<std::string_view, host_routes, host_hash, same_host> by_host;
};

using route_table_ptr = boost::intrusive_ptr<const route_table>;

// Draws a target with a probability proportional to its weight.
[[nodiscard]] const route_target* draw_target(const traffic_route& from, std::uint64_t random);

} // namespace pearhaven::decision

#endif
