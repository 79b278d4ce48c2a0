#include "sse_reader.hpp"

namespace pearhaven::router {

std::vector<std::string> sse_reader::feed(std::string_view piece)
{
    std::vector<std::string> events;
    while (!piece.empty() && !this->overflow) {
        const auto end = piece.find('\n');
        const auto part = piece.substr(0, end);
        if (this->line_start.size() + this->data.size() + part.size() > max_event) {
            this->overflow = true;
            return events;
        }
        if (end == std::string_view::npos) {
            this->line_start.append(part);
            return events;
        }
        if (this->line_start.empty()) {
            this->process_line(part, events);
        } else {
            this->line_start.append(part);
            this->process_line(this->line_start, events);
            this->line_start.clear();
        }
        piece.remove_prefix(end + 1);
    }
    return events;
}

void sse_reader::process_line(std::string_view line, std::vector<std::string>& events)
{
    constexpr std::string_view field = "data:";
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (this->has_data) {
            events.push_back(std::move(this->data));
            this->data.clear();
            this->has_data = false;
        }
        return;
    }
    if (line.substr(0, field.size()) != field) {
        return;
    }
    line.remove_prefix(field.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    if (this->has_data) {
        this->data.push_back('\n');
    }
    this->data.append(line);
    this->has_data = true;
}

} // namespace pearhaven::router
