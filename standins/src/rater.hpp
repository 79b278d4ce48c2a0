#ifndef PEARHAVEN_STANDINS_RATER_HPP
#define PEARHAVEN_STANDINS_RATER_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace pearhaven::standins {

// How answers are rated, and the faults injected into the rating service.
struct rating_settings {
    bool outage = false;
    std::uint64_t lag_ms = 0;
    double noise = 0;
    double gaps = 0;
    std::string quality; // share of good answers per version, like `a=0.7,b=0.95`; else 1
};

struct rated_answer {
    std::string request;
    std::string version;
    std::string text;
};

// Whether the answer is good by its text and its version's quality, before noise. A version with
// quality 0.7 always answers the same 70% of the requests well, and a request that a version of
// lower quality answers well is also answered well by one of higher quality.
bool is_good(const rated_answer& answer, const std::string& quality);

// The rating that the service returns, inverted by noise for some requests. Empty: no rating.
std::optional<bool> rate(const rated_answer& answer, const rating_settings& settings);

} // namespace pearhaven::standins

#endif
