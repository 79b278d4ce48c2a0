#ifndef PEARHAVEN_ADAPTERS_LOG_HPP
#define PEARHAVEN_ADAPTERS_LOG_HPP

#include "pearhaven/decision/time.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pearhaven::adapters {

enum class log_format { text, json };

// Chooses the format of the process's log, which goes to standard error. Called once, at start.
// `process` names this process in each line.
void start_log(log_format format, const std::string& process);

// Writes JSON lines to standard output instead, by `flush_log`, without ever blocking: lines that
// find no room are dropped and counted in the next line that does. For a process whose one thread
// serves callers. Called once, at start.
void start_buffered_log(const std::string& process);

// Hands buffered lines to the system, as many as it takes at once. To be called now and then, on
// the thread that logs.
void flush_log();

using log_field = std::pair<std::string_view, std::string>;

// A time as a field's value: whole milliseconds.
[[nodiscard]] std::string milliseconds(decision::duration time);

// A change of state worth a line: something began, ended or was lost. Not for single requests,
// those are counted. Secrets must not be among the fields.
void log_change(std::string_view event, std::initializer_list<log_field> fields);

// Like log_change, for changes that an operator should look at.
void log_warning(std::string_view event, std::initializer_list<log_field> fields);

} // namespace pearhaven::adapters

#endif
