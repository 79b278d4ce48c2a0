#include "peer_loads.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::decision {

void peer_loads::on_told(const std::string& router, std::vector<endpoint_load> loads, instant now)
{
    auto& said = this->words[router];
    this->add(said, -1);
    said = {std::move(loads), now};
    this->add(said, 1);
}

void peer_loads::expire(instant now, duration lifetime)
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

void peer_loads::add(const word& said, int sign)
{
    for (const auto& load : said.loads) {
        auto& lives = this->sums[load.address];
        const auto is_same = [&load](const life_sum& one) {
            return one.incarnation == load.incarnation;
        };
        auto life = std::find_if(lives.begin(), lives.end(), is_same);
        if (life == lives.end()) {
            life = lives.insert(life, {load.incarnation, {}});
        }
        auto& total = life->total;
        total.requests += sign * static_cast<std::int64_t>(load.requests);
        total.writing += sign * static_cast<std::int64_t>(load.writing);
        total.work = std::max(0.0, total.work + sign * load.work);
        if (total.requests <= 0) {
            lives.erase(life);
        }
        if (lives.empty()) {
            this->sums.erase(load.address);
        }
    }
}

peer_loads::sum peer_loads::of(const endpoint_host& where) const
{
    const auto found = this->sums.find(where.address);
    if (found == this->sums.end()) {
        return {};
    }
    const auto& lives = found->second;
    const auto life = std::find_if(lives.begin(), lives.end(), [&where](const life_sum& one) {
        return one.incarnation == where.incarnation;
    });
    return life == lives.end() ? sum() : life->total;
}

} // namespace pearhaven::decision
