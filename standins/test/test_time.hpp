#ifndef PEARHAVEN_STANDINS_TEST_TIME_HPP
#define PEARHAVEN_STANDINS_TEST_TIME_HPP

#include "pearhaven/decision/time.hpp"

#include <chrono>
#include <cstdint>

// A point in the test's virtual time.
inline pearhaven::decision::instant at_ms(std::int64_t milliseconds)
{
    return pearhaven::decision::instant(std::chrono::milliseconds(milliseconds));
}

#endif
