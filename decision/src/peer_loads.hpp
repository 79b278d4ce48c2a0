#ifndef PEARHAVEN_DECISION_PEER_LOADS_HPP
#define PEARHAVEN_DECISION_PEER_LOADS_HPP

#include "pearhaven/decision/endpoint_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// The sum of the loads that the other routers report at the endpoints. A router's latest report
// replaces its previous one. Reports expire, because a silent router's callers have moved elsewhere
// or its requests have ended without a report. An empty one does not: an idle router sends nothing
// until it has requests again.
class peer_loads {
public:
    struct sum {
        std::int64_t requests = 0;
        double work = 0.0;
        std::int64_t writing = 0;  // answers being written
        std::int64_t doubting = 0; // routers that doubt the endpoint
    };

    // The complete load of the router; an endpoint that is not listed has none of its requests.
    void on_report(const std::string& router, std::vector<endpoint_load> loads, instant now);

    // Drops the reports older than `lifetime`.
    void expire(instant now, duration lifetime);

    // The router has ended.
    void drop(const std::string& router);

    // Number of routers with a current report.
    [[nodiscard]] std::size_t routers() const { return this->reports.size(); }

    // Requests in flight of all routers that report.
    [[nodiscard]] std::int64_t requests() const { return this->all_requests; }

    // Factor from the requests of the routers that report to those of `routers` in all. The others
    // are taken for usual ones: a router that gets most of the callers is the only one.
    [[nodiscard]] double extrapolation_to(std::size_t routers) const;

    // The same from those that report and one more, which holds `own`.
    [[nodiscard]] double extrapolation_with(std::int64_t own, std::size_t routers) const;

    // Only at this incarnation: requests sent to an earlier one ended with it.
    [[nodiscard]] sum of(const endpoint_host& where) const;

private:
    struct peer_report {
        std::vector<endpoint_load> loads;
        instant received;
        std::int64_t requests = 0; // sum of `loads`
    };

    struct incarnation_sum {
        std::uint64_t incarnation = 0;
        sum total;
    };

    // The factor from `held`, the requests of some routers, to those of `routers`.
    [[nodiscard]] static double extrapolation(std::vector<std::int64_t> held, std::size_t routers);

    // Requests of each router that reports.
    [[nodiscard]] std::vector<std::int64_t> held_by_router() const;

    // `sign` is 1 to add the report, -1 to remove it.
    void add(const peer_report& report, int sign);

    std::map<std::string, peer_report> reports; // by router
    std::int64_t all_requests = 0;

    // A result of `extrapolation_to` and its argument, for the present reports. Each choice among
    // many endpoints needs it for each of them.
    mutable std::optional<std::pair<std::size_t, double>> last_extrapolation;
    std::unordered_map<std::string, std::vector<incarnation_sum>> sums; // by address
};

} // namespace pearhaven::decision

#endif
