#ifndef PEARHAVEN_ROUTER_ROLLOUT_SUBJECT_HPP
#define PEARHAVEN_ROUTER_ROLLOUT_SUBJECT_HPP

#include <cstdint>
#include <string>

namespace pearhaven::router {

// The counts of a rollout that a router publishes, since the attempt began.
inline constexpr const char* good_outcomes = "good";
inline constexpr const char* bad_outcomes = "bad";
inline constexpr const char* remaining_callers = "left";

// Subject of the fact. It contains the attempt's number, so that counts of an earlier attempt do
// not apply to the next one of the same name.
inline std::string rollout_subject(const std::string& name, std::uint64_t run, const char* what)
{
    return name + "/" + std::to_string(run) + "/" + what;
}

} // namespace pearhaven::router

#endif
