#include "pearhaven/coordination/prefix_mirror.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pearhaven::coordination {

namespace {

// Half the pause is divided into this many steps, and a retry comes earlier by a random number of
// them, so that routers that lost the store together do not retry together.
constexpr std::uint64_t jitter_steps = 4;

// Number of changes kept for peers; a peer that has missed more gets the complete state.
constexpr std::size_t max_changes_kept = 512;

// Maximum total size of the values in an update to many routers, in bytes. Twenty hosts of a zone
// with links of 10 Mbit/s receive this within a third of a second.
constexpr std::size_t max_broadcast_bytes = 16U << 10U;

} // namespace

mirror_update without_large_values(mirror_update update)
{
    if (update.complete) {
        // The complete state is large, and a recipient treats what is missing from a complete list
        // as removed.
        update.complete = false;
        update.entries.clear();
        update.first_omitted = update.after + 1;
        return update;
    }
    auto& entries = update.entries;
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return left.value.size() < right.value.size();
    });
    std::size_t total_bytes = 0;
    const auto first_omitted_entry =
        std::find_if(entries.begin(), entries.end(), [&total_bytes](auto& entry) {
            total_bytes += entry.value.size();
            return total_bytes > max_broadcast_bytes;
        });
    for (auto at = first_omitted_entry; at != entries.end(); ++at) {
        update.first_omitted =
            update.first_omitted == 0 ? at->revision : std::min(update.first_omitted, at->revision);
    }
    entries.erase(first_omitted_entry, entries.end());
    return update;
}

prefix_mirror::prefix_mirror(prefix_mirror_settings chosen) : settings(std::move(chosen)) {}

void prefix_mirror::call(kv_request request, decision::instant now)
{
    this->open_call = this->next_tag++;
    this->called_at = now;
    this->reported_revision_at_call = this->reported_revision;
    this->actions.emplace_back(store_call(*this->open_call, std::move(request)));
}

void prefix_mirror::on_tick(decision::instant now)
{
    this->drop_missing_keys(now);
    this->call_urgently(now);
    if (this->open_call || now < this->due) {
        return;
    }
    if (this->needs_list) {
        this->call(kv_range{this->settings.prefix}, now);
    } else if (this->mode != watch_mode::follower || this->failures > 0 ||
               (this->must_read_store() && now >= this->values_expected_until)) {
        this->call(
            kv_watch{this->settings.prefix, this->received_revision, this->next_watch_wait()}, now);
    }
}

// A watch that may have missed changes already must not wait for the next one: if its connection
// is silent, the wait would be added to the time that has passed.
decision::duration prefix_mirror::next_watch_wait() const
{
    if (this->failures > 0 || this->has_stopped_following || this->must_read_store()) {
        return decision::duration::zero();
    }
    return this->mode == watch_mode::independent ? this->settings.watch_wait
                                                 : this->settings.shared_watch_wait;
}

void prefix_mirror::set_mode(watch_mode wanted)
{
    if (this->mode == watch_mode::follower && wanted != watch_mode::follower) {
        this->has_stopped_following = true;
    }
    this->mode = wanted;
}

void prefix_mirror::restart(decision::instant now)
{
    if (this->open_call) {
        this->open_call.reset();
        this->end_urgent_calls();
        this->due = now;
        this->on_tick(now);
    }
}

// A follower gets what is new from the routers that it relies on.
void prefix_mirror::on_store_restored(decision::instant now)
{
    this->regained_at = now;
    if (this->mode == watch_mode::follower) {
        return;
    }
    this->needs_list = true;
    this->open_call.reset();
    this->end_urgent_calls();
    this->due = now;
    this->on_tick(now);
}

