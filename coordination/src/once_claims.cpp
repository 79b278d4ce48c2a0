#include "pearhaven/coordination/once_claims.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

namespace {

// Few holders are missing at a time. Beyond this number one entry is removed, and its timeout
// starts again.
constexpr std::size_t max_missing_holders = 1024;

} // namespace

once_claims::once_claims(once_claims_settings chosen, const claim_codec& stored_form)
    : settings(std::move(chosen)), codec(stored_form)
{}

claim_number once_claims::claim(const std::string& team, const std::string& key,
                                std::string write_id, decision::instant now)
{
    const auto number = this->next_claim++;
    if (this->claims.size() >= this->settings.max_open) {
        this->decide(number, claim_verdict::unavailable, "");
        return number;
    }
    claim_work work;
    work.key = std::string(claim_prefix) + team + "/" + key;
    work.record = {claim_state::held, this->settings.self, std::move(write_id), ""};
    work.start_time = now;
    work.next_call = now;
    work.retry_delay = this->settings.first_retry;
    auto& placed = this->claims.emplace(number, std::move(work)).first->second;
    this->advance(number, placed, now);
    return number;
}

void once_claims::settle(claim_number claim, claim_state end, std::string outcome,
                         decision::instant now)
{
    const auto found = this->claims.find(claim);
    if (found == this->claims.end() || found->second.step != phase::granted) {
        return;
    }
    auto& work = found->second;
    work.step = phase::settling;
    work.record.state = end;
    work.record.outcome = std::move(outcome);
    work.next_call = now;
    work.retry_delay = this->settings.first_retry;
    this->advance(claim, work, now);
}

void once_claims::set_live(std::set<incarnation_id> now_live)
{
    this->live = std::move(now_live);
    for (const auto& holder : this->live) {
        this->missing_since.erase(holder);
    }
}

std::vector<once_claims::action> once_claims::take_actions()
{
    return std::exchange(this->actions, {});
}

void once_claims::on_tick(decision::instant now)
{
    std::vector<claim_number> finished;
    for (auto& [number, work] : this->claims) {
        const bool is_late = work.call && now - work.call_start >= this->settings.store_timeout;
        if (is_late) {
            this->calls.erase(*work.call);
            this->on_lost_reply(work, now);
        }
        if (work.step == phase::creating && this->give_up_creating(number, work, now)) {
            finished.push_back(number);
            continue;
        }
        const bool is_expired = work.step == phase::abandoned &&
                                now - work.start_time >= this->settings.abandoned_retention;
        if (is_expired) {
            finished.push_back(number);
            continue;
        }
        this->advance(number, work, now);
    }
    for (const auto number : finished) {
        this->claims.erase(number);
    }
}

// Returns true if the claim needs no more work.
bool once_claims::give_up_creating(claim_number number, claim_work& work, decision::instant now)
{
    if (now - work.start_time < this->settings.claim_timeout) {
        return false;
    }
    this->decide(number, claim_verdict::unavailable, "");
    if (work.call) {
        this->calls.erase(*work.call);
        this->on_lost_reply(work, now);
    }
    if (!work.unresolved_write) {
        return true;
    }
    // The caller is informed that the request was not run, but the claim's write may still be
    // committed and would then block the caller's next attempt permanently. Writing `not_run` at
    // the same revision resolves this: either it is stored first and the late write fails, or it
    // finds the late write and replaces it.
    work.step = phase::abandoned;
    work.record.state = claim_state::not_run;
    return false;
}

void once_claims::advance(claim_number number, claim_work& work, decision::instant now)
{
    if (work.call || work.step == phase::granted || now < work.next_call) {
        return;
    }
    const auto tag = this->next_tag++;
    work.call = tag;
    work.call_start = now;
    this->calls.emplace(tag, number);
    kv_compare_and_swap swap{work.key, this->codec.write_claim(work.record), work.revision, 0};
    this->actions.emplace_back(store_call{tag, std::move(swap)});
}

void once_claims::wait(claim_work& work, decision::instant now)
{
    work.next_call = now + work.retry_delay;
    work.retry_delay = std::min(work.retry_delay * 2, this->settings.longest_retry);
}

void once_claims::on_lost_reply(claim_work& work, decision::instant now)
{
    work.unresolved_write = true;
    work.call.reset();
    this->wait(work, now);
}

