#include "pearhaven/coordination/value_sender.hpp"

#include <algorithm>
#include <utility>

namespace pearhaven::coordination {

void value_sender::add(value_pull wanted, decision::instant now)
{
    const auto until = now + this->settings.pull_lifetime;
    const auto same = std::find_if(
        this->waiting.begin(), this->waiting.end(), [&wanted](const waiting_pull& one) {
            return one.wanted.host == wanted.host && one.wanted.port == wanted.port;
        });
    if (same != this->waiting.end()) {
        *same = {std::move(wanted), until};
    } else {
        this->waiting.push_back({std::move(wanted), until});
    }
}

std::optional<value_pull> value_sender::next(decision::instant now)
{
    while (!this->waiting.empty() && this->waiting.front().until <= now) {
        this->waiting.pop_front();
    }
    if (this->waiting.empty() || now + this->settings.burst < this->free_at) {
        return std::nullopt;
    }
    auto wanted = std::move(this->waiting.front().wanted);
    this->waiting.pop_front();
    return wanted;
}

void value_sender::on_sent(std::size_t bytes, decision::instant now)
{
    const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                             this->settings.bytes_per_second);
    this->free_at =
        std::max(this->free_at, now) + std::chrono::duration_cast<decision::duration>(time);
}

} // namespace pearhaven::coordination
