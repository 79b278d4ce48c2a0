#include "pearhaven/coordination/config_replica.hpp"

#include "mix.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pearhaven::coordination {

using decision::duration;
using decision::instant;

namespace {

// Once in this many rounds any peer is asked in addition, so that a wrong view of which peers are
// readers cannot hold a router back forever.
constexpr std::uint64_t rounds_per_random_pull = 4;

std::size_t size_of(const config_change& change)
{
    std::size_t size = sizeof(change) + change.author.size() + change.write_id.size();
    for (const config_object& object : change.objects) {
        size += sizeof(object) + object.kind.size() + object.name.size() + object.body.size();
    }
    return size;
}

} // namespace

config_replica::config_replica(config_replica_settings chosen, const config_head_codec& head_codec,
                               instant now)
    : settings(std::move(chosen)), codec(head_codec), started_at(now),
      next_nonce(mix(this->settings.seed, this->settings.self)),
      retry_delay(this->settings.first_retry), next_read(now)
{}

void config_replica::set_reader(bool is_reader, instant now)
{
    this->reader = is_reader;
    this->read_when_due(now);
}

void config_replica::set_peers(std::vector<config_peer> live, instant now)
{
    if (this->peers != live) {
        this->peers = std::move(live);
        this->drop_removed_peers();
    }
    this->pull_when_due(now);
}

void config_replica::drop_removed_peers()
{
    if (!this->was_fresh) {
        this->record_members();
    }
    std::set<incarnation_id> ids;
    for (const config_peer& peer : this->peers) {
        ids.insert(peer.address.id);
    }
    std::erase_if(this->answers, [&](const auto& entry) { return ids.count(entry.first) == 0; });
    std::erase_if(this->asked, [&](const auto& entry) { return ids.count(entry.first) == 0; });
}

void config_replica::on_tick(instant now)
{
    std::erase_if(this->pulls, [&](const auto& entry) {
        return now - entry.second.start > this->settings.pull_expiry;
    });
    this->read_when_due(now);
    this->pull_when_due(now);
    this->check_startup_without_store(now);
}

std::vector<config_replica::action> config_replica::take_actions()
{
    return std::exchange(this->actions, {});
}

// Freshness.

std::optional<duration> config_replica::confirmed_age(instant now) const
{
    if (!this->confirmed_at) {
        return std::nullopt;
    }
    return now - *this->confirmed_at;
}

bool config_replica::is_fresh(instant now) const
{
    const auto age = this->confirmed_age(now);
    return age && *age <= this->settings.freshness_bound;
}

// Early enough for agreement on an outage to be reached before the bound, so that no work is
// refused in between; late enough not to happen in normal operation.
bool config_replica::is_nearly_stale(instant now) const
{
    const auto age = this->confirmed_age(now);
    return !age || *age > this->settings.freshness_bound * 2 / 3;
}

bool config_replica::is_store_failing(instant now) const
{
    if (this->last_read_failed) {
        return true;
    }
    return std::any_of(this->reads.begin(), this->reads.end(), [&](const auto& entry) {
        const pending_read& read = entry.second;
        return now - read.start > read.wait + this->settings.store_timeout;
    });
}

bool config_replica::may_take_new_work(instant now) const
{
    return this->ready && (this->is_fresh(now) || this->is_outage_agreed(now));
}

bool config_replica::is_outage_agreed(instant now) const
{
    if (!this->is_store_failing(now)) {
        return false;
    }
    for (const auto& [peer, last_answer] : this->answers) {
        const bool is_ahead = last_answer.revision > this->state->revision();
        if (this->valid_answer(peer, now) != nullptr && (last_answer.store_reachable || is_ahead)) {
            return false;
        }
    }
    const std::set<incarnation_id>& known = this->members_at_confirmation;
    const auto agreeing = std::count_if(known.begin(), known.end(), [&](const incarnation_id& id) {
        return id == this->settings.self || this->valid_answer(id, now) != nullptr;
    });
    return static_cast<std::size_t>(agreeing) * 2 > known.size();
}

duration config_replica::answer_validity() const
{
    const std::size_t rounds =
        (this->peers.size() + this->settings.outage_pulls - 1) / this->settings.outage_pulls;
    const auto to_ask_all = this->settings.pull_period * static_cast<std::int64_t>(rounds);
    return std::max<duration>(this->settings.freshness_bound, 3 * to_ask_all);
}

