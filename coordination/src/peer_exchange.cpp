#include "pearhaven/coordination/peer_exchange.hpp"

#include "pearhaven/decision/mix.hpp"
#include "pearhaven/decision/suspects.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pearhaven::coordination {

namespace {

// The age of a statement grows all the time and is no reason for another report.
bool is_same_load(const decision::endpoint_load& left, decision::endpoint_load right)
{
    if (left.limit && right.limit) {
        right.limit->age = left.limit->age;
    }
    if (left.refusal_limit && right.refusal_limit) {
        right.refusal_limit->age = left.refusal_limit->age;
    }
    if (left.room && right.room) {
        right.room->age = left.room->age;
    }
    return left == right;
}

bool are_same_loads(const std::vector<decision::endpoint_load>& left,
                    const std::vector<decision::endpoint_load>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), is_same_load);
}

} // namespace

void peer_exchange::set_peer(const std::string& name, const peer_router& peer)
{
    if (name != this->settings.self) {
        this->peers.insert_or_assign(name, peer);
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
        this->open_pull.reset();
        this->reset_large_pulls();
    } else {
        this->add_pulls(mirror, sends, now);
    }
    return sends;
}

// An idle router reports an empty load once and then sends nothing, so that its previous report no
// longer counts.
bool peer_exchange::is_due(const std::vector<decision::endpoint_load>& loads,
                           const load_report& last, decision::instant now) const
{
    const auto since = now - last.at;
    const bool has_changed =
        !are_same_loads(loads, last.loads) && since >= this->settings.load_period;
    return has_changed || (!loads.empty() && since >= this->settings.repeat_period);
}

// Peers of the zone come first, each group in the order of names starting after this router's own
// name, so that in a large fleet every router sends reports to, and receives them from, the same
// number of others.
std::vector<const peer_router*> peer_exchange::recipients(std::size_t max_count) const
{
    std::vector<const peer_router*> found;
    const auto first = this->peers.upper_bound(this->settings.self);
    for (const bool in_zone : {true, false}) {
        const auto add = [&](const auto& named) {
            const bool is_near = named.second.zone == this->settings.zone;
            if (is_near == in_zone && found.size() < max_count) {
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
    if (!this->is_due(own, this->last_report, now)) {
        return;
    }
    this->last_report = {own, now};
    for (const auto* recipient : this->recipients(this->settings.load_fanout)) {
        sends.push_back({*recipient, load_push{own}});
    }
}

// For the peers that receive no other load report from this router. A report replaces the previous
// one, so peers that receive the full load are not sent this part of it.
void peer_exchange::add_filling(const std::vector<decision::endpoint_load>& filling,
                                std::vector<peer_send>& sends, decision::instant now)
{
    if (!this->is_due(filling, this->last_filling_report, now)) {
        return;
    }
    this->last_filling_report = {filling, now};
    const auto all = this->recipients(this->settings.load_fanout_when_filling);
    for (std::size_t i = this->settings.load_fanout; i < all.size(); ++i) {
        sends.push_back({*all[i], load_push{filling}});
    }
}

// Small changes are pulled often, and are not delayed by a large value in transit.
void peer_exchange::add_pulls(const mirror_status& mirror, std::vector<peer_send>& sends,
                              decision::instant now)
{
    if (now >= this->next_pull) {
        this->next_pull = now + this->settings.pull_period;
        sends.push_back(this->make_pull(mirror.revision, false));
        this->open_pull = this->pull_count;
    }
    if (mirror.lacks_large_values && now >= this->next_large_pull) {
        this->next_large_pull = now + this->large_pull_period;
        this->large_pull_period =
            std::min(2 * this->large_pull_period, this->settings.longest_large_pull_period);
        sends.push_back(this->make_pull(mirror.revision, true));
        this->open_large_pulls.insert(this->pull_count);
    }
}

// Another peer each time: the previous one may be gone, or also be refused by the store.
peer_send peer_exchange::make_pull(store_revision after, bool large)
{
    ++this->pull_count;
    const auto start = decision::mix(this->settings.seed) % this->peers.size();
    const auto index = (start + this->pull_count) % this->peers.size();
    const auto asked = std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(index));
    return {asked->second, mirror_pull{this->pull_count, after, large}};
}

std::uint64_t peer_exchange::report_rank(std::uint64_t subject, const std::string& name)
{
    return decision::mix(subject ^ decision::fingerprint("", "", name));
}

bool peer_exchange::is_run_report_recipient(std::uint64_t subject) const
{
    const auto own_rank = report_rank(subject, this->settings.self);
    const auto before =
        std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& named) {
            return report_rank(subject, named.first) < own_rank;
        });
    return static_cast<std::size_t>(before) < this->settings.run_report_fanout;
}

std::vector<peer_router> peer_exchange::run_report_recipients(std::uint64_t subject) const
{
    std::map<std::uint64_t, const peer_router*> by_rank;
    for (const auto& [name, peer] : this->peers) {
        by_rank.emplace(report_rank(subject, name), &peer);
    }
    std::vector<peer_router> found;
    for (const auto& [rank, peer] : by_rank) {
        if (found.size() >= this->settings.run_report_fanout) {
            break;
        }
        found.push_back(*peer);
    }
    return found;
}

std::vector<peer_router> peer_exchange::zone_peers() const
{
    std::vector<peer_router> found;
    for (const auto& [name, peer] : this->peers) {
        if (peer.zone == this->settings.zone) {
            found.push_back(peer);
        }
    }
    return found;
}

mirror_pull peer_exchange::make_value_pull(store_revision after)
{
    this->open_value_pull = ++this->pull_count;
    return {this->pull_count, after, true, true};
}

bool peer_exchange::accepts_answer(const mirror_update& update)
{
    if (this->open_value_pull == update.nonce) {
        this->open_value_pull.reset();
        return true;
    }
    if (this->open_pull == update.nonce) {
        this->open_pull.reset();
        return true;
    }
    const bool answers_large = this->open_large_pulls.count(update.nonce) > 0;
    if (answers_large) {
        this->reset_large_pulls();
    }
    return answers_large;
}

void peer_exchange::reset_large_pulls()
{
    this->open_large_pulls.clear();
    this->large_pull_period = this->settings.large_pull_period;
}

} // namespace pearhaven::coordination
