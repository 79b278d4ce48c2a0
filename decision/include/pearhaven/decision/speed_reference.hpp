#ifndef PEARHAVEN_DECISION_SPEED_REFERENCE_HPP
#define PEARHAVEN_DECISION_SPEED_REFERENCE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace pearhaven::decision {

// The time to the first token that four of five answers of a model keep to, as a measure for
// another version of it. Means would not do: waits behind long prompts stretch some answers
// tenfold, and a version that is slow for half of its answers moves a mean less than such a wait
// does.
class speed_reference {
public:
    // An answer of a version that no roll-out watches.
    void learn(const std::string& model, std::uint32_t size, duration first_token);

    // Whether an answer took longer; nothing while too little is known.
    [[nodiscard]] std::optional<bool> is_slow(const std::string& model, std::uint32_t size,
                                              duration first_token) const;

private:
    struct estimate {
        double time = 0.0; // microseconds
        std::uint32_t samples = 0;
    };

    std::map<std::pair<std::string, std::uint32_t>, estimate> estimates;
};

} // namespace pearhaven::decision

#endif
