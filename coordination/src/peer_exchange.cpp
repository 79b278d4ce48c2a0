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
                                              const mirror_standing& mirror, decision::instant now)
{
    std::vector<peer_send> sends;
    if (this->peers.empty()) {
        return sends;
    }
    this->add_loads(own, sends, now);
    if (mirror.in_touch) {
        this->open_question.reset();
        this->forget_large_questions();
    } else {
        this->add_pulls(mirror, sends, now);
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

// Small changes are asked for often, and not held up by a large value that is on its way.
void peer_exchange::add_pulls(const mirror_standing& mirror, std::vector<peer_send>& sends,
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
