#ifndef PEARHAVEN_ROUTER_ROLLOUT_SUBJECT_HPP
#define PEARHAVEN_ROUTER_ROLLOUT_SUBJECT_HPP

#include <cstdint>
#include <string>

namespace pearhaven::router {

// What a router tells the others of a roll-out: its counts since the attempt began.
inline constexpr const char* good_outcomes = "good";
inline constexpr const char* bad_outcomes = "bad";
inline constexpr const char* remaining_callers = "left";

// Subject of the fact. It holds the attempt's number, so that what was told of an earlier attempt
// does not count for the next one of the same name.
inline std::string rollout_subject(const std::string& name, std::uint64_t run, const char* what)
{
    return name + "/" + std::to_string(run) + "/" + what;
}

} // namespace pearhaven::router

#endif