const config_replica::peer_answer* config_replica::valid_answer(const incarnation_id& peer,
                                                                instant now) const
{
    const auto found = this->answers.find(peer);
    if (found == this->answers.end() || now - found->second.start > this->answer_validity()) {
        return nullptr;
    }
    return &found->second;
}

// Requires that the store held no revision above `revision` at `start`. Confirms the copy if it has
// reached that revision.
void config_replica::confirm(instant start, std::uint64_t revision, instant now)
{
    if (this->state->revision() < revision) {
        return;
    }
    if (!this->confirmed_at || *this->confirmed_at < start) {
        this->confirmed_at = start;
    }
    this->ready = this->ready || *this->confirmed_at >= this->started_at;
    if (this->is_fresh(now)) {
        this->was_fresh = true;
        this->members_at_confirmation.clear();
        this->record_members();
    }
}

void config_replica::record_members()
{
    this->members_at_confirmation.insert(this->settings.self);
    for (const config_peer& peer : this->peers) {
        this->members_at_confirmation.insert(peer.address.id);
    }
}

// Startup during an outage. Former incarnations may have had any revision that some router has, so
// the highest revision of all live peers is taken. Peers that are still starting give no
// information about it, and a fleet of only such peers has no configuration to continue with.
void config_replica::check_startup_without_store(instant now)
{
    if (this->ready || !this->is_outage_agreed(now)) {
        return;
    }
    std::size_t ready_peers = 0;
    for (const config_peer& peer : this->peers) {
        const peer_answer* last_answer = this->valid_answer(peer.address.id, now);
        if (last_answer == nullptr) {
            return;
        }
        ready_peers += last_answer->ready ? 1 : 0;
    }
    const std::size_t wanted = std::min(this->settings.startup_peers, this->peers.size());
    this->ready = ready_peers > 0 && ready_peers >= wanted;
}

// Reading the store.

call_tag config_replica::submit(kv_request request)
{
    const call_tag tag = this->next_tag++;
    this->actions.emplace_back(store_call{tag, std::move(request)});
    return tag;
}

void config_replica::read_when_due(instant now)
{
    const bool wanted =
        this->reader || !this->ready || this->last_read_failed || this->is_nearly_stale(now);
    if (!wanted || !this->reads.empty() || now < this->next_read) {
        return;
    }
    const bool watches = this->reader && this->watch_after && !this->last_read_failed;
    const std::string key(config_head_key);
    if (watches) {
        const duration wait = this->settings.watch_wait;
        this->reads[this->submit(kv_watch{key, *this->watch_after, wait})] = {now, wait, true};
    } else {
        this->reads[this->submit(kv_get{key})] = {now, duration{}, false};
    }
    // Limits the call rate when changes, or a fault of the store, end each watch at once.
    this->next_read = now + this->settings.watch_wait / 4;
}

void config_replica::on_reply(call_tag tag, const kv_reply& reply, instant now)
{
    const auto found = this->reads.find(tag);
    if (found == this->reads.end()) {
        this->on_page(tag, reply, now);
        return;
    }
    const pending_read read = found->second;
    this->reads.erase(found);
    this->on_read(read, reply, now);
    this->read_when_due(now);
}

void config_replica::on_read(const pending_read& read, const kv_reply& reply, instant now)
{
    if (reply.outcome != kv_outcome::ok && reply.outcome != kv_outcome::not_found) {
        this->on_read_failed(now);
        return;
    }
    this->last_read_failed = false;
    this->retry_delay = this->settings.first_retry;
    const auto head =
        std::find_if(reply.entries.rbegin(), reply.entries.rend(),
                     [](const kv_entry& entry) { return entry.key == config_head_key; });
    if (head != reply.entries.rend()) {
        this->on_head(*head, read, now);
    } else if (read.watches) { // no change: the head is still the one seen last
        if (this->load) {
            this->load->start = std::max(this->load->start, read.start);
        }
        this->confirm(read.start, this->seen_head_revision, now);
    } else { // no configuration was ever written
        this->watch_after = reply.revision;
        this->confirm(read.start, 0, now);
    }
}

void config_replica::on_read_failed(instant now)
{
    this->last_read_failed = true;
    this->next_read = now + this->retry_delay;
    // Readers keep retrying at the first delay: all others learn of the store's recovery from them.
    if (!this->reader) {
        this->retry_delay = std::min(2 * this->retry_delay, this->settings.longest_retry);
    }
}