void prefix_mirror::on_reply(call_tag tag, const kv_reply& reply, decision::instant now)
{
    if (this->urgent_call == tag) {
        this->on_urgent_reply(reply, now);
        return;
    }
    if (this->open_call != tag) {
        return;
    }
    this->open_call.reset();
    this->end_urgent_calls();
    if (reply.outcome == kv_outcome::ok) {
        this->confirmed = now;
        this->answered = now;
        this->urgent_known_at = now;
        this->has_stopped_following = false;
        this->succeed(now);
        const bool brought = !this->needs_list && !reply.entries.empty();
        this->needs_list ? this->on_list(reply, now) : this->on_watch(reply, now);
        this->drop_unknown_reports();
        const auto batch_delay = this->mode == watch_mode::watcher
                                     ? this->settings.shared_change_batch_delay
                                     : this->settings.change_batch_delay;
        this->due = brought ? now + batch_delay : now;
    } else if (reply.outcome == kv_outcome::not_found && !this->needs_list) {
        // The history has been dropped: only a list shows what has changed.
        this->needs_list = true;
        this->due = now;
    } else {
        this->fail(now);
    }
    this->on_tick(now);
}

void prefix_mirror::on_long_answer(decision::instant now)
{
    const bool is_watch = this->open_call && !this->needs_list;
    if (!is_watch || this->settings.urgent_prefix.empty() || this->answer_is_long) {
        return;
    }
    this->answer_is_long = true;
    this->urgent_revision = this->received_revision;
    this->urgent_due = now;
    this->call_urgently(now);
}

// A follower hears of urgent changes from its watchers.
void prefix_mirror::call_urgently(decision::instant now)
{
    const bool is_needed = this->answer_is_long && this->mode != watch_mode::follower;
    if (is_needed && !this->urgent_call && now >= this->urgent_due) {
        this->urgent_call = this->next_tag++;
        this->actions.emplace_back(store_call(
            *this->urgent_call, kv_watch{this->settings.urgent_prefix, this->urgent_revision,
                                         this->settings.shared_watch_wait}));
    }
}

// Without the history, only a list shows what has changed; the open call leads to one.
void prefix_mirror::on_urgent_reply(const kv_reply& reply, decision::instant now)
{
    this->urgent_call.reset();
    if (reply.outcome == kv_outcome::not_found) {
        this->end_urgent_calls();
        return;
    }
    this->urgent_due = now + this->with_jitter(this->settings.longest_retry);
    if (reply.outcome == kv_outcome::ok) {
        this->answered = now;
        this->urgent_known_at = now;
        this->urgent_revision = std::max(this->urgent_revision, reply.revision);
        this->take_changes(reply, now);
        this->urgent_due =
            reply.entries.empty() ? now : now + this->settings.shared_change_batch_delay;
    }
    this->call_urgently(now);
}

// A late reply of an urgent call is ignored: a list in the meantime may have dropped what tells it
// from an earlier state.
void prefix_mirror::end_urgent_calls()
{
    this->answer_is_long = false;
    this->urgent_call.reset();
}

// The store's answer reflects the time of the call or later. A change that peers reported before
// the call and that the store does not have by then never existed; without this, it would be
// requested without end.
void prefix_mirror::drop_unknown_reports()
{
    if (this->reported_revision == this->reported_revision_at_call) {
        this->reported_revision = std::min(this->reported_revision, this->received_revision);
    }
}

void prefix_mirror::fail(decision::instant now)
{
    if (this->failures == 0) {
        this->actions.emplace_back(mirror_lost{});
    }
    const auto doublings = std::min<std::uint32_t>(this->failures, 8);
    const auto pause =
        std::min(this->settings.first_retry * (1U << doublings), this->settings.longest_retry);
    // The pause limits the rate of calls, so the time that the call took is a part of it.
    this->due = std::max(now + this->with_jitter(this->settings.first_retry),
                         this->called_at + this->with_jitter(pause));
    ++this->failures;
}

decision::duration prefix_mirror::with_jitter(decision::duration pause) const
{
    const auto steps = static_cast<std::int64_t>(
        decision::mix(this->settings.seed + this->failures) % jitter_steps);
    return pause - pause * steps / (2 * static_cast<std::int64_t>(jitter_steps));
}

void prefix_mirror::succeed(decision::instant now)
{
    if (this->failures > 0) {
        this->failures = 0;
        if (!this->store_served_peers(now)) {
            this->regained_at = now;
        }
        this->actions.emplace_back(mirror_regained{});
    }
}

