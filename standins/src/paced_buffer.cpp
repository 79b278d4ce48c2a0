#include "paced_buffer.hpp"

#include <algorithm>

namespace pearhaven::standins {

namespace {

// With a rate limit, bytes are sent in evenly spaced pieces of at most this size.
constexpr std::size_t max_paced_chunk = 1024;

decision::duration time_for(std::size_t bytes, std::uint64_t bytes_per_second)
{
    constexpr std::uint64_t micros_per_second = 1'000'000;
    return decision::duration(bytes * micros_per_second / bytes_per_second);
}

} // namespace

void paced_buffer::push(std::string_view bytes, const pacing& wanted, decision::instant now)
{
    const bool limited = wanted.bytes_per_second > 0;
    while (!bytes.empty()) {
        const auto length = limited ? std::min(bytes.size(), max_paced_chunk) : bytes.size();
        auto due = std::max(now + wanted.delay, this->last_due);
        if (limited) {
            due += time_for(length, wanted.bytes_per_second);
        }
        this->last_due = due;
        this->chunks.push_back({std::string(bytes.substr(0, length)), due});
        this->total += length;
        bytes.remove_prefix(length);
    }
}

std::string_view paced_buffer::ready(decision::instant now) const
{
    if (this->chunks.empty() || this->chunks.front().due > now) {
        return {};
    }
    return std::string_view(this->chunks.front().bytes).substr(this->front_sent);
}

void paced_buffer::pop(std::size_t bytes)
{
    this->front_sent += bytes;
    this->total -= bytes;
    if (this->front_sent == this->chunks.front().bytes.size()) {
        this->chunks.pop_front();
        this->front_sent = 0;
    }
}

std::optional<decision::instant> paced_buffer::next_due() const
{
    return this->chunks.empty() ? std::nullopt : std::make_optional(this->chunks.front().due);
}

} // namespace pearhaven::standins
