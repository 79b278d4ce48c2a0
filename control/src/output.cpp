#include "output.hpp"

#include <algorithm>
#include <ostream>

namespace pearhaven::control {

namespace {

constexpr std::size_t column_gap = 2;

std::string dump(const nlohmann::json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

text_table::text_table(std::vector<std::string> heading)
{
    this->rows.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> row)
{
    this->rows.push_back(std::move(row));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const auto& row : this->rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : this->rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

output::output(output_format chosen, std::ostream& result_stream, std::ostream& diagnostic_stream)
    : format(chosen), results(result_stream), diagnostics(diagnostic_stream)
{}

void output::show(const std::string& text, const nlohmann::json& value)
{
    if (this->format == output_format::json) {
        this->results << dump(value) << "\n";
    } else {
        this->results << text;
    }
    this->results.flush();
}

void output::print_diagnostic(const std::string& line)
{
    this->diagnostics << line << "\n";
    this->diagnostics.flush();
}

} // namespace pearhaven::control
