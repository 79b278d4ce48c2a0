#ifndef PEARHAVEN_CONTROL_OUTPUT_HPP
#define PEARHAVEN_CONTROL_OUTPUT_HPP

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace pearhaven::control {

// Rows of text under a heading, in columns as wide as they need to be.
class text_table {
public:
    explicit text_table(std::vector<std::string> heading);

    void add(std::vector<std::string> row);
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

enum class output_format { table, json };

// Where a command's results go (standard output), and what it has to say about failures (standard
// error, always as text). Each result is given in both forms; the operator chooses one.
class output {
public:
    output(output_format chosen, std::ostream& results, std::ostream& diagnostics);

    // One JSON value a line, so that results which come one by one can be read as they come.
    void show(const std::string& text, const nlohmann::json& value);
    void print_diagnostic(const std::string& line);

private:
    output_format format;
    std::ostream& results;
    std::ostream& diagnostics;
};

} // namespace pearhaven::control

#endif
