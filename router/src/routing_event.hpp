#ifndef PEARHAVEN_ROUTER_ROUTING_EVENT_HPP
#define PEARHAVEN_ROUTER_ROUTING_EVENT_HPP

#include "exchange.hpp"

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/dispatcher.hpp"

#include <string>
#include <variant>
#include <vector>

namespace pearhaven::router {

struct request_arrived {
    decision::arrival what;
    exchange_ptr caller;
};

struct attempt_ended {
    decision::attempt_end end;
    usage used;
    std::string last_event;
};

struct caller_gone {
    decision::ticket_number ticket = 0;
};

struct configuration_changed {
    decision::configuration_ptr current;
};

// The time until which this router may treat its configuration as the one in force.
struct config_validity_changed {
    decision::instant until;
};

struct hosts_listed {
    std::vector<decision::endpoint_host> hosts;
};

struct load_reported {
    std::string address;
    decision::load_report report;
};

struct endpoint_leaving_reported {
    std::string address;
    std::uint64_t incarnation = 0;
};

struct suspect_status_reported {
    std::uint64_t fingerprint = 0;
    decision::suspect_table::suspect_status status = decision::suspect_table::suspect_status::clear;
};

// Another router's evidence has stopped an attempt to roll out the version.
struct version_trip_reported {
    std::string version;
    std::uint64_t run = 0;
};

// This router's position among all live routers.
struct fleet_changed {
    std::size_t rank = 0;
    std::size_t size = 1;

    friend bool operator==(const fleet_changed&, const fleet_changed&) = default;
};

// A graceful stop: no new work from now on.
struct drain_begun {
    decision::planned_stop times;
};

using routing_event =
    std::variant<request_arrived, attempt_ended, caller_gone, configuration_changed,
                 config_validity_changed, hosts_listed, load_reported, endpoint_leaving_reported,
                 suspect_status_reported, version_trip_reported, fleet_changed, drain_begun>;

// Interface through which other threads send events to the routing thread. Thread-safe.
class routing_sink {
public:
    virtual ~routing_sink() = default;

    // Blocks until there is space; returns false if the routing thread has stopped.
    virtual bool submit(routing_event event) = 0;

    // Returns false at once if there is no space. For new work, which can be refused.
    virtual bool offer(routing_event& event) = 0;
};

} // namespace pearhaven::router

#endif
