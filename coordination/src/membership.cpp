#include "pearhaven/coordination/membership.hpp"

#include "mix.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pearhaven::coordination {

using decision::duration;
using decision::instant;

namespace {

constexpr std::size_t max_relays = 256;
constexpr std::size_t max_updates_read = 256;

bool is_newer(const member& update, const member& known)
{
    return std::tie(update.sequence, update.state) > std::tie(known.sequence, known.state);
}

} // namespace

membership::membership(membership_settings chosen, const member_codec& record_codec, instant now)
    : settings(std::move(chosen)), codec(record_codec), own(this->settings.self),
      record(this->settings.registration, std::string(member_prefix) + this->own.id,
             this->codec.write_member(this->own), now),
      random(mix(this->settings.seed, this->own.id)), next_period(now), next_list(now)
{}

void membership::on_tick(instant now)
{
    this->allow_for_pause(now);
    this->record.on_tick(now);
    this->take_registration_calls();
    this->read_list_when_due(now);
    this->probe_when_due(now);
    this->expire_suspicions(now);
}

// Time during which this process was paused doesn't count as time in which others failed to answer.
void membership::allow_for_pause(instant now)
{
    const instant before = this->last_tick.value_or(now);
    this->last_tick = now;
    if (now - before <= this->settings.probe_period) {
        return;
    }
    this->current.reset();
    for (auto& [id, known] : this->members) {
        known.since += now - before;
    }
}

std::vector<membership::action> membership::take_actions()
{
    return std::exchange(this->actions, {});
}

void membership::set_config_revision(std::uint64_t revision)
{
    this->own.config_revision = revision;
}

void membership::leave(instant now)
{
    if (this->own.state == member_state::alive) {
        this->own.state = member_state::leaving;
        ++this->own.sequence;
        this->on_tick(now);
    }
}

void membership::depart(instant now)
{
    this->own.state = member_state::dead;
    ++this->own.sequence;
    for (const member_address& peer : this->choose_helpers({})) {
        this->actions.emplace_back(send_message{peer, probe_reply{0, this->updates_for(peer.id)}});
    }
    this->record.on_tick(now);
    this->record.end();
    this->take_registration_calls();
}

std::vector<member> membership::live() const
{
    std::vector<member> found;
    for (const auto& [id, known] : this->members) {
        if (known.record.state != member_state::dead) {
            found.push_back(known.record);
        }
    }
    return found;
}

std::size_t membership::count_live() const
{
    return static_cast<std::size_t>(
        std::count_if(this->members.begin(), this->members.end(), [](const auto& entry) {
            return entry.second.record.state != member_state::dead;
        }));
}

std::set<incarnation_id> membership::readers() const
{
    using ranked_id = std::pair<std::uint64_t, incarnation_id>;
    std::map<std::string, std::set<ranked_id>> zones;
    const auto add_candidate = [&](const member& candidate) {
        if (candidate.state == member_state::alive) {
            zones[candidate.zone].emplace(mix(0, candidate.id), candidate.id);
        }
    };
    add_candidate(this->own);
    for (const auto& [id, known] : this->members) {
        add_candidate(known.record);
    }
    std::set<incarnation_id> chosen;
    for (const auto& [zone, ranking] : zones) {
        std::size_t count = 0;
        for (const ranked_id& ranked : ranking) {
            if (count++ < this->settings.readers_per_zone) {
                chosen.insert(ranked.second);
            }
        }
    }
    return chosen;
}

// Probing.

void membership::probe_when_due(instant now)
{
    if (this->current && !this->current->indirect &&
        now - this->current->start >= this->settings.probe_timeout) {
        this->probe_indirectly();
    }
    if (now >= this->next_period) {
        this->end_period(now);
        this->begin_period(now);
    }
}