void config_replica::on_head(const kv_entry& entry, const pending_read& read, instant now)
{
    const std::optional<config_head> head = this->codec.read_head(entry.value);
    if (!head) {
        this->actions.emplace_back(unreadable_value{entry.key});
        this->next_read = now + this->retry_delay;
        return;
    }
    this->watch_after = entry.revision;
    this->seen_head_revision = std::max(this->seen_head_revision, head->revision);
    this->apply(head->changes);
    if (this->state->revision() >= head->revision) {
        this->confirm(read.start, head->revision, now);
        return;
    }
    this->load_snapshot(*head, read.start, now);
}

// Applies changes that follow the current revision; false if there are none.
bool config_replica::apply(const std::vector<config_change>& changes)
{
    const bool follows = std::any_of(changes.begin(), changes.end(), [this](const auto& change) {
        return change.revision == this->state->revision() + 1;
    });
    if (follows) {
        this->apply_state(this->state->after(changes), changes);
    }
    return follows;
}

void config_replica::apply_state(config_state_ptr newer, const std::vector<config_change>& changes)
{
    if (newer->revision() <= this->state->revision()) {
        return;
    }
    this->state = std::move(newer);
    this->keep_recent(changes);
    this->actions.emplace_back(config_applied{this->state});
}

// Keeps the recent changes that peers slightly behind will ask for.
void config_replica::keep_recent(const std::vector<config_change>& changes)
{
    for (const config_change& change : changes) {
        if (!this->recent.empty() && change.revision <= this->recent.back().revision) {
            continue;
        }
        if (!this->recent.empty() && change.revision != this->recent.back().revision + 1) {
            this->recent.clear();
            this->recent_bytes = 0;
        }
        this->recent.push_back(change);
        this->recent_bytes += size_of(change);
    }
    const bool reaches_current =
        !this->recent.empty() && this->recent.back().revision == this->state->revision();
    while (!this->recent.empty() &&
           (!reaches_current || this->recent.size() > this->settings.kept_changes ||
            this->recent_bytes > this->settings.kept_bytes)) {
        this->recent_bytes -= size_of(this->recent.front());
        this->recent.pop_front();
    }
}

// Snapshot pages.

void config_replica::load_snapshot(const config_head& head, instant start, instant now)
{
    if (this->load && this->load->assembly.head().revision > head.revision) {
        return;
    }
    if (this->load && this->load->assembly.head().pages == head.pages) {
        this->load->assembly.set_head(head);
        this->load->start = std::max(this->load->start, start);
        return;
    }
    this->load = snapshot_load{snapshot_assembly(head), start, {}};
    for (const std::string& page : head.pages) {
        this->load->pending[this->submit(kv_get{page})] = page;
    }
    if (this->load->pending.empty()) {
        this->finish_load(now);
    }
}

// A page may be missing because the head has advanced meanwhile, or because the store failed. In
// both cases the load is abandoned and the next read of the head starts over.
void config_replica::on_page(call_tag tag, const kv_reply& reply, instant now)
{
    if (!this->load) {
        return;
    }
    const auto found = this->load->pending.find(tag);
    if (found == this->load->pending.end()) {
        return;
    }
    const std::string key = found->second;
    const auto objects = reply.outcome == kv_outcome::ok && reply.entries.size() == 1
                             ? this->codec.read_page(reply.entries.front().value)
                             : std::nullopt;
    if (!objects) {
        if (reply.outcome == kv_outcome::ok) {
            this->actions.emplace_back(unreadable_value{key});
        }
        this->load.reset();
        this->watch_after.reset();
        if (reply.outcome != kv_outcome::ok && reply.outcome != kv_outcome::not_found) {
            this->on_read_failed(now);
        }
        return;
    }
    this->load->assembly.add_page(key, *objects);
    this->load->pending.erase(found);
    if (this->load->pending.empty()) {
        this->finish_load(now);
    }
}

void config_replica::finish_load(instant now)
{
    const snapshot_load done = std::move(*this->load);
    this->load.reset();
    const config_head& head = done.assembly.head();
    this->apply_state(done.assembly.build(), head.changes);
    if (this->state->revision() < head.revision) { // the head's changes have a gap
        this->actions.emplace_back(unreadable_value{std::string(config_head_key)});
        this->next_read = now + this->retry_delay;
    }
    this->confirm(done.start, head.revision, now);
}

// Peers.

