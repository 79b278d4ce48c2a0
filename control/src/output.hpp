#ifndef PEARHAVEN_CONTROL_OUTPUT_HPP
#define PEARHAVEN_CONTROL_OUTPUT_HPP

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace pearhaven::control {

// Formats rows of text under a heading, with columns as wide as their widest cell.
class text_table {
public:
    explicit text_table(std::vector<std::string> heading);

    void add(std::vector<std::string> row);
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

enum class output_format { table, json };

// Writes a command's results (standard output) and its diagnostics (standard error, always as
// text). Commands pass each result as text and as JSON; the operator's setting selects one.
class output {
public:
    output(output_format chosen, std::ostream& results, std::ostream& diagnostics);

    // In the JSON format, each value is one line, written at once, so that a reader can process
    // results that arrive over time, such as those of `watch`.
    void show(const std::string& text, const nlohmann::json& value);
    void print_diagnostic(const std::string& line);

private:
    output_format format;
    std::ostream& results;
    std::ostream& diagnostics;
};

} // namespace pearhaven::control

#endif