void membership::end_period(instant now)
{
    if (!this->current) {
        return;
    }
    const auto found = this->members.find(this->current->target.id);
    if (found != this->members.end()) {
        const member_state state = found->second.record.state;
        if (state == member_state::alive) {
            this->change_state(found->second, member_state::suspect, now);
        } else if (state == member_state::leaving) { // it has most likely stopped
            this->change_state(found->second, member_state::dead, now);
        }
    }
    this->current.reset();
}

void membership::begin_period(instant now)
{
    this->next_period = now + this->settings.probe_period;
    ++this->periods;
    std::erase_if(this->relays, [&](const auto& entry) {
        return now - entry.second.start > this->settings.probe_period;
    });
    if (this->periods % static_cast<std::uint64_t>(this->settings.periods_per_dead_probe) == 0) {
        this->probe_dead(now);
    }
    const known_member* target = this->next_target();
    if (target == nullptr) {
        this->probe_seed();
        return;
    }
    const member_address address = address_of(target->record);
    this->current = open_probe{this->send_probe(address, {}), address, now, false};
}

// Takes each live member once in random order, then shuffles again, which bounds the time until a
// failed member is probed.
const membership::known_member* membership::next_target()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!this->probe_order.empty()) {
            const auto found = this->members.find(this->probe_order.back());
            this->probe_order.pop_back();
            if (found != this->members.end() && found->second.record.state != member_state::dead) {
                return &found->second;
            }
        }
        for (const member& peer : this->live()) {
            this->probe_order.push_back(peer.id);
        }
        for (std::size_t left = this->probe_order.size(); left > 1; --left) {
            std::swap(this->probe_order[left - 1],
                      this->probe_order[next_random(this->random) % left]);
        }
    }
    return nullptr;
}

void membership::probe_indirectly()
{
    this->current->indirect = true;
    const incarnation_id target = this->current->target.id;
    for (const member_address& helper : this->choose_helpers(target)) {
        probe request{this->current->nonce, target, this->updates_for(helper.id)};
        this->actions.emplace_back(send_message{helper, std::move(request)});
    }
}

