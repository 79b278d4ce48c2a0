#ifndef PEARHAVEN_DECISION_RECENT_ENDS_HPP
#define PEARHAVEN_DECISION_RECENT_ENDS_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pearhaven::decision {

// The endpoints' incarnations that have left the host list lately. Not thread-safe.
class recent_ends {
public:
    // Above `max_count`, all of them are forgotten.
    recent_ends(duration kept_for, std::size_t max_count) : lifetime(kept_for), max_ends(max_count)
    {}

    void add(const std::string& address, std::uint64_t incarnation, instant now)
    {
        std::erase_if(this->ends,
                      [this, now](const auto& end) { return now - end.second > this->lifetime; });
        if (this->ends.size() >= this->max_ends) {
            this->ends.clear();
        }
        this->ends.insert_or_assign({address, incarnation}, now);
    }

    [[nodiscard]] bool contains(const std::string& address, std::uint64_t incarnation) const
    {
        return this->ends.count({address, incarnation}) > 0;
    }

private:
    duration lifetime;
    std::size_t max_ends;
    std::map<std::pair<std::string, std::uint64_t>, instant> ends;
};

} // namespace pearhaven::decision

#endif
