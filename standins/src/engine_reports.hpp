#ifndef PEARHAVEN_STANDINS_ENGINE_REPORTS_HPP
#define PEARHAVEN_STANDINS_ENGINE_REPORTS_HPP

#include "batch_scheduler.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pearhaven::standins {

// Load history, from which reports are given with a fixed lag.
class load_history {
public:
    explicit load_history(decision::duration behind) : lag(behind) {}

    void record(const batch_load& load, decision::instant now);

    // The load one lag before `now`.
    [[nodiscard]] batch_load report(decision::instant now) const;

private:
    struct sample {
        decision::instant at;
        batch_load load;
    };

    decision::duration lag;
    std::deque<sample> samples;
};

// Publishes cache events as a real engine would: delayed, with gaps, and only the most recent ones.
class cache_event_feed {
public:
    // `gap_share` (0 to 1) of the events, selected by a hash of the sequence number, are never
    // published.
    cache_event_feed(decision::duration lag, double gap_share);

    void publish(const std::vector<cache_event>& events, decision::instant now);

    // The events after the sequence number that are published by now.
    [[nodiscard]] std::vector<cache_event> after(std::uint64_t sequence,
                                                 decision::instant now) const;

private:
    struct published {
        decision::instant seen_at;
        cache_event event;
    };

    decision::duration lag;
    double gap_share;
    std::deque<published> events;
};

// The versions that an engine serves, and the fencing number of its orders.
class version_table {
public:
    explicit version_table(const std::vector<std::string>& served);

    // Records the fencing number of an order. False if the number is stale, that is, a higher one
    // was seen before.
    bool accept_fence(std::uint64_t number);

    // Serves the version from `ready_at` on.
    void load(const std::string& version, decision::instant ready_at);

    void unload(const std::string& version);

    [[nodiscard]] bool serves(const std::string& version, decision::instant now) const;
    [[nodiscard]] std::vector<std::string> served(decision::instant now) const;

private:
    std::map<std::string, decision::instant> ready;
    std::uint64_t highest_fence = 0;
};

} // namespace pearhaven::standins

#endif
