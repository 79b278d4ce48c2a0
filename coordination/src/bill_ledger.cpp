#include "pearhaven/coordination/bill_ledger.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

std::map<std::string, bill> fold_bills(const std::vector<bill>& bills)
{
    std::map<std::string, bill> folded;
    for (const auto& one : bills) {
        const auto [place, is_new] = folded.emplace(one.request, one);
        if (!is_new && one.cost > place->second.cost) {
            place->second = one;
        }
    }
    return folded;
}

bill_ledger::bill_ledger(bill_ledger_settings chosen, const bill_page_codec& page_codec)
    : settings(std::move(chosen)), codec(page_codec), retry_delay(this->settings.first_retry)
{}

void bill_ledger::on_bill(bill added, decision::instant now)
{
    this->unsafe.insert(added.request);
    this->uncopied.push_back(added);
    this->pending.push_back(std::move(added));
    this->commit_when_due(now);
}

void bill_ledger::on_tick(decision::instant now)
{
    this->commit_when_due(now);
    this->copy_when_due(now);
    this->recover_missing_owners(now);
    this->recover_when_due(now);
}

void bill_ledger::set_peers(std::vector<member> live)
{
    this->peers = std::move(live);
    for (auto& [number, batch] : this->batches) {
        this->check_batch(batch);
    }
}

std::size_t bill_ledger::waiting() const
{
    return this->pending.size() + this->recoveries.size();
}

std::vector<bill_ledger::action> bill_ledger::take_actions()
{
    return std::exchange(this->actions, {});
}

std::string bill_ledger::page_key(std::uint64_t number) const
{
    return std::string(bill_page_prefix) + this->settings.self + "/" + std::to_string(number);
}

void bill_ledger::commit_when_due(decision::instant now)
{
    if (this->write || this->pending.empty() || now < this->next_commit) {
        return;
    }
    this->ambiguous ? this->read_page(now) : this->write_page(now);
}

void bill_ledger::write_page(decision::instant now)
{
    if (this->committed.size() >= this->settings.page_bills) {
        ++this->page;
        this->committed.clear();
        this->page_revision = 0;
    }
    auto contents = this->committed;
    // Pages are small, since each write sends the whole page again. A single write may be larger:
    // otherwise the bills that arrive during a write would accumulate for as long as the load
    // lasts.
    const auto room = this->settings.write_bills - contents.size();
    const auto count = static_cast<std::ptrdiff_t>(std::min(room, this->pending.size()));
    contents.insert(contents.end(), this->pending.begin(), this->pending.begin() + count);
    this->next_commit = now + this->settings.commit_period;
    kv_compare_and_swap swap{this->page_key(this->page), this->codec.write_bills(contents),
                             this->page_revision, 0};
    this->write = page_write{this->next_tag++, this->page, false, now, std::move(contents)};
    this->actions.emplace_back(store_call{this->write->tag, std::move(swap)});
}

void bill_ledger::read_page(decision::instant now)
{
    this->write = page_write{this->next_tag++, this->page, true, now, {}};
    this->actions.emplace_back(store_call{this->write->tag, kv_get{this->page_key(this->page)}});
}

void bill_ledger::on_reply(call_tag tag, const kv_reply& reply, decision::instant now)
{
    if (this->recovery_tag == tag) {
        this->recovery_tag.reset();
        // A conflict means that an earlier attempt of the same write was committed.
        if (reply.outcome == kv_outcome::ok || reply.outcome == kv_outcome::conflict) {
            this->recoveries.pop_front();
        } else {
            this->next_recovery = now + this->settings.longest_retry;
        }
        return;
    }
    if (!this->write || this->write->tag != tag) {
        return;
    }
    const auto finished_write = *std::exchange(this->write, std::nullopt);
    switch (reply.outcome) {
    case kv_outcome::ok:
    case kv_outcome::conflict:
        if (!reply.entries.empty()) {
            this->on_page_state(reply.entries.front(), now);
        } else if (finished_write.is_read || reply.outcome == kv_outcome::conflict) {
            this->ambiguous = false; // the page does not exist: no earlier write was committed
            this->on_write_failed(now);
        } else {
            // Bills that were added after the write started are not on the page and must not be
            // reported safe.
            this->page_revision = reply.revision;
            this->on_committed(finished_write.contents);
        }
        break;
    case kv_outcome::not_found:
        this->ambiguous = false;
        this->on_write_failed(now);
        break;
    case kv_outcome::unavailable:
        this->on_write_failed(now);
        break;
    case kv_outcome::unknown:
        // The write may still be committed; a second write over it would then fail or, worse, be
        // mistaken for the first. Reading the page resolves it.
        this->ambiguous = true;
        this->on_write_failed(now);
        break;
    }
    this->commit_when_due(now);
}

