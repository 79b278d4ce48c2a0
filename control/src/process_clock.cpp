#include "process_clock.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <thread>

namespace pearhaven::control {

decision::instant system_clock::now() const
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return decision::instant(std::chrono::duration_cast<decision::duration>(since_start));
}

std::uint64_t system_clock::unix_ms() const
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

void system_clock::sleep(decision::duration time)
{
    std::this_thread::sleep_for(time);
}

std::string utc_text(std::uint64_t unix_ms)
{
    constexpr std::uint64_t ms_per_second = 1000;
    const auto seconds = static_cast<std::time_t>(unix_ms / ms_per_second);
    std::tm parts{};
    std::array<char, 32> text{};
    if (gmtime_r(&seconds, &parts) == nullptr) {
        return "time " + std::to_string(unix_ms);
    }
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return {text.data(), length};
}

} // namespace pearhaven::control
