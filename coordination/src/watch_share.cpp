#include "pearhaven/coordination/watch_share.hpp"

#include "pearhaven/decision/mix.hpp"
#include "pearhaven/decision/suspects.hpp"

#include <algorithm>

namespace pearhaven::coordination {

namespace {

std::uint64_t rank_of(const std::string& name)
{
    return decision::fingerprint(name, "watches", "");
}

} // namespace

void watch_share::set_peer(const std::string& name, const std::string& zone)
{
    if (name != this->settings.self && zone == this->settings.zone) {
        this->near.insert_or_assign(name, rank_of(name));
    } else {
        this->near.erase(name);
    }
}

void watch_share::on_word(store_revision as_of, store_revision revision, decision::duration age,
                          decision::instant now)
{
    if (as_of < revision || age < decision::duration::zero()) {
        return;
    }
    this->fresh_until = std::max(this->fresh_until, now + this->settings.word_lifetime - age);
}

bool watch_share::is_watcher() const
{
    const auto own = rank_of(this->settings.self);
    const auto before = std::count_if(this->near.begin(), this->near.end(),
                                      [own](const auto& named) { return named.second > own; });
    return static_cast<std::size_t>(before) < this->settings.watchers;
}

watch_mode watch_share::mode(decision::instant now) const
{
    if (this->near.size() + 1 < this->settings.least_sharing) {
        return watch_mode::alone;
    }
    if (this->is_watcher()) {
        return watch_mode::for_others;
    }
    const auto part = static_cast<std::int64_t>(rank_of(this->settings.self) % 8);
    const auto patience = this->settings.spread * part / 8;
    return now < this->fresh_until + patience ? watch_mode::follows : watch_mode::alone;
}

} // namespace pearhaven::coordination
