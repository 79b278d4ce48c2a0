#include "pearhaven/coordination/prefix_mirror.hpp"

#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pearhaven::coordination {

namespace {

// Retries of one router are spread over this part of the pause, so that routers that lost the store
// together do not come back to it together.
constexpr std::uint64_t spread_parts = 4;

// Changes of which others can be told; one that has missed more is told everything.
constexpr std::size_t most_changes_kept = 512;

// Values that one word to many holds at most, in bytes. Twenty hosts of a zone with links of 10
// Mbit/s get as much within a third of a second.
constexpr std::size_t most_told_to_many = 16U << 10U;

} // namespace

mirror_update without_large_values(mirror_update news)
{
    if (news.complete) {
        // All that is held is large, and a listener takes what a whole list lacks for removed.
        news.complete = false;
        news.entries.clear();
        news.first_omitted = news.after + 1;
        return news;
    }
    auto& entries = news.entries;
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return left.value.size() < right.value.size();
    });
    std::size_t told = 0;
    const auto first_omitted_entry =
        std::find_if(entries.begin(), entries.end(), [&told](auto& entry) {
            told += entry.value.size();
            return told > most_told_to_many;
        });
    for (auto at = first_omitted_entry; at != entries.end(); ++at) {
        news.first_omitted =
            news.first_omitted == 0 ? at->revision : std::min(news.first_omitted, at->revision);
    }
    entries.erase(first_omitted_entry, entries.end());
    return news;
}

prefix_mirror::prefix_mirror(prefix_mirror_settings chosen) : settings(std::move(chosen)) {}

void prefix_mirror::call(kv_request request)
{
    this->open_call = this->next_tag++;
    this->told_of_at_call = this->told_of;
    this->actions.emplace_back(store_call(*this->open_call, std::move(request)));
}

void prefix_mirror::on_tick(decision::instant now)
{
    this->drop_lapsed(now);
    if (this->open_call || now < this->due) {
        return;
    }
    if (this->needs_list) {
        const bool allow_stale = this->settings.allow_stale_first_list && !this->has_asked;
        this->has_asked = true;
        this->call(kv_range{this->settings.prefix, allow_stale});
    } else if (this->mode != watch_mode::follower || this->must_read_store() ||
               this->failures > 0) {
        const bool shares = this->mode != watch_mode::independent;
        const auto wait = shares ? this->settings.shared_watch_wait : this->settings.watch_wait;
        this->call(kv_watch{this->settings.prefix, this->watched, wait});
    }
}

void prefix_mirror::restart(decision::instant now)
{
    if (this->open_call) {
        this->open_call.reset();
        this->due = now;
        this->on_tick(now);
    }
}

void prefix_mirror::on_reply(call_tag tag, const kv_reply& reply, decision::instant now)
{
    if (this->open_call != tag) {
        return;
    }
    this->open_call.reset();
    if (reply.outcome == kv_outcome::ok) {
        this->confirmed = now;
        this->succeed(now);
        const bool brought = !this->needs_list && !reply.entries.empty();
        this->needs_list ? this->on_list(reply, now) : this->on_watch(reply, now);
        this->drop_false_word();
        const auto gather = this->mode == watch_mode::watcher
                                ? this->settings.shared_change_batch_delay
                                : this->settings.change_batch_delay;
        this->due = brought ? now + gather : now;
    } else if (reply.outcome == kv_outcome::not_found && !this->needs_list) {
        // The history has been dropped: only a list tells what has changed.
        this->needs_list = true;
        this->due = now;
    } else {
        this->fail(now);
    }
    this->on_tick(now);
}

