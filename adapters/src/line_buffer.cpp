#include "line_buffer.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace pearhaven::adapters {

namespace {

// About one second of log lines on a busy router.
constexpr std::size_t max_waiting_bytes = 256U << 10U;

std::string time_text()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto since = now.time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(since).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 48> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(millis));
    return text.data();
}

} // namespace

line_buffer::line_buffer(int target, std::string name)
    : descriptor(target), process(std::move(name))
{
    const int flags = fcntl(this->descriptor, F_GETFL);
    fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
}

void line_buffer::append(std::string_view level, std::string_view fields)
{
    if (this->waiting.size() + fields.size() > max_waiting_bytes) {
        ++this->lost;
        return;
    }
    this->waiting.append(R"({"time":")").append(time_text());
    this->waiting.append(R"(","level":")").append(level);
    this->waiting.append(R"(","process":")").append(this->process).append("\",");
    if (this->lost != this->reported_lost) {
        this->waiting.append(R"("lines_lost":)").append(std::to_string(this->lost)).append(",");
        this->reported_lost = this->lost;
    }
    this->waiting.append(fields).append("\n");
}

void line_buffer::flush()
{
    while (!this->waiting.empty()) {
        const auto written = ::write(this->descriptor, this->waiting.data(), this->waiting.size());
        if (written <= 0) {
            return;
        }
        this->waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace pearhaven::adapters