std::vector<member_address> membership::choose_helpers(const incarnation_id& target)
{
    std::vector<member> candidates = this->live();
    std::erase_if(candidates, [&](const member& peer) {
        return peer.id == target || peer.state == member_state::suspect;
    });
    std::vector<member_address> chosen;
    while (!candidates.empty() && chosen.size() < this->settings.indirect_probes) {
        const std::size_t index = next_random(this->random) % candidates.size();
        chosen.push_back(address_of(candidates[index]));
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return chosen;
}

void membership::probe_dead(instant now)
{
    this->drop_dead(now);
    std::vector<member_address> dead;
    for (const auto& [id, known] : this->members) {
        if (known.record.state == member_state::dead) {
            dead.push_back(address_of(known.record));
        }
    }
    if (!dead.empty()) {
        std::ignore = this->send_probe(dead[next_random(this->random) % dead.size()], {});
    }
}

void membership::probe_seed()
{
    if (!this->settings.seeds.empty()) {
        const std::size_t turn = this->periods % this->settings.seeds.size();
        std::ignore = this->send_probe(this->settings.seeds[turn], {});
    }
}

std::uint64_t membership::send_probe(const member_address& to, const incarnation_id& target)
{
    const std::uint64_t nonce = this->next_nonce++;
    this->actions.emplace_back(send_message{to, probe{nonce, target, this->updates_for(to.id)}});
    return nonce;
}

// Messages.

void membership::on_message(const member_address& from, const peer_message& message, instant now)
{
    if (const auto* request = std::get_if<probe>(&message)) {
        this->on_probe(from, *request, now);
    } else if (const auto* answer = std::get_if<probe_reply>(&message)) {
        this->on_probe_reply(from, *answer, now);
    }
}

void membership::on_probe(const member_address& from, const probe& request, instant now)
{
    const bool is_joiner = this->members.count(from.id) == 0;
    this->merge(request.updates, now);
    if (request.target.empty() || request.target == this->own.id) {
        probe_reply answer{request.nonce, this->updates_for(from.id)};
        if (is_joiner) {
            this->append_round_robin(answer.updates, this->settings.joiner_updates);
        }
        this->actions.emplace_back(send_message{from, std::move(answer)});
        return;
    }
    const auto target = this->members.find(request.target);
    if (target != this->members.end() && this->relays.size() < max_relays) {
        const std::uint64_t nonce = this->send_probe(address_of(target->second.record), {});
        this->relays[nonce] = {from, request.nonce, request.target, now};
    }
}

// An answer counts only if it comes from the probed incarnation: another one may have taken over
// its address.
void membership::on_probe_reply(const member_address& from, const probe_reply& answer, instant now)
{
    this->merge(answer.updates, now);
    const auto relayed = this->relays.find(answer.nonce);
    if (relayed != this->relays.end() && relayed->second.target == from.id) {
        this->actions.emplace_back(
            send_message{relayed->second.requester,
                         probe_reply{relayed->second.requester_nonce,
                                     this->updates_for(relayed->second.requester.id)}});
        this->relays.erase(relayed);
        return;
    }
    if (this->current && this->current->nonce == answer.nonce &&
        this->is_from_target_or_helper(from)) {
        this->current.reset();
    }
}

// Helpers answer on the target's behalf, and only once it has answered them.
bool membership::is_from_target_or_helper(const member_address& from) const
{
    const member_address& target = this->current->target;
    const bool same_address = from.host == target.host && from.port == target.port;
    return from.id == target.id || (this->current->indirect && !same_address);
}

// Records.

void membership::merge(const std::vector<member>& updates, instant now)
{
    const std::size_t count = std::min(updates.size(), max_updates_read);
    for (std::size_t index = 0; index < count; ++index) {
        this->merge(updates[index], now);
    }
}

void membership::merge(const member& update, instant now)
{
    if (update.id.empty()) {
        return;
    }
    if (update.id == this->own.id) {
        this->refute(update);
        return;
    }
    const auto found = this->members.find(update.id);
    if (found == this->members.end()) {
        this->add(update, now);
        return;
    }
    member& known = found->second.record;
    if (is_newer(update, known)) {
        this->adopt(found->second, update, now);
    } else if (update.sequence == known.sequence) {
        known.config_revision = std::max(known.config_revision, update.config_revision);
    }
}

void membership::refute(const member& report)
{
    const bool is_suspected =
        report.state == member_state::suspect || report.state == member_state::dead;
    if (is_suspected && report.sequence >= this->own.sequence &&
        this->own.state != member_state::dead) {
        this->own.sequence = report.sequence + 1; // goes out with every message
    }
}

void membership::add(const member& update, instant now)
{
    const bool is_dead = update.state == member_state::dead;
    if (!is_dead && this->count_live() >= this->settings.max_members) {
        return;
    }
    this->members[update.id] = {update, now, this->transmit_count()};
    if (is_dead) {
        this->drop_dead(now);
    } else {
        this->actions.emplace_back(member_changed{update});
    }
}

void membership::adopt(known_member& known, const member& update, instant now)
{
    const bool changed = known.record.state != update.state;
    const std::uint64_t revision = std::max(known.record.config_revision, update.config_revision);
    known.record = update;
    known.record.config_revision = revision;
    known.sends_left = this->transmit_count();
    if (changed) {
        known.since = now;
        this->actions.emplace_back(member_changed{known.record});
    }
}

void membership::change_state(known_member& known, member_state state, instant now)
{
    member update = known.record;
    update.state = state;
    this->adopt(known, update, now);
}

void membership::expire_suspicions(instant now)
{
    const duration timeout = this->suspicion_timeout();
    for (auto& [id, known] : this->members) {
        if (known.record.state == member_state::suspect && now - known.since >= timeout) {
            this->change_state(known, member_state::dead, now);
        }
    }
    this->drop_dead(now);
}

// Removes dead members by age, and the oldest first beyond `max_dead`.
void membership::drop_dead(instant now)
{
    std::erase_if(this->members, [&](const auto& entry) {
        return entry.second.record.state == member_state::dead &&
               now - entry.second.since >= this->settings.dead_retention;
    });
    const auto is_older = [](const auto& left, const auto& right) {
        const bool left_dead = left.second.record.state == member_state::dead;
        const bool right_dead = right.second.record.state == member_state::dead;
        return std::pair(!left_dead, left.second.since) <
               std::pair(!right_dead, right.second.since);
    };
    while (this->members.size() - this->count_live() > this->settings.max_dead) {
        this->members.erase(std::min_element(this->members.begin(), this->members.end(), is_older));
    }
}

// This router's own record, the receiver's record if it is not alive, and the changes that were
// sent least often so far.
std::vector<member> membership::updates_for(const incarnation_id& peer)
{
    std::vector<member> updates{this->own};
    const auto receiver = this->members.find(peer);
    if (receiver != this->members.end() && receiver->second.record.state != member_state::alive) {
        updates.push_back(receiver->second.record);
    }
    std::vector<known_member*> fresh;
    for (auto& [id, known] : this->members) {
        if (known.sends_left > 0 && id != peer) {
            fresh.push_back(&known);
        }
    }
    const std::size_t count = std::min(fresh.size(), this->settings.fresh_updates);
    std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count),
                      fresh.end(), [](const known_member* left, const known_member* right) {
                          return left->sends_left > right->sends_left;
                      });
    for (std::size_t index = 0; index < count; ++index) {
        --fresh[index]->sends_left;
        updates.push_back(fresh[index]->record);
    }
    return updates;
}

