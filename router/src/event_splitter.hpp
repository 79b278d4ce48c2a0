#ifndef PEARHAVEN_ROUTER_SRC_EVENT_SPLITTER_HPP
#define PEARHAVEN_ROUTER_SRC_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::router {

// One event of a stream, byte for byte, with its blank line.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id;

    friend bool operator==(const stream_event&, const stream_event&) = default;
};

// Cuts a text/event-stream into whole events. An endpoint can break off in the middle of an event;
// a caller must never get such a half, because the rest of it cannot be had from another endpoint.
class event_splitter {
public:
    // The events that these bytes complete.
    [[nodiscard]] std::vector<stream_event> feed(std::string_view bytes);

    // Whether a part of an event is left over.
    [[nodiscard]] bool has_part() const { return !this->part.empty(); }

    // Bytes of that part.
    [[nodiscard]] std::size_t part_size() const { return this->part.size(); }

private:
    std::string part;
    std::size_t line_begin = 0; // of the line in `part` that is not whole
};

} // namespace pearhaven::router

#endif
