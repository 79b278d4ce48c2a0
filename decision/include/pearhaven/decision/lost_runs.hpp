#ifndef PEARHAVEN_DECISION_LOST_RUNS_HPP
#define PEARHAVEN_DECISION_LOST_RUNS_HPP

#include "pearhaven/decision/recent_ends.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pearhaven::decision {

// A run that was lost with its connection to the endpoint. It may have crashed the endpoint.
struct lost_run {
    std::uint64_t fingerprint = 0; // of the request
    std::string address;           // of the endpoint
    std::uint64_t incarnation = 0;
    duration ran_for{};

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

struct lost_run_settings {
    // Lost runs that quarantine a request.
    std::size_t max_lost_runs = 3;

    // Runs that overlap may be lost by one cause, such as a rack that loses power while several
    // routers run the same popular request. A run counts as a later one if it was lost this long
    // after the one before, and at least half of its own time, which allows for the delays of
    // messages between routers.
    duration min_separation = std::chrono::milliseconds(20);

    // How long a lost run counts while its endpoint's incarnation is not known to have ended. An
    // endpoint that crashes leaves the host list after some missed heartbeats.
    duration unconfirmed_lifetime = std::chrono::seconds(15);

    // How long a lost run counts whose endpoint has ended.
    duration confirmed_lifetime = std::chrono::minutes(10);

    std::size_t max_requests = 4096;    // above this, records that expire first are removed
    std::size_t max_recent_ends = 4096; // above this, they are forgotten
};

// Finds requests that crash the endpoints that run them, where an endpoint cannot be asked about a
// run whose connection broke. One broken connection shows little; a request that loses each of its
// runs, one after the other and on different incarnations, and finishes none, is quarantined. The
// quarantine ends when the lost runs expire, or when a run of the request finishes. Not
// thread-safe.
class lost_run_table {
public:
    explicit lost_run_table(lost_run_settings chosen = {})
        : settings(chosen), ends(chosen.unconfirmed_lifetime, chosen.max_recent_ends)
    {}

    void on_lost_run(const lost_run& lost, instant now);

    // The endpoint's incarnation has left the host list. The runs that it lost may be reported
    // before or after that.
    void on_incarnation_end(const std::string& address, std::uint64_t incarnation, instant now);

    // Returns whether lost runs of the request were known.
    bool on_finished(std::uint64_t fingerprint);

    // When the quarantine ends; nothing if the request is not quarantined.
    [[nodiscard]] std::optional<instant> quarantined_until(std::uint64_t fingerprint,
                                                           instant now) const;

    [[nodiscard]] std::vector<std::uint64_t> quarantined(instant now) const;
    [[nodiscard]] std::size_t size() const { return this->records.size(); }

private:
    struct counted_run {
        std::string address;
        std::uint64_t incarnation = 0;
        instant lost_at;
        instant expires;
    };

    using record = std::vector<counted_run>; // in the order of their losses

    void make_room(instant now);

    lost_run_settings settings;
    std::unordered_map<std::uint64_t, record> records; // by fingerprint
    recent_ends ends;
};

} // namespace pearhaven::decision

#endif