void config_replica::pull_when_due(instant now)
{
    const bool nearly_stale = this->is_nearly_stale(now);
    const bool urgent = nearly_stale && !this->is_outage_agreed(now);
    const duration period = urgent ? this->settings.pull_period / 2 : this->settings.pull_period;
    if (this->peers.empty() || (this->last_pull && now - *this->last_pull < period)) {
        return;
    }
    this->last_pull = now;
    ++this->pull_round;
    if (!nearly_stale) {
        this->pull_from(*this->choose_peer(now, true), now);
        if (this->pull_round % rounds_per_random_pull == 0) {
            this->pull_from(*this->choose_peer(now, false), now);
        }
        return;
    }
    for (const config_peer& peer : this->least_recently_asked(this->settings.outage_pulls)) {
        this->pull_from(peer, now);
    }
}

void config_replica::pull_from(const config_peer& peer, instant now)
{
    const std::uint64_t nonce = this->next_nonce++;
    this->pulls[nonce] = {now, peer.address.id};
    this->asked[peer.address.id] = now;
    this->actions.emplace_back(
        send_message{peer.address, config_pull{nonce, this->state->revision()}});
}

// In order of preference: a reader of the same zone, another reader, any peer, a peer that could
// not read the store. Equal candidates take turns.
const config_peer* config_replica::choose_peer(instant now, bool by_preference) const
{
    const auto rank = [&](const config_peer& peer) {
        const peer_answer* last_answer = this->valid_answer(peer.address.id, now);
        const bool failing = last_answer != nullptr && !last_answer->store_reachable;
        const bool other_zone = peer.zone != this->settings.zone;
        const int tier = !by_preference ? 0 : failing ? 3 : !peer.reader ? 2 : other_zone ? 1 : 0;
        return std::pair(tier, mix(this->settings.seed + this->pull_round, peer.address.id));
    };
    return &*std::min_element(
        this->peers.begin(), this->peers.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

std::vector<config_peer> config_replica::least_recently_asked(std::size_t count) const
{
    const auto last_asked = [this](const config_peer& peer) {
        const auto found = this->asked.find(peer.address.id);
        return found == this->asked.end() ? instant::min() : found->second;
    };
    std::vector<config_peer> chosen = this->peers;
    std::sort(chosen.begin(), chosen.end(), [&](const auto& left, const auto& right) {
        return last_asked(left) < last_asked(right);
    });
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

void config_replica::on_message(const member_address& from, const peer_message& message,
                                instant now)
{
    if (const auto* pull = std::get_if<config_pull>(&message)) {
        this->answer(from, *pull, now);
    } else if (const auto* update = std::get_if<config_update>(&message)) {
        this->on_update(from, *update, now);
    }
}

void config_replica::answer(const member_address& from, const config_pull& pull, instant now)
{
    config_update update;
    update.nonce = pull.nonce;
    update.revision = this->state->revision();
    update.age = this->ready ? this->confirmed_age(now).value_or(duration::max()) : duration::max();
    update.store_reachable = !this->is_store_failing(now);
    const bool behind = pull.revision < update.revision;
    const bool covered =
        !this->recent.empty() && this->recent.front().revision <= pull.revision + 1;
    if (behind && covered) {
        std::copy_if(this->recent.begin(), this->recent.end(), std::back_inserter(update.changes),
                     [&](const auto& change) { return change.revision > pull.revision; });
    } else if (behind) {
        update.snapshot.push_back({update.revision, this->state->objects()});
    }
    this->actions.emplace_back(send_message{from, std::move(update)});
}

// An answer is accepted once, and only to a pull of this incarnation: its age counts from the start
// of that pull.
void config_replica::on_update(const member_address& from, const config_update& update, instant now)
{
    const auto found = this->pulls.find(update.nonce);
    if (found == this->pulls.end() || found->second.peer != from.id) {
        return;
    }
    const instant start = found->second.start;
    this->pulls.erase(found);
    for (const config_snapshot& snapshot : update.snapshot) {
        if (snapshot.revision > this->state->revision()) {
            this->apply_state(
                config_state_ptr(new config_state(snapshot.revision, snapshot.objects)), {});
        }
    }
    this->apply(update.changes);

    const bool peer_ready = update.age != duration::max();
    peer_answer& latest = this->answers[from.id];
    if (latest.start <= start) {
        latest = {start, update.revision, update.store_reachable, peer_ready};
    }
    if (peer_ready) {
        this->confirm(start - std::max(update.age, duration{}), update.revision, now);
    }
    this->check_startup_without_store(now);
    this->read_when_due(now);
}

} // namespace pearhaven::coordination