void prefix_mirror::on_peer_served_by_store(decision::instant at)
{
    if (at - this->peers_served_at > this->settings.missing_key_grace) {
        this->peers_served_since = at;
    }
    this->peers_served_at = std::max(this->peers_served_at, at);
}

void prefix_mirror::on_peer_confirmed(store_revision as_of, decision::instant at)
{
    if (as_of <= std::max(this->received_revision, this->small_values_revision)) {
        this->urgent_known_at = std::max(this->urgent_known_at, at);
    }
}

// Whether the store served other routers for as long as a key may be missing after an outage: a key
// that is missing now was removed and did not expire.
bool prefix_mirror::store_served_peers(decision::instant now) const
{
    return now - this->peers_served_at <= this->settings.missing_key_grace &&
           now - this->peers_served_since >= this->settings.missing_key_grace;
}

void prefix_mirror::adopt(const kv_entry& entry)
{
    const auto removal = this->removed.find(entry.key);
    if (removal != this->removed.end() && removal->second >= entry.revision) {
        return;
    }
    auto& held = this->known[entry.key];
    this->missing_keys.erase(entry.key);
    if (entry.revision > held.revision) {
        held = entry;
        this->record_change(entry.key, entry.revision);
        this->actions.emplace_back(mirror_changed{entry});
    }
}

void prefix_mirror::on_missing(const std::string& key, store_revision revision,
                               decision::instant now)
{
    const auto held = this->known.find(key);
    if (held == this->known.end() && revision != 0) {
        this->record_removal(key, revision);
    }
    if (held == this->known.end() || (revision != 0 && revision < held->second.revision)) {
        return;
    }
    const bool may_reappear =
        this->regained_at && now - *this->regained_at < this->settings.missing_key_grace;
    if (may_reappear) {
        const auto noticed_at = revision == 0 ? this->received_revision : revision;
        this->missing_keys.try_emplace(
            key, missing_key{revision, noticed_at,
                             *this->regained_at + this->settings.missing_key_grace});
    } else {
        this->drop(key, revision);
    }
}

void prefix_mirror::drop(const std::string& key, store_revision revision)
{
    this->known.erase(key);
    if (revision != 0) {
        this->removed[key] = revision;
    }
    this->record_change(key, std::max(revision, this->received_revision));
    this->actions.emplace_back(mirror_removed{key, revision});
}

// For a key that is not in the mirror: it was written and removed since the last update. Peers may
// hold it, and rely on the updates of this mirror.
void prefix_mirror::record_removal(const std::string& key, store_revision revision)
{
    auto& at = this->removed[key];
    if (revision > at) {
        at = revision;
        this->record_change(key, revision);
    }
}

void prefix_mirror::record_change(const std::string& key, store_revision revision)
{
    this->changes.push_back({revision, key});
    if (this->changes.size() > max_changes_kept) {
        this->changes_since = std::max(this->changes_since, this->changes.front().revision);
        this->changes.pop_front();
    }
}

// A peer that relies on this mirror must not advance past a removal that it was not sent, since
// no router would send it later. A key that may reappear is still reported as present.
store_revision prefix_mirror::reported_until() const
{
    auto until = this->received_revision;
    for (const auto& [key, missing] : this->missing_keys) {
        until = std::min(until, missing.noticed_at - 1);
    }
    return until;
}

std::optional<mirror_update> prefix_mirror::updates_after(store_revision after) const
{
    if (!this->is_synchronized()) {
        return std::nullopt;
    }
    mirror_update update;
    update.as_of = this->reported_until();
    update.after = after;
    update.complete = after < this->changes_since;
    if (update.complete) {
        for (const auto& [key, entry] : this->known) {
            update.entries.push_back(entry);
        }
        return update;
    }
    std::set<std::string> reported_keys;
    for (const auto& recent : this->changes) {
        if (recent.revision <= after || !reported_keys.insert(recent.key).second) {
            continue;
        }
        const auto held = this->known.find(recent.key);
        const auto removal = this->removed.find(recent.key);
        const auto removed_at = removal == this->removed.end() ? recent.revision : removal->second;
        update.entries.push_back(held == this->known.end() ? kv_entry{recent.key, "", removed_at}
                                                           : held->second);
    }
    return update;
}

