#include "prompt_map.hpp"

#include <algorithm>

namespace pearhaven::decision {

namespace {

// An engine with memory for half a million tokens that starts three requests of 8,000 tokens a
// second fills it in about twenty seconds. Up to the first time a part counts as cached, from the
// second on as evicted.
constexpr duration certainly_cached_for = std::chrono::seconds(10);
constexpr duration certainly_evicted_after = std::chrono::seconds(30);

constexpr duration expiry_period = std::chrono::seconds(1);

// Limit of tracked parts. 10,000 engines with 100 parts each would take 50 MB; a router's callers
// use far fewer within half a minute.
constexpr std::size_t max_parts = 50'000;

} // namespace

void prompt_map::record(const endpoint_incarnation& where, std::uint64_t part, instant now)
{
    auto found = this->locations.find(part);
    if (found == this->locations.end()) {
        if (this->locations.size() >= max_parts) {
            return;
        }
        found = this->locations.try_emplace(part).first;
    }
    auto& known = found->second;
    const auto same = std::find_if(known.begin(), known.end(), [&where](const location& one) {
        return one.where.identity == where.identity;
    });
    if (same == known.end()) {
        known.push_back({where, now});
    } else {
        *same = {where, now};
    }
}

double prompt_map::cached(const endpoint_incarnation& where, std::uint64_t part, instant now) const
{
    const auto found = this->locations.find(part);
    if (found == this->locations.end()) {
        return 0.0;
    }
    const auto& known = found->second;
    const auto same = std::find_if(known.begin(), known.end(),
                                   [&where](const location& one) { return one.where == where; });
    if (same == known.end()) {
        return 0.0;
    }
    const std::chrono::duration<double> left = certainly_evicted_after - (now - same->used);
    const std::chrono::duration<double> span = certainly_evicted_after - certainly_cached_for;
    return std::clamp(left / span, 0.0, 1.0);
}

void prompt_map::expire(instant now)
{
    if (now - this->expired_at < expiry_period) {
        return;
    }
    this->expired_at = now;
    for (auto at = this->locations.begin(); at != this->locations.end();) {
        std::erase_if(at->second, [now](const location& one) {
            return now - one.used >= certainly_evicted_after;
        });
        at = at->second.empty() ? this->locations.erase(at) : std::next(at);
    }
}

} // namespace pearhaven::decision
