#ifndef PEARHAVEN_DECISION_LOAD_FORECAST_HPP
#define PEARHAVEN_DECISION_LOAD_FORECAST_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace pearhaven::decision {

// Forecasts the time from sending a run to the first piece of its answer, by kind of request and
// model size: the part of the observed times that the known backlog did not account for, plus the
// present backlog. That part is negative if runs wait for less than the backlog.
class load_forecast {
public:
    // Older samples give no forecast. While a forecast prevents runs of a size, nothing new is
    // learned about it, so a mean learned under load would otherwise last beyond the load.
    static constexpr duration sample_lifetime = std::chrono::seconds(10);

    // `backlog` is the one known when the run was sent.
    void on_first_piece(const std::string& kind, std::uint32_t size, duration observed,
                        duration backlog, instant now);

    // Nothing without a sample of this kind and size.
    [[nodiscard]] std::optional<duration> first_piece(const std::string& kind, std::uint32_t size,
                                                      duration backlog, instant now) const;

    // The mean difference between the observed times and their forecasts; zero if unknown.
    [[nodiscard]] duration error(std::uint32_t size) const;

private:
    struct mean {
        double microseconds = 0.0;
        instant newest;
    };

    std::map<std::pair<std::string, std::uint32_t>, mean> own_parts; // by kind and size
    std::map<std::uint32_t, double> errors;                          // by size, in microseconds
};

} // namespace pearhaven::decision

#endif
