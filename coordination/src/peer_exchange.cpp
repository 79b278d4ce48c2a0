#include "pearhaven/coordination/peer_exchange.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pearhaven::coordination {

void peer_exchange::set_peer(const std::string& name, const peer_router& where)
{
    if (name != this->settings.self) {
        this->peers.insert_or_assign(name, where);
    }
}

std::vector<peer_send> peer_exchange::on_tick(const std::vector<decision::endpoint_load>& own,
                                              bool in_touch, store_revision revision,
                                              decision::instant now)
{
    std::vector<peer_send> sends;
    if (this->peers.empty()) {
        return sends;
    }
    this->add_loads(own, sends, now);
    if (in_touch) {
        this->open_question.reset();
    } else if (now >= this->next_pull) {
        this->add_pull(revision, sends, now);
    }
    return sends;
}

// An idle router says so once and is silent: what it said before counts no longer.
void peer_exchange::add_loads(const std::vector<decision::endpoint_load>& own,
                              std::vector<peer_send>& sends, decision::instant now)
{
    const auto since = now - this->told_at;
    const bool has_changed = own != this->told && since >= this->settings.load_period;
    const bool is_repeat = !own.empty() && since >= this->settings.repeat_period;
    if (!has_changed && !is_repeat) {
        return;
    }
    this->told = own;
    this->told_at = now;
    const auto first = std::as_const(this->peers).upper_bound(this->settings.self);
    for (const bool in_zone : {true, false}) {
        const auto tell = [&](const auto& named) {
            const bool is_near = named.second.zone == this->settings.zone;
            if (is_near == in_zone && sends.size() < this->settings.most_told) {
                sends.push_back({named.second, load_push{own}});
            }
        };
        // From its own name on, so that in a large fleet each router is heard by others, and each
        // hears as many.
        std::for_each(first, this->peers.cend(), tell);
        std::for_each(this->peers.cbegin(), first, tell);
    }
}

// Another peer each time: the one that was asked may be gone, or be turned away as well.
void peer_exchange::add_pull(store_revision revision, std::vector<peer_send>& sends,
                             decision::instant now)
{
    this->next_pull = now + this->settings.pull_period;
    this->open_question = ++this->questions;
    const auto start = decision::mix(this->settings.seed) % this->peers.size();
    const auto place = (start + this->questions) % this->peers.size();
    const auto asked = std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(place));
    sends.push_back({asked->second, mirror_pull{*this->open_question, revision}});
}

std::vector<peer_router> peer_exchange::near() const
{
    std::vector<peer_router> found;
    for (const auto& [name, where] : this->peers) {
        if (where.zone == this->settings.zone) {
            found.push_back(where);
        }
    }
    return found;
}

bool peer_exchange::takes(const mirror_news& news)
{
    if (this->open_question != news.nonce) {
        return false;
    }
    this->open_question.reset();
    return true;
}

} // namespace pearhaven::coordination