void prefix_mirror::on_peer_update(const mirror_update& update)
{
    // A router that waits for a long answer knows urgent changes after those that it has confirmed.
    const bool is_confirmed = update.as_of > this->received_revision;
    std::set<std::string> listed;
    for (const auto& entry : update.entries) {
        if (!is_confirmed && entry.revision <= this->received_revision) {
            continue;
        }
        listed.insert(entry.key);
        const auto held = this->known.find(entry.key);
        const bool is_older = held != this->known.end() && held->second.revision > entry.revision;
        if (!entry.value.empty()) {
            this->adopt(entry);
        } else if (held == this->known.end()) {
            this->record_removal(entry.key, entry.revision);
        } else if (!is_older) {
            this->drop(entry.key, entry.revision);
        }
    }
    if (!is_confirmed) {
        return;
    }
    if (update.complete) {
        this->changes_since = std::max(this->changes_since, update.as_of);
        for (const auto& key : this->missing_from(listed, update.as_of)) {
            this->drop(key, 0);
        }
    }
    this->advance_to(update);
    if (update.complete && !this->has_list) {
        this->has_list = true;
        this->actions.emplace_back(mirror_listed{});
    }
}

// After a gap, or from an omitted value on, not every earlier change is known. The update names
// only the lowest omitted revision: that one may be known already while others are not.
void prefix_mirror::advance_to(const mirror_update& update)
{
    const bool omits_some = update.first_omitted != 0;
    if (omits_some) {
        this->reported_revision = std::max(this->reported_revision, update.as_of);
    }
    const auto small_values_known = std::max(this->received_revision, this->small_values_revision);
    if (update.complete || update.after <= small_values_known) {
        this->small_values_revision = std::max(this->small_values_revision, update.as_of);
    }
    if (update.complete || update.after <= this->received_revision) {
        this->received_revision =
            omits_some ? std::max(this->received_revision, update.first_omitted - 1) : update.as_of;
    }
}

// A key that this mirror learned of after the list was made, for example from another router while
// the list was in transit, is not missing from it.
std::vector<std::string> prefix_mirror::missing_from(const std::set<std::string>& listed,
                                                     store_revision as_of) const
{
    std::vector<std::string> missing;
    for (const auto& [key, held] : this->known) {
        if (listed.count(key) == 0 && held.revision <= as_of) {
            missing.push_back(key);
        }
    }
    return missing;
}

void prefix_mirror::drop_missing_keys(decision::instant now)
{
    for (auto at = this->missing_keys.begin(); at != this->missing_keys.end();) {
        if (now < at->second.until) {
            ++at;
            continue;
        }
        const auto [key, what] = *at;
        at = this->missing_keys.erase(at);
        this->drop(key, what.revision);
    }
}

void prefix_mirror::on_list(const kv_reply& reply, decision::instant now)
{
    this->removed.clear();
    this->received_revision = std::max(this->received_revision, reply.revision);
    // The individual changes before a list are unknown.
    this->changes_since = std::max(this->changes_since, reply.revision);
    std::set<std::string> listed;
    for (const auto& entry : reply.entries) {
        listed.insert(entry.key);
        this->adopt(entry);
    }
    for (const auto& key : this->missing_from(listed, reply.revision)) {
        this->on_missing(key, 0, now);
    }
    this->needs_list = false;
    this->has_list = true;
    this->actions.emplace_back(mirror_listed{});
}

void prefix_mirror::on_watch(const kv_reply& reply, decision::instant now)
{
    this->take_changes(reply, now);
    this->received_revision = std::max(this->received_revision, reply.revision);
}

void prefix_mirror::take_changes(const kv_reply& reply, decision::instant now)
{
    for (const auto& entry : reply.entries) {
        if (entry.value.empty()) {
            this->on_missing(entry.key, entry.revision, now);
        } else {
            this->adopt(entry);
        }
    }
}

std::vector<prefix_mirror::action> prefix_mirror::take_actions()
{
    return std::exchange(this->actions, {});
}

} // namespace pearhaven::coordination
