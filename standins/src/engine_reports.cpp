#include "engine_reports.hpp"

#include "shares.hpp"

namespace pearhaven::standins {

namespace {

constexpr decision::duration finest_sample{5'000};
constexpr std::size_t max_events = 10'000;

} // namespace

void load_history::record(const batch_load& load, decision::instant now)
{
    if (this->samples.size() > 1 && now - this->samples.back().at < finest_sample) {
        this->samples.back().load = load;
        return;
    }
    this->samples.push_back({now, load});
    while (this->samples.size() > 1 && this->samples[1].at <= now - this->lag) {
        this->samples.pop_front();
    }
}

batch_load load_history::report(decision::instant now) const
{
    batch_load found;
    for (const auto& each : this->samples) {
        const bool seen = each.at <= now - this->lag;
        if (!seen) {
            found.capacity = each.load.capacity;
            break;
        }
        found = each.load;
    }
    return found;
}

cache_event_feed::cache_event_feed(decision::duration behind, double gaps)
    : lag(behind), gap_share(gaps)
{}

void cache_event_feed::publish(const std::vector<cache_event>& fresh, decision::instant now)
{
    for (const auto& each : fresh) {
        if (!in_share(std::to_string(each.sequence), this->gap_share)) {
            this->events.push_back({now + this->lag, each});
        }
    }
    while (this->events.size() > max_events) {
        this->events.pop_front();
    }
}

std::vector<cache_event> cache_event_feed::after(std::uint64_t sequence,
                                                 decision::instant now) const
{
    std::vector<cache_event> found;
    for (const auto& each : this->events) {
        if (each.event.sequence > sequence && each.seen_at <= now) {
            found.push_back(each.event);
        }
    }
    return found;
}

version_table::version_table(const std::vector<std::string>& served_at_start)
{
    for (const auto& each : served_at_start) {
        this->ready[each] = decision::instant::min();
    }
}

bool version_table::accept_fence(std::uint64_t number)
{
    if (number < this->highest_fence) {
        return false;
    }
    this->highest_fence = number;
    return true;
}

void version_table::load(const std::string& version, decision::instant ready_at)
{
    this->ready.try_emplace(version, ready_at);
}

void version_table::unload(const std::string& version)
{
    this->ready.erase(version);
}

bool version_table::serves(const std::string& version, decision::instant now) const
{
    const auto found = this->ready.find(version);
    return found != this->ready.end() && found->second <= now;
}

std::vector<std::string> version_table::served(decision::instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, ready_at] : this->ready) {
        if (ready_at <= now) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace pearhaven::standins
