#include "pearhaven/router/evacuation_monitor.hpp"

#include "pearhaven/adapters/log.hpp"

namespace pearhaven::router {

void evacuation_monitor::on_configuration(const decision::configuration& current,
                                          const configuration_source& source)
{
    if (current.evacuations() == this->known) {
        return;
    }
    for (const auto& [zone, object] : this->known) {
        if (!current.is_evacuated(zone)) {
            this->report(object, false, source);
        }
    }
    for (const auto& [zone, object] : current.evacuations()) {
        if (this->known.count(zone) == 0) {
            this->report(object, true, source);
        }
    }
    this->known = current.evacuations();
}

void evacuation_monitor::report(const decision::evacuation& object, bool evacuated,
                                const configuration_source& source)
{
    this->counts.set("pearhaven_zone_evacuated", {{"zone", object.zone}}, evacuated ? 1.0 : 0.0);
    adapters::log_change(evacuated ? "zone_evacuated" : "zone_restored",
                         {{"zone", object.zone},
                          {"by", object.by},
                          {"since_unix_ms", std::to_string(object.unix_ms)},
                          {"source", std::string(source.name)},
                          {"revision", std::to_string(source.revision)},
                          {"age_ms", adapters::milliseconds(source.age)}});
}

} // namespace pearhaven::router
