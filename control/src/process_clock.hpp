#ifndef PEARHAVEN_CONTROL_PROCESS_CLOCK_HPP
#define PEARHAVEN_CONTROL_PROCESS_CLOCK_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <string>

namespace pearhaven::control {

// Port to the system's clocks. The fake for tests returns from sleep() at once.
class process_clock {
public:
    virtual ~process_clock() = default;
    [[nodiscard]] virtual decision::instant now() const = 0; // monotonic
    [[nodiscard]] virtual std::uint64_t unix_ms() const = 0; // for display and records only
    virtual void sleep(decision::duration time) = 0;
};

class system_clock : public process_clock {
public:
    [[nodiscard]] decision::instant now() const override;
    [[nodiscard]] std::uint64_t unix_ms() const override;
    void sleep(decision::duration time) override;
};

// "2026-03-12 18:04:05Z"
std::string utc_text(std::uint64_t unix_ms);

} // namespace pearhaven::control

#endif
