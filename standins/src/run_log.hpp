#ifndef PEARHAVEN_STANDINS_RUN_LOG_HPP
#define PEARHAVEN_STANDINS_RUN_LOG_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace pearhaven::standins {

// State of a run that has started. `lost`: it ran, but its answer is never delivered.
enum class logged_state { running, finished, cancelled, lost };

struct logged_run {
    std::string run;
    std::string request;
    std::string version;
    std::string path;
    logged_state state = logged_state::running;
    std::uint64_t tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::int64_t at_ms = 0; // of the start, unix time

    friend bool operator==(const logged_run&, const logged_run&) = default;
};

// Every run that an endpoint has started, for history checks: a run that is missing here was never
// executed. Entries are never removed.
class run_log {
public:
    // Returns the number that `update` takes.
    std::size_t add(logged_run started);

    void update(std::size_t number, logged_state state, std::uint64_t tokens);

    // The runs from the number on, in order of start.
    [[nodiscard]] nlohmann::json show(std::size_t first = 0) const;

private:
    mutable std::mutex mutex;
    std::vector<logged_run> runs;
};

} // namespace pearhaven::standins

#endif