void membership::append_round_robin(std::vector<member>& updates, std::size_t count)
{
    for (std::size_t index = 0; index < std::min(count, this->members.size()); ++index) {
        auto next = this->members.upper_bound(this->last_round_robin);
        next = next == this->members.end() ? this->members.begin() : next;
        this->last_round_robin = next->first;
        updates.push_back(next->second.record);
    }
}

int membership::transmit_count() const
{
    constexpr double safety = 3;
    const auto size = static_cast<double>(this->members.size() + 2);
    return static_cast<int>(std::ceil(safety * std::log2(size)));
}

duration membership::suspicion_timeout() const
{
    const double size = std::max<double>(10, static_cast<double>(this->count_live()));
    const double count = this->settings.suspicion_periods * std::log10(size);
    return duration(static_cast<duration::rep>(
        count * static_cast<double>(this->settings.probe_period.count())));
}

// The store.

void membership::take_registration_calls()
{
    for (store_call& call : this->record.take_calls()) {
        this->actions.emplace_back(std::move(call));
    }
}

void membership::read_list_when_due(instant now)
{
    if (this->list_call || now < this->next_list || (this->has_list && !this->is_reader())) {
        return;
    }
    this->list_call = this->next_tag++;
    this->next_list = now + this->settings.read_period;
    kv_request request = kv_range{std::string(member_prefix)};
    this->actions.emplace_back(store_call{*this->list_call, std::move(request)});
}

void membership::on_reply(call_tag tag, const kv_reply& reply, instant now)
{
    if (this->record.on_reply(tag, reply, now)) {
        this->take_registration_calls();
    } else if (this->list_call == tag) {
        this->list_call.reset();
        this->on_list(reply, now);
    }
}

// The list shows which routers registered, not which are alive.
void membership::on_list(const kv_reply& reply, instant now)
{
    if (reply.outcome != kv_outcome::ok) {
        this->next_list = std::min(this->next_list, now + this->settings.registration.first_retry);
        return;
    }
    this->has_list = true;
    for (const kv_entry& entry : reply.entries) {
        const std::optional<member> listed = this->codec.read_member(entry.value);
        if (!listed) {
            this->actions.emplace_back(unreadable_value{entry.key});
            continue;
        }
        this->merge(*listed, now);
    }
}

} // namespace pearhaven::coordination
