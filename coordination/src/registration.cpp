#include "pearhaven/coordination/registration.hpp"

#include "kv_answers.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

using decision::instant;

registration::registration(registration_settings chosen, std::string own_key, std::string own_value,
                           instant now)
    : settings(chosen), key(std::move(own_key)), value(std::move(own_value)),
      retry_delay(chosen.first_retry), due(now)
{}

void registration::on_tick(instant now)
{
    if (this->open_call || now < this->due) {
        return;
    }
    switch (this->step) {
    case phase::granting:
        this->call(kv_grant_lease{this->settings.time_to_live}, now);
        break;
    case phase::writing:
        this->call(kv_compare_and_swap{this->key, this->value, this->found_at, this->lease}, now);
        break;
    case phase::reading:
        this->call(kv_get{this->key}, now);
        break;
    case phase::holding:
        this->call(kv_renew_lease{this->lease}, now);
        break;
    case phase::ended:
        break;
    }
}

bool registration::on_reply(call_tag tag, const kv_reply& reply, instant now)
{
    if (tag < first_tag) {
        return false;
    }
    if (this->open_call != tag) {
        return true;
    }
    this->open_call.reset();
    switch (this->step) {
    case phase::granting:
        this->on_granted(reply, now);
        break;
    case phase::writing:
        this->on_written(reply, now);
        break;
    case phase::reading:
        this->on_read(reply, now);
        break;
    case phase::holding:
        this->on_renewed(reply, now);
        break;
    case phase::ended:
        break;
    }
    this->on_tick(now);
    return true;
}

void registration::end()
{
    this->step = phase::ended;
    this->open_call.reset();
    if (this->lease != 0 && !this->is_lease_in_doubt) {
        this->calls.emplace_back(this->next_tag++, kv_revoke_lease{this->lease});
    }
}

// If the key is gone, so is its lease, whose number may have been given to another owner since.
void registration::on_store_restored(instant now)
{
    if (this->step == phase::granting || this->step == phase::ended) {
        return;
    }
    this->is_lease_in_doubt = true;
    this->step = phase::reading;
    this->open_call.reset();
    this->due = now;
}

std::vector<store_call> registration::take_calls()
{
    return std::exchange(this->calls, {});
}

void registration::call(kv_request request, instant now)
{
    this->open_call = this->next_tag++;
    this->calls.emplace_back(*this->open_call, std::move(request));
    // The renewal interval, counted from the call, since the lease may start then.
    this->due = now + this->settings.time_to_live / 3;
}

void registration::on_granted(const kv_reply& reply, instant now)
{
    if (reply.outcome != kv_outcome::ok) {
        this->retry_later(now);
        return;
    }
    this->lease = reply.lease;
    this->step = phase::writing;
    this->due = now;
}

void registration::on_read(const kv_reply& reply, instant now)
{
    if (has_no_answer(reply)) {
        this->retry_later(now);
        return;
    }
    if (reply.entries.empty() && this->is_lease_in_doubt) {
        this->start_over(now);
        return;
    }
    // A lease in doubt that still has its key is the own one; if it has ended, a renewal tells.
    this->step = this->is_lease_in_doubt ? phase::holding : phase::writing;
    this->is_lease_in_doubt = false;
    this->found_at = reply.entries.empty() ? 0 : reply.entries.front().revision;
    this->due = now;
}

void registration::on_written(const kv_reply& reply, instant now)
{
    switch (reply.outcome) {
    case kv_outcome::ok:
        this->step = phase::holding;
        this->retry_delay = this->settings.first_retry;
        break;
    case kv_outcome::not_found: // the lease has expired meanwhile
        this->start_over(now);
        break;
    case kv_outcome::conflict:
    case kv_outcome::unavailable:
    case kv_outcome::unknown:
        this->step = phase::reading;
        this->retry_later(now);
        break;
    }
}

void registration::on_renewed(const kv_reply& reply, instant now)
{
    if (reply.outcome == kv_outcome::not_found) {
        this->start_over(now);
    } else if (reply.outcome != kv_outcome::ok) {
        this->retry_later(now);
    } else {
        this->retry_delay = this->settings.first_retry;
    }
}

void registration::retry_later(instant now)
{
    this->due = now + this->retry_delay;
    this->retry_delay = std::min(2 * this->retry_delay, this->settings.longest_retry);
}

void registration::start_over(instant now)
{
    this->step = phase::granting;
    this->lease = 0;
    this->found_at = 0;
    this->is_lease_in_doubt = false;
    this->due = now;
}

} // namespace pearhaven::coordination
