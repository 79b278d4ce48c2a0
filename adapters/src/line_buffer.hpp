#ifndef PEARHAVEN_ADAPTERS_SRC_LINE_BUFFER_HPP
#define PEARHAVEN_ADAPTERS_SRC_LINE_BUFFER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// Buffers log lines for a descriptor that may block. The buffer is bounded: when the reader of the
// log stops reading, lines are dropped and requests are not delayed.
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
    std::uint64_t lost = 0;          // dropped lines since the start
    std::uint64_t reported_lost = 0; // dropped lines already reported in the log
};

} // namespace pearhaven::adapters

#endif
