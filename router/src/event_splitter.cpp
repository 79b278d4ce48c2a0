#include "event_splitter.hpp"

#include <charconv>

namespace pearhaven::router {

namespace {

// The end of the first event in the text, with its blank line; npos where there is none.
std::size_t event_end(std::string_view text)
{
    std::size_t line_begin = 0;
    while (line_begin < text.size()) {
        const auto line_end = text.find('\n', line_begin);
        if (line_end == std::string_view::npos) {
            return std::string_view::npos;
        }
        const auto line = text.substr(line_begin, line_end - line_begin);
        line_begin = line_end + 1;
        if (line.empty() || line == "\r") {
            return line_begin;
        }
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view key = "id:";
    while (!event.empty()) {
        const auto line_end = event.find('\n');
        auto line = event.substr(0, line_end);
        event =
            line_end == std::string_view::npos ? std::string_view() : event.substr(line_end + 1);
        if (line.substr(0, key.size()) != key) {
            continue;
        }
        line.remove_prefix(key.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        const auto read = std::from_chars(line.data(), line.data() + line.size(), number);
        return read.ec == std::errc() ? std::make_optional(number) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    this->part.append(bytes);
    std::vector<stream_event> events;
    std::string_view rest = this->part;
    for (auto end = event_end(rest); end != std::string_view::npos; end = event_end(rest)) {
        stream_event event;
        event.bytes = rest.substr(0, end);
        event.id = event_id(event.bytes);
        events.push_back(std::move(event));
        rest.remove_prefix(end);
    }
    this->part.erase(0, this->part.size() - rest.size());
    return events;
}

} // namespace pearhaven::router
