#ifndef PEARHAVEN_ROUTER_SSE_READER_HPP
#define PEARHAVEN_ROUTER_SSE_READER_HPP

#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::router {

// Splits a stream of server-sent events into the data of each event, however the bytes were
// fragmented by the network. Comments and fields other than `data` are ignored.
class sse_reader {
public:
    // Maximum size of an event in bytes.
    static constexpr std::size_t max_event = 1U << 20U;

    // Returns the data of the events that this piece completes.
    std::vector<std::string> feed(std::string_view piece);

    // True once an event was larger than allowed; the rest of the stream is ignored.
    [[nodiscard]] bool is_overflowing() const { return this->overflow; }

private:
    void process_line(std::string_view line, std::vector<std::string>& events);

    std::string line_start; // the incomplete last line
    std::string data;
    bool has_data = false;
    bool overflow = false;
};

} // namespace pearhaven::router

#endif
