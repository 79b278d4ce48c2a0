#ifndef PEARHAVEN_STANDINS_RATER_HPP
#define PEARHAVEN_STANDINS_RATER_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace pearhaven::standins {

// How answers are rated, and what the rating service does wrong.
struct rating_settings {
    bool outage = false;
    std::uint64_t lag_ms = 0;
    double noise = 0;
    double gaps = 0;
    std::string quality; // share of good answers per version, like `a=0.7,b=0.95`; else all are
};

struct rated_answer {
    std::string request;
    std::string version;
    std::string text;
};

// Whether the answer is good by its text and its version's quality, before noise. Of a version with
// quality 0.7, the answers to the same 70% of the requests are good each time; and a request that a
// version of lower quality answers well, one of higher quality answers well too.
bool is_good(const rated_answer& answer, const std::string& quality);

// The rating as the service gives it: noise turns it round. Nothing: no rating is given.
std::optional<bool> rate(const rated_answer& answer, const rating_settings& settings);

} // namespace pearhaven::standins

#endif
