#include "configuration_codec_faults.hpp"

namespace pearhaven::adapters {

namespace {

constexpr std::size_t max_shown_bytes = 60;

} // namespace

std::string member_path(const std::string& parent, std::string_view key)
{
    return parent.empty() ? std::string(key) : parent + "." + std::string(key);
}

std::string element_path(const std::string& parent, std::size_t index)
{
    return parent + "[" + std::to_string(index) + "]";
}

std::string shown(const nlohmann::json& value)
{
    if (value.is_null()) {
        return "nothing";
    }
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_bytes) {
        text.resize(max_shown_bytes);
        text += "...";
    }
    return text;
}

fault_collector::fault_collector(const std::string& file_name, const line_map& known_lines)
    : file(file_name), lines(known_lines)
{}

void fault_collector::add(const std::string& path, std::string found, std::string allowed)
{
    const auto entry = this->lines.find(path);
    const int line = entry != this->lines.end() ? entry->second.value : this->nearest_line(path);
    this->faults.push_back({this->file, line, path, std::move(found), std::move(allowed)});
}

void fault_collector::add_at_key(const std::string& path, std::string found, std::string allowed)
{
    const int line = this->nearest_line(path);
    this->faults.push_back({this->file, line, path, std::move(found), std::move(allowed)});
}

int fault_collector::nearest_line(std::string path) const
{
    while (true) {
        const auto entry = this->lines.find(path);
        if (entry != this->lines.end()) {
            return entry->second.key;
        }
        if (path.empty()) {
            return 0;
        }
        const auto end = path.find_last_of(".[");
        path.resize(end == std::string::npos ? 0 : end);
    }
}

} // namespace pearhaven::adapters
