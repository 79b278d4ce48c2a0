#include "pearhaven/adapters/log.hpp"

#include "line_buffer.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <unistd.h>

namespace pearhaven::adapters {

namespace {

log_format chosen_format = log_format::text;

std::string text_line(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line(event);
    for (const auto& [name, value] : fields) {
        line.append(" ").append(name).append("=").append(value);
    }
    return line;
}

std::string json_fields(std::string_view event, std::initializer_list<log_field> fields)
{
    nlohmann::json line = {{"event", event}};
    for (const auto& [name, value] : fields) {
        line[std::string(name)] = value;
    }
    constexpr int compact = -1;
    auto text = line.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(
        1); // the log pattern writes the start of the object: time, level and process
}

std::string_view level_name(spdlog::level::level_enum level)
{
    const auto name = spdlog::level::to_string_view(level);
    return {name.data(), name.size()};
}

// Lines waiting to be written to standard output. Null unless buffered logging was started.
std::unique_ptr<line_buffer> buffered;

void write(spdlog::level::level_enum level, std::string_view event,
           std::initializer_list<log_field> fields)
{
    if (buffered) {
        buffered->append(level_name(level), json_fields(event, fields));
        return;
    }
    const auto line =
        chosen_format == log_format::json ? json_fields(event, fields) : text_line(event, fields);
    spdlog::log(level, "{}", line);
}

} // namespace

std::string milliseconds(decision::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void start_log(log_format format, const std::string& process)
{
    chosen_format = format;
    auto logger = spdlog::stderr_logger_mt(process);
    logger->set_pattern(format == log_format::json
                            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","process":"%n",%v)"
                            : "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v",
                        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void start_buffered_log(const std::string& process)
{
    buffered = std::make_unique<line_buffer>(STDOUT_FILENO, process);
}

void flush_log()
{
    if (buffered) {
        buffered->flush();
    }
}

void log_change(std::string_view event, std::initializer_list<log_field> fields)
{
    write(spdlog::level::info, event, fields);
}

void log_warning(std::string_view event, std::initializer_list<log_field> fields)
{
    write(spdlog::level::warn, event, fields);
}

} // namespace pearhaven::adapters
