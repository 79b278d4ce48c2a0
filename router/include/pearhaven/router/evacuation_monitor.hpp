#ifndef PEARHAVEN_ROUTER_EVACUATION_MONITOR_HPP
#define PEARHAVEN_ROUTER_EVACUATION_MONITOR_HPP

#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/decision/configuration.hpp"

#include <map>
#include <string>
#include <string_view>

namespace pearhaven::router {

// Where a configuration came from, for the log.
struct configuration_source {
    std::string_view name;    // "store"; on the own interface "configuration"
    decision::duration age{}; // since the source last confirmed it
    std::uint64_t revision = 0;

    friend bool operator==(const configuration_source&, const configuration_source&) = default;
};

// Logs each evacuation and restoration of an availability zone once, and publishes one gauge for
// each zone: 1 while it is evacuated, 0 after that.
class evacuation_monitor {
public:
    // `published` must outlive the monitor.
    explicit evacuation_monitor(adapters::metrics& published) : counts(published) {}

    // Must be called with each configuration once the dispatcher has applied it.
    void on_configuration(const decision::configuration& current,
                          const configuration_source& source);

private:
    void report(const decision::evacuation& object, bool evacuated,
                const configuration_source& source);

    adapters::metrics& counts;
    std::map<std::string, decision::evacuation> known; // by zone
};

} // namespace pearhaven::router

#endif
