#ifndef PEARHAVEN_DECISION_PEER_LOADS_HPP
#define PEARHAVEN_DECISION_PEER_LOADS_HPP

#include "pearhaven/decision/endpoint_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pearhaven::decision {

// What the other routers have report that they hold at the endpoints, added up. Each router's
// newest word replaces its earlier one; a router that falls silent counts for nothing after a
// while, since its callers have gone elsewhere or its work has ended unheard.
class peer_loads {
public:
    struct sum {
        std::int64_t requests = 0;
        double work = 0.0;
        std::int64_t writing = 0; // answers
    };

    // All that the router holds; what it does not name it does not hold.
    void on_report(const std::string& router, std::vector<endpoint_load> loads, instant now);

    // Drops the reports older than the lifetime.
    void expire(instant now, duration lifetime);

    // Routers that have report something of late.
    [[nodiscard]] std::size_t routers() const { return this->reports.size(); }

    // Only at this incarnation: what was sent to an earlier one ended with it.
    [[nodiscard]] sum of(const endpoint_host& where) const;

private:
    struct peer_report {
        std::vector<endpoint_load> loads;
        instant received;
    };

    struct incarnation_sum {
        std::uint64_t incarnation = 0;
        sum total;
    };

    // `sign` is 1 to count the word in, -1 to take it out again.
    void add(const peer_report& report, int sign);

    std::map<std::string, peer_report> reports;                         // by router
    std::unordered_map<std::string, std::vector<incarnation_sum>> sums; // by address
};

} // namespace pearhaven::decision

#endif
