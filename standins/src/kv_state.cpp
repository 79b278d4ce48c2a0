#include "kv_state.hpp"

#include <algorithm>

namespace pearhaven::standins {

namespace {

bool has_prefix(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

const kv_state::stored* kv_state::find_live(const std::string& key) const
{
    const auto found = this->changes.find(key);
    const bool live = found != this->changes.end() && !found->second.record.deleted;
    return live ? &found->second : nullptr;
}

kv_result kv_state::refused(kv_status status, const stored* live) const
{
    kv_result result{status, this->last_revision, std::nullopt};
    if (live != nullptr) {
        result.current = live->record;
    }
    return result;
}

std::uint64_t kv_state::record_change(const std::string& key, const std::string& value,
                                      bool deleted, std::uint64_t lease)
{
    ++this->last_revision;
    auto& slot = this->changes[key];
    this->keys_by_revision.erase(slot.record.revision);
    if (const auto old = this->leases.find(slot.lease); old != this->leases.end()) {
        old->second.keys.erase(key);
    }
    slot = stored{{key, value, this->last_revision, deleted}, lease};
    this->keys_by_revision[this->last_revision] = key;
    if (lease != 0) {
        this->leases.at(lease).keys.insert(key);
    }
    return this->last_revision;
}

kv_result kv_state::compare_and_swap(const std::string& key, const std::string& value,
                                     std::uint64_t expected, std::uint64_t lease,
                                     decision::instant now)
{
    this->expire(now);
    const auto* live = this->find_live(key);
    if (lease != 0 && this->leases.count(lease) == 0) {
        return this->refused(kv_status::no_such_lease, nullptr);
    }
    const std::uint64_t present = live == nullptr ? 0 : live->record.revision;
    if (present != expected) {
        return this->refused(kv_status::conflict, live);
    }
    return {kv_status::applied, this->record_change(key, value, false, lease), std::nullopt};
}

kv_result kv_state::erase(const std::string& key, std::uint64_t expected, decision::instant now)
{
    this->expire(now);
    const auto* live = this->find_live(key);
    if (live == nullptr) {
        return this->refused(kv_status::no_such_key, nullptr);
    }
    if (live->record.revision != expected) {
        return this->refused(kv_status::conflict, live);
    }
    return {kv_status::applied, this->record_change(key, "", true, 0), std::nullopt};
}

std::optional<kv_record> kv_state::get(const std::string& key) const
{
    const auto* live = this->find_live(key);
    return live == nullptr ? std::nullopt : std::make_optional(live->record);
}

std::vector<kv_record> kv_state::range(const std::string& prefix) const
{
    std::vector<kv_record> found;
    for (auto each = this->changes.lower_bound(prefix);
         each != this->changes.end() && has_prefix(each->first, prefix); ++each) {
        if (!each->second.record.deleted) {
            found.push_back(each->second.record);
        }
    }
    return found;
}

std::vector<kv_record> kv_state::changes_after(const std::string& prefix, std::uint64_t after) const
{
    std::vector<kv_record> found;
    for (auto each = this->keys_by_revision.upper_bound(after);
         each != this->keys_by_revision.end(); ++each) {
        if (has_prefix(each->second, prefix)) {
            found.push_back(this->changes.at(each->second).record);
        }
    }
    return found;
}

std::uint64_t kv_state::grant_lease(decision::duration time_to_live, decision::instant now)
{
    ++this->last_lease;
    this->leases[this->last_lease] = {time_to_live, now + time_to_live, {}};
    return this->last_lease;
}

bool kv_state::renew_lease(std::uint64_t lease, decision::instant now)
{
    this->expire(now);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end()) {
        return false;
    }
    found->second.end = now + found->second.time_to_live;
    return true;
}

bool kv_state::revoke_lease(std::uint64_t lease, decision::instant now)
{
    this->expire(now);
    if (this->leases.count(lease) == 0) {
        return false;
    }
    this->end_lease(lease);
    return true;
}

void kv_state::end_lease(std::uint64_t lease)
{
    const auto keys = this->leases.at(lease).keys;
    for (const auto& key : keys) {
        this->record_change(key, "", true, 0);
    }
    this->leases.erase(lease);
}

void kv_state::expire(decision::instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [number, lease] : this->leases) {
        if (lease.end <= now) {
            expired.push_back(number);
        }
    }
    for (const auto number : expired) {
        this->end_lease(number);
    }
}

std::optional<decision::instant> kv_state::next_expiry() const
{
    std::optional<decision::instant> next;
    for (const auto& [number, lease] : this->leases) {
        next = next ? std::min(*next, lease.end) : lease.end;
    }
    return next;
}

} // namespace pearhaven::standins
