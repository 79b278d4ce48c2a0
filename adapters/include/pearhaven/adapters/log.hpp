#ifndef PEARHAVEN_ADAPTERS_LOG_HPP
#define PEARHAVEN_ADAPTERS_LOG_HPP

#include "pearhaven/decision/time.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pearhaven::adapters {

enum class log_format { text, json };

// Sets the log format of the process and starts logging to standard error. Call once, at startup.
// `process` is the process name written in each line.
void start_log(log_format format, const std::string& process);

// Logs JSON lines to standard output instead. Lines are buffered and written by `flush_log` without
// blocking; lines that do not fit into the buffer are dropped, and the next line that fits reports
// their number. For a process that serves callers on a single thread. Call once, at startup.
void start_buffered_log(const std::string& process);

// Writes as many buffered lines as the system accepts without blocking. Call regularly, on the
// thread that logs.
void flush_log();

using log_field = std::pair<std::string_view, std::string>;

// Formats a duration as whole milliseconds, for use as a field value.
[[nodiscard]] std::string milliseconds(decision::duration time);

// Logs a state change: something began, ended or was lost. Not for single requests, which are
// counted in metrics. The fields must not contain secrets.
void log_change(std::string_view event, std::initializer_list<log_field> fields);

// Like log_change, for changes that need the attention of an operator.
void log_warning(std::string_view event, std::initializer_list<log_field> fields);

} // namespace pearhaven::adapters

#endif
