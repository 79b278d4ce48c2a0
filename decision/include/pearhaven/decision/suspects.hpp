#ifndef PEARHAVEN_DECISION_SUSPECTS_HPP
#define PEARHAVEN_DECISION_SUSPECTS_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// Names a request by its content, whoever resends it where.
[[nodiscard]] std::uint64_t fingerprint(std::string_view team, std::string_view asked,
                                        std::string_view body);

struct suspect_settings {
    std::size_t max_entries = 4096; // of too many, those that expire first go
    duration suspicion = std::chrono::minutes(10);
    duration quarantine = std::chrono::hours(1);
};

// Finds requests that crash the endpoint that runs them. What was in flight at a crash is suspect;
// suspects are to be retried apart from each other, one to an endpoint; a suspect whose endpoint
// crashes again is quarantined.
//
// So a request crashes at most two endpoints of the routers that know of the first crash when they
// start it again. No innocent request is quarantined as long as suspects are kept apart and no
// endpoint that runs a suspect crashes for another reason. One thread uses a table at a time.
class suspect_table {
public:
    enum class suspect_status : std::uint8_t { clear, suspect, quarantined };

    explicit suspect_table(suspect_settings settings = {});
    suspect_table(const suspect_table&) = delete;
    suspect_table& operator=(const suspect_table&) = delete;
    ~suspect_table();

    [[nodiscard]] suspect_status status_of(std::uint64_t fingerprint, instant now) const;

    // An endpoint crashed while these ran on it. Returns those that are newly quarantined.
    std::vector<std::uint64_t> on_crash(const std::vector<std::uint64_t>& in_flight, instant now);

    // A request ran to its end, so it does not crash endpoints.
    void on_finished(std::uint64_t fingerprint, instant now);

    // Another router's news.
    void apply_peer_status(std::uint64_t fingerprint, suspect_status reported, instant now);

    // What changed here since the last call, for the other routers.
    std::vector<std::pair<std::uint64_t, suspect_status>> take_changes();

    [[nodiscard]] std::size_t size() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::decision

#endif
