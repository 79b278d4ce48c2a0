#ifndef PEARHAVEN_DECISION_SUSPECTS_HPP
#define PEARHAVEN_DECISION_SUSPECTS_HPP

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// Identifies a request by its content, so that resends through any router match. The body may come
// in blocks.
[[nodiscard]] std::uint64_t fingerprint(std::string_view team, std::string_view asked,
                                        std::string_view body);
[[nodiscard]] std::uint64_t fingerprint(std::string_view team, std::string_view asked,
                                        const std::vector<std::string>& body);

struct suspect_settings {
    std::size_t max_entries = 4096; // above this, entries that expire first are removed
    duration suspicion = std::chrono::minutes(10);
    duration quarantine = std::chrono::hours(1);
};

// Finds requests that crash the endpoint that runs them. Every request in flight at a crash becomes
// a suspect. Suspects must be retried on separate endpoints; a suspect whose endpoint crashes again
// is quarantined.
//
// A request therefore crashes at most two endpoints, as far as routers know of the first crash when
// they start it again. No innocent request is quarantined as long as suspects are kept apart and no
// endpoint that runs a suspect crashes for another reason. Not thread-safe.
class suspect_table {
public:
    enum class suspect_status : std::uint8_t { clear, suspect, quarantined };

    explicit suspect_table(suspect_settings settings = {});
    suspect_table(const suspect_table&) = delete;
    suspect_table& operator=(const suspect_table&) = delete;
    ~suspect_table();

    [[nodiscard]] suspect_status status_of(std::uint64_t fingerprint, instant now) const;

    // An endpoint crashed while these requests ran on it. Returns the newly quarantined ones.
    std::vector<std::uint64_t> on_crash(const std::vector<std::uint64_t>& in_flight, instant now);

    // The request ran to its end, so it does not crash endpoints.
    void on_finished(std::uint64_t fingerprint, instant now);

    // Applies a status reported by another router.
    void apply_peer_status(std::uint64_t fingerprint, suspect_status reported, instant now);

    // Returns the local changes since the last call, to be sent to the other routers.
    std::vector<std::pair<std::uint64_t, suspect_status>> take_changes();

    [[nodiscard]] std::size_t size() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::decision

#endif