// Only this incarnation writes the page, so all bills on it are its own.
void bill_ledger::on_page_state(const kv_entry& entry, decision::instant now)
{
    this->ambiguous = false;
    const auto on_page = this->codec.read_bills(entry.value);
    if (!on_page) {
        // The page cannot be repaired, so the bills go to a new one.
        this->actions.emplace_back(unreadable_value{entry.key});
        ++this->page;
        this->committed.clear();
        this->page_revision = 0;
        this->on_write_failed(now);
        return;
    }
    this->page_revision = entry.revision;
    this->on_committed(*on_page);
}

void bill_ledger::on_committed(const std::vector<bill>& on_page)
{
    this->failing_since.reset();
    this->retry_delay = this->settings.first_retry;
    std::set<std::string> requests;
    for (const auto& one : on_page) {
        requests.insert(one.request);
    }
    const auto is_committed = [&requests](const bill& one) {
        return requests.count(one.request) > 0;
    };
    this->pending.erase(std::remove_if(this->pending.begin(), this->pending.end(), is_committed),
                        this->pending.end());
    this->committed = on_page;
    const auto needs_no_copy = [this](const bill& one) {
        return this->unsafe.count(one.request) == 0;
    };
    for (const auto& request : requests) {
        this->copied.erase(request);
        this->mark_safe(request);
    }
    while (!this->uncopied.empty() && needs_no_copy(this->uncopied.front())) {
        this->uncopied.pop_front();
    }
    this->drop_committed_batches();
}

void bill_ledger::on_write_failed(decision::instant now)
{
    if (!this->failing_since) {
        this->failing_since = now;
    }
    this->next_commit = now + this->retry_delay;
    this->retry_delay = std::min(this->retry_delay * 2, this->settings.longest_retry);
}

void bill_ledger::mark_safe(const std::string& request)
{
    if (this->unsafe.erase(request) > 0) {
        this->actions.emplace_back(bill_safe{request});
    }
}

bool bill_ledger::is_store_slow(decision::instant now) const
{
    return this->failing_since.has_value() ||
           (this->write && now - this->write->start >= this->settings.store_timeout);
}

void bill_ledger::copy_when_due(decision::instant now)
{
    if (!this->is_store_slow(now) || this->peers.empty()) {
        return;
    }
    this->make_batches(now);
    for (auto& [number, batch] : this->batches) {
        if (!batch.safe && now - batch.last_sent >= this->settings.copy_resend) {
            this->send_batch(number, batch, now);
        }
    }
}

void bill_ledger::make_batches(decision::instant now)
{
    copy_batch batch;
    const auto close = [this, now, &batch] {
        const auto number = this->next_batch++;
        const auto place = this->batches.emplace(number, std::exchange(batch, {})).first;
        this->send_batch(number, place->second, now);
    };
    for (const auto& one : std::exchange(this->uncopied, {})) {
        if (this->unsafe.count(one.request) == 0 || !this->copied.insert(one.request).second) {
            continue;
        }
        batch.requests.push_back(one.request);
        batch.bills.push_back(one);
        if (batch.bills.size() >= this->settings.batch_bills) {
            close();
        }
    }
    if (!batch.bills.empty()) {
        close();
    }
}

// Prefers other availability zones: the failure of a zone should not lose a bill together with its
// copies.
std::vector<const member*> bill_ledger::copy_targets() const
{
    std::vector<const member*> targets;
    for (const auto& peer : this->peers) {
        if (peer.state == member_state::alive) {
            targets.push_back(&peer);
        }
    }
    std::stable_sort(targets.begin(), targets.end(),
                     [this](const member* left, const member* right) {
                         const bool left_here = left->zone == this->settings.zone;
                         const bool right_here = right->zone == this->settings.zone;
                         return left_here == right_here ? left->id < right->id : right_here;
                     });
    return targets;
}

void bill_ledger::send_batch(std::uint64_t number, copy_batch& batch, decision::instant now)
{
    batch.last_sent = now;
    std::size_t wanted =
        this->settings.copies - std::min(this->settings.copies, batch.held_by.size());
    for (const auto* target : this->copy_targets()) {
        if (wanted == 0) {
            return;
        }
        if (batch.held_by.count(target->id) > 0) {
            continue;
        }
        batch.sent_to.insert(target->id);
        bill_copy copy{this->settings.self, number, batch.bills};
        this->actions.emplace_back(send_message{address_of(*target), std::move(copy)});
        --wanted;
    }
}

