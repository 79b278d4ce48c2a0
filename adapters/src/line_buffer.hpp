#ifndef PEARHAVEN_ADAPTERS_SRC_LINE_BUFFER_HPP
#define PEARHAVEN_ADAPTERS_SRC_LINE_BUFFER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// Log lines on their way to a descriptor that may not take them now. Bounded: a reader that has
// stopped reading costs lines, never a caller's answer.
class line_buffer {
public:
    // Makes the descriptor non-blocking.
    line_buffer(int descriptor, std::string process);

    // `fields` are the members of a JSON object with its closing brace.
    void append(std::string_view level, std::string_view fields);
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return this->lost; }

private:
    int descriptor;
    std::string process;
    std::string waiting;
    std::uint64_t lost = 0;          // since the start
    std::uint64_t reported_lost = 0; // of them, already told in a line
};

} // namespace pearhaven::adapters

#endif