void once_claims::on_reply(call_tag tag, const kv_reply& reply, decision::instant now)
{
    const auto pending_call = this->calls.find(tag);
    if (pending_call == this->calls.end()) {
        return;
    }
    const auto number = pending_call->second;
    this->calls.erase(pending_call);
    const auto found = this->claims.find(number);
    if (found == this->claims.end()) {
        return;
    }
    auto& work = found->second;
    bool finished = false;
    if (reply.outcome == kv_outcome::unknown) {
        this->on_lost_reply(work, now);
        return;
    }
    work.call.reset();
    if (reply.outcome == kv_outcome::unavailable) {
        finished = this->on_unavailable(number, work, now);
    } else if (!reply.entries.empty()) {
        finished = this->on_entry(number, work, reply.entries.front(), now);
    } else if (reply.outcome == kv_outcome::ok) {
        finished = this->on_written(number, work, reply.revision);
    } else {
        finished = this->on_absent(work, now);
    }
    if (finished) {
        this->claims.erase(number);
        return;
    }
    this->advance(number, work, now);
}

// Returns true if the claim needs no more work. Nothing was written, so the caller can be
// refused at once and informed when to retry; only an earlier write without a reply has to be
// resolved first.
bool once_claims::on_unavailable(claim_number number, claim_work& work, decision::instant now)
{
    if (work.step == phase::creating && !work.unresolved_write) {
        this->decide(number, claim_verdict::unavailable, "");
        return true;
    }
    this->wait(work, now);
    return false;
}

// Returns true if the claim needs no more work.
bool once_claims::on_written(claim_number number, claim_work& work, store_revision revision)
{
    work.revision = revision;
    if (work.step != phase::creating) {
        return true;
    }
    work.step = phase::granted;
    this->decide(number, claim_verdict::granted, "");
    return false;
}

bool once_claims::on_absent(claim_work& work, decision::instant now)
{
    work.revision = 0;
    this->wait(work, now);
    return false;
}

bool once_claims::on_entry(claim_number number, claim_work& work, const kv_entry& entry,
                           decision::instant now)
{
    const auto found = this->codec.read_claim(entry.value);
    if (!found) {
        // It cannot be determined what ran under this key, so it is not run again.
        this->actions.emplace_back(unreadable_value{entry.key});
        if (work.step == phase::creating) {
            this->decide(number, claim_verdict::unknown, "");
        }
        return true;
    }
    if (found->write_id != work.record.write_id) {
        return this->on_others_claim(number, work, entry, *found, now);
    }
    work.revision = entry.revision;
    const bool is_written = found->state == work.record.state;
    if (is_written) {
        return this->on_written(number, work, entry.revision);
    }
    // This router's claim, in an earlier state or closed as unknown by a router that presumed this
    // one dead. The write with its end replaces it.
    if (work.step == phase::creating) {
        this->decide(number, claim_verdict::unknown, "");
        return true;
    }
    return false;
}

bool once_claims::on_others_claim(claim_number number, claim_work& work, const kv_entry& entry,
                                  const claim_record& found, decision::instant now)
{
    if (work.step != phase::creating) {
        return true; // this claim was never stored, or was replaced after it was closed
    }
    switch (found.state) {
    case claim_state::ran:
        this->decide(number, claim_verdict::ran, found.outcome);
        return true;
    case claim_state::unknown:
        this->decide(number, claim_verdict::unknown, found.outcome);
        return true;
    case claim_state::not_run:
        work.revision = entry.revision;
        return false;
    case claim_state::held:
        break;
    }
    if (this->is_presumed_dead(found.holder, now)) {
        this->close_for_dead_holder(entry, found);
        this->decide(number, claim_verdict::unknown, "");
        return true;
    }
    this->decide(number, claim_verdict::in_progress, "");
    return true;
}

void once_claims::close_for_dead_holder(const kv_entry& entry, claim_record found)
{
    found.state = claim_state::unknown;
    // The reply is ignored: if the write fails, the next resend of the request repeats it.
    this->actions.emplace_back(
        store_call{this->next_tag++, kv_compare_and_swap{entry.key, this->codec.write_claim(found),
                                                         entry.revision, 0}});
}

// A wrong result only makes a caller get `unknown` too early.
bool once_claims::is_presumed_dead(const incarnation_id& holder, decision::instant now)
{
    if (holder == this->settings.self || this->live.count(holder) > 0) {
        return false;
    }
    if (this->missing_since.size() >= max_missing_holders &&
        this->missing_since.count(holder) == 0) {
        this->missing_since.erase(this->missing_since.begin());
    }
    const auto since = this->missing_since.emplace(holder, now).first->second;
    return now - since >= this->settings.holder_timeout;
}

void once_claims::decide(claim_number number, claim_verdict verdict, const std::string& outcome)
{
    this->actions.emplace_back(claim_decided{number, verdict, outcome});
}

} // namespace pearhaven::coordination
