#ifndef PEARHAVEN_DECISION_PROMPT_MAP_HPP
#define PEARHAVEN_DECISION_PROMPT_MAP_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pearhaven::decision {

// One incarnation of an endpoint. Its cache is lost when it ends.
struct endpoint_incarnation {
    std::uint64_t identity = 0;
    std::uint64_t incarnation = 0;

    friend bool operator==(const endpoint_incarnation&, const endpoint_incarnation&) = default;
};

// Tracks which prompt parts are probably cached at which endpoints. This is an estimate: endpoints
// evict the least recently used parts when their memory fills, without reporting it here.
class prompt_map {
public:
    // The endpoint processes the part, or still uses it.
    void record(const endpoint_incarnation& where, std::uint64_t part, instant now);

    // Probability, 0 to 1, that the part is still cached at the endpoint.
    [[nodiscard]] double cached(const endpoint_incarnation& where, std::uint64_t part,
                                instant now) const;

    // Drops entries that have probably been evicted. Cheap if called recently.
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
