#include "told_loads.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::decision {

void told_loads::on_told(const std::string& router, std::vector<endpoint_load> loads, instant now)
{
    auto& said = this->words[router];
    this->add(said, -1);
    said = {std::move(loads), now};
    this->add(said, 1);
}

void told_loads::expire(instant now, duration lifetime)
{
    for (auto at = this->words.begin(); at != this->words.end();) {
        if (now - at->second.heard <= lifetime) {
            ++at;
            continue;
        }
        this->add(at->second, -1);
        at = this->words.erase(at);
    }
}

void told_loads::add(const word& said, int sign)
{
    for (const auto& load : said.loads) {
        auto& total = this->sums[load.address];
        total.requests += sign * static_cast<std::int64_t>(load.requests);
        total.work = std::max(0.0, total.work + sign * load.work);
        if (total.requests <= 0) {
            this->sums.erase(load.address);
        }
    }
}

told_loads::sum told_loads::of(const std::string& address) const
{
    const auto found = this->sums.find(address);
    return found == this->sums.end() ? sum() : found->second;
}

} // namespace pearhaven::decision
