#include "pearhaven/coordination/lease_holder.hpp"

#include "kv_answers.hpp"
#include "mix.hpp"

#include <utility>

namespace pearhaven::coordination {

using decision::duration;
using decision::instant;

lease_holder::lease_holder(lease_holder_settings chosen, const duty_codec& record_codec,
                           instant now)
    : settings(std::move(chosen)), codec(record_codec),
      key(std::string(duty_prefix) + this->settings.duty),
      random(mix(this->settings.seed, this->settings.self)), due(now)
{}

bool lease_holder::may_order(instant now) const
{
    return this->taken &&
           now < this->lease_start + this->settings.time_to_live - this->settings.margin;
}

bool lease_holder::may_order_unchecked(instant now) const
{
    const duration wait = this->settings.time_to_live + this->settings.longest_order;
    return this->may_order(now) && now >= this->taken->since + wait;
}

void lease_holder::on_tick(instant now)
{
    if (this->taken && !this->may_order(now)) {
        this->give_up(now);
    }
    if (this->open_call || now < this->due) {
        return;
    }
    if (this->taken) {
        this->call(phase::renewing, kv_renew_lease{this->lease}, now);
    } else if (this->step == phase::checking) {
        this->call(phase::checking, kv_get{this->key}, now);
    } else if (this->is_candidate) {
        this->call(phase::polling, kv_get{this->key}, now);
    }
}

void lease_holder::on_reply(call_tag tag, const kv_reply& reply, instant now)
{
    if (this->open_call != tag) {
        return; // belongs to a lease that was given up
    }
    this->open_call.reset();
    switch (this->step) {
    case phase::polling:
        this->on_polled(reply, now);
        break;
    case phase::granting:
        this->on_granted(reply, now);
        break;
    case phase::creating:
        this->on_created(reply, now);
        break;
    case phase::checking:
        this->on_checked(reply, now);
        break;
    case phase::renewing:
        this->on_renewed(reply, now);
        break;
    }
}

std::vector<lease_holder::action> lease_holder::take_actions()
{
    return std::exchange(this->actions, {});
}

void lease_holder::release()
{
    this->is_candidate = false;
    this->give_up(this->due);
}

void lease_holder::call(phase next, kv_request request, instant now)
{
    this->step = next;
    this->open_call = this->next_tag++;
    this->call_start = now;
    this->actions.emplace_back(store_call{*this->open_call, std::move(request)});
}

// A random delay, so that candidates that find the duty available at the same time do not all try
// to take it at once.
duration lease_holder::jitter()
{
    const auto period = static_cast<std::uint64_t>(this->settings.poll_period.count());
    return duration(next_random(this->random) % period);
}

std::optional<duty_record> lease_holder::read(const kv_reply& reply)
{
    if (reply.entries.empty()) {
        return std::nullopt;
    }
    std::optional<duty_record> record = this->codec.read_duty(reply.entries.front().value);
    if (!record) {
        this->actions.emplace_back(unreadable_value{this->key});
    }
    return record;
}

void lease_holder::on_polled(const kv_reply& reply, instant now)
{
    if (reply.outcome == kv_outcome::not_found) {
        this->call(phase::granting, kv_grant_lease{this->settings.time_to_live}, now);
        return;
    }
    this->due = now + this->settings.poll_period / 2 + this->jitter();
}

void lease_holder::on_granted(const kv_reply& reply, instant now)
{
    if (reply.outcome != kv_outcome::ok) {
        this->step = phase::polling;
        this->due = now + this->settings.retry + this->jitter();
        return;
    }
    this->lease = reply.lease;
    this->lease_start = this->call_start;
    this->create(now);
}

void lease_holder::create(instant now)
{
    const std::string text = this->codec.write_duty({this->settings.self, this->lease});
    this->call(phase::creating, kv_compare_and_swap{this->key, text, 0, this->lease}, now);
}

void lease_holder::on_created(const kv_reply& reply, instant now)
{
    if (reply.outcome == kv_outcome::ok) {
        this->take(reply.revision, now);
    } else if (reply.outcome == kv_outcome::not_found) { // the lease has expired
        this->give_up(now);
    } else {
        // Also after a conflict: the key may have been created by an earlier attempt whose reply
        // was lost.
        this->step = phase::checking;
        this->due = now + (has_no_answer(reply) ? this->settings.retry : duration{});
        this->on_tick(now);
    }
}

// A creation with an unknown outcome is retried under the same lease, so at most one attempt can
// take effect.
void lease_holder::on_checked(const kv_reply& reply, instant now)
{
    if (has_no_answer(reply)) {
        this->due = now + this->settings.retry;
        return;
    }
    if (reply.entries.empty()) {
        this->create(now);
        return;
    }
    const duty_record own{this->settings.self, this->lease};
    if (this->read(reply) == own) {
        this->take(reply.entries.front().revision, now);
    } else {
        this->give_up(now);
    }
}

void lease_holder::take(fencing_number number, instant now)
{
    this->taken = holding{number, now};
    this->due = this->lease_start + this->settings.time_to_live / 3;
    if (!this->may_order(now)) { // the replies took too long
        this->taken.reset();
        this->give_up(now);
        return;
    }
    this->actions.emplace_back(duty_taken{number});
}

void lease_holder::on_renewed(const kv_reply& reply, instant now)
{
    if (reply.outcome == kv_outcome::ok) {
        this->lease_start = this->call_start;
        this->due = this->lease_start + this->settings.time_to_live / 3;
    } else if (reply.outcome == kv_outcome::not_found) {
        this->give_up(now);
    } else {
        this->due = now + this->settings.retry;
    }
}

// Revoking the lease deletes the key, if it exists. A reply that is still pending is ignored.
void lease_holder::give_up(instant now)
{
    if (this->taken) {
        this->taken.reset();
        this->actions.emplace_back(duty_lost{});
    }
    if (this->lease != 0) {
        kv_request revocation = kv_revoke_lease{this->lease};
        this->actions.emplace_back(store_call{this->next_tag++, std::move(revocation)});
    }
    this->lease = 0;
    this->open_call.reset();
    this->step = phase::polling;
    this->due = now + this->settings.poll_period / 2 + this->jitter();
}

} // namespace pearhaven::coordination
