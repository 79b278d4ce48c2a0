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
                                              const mirror_status& mirror, decision::instant now,
                                              const std::vector<decision::endpoint_load>& filling)
{
    std::vector<peer_send> sends;
    if (this->peers.empty()) {
        return sends;
    }
    this->add_loads(own, sends, now);
    this->add_filling(filling, sends, now);
    if (mirror.synchronized) {
        this->open_question.reset();
        this->forget_large_questions();
    } else {
        this->add_pulls(mirror, sends, now);
    }
    return sends;
}

// An idle router says so once and is silent: what it said before counts no longer.
bool peer_exchange::is_due(const std::vector<decision::endpoint_load>& loads, const told_word& last,
                           decision::instant now) const
{
    const auto since = now - last.at;
    const bool has_changed = loads != last.loads && since >= this->settings.load_period;
    return has_changed || (!loads.empty() && since >= this->settings.repeat_period);
}

// Those of the zone come first, and all from this router's own name on, so that in a large fleet
// each router is heard by others, and each hears as many.
std::vector<const peer_router*> peer_exchange::listeners(std::size_t most) const
{
    std::vector<const peer_router*> found;
    const auto first = this->peers.upper_bound(this->settings.self);
    for (const bool in_zone : {true, false}) {
        const auto add = [&](const auto& named) {
            const bool is_near = named.second.zone == this->settings.zone;
            if (is_near == in_zone && found.size() < most) {
                found.push_back(&named.second);
            }
        };
        std::for_each(first, this->peers.cend(), add);
        std::for_each(this->peers.cbegin(), first, add);
    }
    return found;
}

void peer_exchange::add_loads(const std::vector<decision::endpoint_load>& own,
                              std::vector<peer_send>& sends, decision::instant now)
{
    if (!this->is_due(own, this->told, now)) {
        return;
    }
    this->told = {own, now};
    for (const auto* listener : this->listeners(this->settings.max_load_recipients)) {
        sends.push_back({*listener, load_push{own}});
    }
}

// For the peers that hear of nothing else from this router. A word replaces the one before, so
// those that hear of all its load get no part of it.
void peer_exchange::add_filling(const std::vector<decision::endpoint_load>& filling,
                                std::vector<peer_send>& sends, decision::instant now)
{
    if (!this->is_due(filling, this->told_of_filling, now)) {
        return;
    }
    this->told_of_filling = {filling, now};
    const auto all = this->listeners(this->settings.max_filling_recipients);
    for (std::size_t i = this->settings.max_load_recipients; i < all.size(); ++i) {
        sends.push_back({*all[i], load_push{filling}});
    }
}

// Small changes are asked for often, and not held up by a large value that is on its way.
void peer_exchange::add_pulls(const mirror_status& mirror, std::vector<peer_send>& sends,
                              decision::instant now)
{
    if (now >= this->next_pull) {
        this->next_pull = now + this->settings.pull_period;
        sends.push_back(this->ask(mirror.revision, false));
        this->open_question = this->questions;
    }
    if (mirror.lacks_large && now >= this->next_large_pull) {
        this->next_large_pull = now + this->large_pull_period;
        this->large_pull_period =
            std::min(2 * this->large_pull_period, this->settings.longest_large_pull_period);
        sends.push_back(this->ask(mirror.revision, true));
        this->open_large_questions.insert(this->questions);
    }
}

// Another peer each time: the one that was asked may be gone, or be turned away as well.
peer_send peer_exchange::ask(store_revision after, bool large)
{
    ++this->questions;
    const auto start = decision::mix(this->settings.seed) % this->peers.size();
    const auto place = (start + this->questions) % this->peers.size();
    const auto asked = std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(place));
    return {asked->second, mirror_pull{this->questions, after, large}};
}

std::vector<peer_router> peer_exchange::zone_peers() const
{
    std::vector<peer_router> found;
    for (const auto& [name, where] : this->peers) {
        if (where.zone == this->settings.zone) {
            found.push_back(where);
        }
    }
    return found;
}

bool peer_exchange::accepts_answer(const mirror_update& news)
{
    if (this->open_question == news.nonce) {
        this->open_question.reset();
        return true;
    }
    const bool answers_large = this->open_large_questions.count(news.nonce) > 0;
    if (answers_large) {
        this->forget_large_questions();
    }
    return answers_large;
}

void peer_exchange::forget_large_questions()
{
    this->open_large_questions.clear();
    this->large_pull_period = this->settings.large_pull_period;
}

} // namespace pearhaven::coordination
