#ifndef PEARHAVEN_DECISION_TIME_HPP
#define PEARHAVEN_DECISION_TIME_HPP

#include <chrono>
#include <cstdint>

namespace pearhaven::decision {

// Resolution of all times in the decision library.
using duration = std::chrono::microseconds;

// A clock without `now()`: the time is passed in by the caller. This keeps decisions reproducible
// in tests and independent of the embedding process.
struct external_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<external_clock>;
    static constexpr bool is_steady = true;
};

// A point on the embedding process's monotonic clock. Instants of two processes are not comparable.
using instant = external_clock::time_point;

} // namespace pearhaven::decision

#endif
