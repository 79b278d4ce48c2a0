#ifndef PEARHAVEN_DECISION_TIME_HPP
#define PEARHAVEN_DECISION_TIME_HPP

#include <chrono>
#include <cstdint>

namespace pearhaven::decision {

// Resolution of every time that a decision handles.
using duration = std::chrono::microseconds;

// A clock that cannot be read: decisions are told the time, they never ask for it. That keeps them
// repeatable in tests and usable in any embedding.
struct external_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<external_clock>;
    static constexpr bool is_steady = true;
};

// A point on the embedding process's monotonic clock. Instants of two processes do not compare.
using instant = external_clock::time_point;

} // namespace pearhaven::decision

#endif
