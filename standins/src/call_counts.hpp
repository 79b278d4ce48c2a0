#ifndef PEARHAVEN_STANDINS_CALL_COUNTS_HPP
#define PEARHAVEN_STANDINS_CALL_COUNTS_HPP

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace pearhaven::standins {

// Counts the calls of a stand-in for /control/stats.
class call_counts {
public:
    // Counts a call as in progress until destroyed.
    class running_call {
    public:
        running_call(call_counts& counted_in, const std::string& kind) : counts(counted_in)
        {
            const std::lock_guard guard(this->counts.mutex);
            ++this->counts.calls[kind];
            ++this->counts.running;
            this->counts.most = std::max(this->counts.most, this->counts.running);
        }

        ~running_call()
        {
            const std::lock_guard guard(this->counts.mutex);
            --this->counts.running;
        }

        running_call(const running_call&) = delete;
        running_call& operator=(const running_call&) = delete;

    private:
        call_counts& counts;
    };

    void count_refused()
    {
        const std::lock_guard guard(this->mutex);
        ++this->refused;
    }

    // `{"calls":{kind:count},"refused":N,"highest_concurrency":N}`.
    [[nodiscard]] nlohmann::json show() const
    {
        const std::lock_guard guard(this->mutex);
        return {{"calls", this->calls},
                {"refused", this->refused},
                {"highest_concurrency", this->most}};
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> calls;
    std::uint64_t refused = 0;
    std::uint64_t running = 0;
    std::uint64_t most = 0;
};

} // namespace pearhaven::standins

#endif
