#ifndef PEARHAVEN_DECISION_PROMPT_MAP_HPP
#define PEARHAVEN_DECISION_PROMPT_MAP_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pearhaven::decision {

// One life of an endpoint. What it had read is gone with it.
struct endpoint_incarnation {
    std::uint64_t identity = 0;
    std::uint64_t incarnation = 0;

    friend bool operator==(const endpoint_incarnation&, const endpoint_incarnation&) = default;
};

// Which parts of prompts which endpoints have read of late, and so need not read again. It is a
// belief: endpoints drop what they have not used for longest as their memory fills, and do not tell
// it here.
class prompt_map {
public:
    // The endpoint reads the part, or has it in use still.
    void record(const endpoint_incarnation& where, std::uint64_t part, instant now);

    // How likely the endpoint has the part still, 0 to 1.
    [[nodiscard]] double cached(const endpoint_incarnation& where, std::uint64_t part,
                                instant now) const;

    // Drops what no endpoint is likely to have. Cheap where it was called a moment ago.
    void expire(instant now);

    [[nodiscard]] std::size_t size() const { return this->locations.size(); }

private:
    struct location {
        endpoint_incarnation where;
        instant used;
    };

    std::unordered_map<std::uint64_t, std::vector<location>> locations; // by part
    instant expired_at;
};

} // namespace pearhaven::decision

#endif