void bill_ledger::check_batch(copy_batch& batch)
{
    const auto possible = std::min(this->settings.copies, this->copy_targets().size());
    if (batch.safe || batch.held_by.empty() || batch.held_by.size() < possible) {
        return;
    }
    batch.safe = true;
    for (const auto& request : batch.requests) {
        this->mark_safe(request);
    }
}

// A drop message covers all batches up to a number, so a batch is dropped only after those before
// it.
void bill_ledger::drop_committed_batches()
{
    std::optional<std::uint64_t> done;
    std::set<incarnation_id> holders;
    while (!this->batches.empty()) {
        const auto& [number, batch] = *this->batches.begin();
        const auto has_pending =
            std::any_of(batch.requests.begin(), batch.requests.end(),
                        [this](const auto& request) { return this->copied.count(request) > 0; });
        if (has_pending) {
            break;
        }
        done = number;
        holders.insert(batch.sent_to.begin(), batch.sent_to.end());
        this->batches.erase(this->batches.begin());
    }
    if (!done) {
        return;
    }
    for (const auto& peer : this->peers) {
        if (holders.count(peer.id) > 0) {
            this->actions.emplace_back(
                send_message{address_of(peer), bill_copy_drop{this->settings.self, *done}});
        }
    }
}

void bill_ledger::on_message(const member_address& from, const peer_message& message,
                             decision::instant /*now*/)
{
    if (const auto* copy = std::get_if<bill_copy>(&message)) {
        this->hold(from, *copy);
    } else if (const auto* ack = std::get_if<bill_copy_ack>(&message)) {
        const auto found = this->batches.find(ack->page);
        if (ack->owner == this->settings.self && found != this->batches.end()) {
            found->second.held_by.insert(from.id);
            this->check_batch(found->second);
        }
    } else if (const auto* drop = std::get_if<bill_copy_drop>(&message)) {
        const auto found = this->held.find(drop->owner);
        if (found == this->held.end()) {
            return;
        }
        auto& pages = found->second;
        while (!pages.empty() && pages.begin()->first <= drop->page) {
            this->held_count -= pages.begin()->second.size();
            pages.erase(pages.begin());
        }
        if (pages.empty()) {
            this->held.erase(found);
        }
    }
}

void bill_ledger::hold(const member_address& from, const bill_copy& copy)
{
    // Copies beyond the limit are not acknowledged, so that their owner does not treat the bills as
    // safe here.
    if (this->held_count + copy.bills.size() > this->settings.max_held) {
        return;
    }
    const auto is_new = this->held[copy.owner].emplace(copy.page, copy.bills).second;
    if (is_new) {
        this->held_count += copy.bills.size();
    }
    this->actions.emplace_back(send_message{from, bill_copy_ack{copy.owner, copy.page}});
}

void bill_ledger::on_member_dead(const incarnation_id& owner, decision::instant now)
{
    const auto found = this->held.find(owner);
    if (found == this->held.end()) {
        return;
    }
    for (const auto& [number, bills] : found->second) {
        // The holder's ID in the key prevents two holders from overwriting each other's copies.
        auto key = std::string(bill_page_prefix) + owner + "/copy-" + this->settings.self + "-" +
                   std::to_string(number);
        this->recoveries.push_back({std::move(key), this->codec.write_bills(bills)});
        this->held_count -= bills.size();
    }
    this->held.erase(found);
    this->recover_when_due(now);
}

void bill_ledger::recover_missing_owners(decision::instant now)
{
    std::set<incarnation_id> live;
    for (const auto& peer : this->peers) {
        live.insert(peer.id);
    }
    std::vector<incarnation_id> expired;
    for (const auto& [owner, pages] : this->held) {
        if (live.count(owner) > 0) {
            this->missing_since.erase(owner);
            continue;
        }
        const auto since = this->missing_since.emplace(owner, now).first->second;
        if (now - since >= this->settings.owner_timeout) {
            expired.push_back(owner);
        }
    }
    for (const auto& owner : expired) {
        this->missing_since.erase(owner);
        this->on_member_dead(owner, now);
    }
}

void bill_ledger::recover_when_due(decision::instant now)
{
    if (this->recoveries.empty() || this->recovery_tag || now < this->next_recovery) {
        return;
    }
    this->recovery_tag = this->next_tag++;
    const auto& next = this->recoveries.front();
    this->actions.emplace_back(
        store_call{*this->recovery_tag, kv_compare_and_swap{next.key, next.value, 0, 0}});
}

} // namespace pearhaven::coordination
