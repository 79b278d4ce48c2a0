#ifndef PEARHAVEN_ROUTER_SSE_READER_HPP
#define PEARHAVEN_ROUTER_SSE_READER_HPP

#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::router {

// Cuts a stream of server-sent events into the data of each event, however the bytes were split up
// on their way. Fields other than `data` and comments are passed over.
class sse_reader {
public:
    // Largest event that is accepted, in bytes.
    static constexpr std::size_t max_event = 1U << 20U;

    // The data of the events that became whole with this piece.
    std::vector<std::string> feed(std::string_view piece);

    // True once an event was larger than allowed; nothing more is read then.
    [[nodiscard]] bool is_overflowing() const { return this->overflow; }

private:
    void process_line(std::string_view line, std::vector<std::string>& events);

    std::string line_start; // a line whose end has not come yet
    std::string data;
    bool has_data = false;
    bool overflow = false;
};

} // namespace pearhaven::router

#endif
