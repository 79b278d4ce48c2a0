#include "event_splitter.hpp"

#include <charconv>

namespace pearhaven::router {

namespace {

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
    std::vector<stream_event> events;
    std::size_t event_begin = 0;
    std::size_t search_from = this->part.size(); // the incomplete line has no end before it
    this->part.append(bytes);
    for (auto line_end = this->part.find('\n', search_from); line_end != std::string::npos;
         line_end = this->part.find('\n', search_from)) {
        const auto line =
            std::string_view(this->part).substr(this->line_begin, line_end - this->line_begin);
        search_from = line_end + 1;
        this->line_begin = search_from;
        if (line.empty() || line == "\r") {
            stream_event event;
            event.bytes = this->part.substr(event_begin, search_from - event_begin);
            event.id = event_id(event.bytes);
            events.push_back(std::move(event));
            event_begin = search_from;
        }
    }
    this->part.erase(0, event_begin);
    this->line_begin -= event_begin;
    return events;
}

} // namespace pearhaven::router