// The store's answer is of the time of the call or later. What others told of before and the store
// does not hold by then, there has never been; it would be asked for without end.
void prefix_mirror::drop_false_word()
{
    if (this->told_of == this->told_of_at_call) {
        this->told_of = std::min(this->told_of, this->watched);
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
    const auto part = static_cast<std::int64_t>(
        decision::mix(this->settings.seed + this->failures) % spread_parts);
    this->due = now + pause - pause * part / (2 * static_cast<std::int64_t>(spread_parts));
    ++this->failures;
}

void prefix_mirror::succeed(decision::instant now)
{
    if (this->failures > 0) {
        this->failures = 0;
        if (!this->has_served_others(now)) {
            this->regained_at = now;
        }
        this->actions.emplace_back(mirror_regained{});
    }
}

void prefix_mirror::on_peer_served_by_store(decision::instant at)
{
    if (at - this->served_others_at > this->settings.lapse_grace) {
        this->served_others_since = at;
    }
    this->served_others_at = std::max(this->served_others_at, at);
}

// Whether it did so for as long as a key may be missing after an outage: what is missing now was
// taken away, and did not lapse.
bool prefix_mirror::has_served_others(decision::instant now) const
{
    return now - this->served_others_at <= this->settings.lapse_grace &&
           now - this->served_others_since >= this->settings.lapse_grace;
}

void prefix_mirror::adopt(const kv_entry& entry)
{
    const auto gone = this->removed.find(entry.key);
    if (gone != this->removed.end() && gone->second >= entry.revision) {
        return;
    }
    auto& held = this->known[entry.key];
    this->lapsed.erase(entry.key);
    if (entry.revision > held.revision) {
        held = entry;
        this->note_change(entry.key, entry.revision);
        this->actions.emplace_back(mirror_changed{entry});
    }
}

void prefix_mirror::miss(const std::string& key, store_revision revision, decision::instant now)
{
    const auto held = this->known.find(key);
    if (held == this->known.end() && revision != 0) {
        this->note_removal(key, revision);
    }
    if (held == this->known.end() || (revision != 0 && revision < held->second.revision)) {
        return;
    }
    const bool may_come_back =
        this->regained_at && now - *this->regained_at < this->settings.lapse_grace;
    if (may_come_back) {
        const auto seen_at = revision == 0 ? this->watched : revision;
        this->lapsed.try_emplace(
            key, lapse{revision, seen_at, *this->regained_at + this->settings.lapse_grace});
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
    this->note_change(key, std::max(revision, this->watched));
    this->actions.emplace_back(mirror_removed{key, revision});
}

// Of a key that is not held: it came and went since this mirror last heard. Others may hold it, and
// go by what this mirror tells.
void prefix_mirror::note_removal(const std::string& key, store_revision revision)
{
    auto& at = this->removed[key];
    if (revision > at) {
        at = revision;
        this->note_change(key, revision);
    }
}

void prefix_mirror::note_change(const std::string& key, store_revision revision)
{
    this->changes.push_back({revision, key});
    if (this->changes.size() > most_changes_kept) {
        this->changes_since = std::max(this->changes_since, this->changes.front().revision);
        this->changes.pop_front();
    }
}

// Whoever goes by this mirror's word must not count as past a removal that it was not told: nobody
// would tell it any more. A key that may come back is still told to be there.
store_revision prefix_mirror::told_until() const
{
    auto until = this->watched;
    for (const auto& [key, missing] : this->lapsed) {
        until = std::min(until, missing.seen_at - 1);
    }
    return until;
}

std::optional<mirror_update> prefix_mirror::updates_after(store_revision after) const
{
    if (!this->is_synchronized()) {
        return std::nullopt;
    }
    mirror_update news;
    news.as_of = this->told_until();
    news.after = after;
    news.complete = after < this->changes_since;
    if (news.complete) {
        for (const auto& [key, entry] : this->known) {
            news.entries.push_back(entry);
        }
        return news;
    }
    std::set<std::string> told;
    for (const auto& one : this->changes) {
        if (one.revision <= after || !told.insert(one.key).second) {
            continue;
        }
        const auto held = this->known.find(one.key);
        const auto gone = this->removed.find(one.key);
        const auto removed_at = gone == this->removed.end() ? one.revision : gone->second;
        news.entries.push_back(held == this->known.end() ? kv_entry{one.key, "", removed_at}
                                                         : held->second);
    }
    return news;
}

void prefix_mirror::on_peer_update(const mirror_update& news)
{
    if (news.as_of <= this->watched) {
        return;
    }
    std::set<std::string> listed;
    for (const auto& entry : news.entries) {
        listed.insert(entry.key);
        const auto held = this->known.find(entry.key);
        const bool is_older = held != this->known.end() && held->second.revision > entry.revision;
        if (!entry.value.empty()) {
            this->adopt(entry);
        } else if (held == this->known.end()) {
            this->note_removal(entry.key, entry.revision);
        } else if (!is_older) {
            this->drop(entry.key, entry.revision);
        }
    }
    if (news.complete) {
        this->changes_since = std::max(this->changes_since, news.as_of);
        for (const auto& key : this->missing_from(listed, news.as_of)) {
            this->drop(key, 0);
        }
    }
    this->go_on_to(news);
    if (news.complete && !this->has_list) {
        this->has_list = true;
        this->actions.emplace_back(mirror_listed{});
    }
}

// Behind a gap, and from where something is left out, not everything is known that was before. Only
// the lowest revision that is left out is named: that one may be known already, and others not.
void prefix_mirror::go_on_to(const mirror_update& news)
{
    const bool lacks_some = news.first_omitted != 0;
    if (lacks_some) {
        this->told_of = std::max(this->told_of, news.as_of);
    }
    if (news.complete || news.after <= this->watched) {
        this->watched = lacks_some ? std::max(this->watched, news.first_omitted - 1) : news.as_of;
    }
}

// A key that this mirror heard of after the list was made, as from another router while the list
// was on its way, is not missing from it.
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

void prefix_mirror::drop_lapsed(decision::instant now)
{
    for (auto at = this->lapsed.begin(); at != this->lapsed.end();) {
        if (now < at->second.until) {
            ++at;
            continue;
        }
        const auto [key, what] = *at;
        at = this->lapsed.erase(at);
        this->drop(key, what.revision);
    }
}

void prefix_mirror::on_list(const kv_reply& reply, decision::instant now)
{
    this->removed.clear();
    this->watched = std::max(this->watched, reply.revision);
    // What was before a list is not known change by change.
    this->changes_since = std::max(this->changes_since, reply.revision);
    std::set<std::string> listed;
    for (const auto& entry : reply.entries) {
        listed.insert(entry.key);
        this->adopt(entry);
    }
    for (const auto& key : this->missing_from(listed, reply.revision)) {
        this->miss(key, 0, now);
    }
    this->needs_list = false;
    this->has_list = true;
    this->actions.emplace_back(mirror_listed{});
}

void prefix_mirror::on_watch(const kv_reply& reply, decision::instant now)
{
    for (const auto& entry : reply.entries) {
        if (entry.value.empty()) {
            this->miss(entry.key, entry.revision, now);
        } else {
            this->adopt(entry);
        }
    }
    this->watched = std::max(this->watched, reply.revision);
}

std::vector<prefix_mirror::action> prefix_mirror::take_actions()
{
    return std::exchange(this->actions, {});
}

} // namespace pearhaven::coordination
