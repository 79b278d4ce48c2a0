#include "pearhaven/coordination/fact_table.hpp"

#include "mix.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearhaven::coordination {

using decision::duration;
using decision::instant;

namespace {

constexpr std::size_t full_push_peers = 2;

fact with_time_left(const fact& original, instant end, instant now)
{
    fact copy = original;
    copy.time_to_live = end - now;
    return copy;
}

} // namespace

fact_table::fact_table(fact_table_settings chosen)
    : settings(std::move(chosen)), random(mix(this->settings.seed, this->settings.self))
{}

void fact_table::publish(fact_kind kind, std::string subject, double value, duration time_to_live,
                         instant now)
{
    const std::uint64_t sequence = ++this->last_sequence;
    this->learn({kind, std::move(subject), this->settings.self, sequence, value, time_to_live},
                now);
}

void fact_table::set_peers(const std::vector<member_address>& live, instant now)
{
    if (this->last_peers == live) {
        return; // keeps the current push order
    }
    std::set<incarnation_id> before;
    for (const member_address& peer : this->last_peers) {
        before.insert(peer.id);
    }
    this->last_peers = live;
    this->peers = live;
    this->shuffle_peers();
    for (const member_address& peer : live) {
        if (before.count(peer.id) == 0 && this->sends_all_to(peer.id)) {
            this->send_all(peer, now);
        }
    }
}

// Whether this router is one of the few that send all facts to the joiner, selected by a hash that
// all routers compute alike.
bool fact_table::sends_all_to(const incarnation_id& joiner) const
{
    const auto rank = [&](const incarnation_id& id) { return mix(mix(0, joiner), id); };
    const std::uint64_t own = rank(this->settings.self);
    const auto ahead =
        std::count_if(this->peers.begin(), this->peers.end(), [&](const member_address& peer) {
            return peer.id != joiner && rank(peer.id) < own;
        });
    return static_cast<std::size_t>(ahead) < full_push_peers;
}

void fact_table::on_tick(instant now)
{
    this->remove_expired(now);
    if (now >= this->next_push) {
        this->push_updates(now);
    }
}

void fact_table::on_message(const peer_message& message, instant now)
{
    const auto* push = std::get_if<fact_push>(&message);
    if (push == nullptr) {
        return;
    }
    for (const fact& received : push->facts) {
        if (received.author != this->settings.self) {
            this->learn(received, now);
        }
    }
}

std::vector<fact_table::action> fact_table::take_actions()
{
    return std::exchange(this->actions, {});
}

std::vector<fact> fact_table::about(fact_kind kind, std::string_view subject) const
{
    std::vector<fact> found;
    const fact_key first(kind, std::string(subject), incarnation_id());
    for (auto next = this->facts.lower_bound(first);
         next != this->facts.end() && next->second.latest.kind == kind &&
         next->second.latest.subject == subject;
         ++next) {
        found.push_back(next->second.latest);
    }
    return found;
}

// An equal sequence is the same fact received again: its time to live is not extended.
void fact_table::learn(const fact& received, instant now)
{
    if (received.time_to_live <= duration{}) {
        return;
    }
    const auto known = this->facts.find({received.kind, received.subject, received.author});
    if (known != this->facts.end() && known->second.latest.sequence >= received.sequence) {
        return;
    }
    constexpr double safety = 2;
    const auto size = static_cast<double>(this->peers.size() + 2);
    const int sends = static_cast<int>(std::ceil(safety * std::log2(size)));
    this->facts[{received.kind, received.subject, received.author}] = {
        received, now + received.time_to_live, sends};
    this->actions.emplace_back(fact_learned{received});
    this->make_room();
}

void fact_table::make_room()
{
    if (this->facts.size() <= this->settings.max_facts) {
        return;
    }
    const auto soonest = std::min_element(
        this->facts.begin(), this->facts.end(),
        [](const auto& left, const auto& right) { return left.second.end < right.second.end; });
    this->actions.emplace_back(fact_removed{soonest->second.latest});
    this->facts.erase(soonest);
}

void fact_table::remove_expired(instant now)
{
    for (auto next = this->facts.begin(); next != this->facts.end();) {
        if (next->second.end > now) {
            ++next;
            continue;
        }
        this->actions.emplace_back(fact_removed{next->second.latest});
        next = this->facts.erase(next);
    }
}

void fact_table::push_updates(instant now)
{
    this->next_push = now + this->settings.push_period;
    const std::vector<known_fact*> updates = this->choose_updates();
    if (updates.empty()) {
        return;
    }
    fact_push push;
    for (known_fact* known : updates) {
        push.facts.push_back(with_time_left(known->latest, known->end, now));
    }
    for (const member_address& peer : this->choose_peers()) {
        this->actions.emplace_back(send_message{peer, push});
        for (known_fact* known : updates) {
            --known->sends_left;
        }
    }
}

// Facts that were sent least often come first.
std::vector<fact_table::known_fact*> fact_table::choose_updates()
{
    std::vector<known_fact*> updates;
    for (auto& [key, known] : this->facts) {
        if (known.sends_left > 0) {
            updates.push_back(&known);
        }
    }
    const std::size_t count = std::min(updates.size(), this->settings.push_facts);
    std::partial_sort(updates.begin(), updates.begin() + static_cast<std::ptrdiff_t>(count),
                      updates.end(), [](const known_fact* left, const known_fact* right) {
                          return left->sends_left > right->sends_left;
                      });
    updates.resize(count);
    return updates;
}

// Each peer once in random order before any repeats: in a small fleet this reaches all, while a
// random choice would now and then leave one out.
std::vector<member_address> fact_table::choose_peers()
{
    const std::size_t count = std::min(this->settings.push_peers, this->peers.size());
    std::vector<member_address> chosen;
    while (chosen.size() < count) {
        if (this->next_peer >= this->peers.size()) {
            this->shuffle_peers();
        }
        chosen.push_back(this->peers[this->next_peer++]);
    }
    return chosen;
}

void fact_table::shuffle_peers()
{
    this->next_peer = 0;
    for (std::size_t left = this->peers.size(); left > 1; --left) {
        std::swap(this->peers[left - 1], this->peers[next_random(this->random) % left]);
    }
}

void fact_table::send_all(const member_address& joiner, instant now)
{
    fact_push push;
    const auto send = [&] {
        this->actions.emplace_back(send_message{joiner, std::exchange(push, {})});
    };
    for (const auto& [key, known] : this->facts) {
        push.facts.push_back(with_time_left(known.latest, known.end, now));
        if (push.facts.size() == this->settings.push_facts) {
            send();
        }
    }
    if (!push.facts.empty()) {
        send();
    }
}

} // namespace pearhaven::coordination
