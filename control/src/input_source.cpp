#include "input_source.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace pearhaven::control {

namespace {

std::string read_all(std::istream& text)
{
    return {std::istreambuf_iterator<char>(text), std::istreambuf_iterator<char>()};
}

} // namespace

std::optional<std::string> system_input::read(const std::string& file)
{
    if (file == "-") {
        return read_all(std::cin);
    }
    std::ifstream text(file, std::ios::binary);
    if (!text) {
        return std::nullopt;
    }
    std::string content = read_all(text);
    if (text.bad()) {
        return std::nullopt;
    }
    return content;
}

} // namespace pearhaven::control
