#ifndef PEARHAVEN_ROUTER_SRC_EVENT_SPLITTER_HPP
#define PEARHAVEN_ROUTER_SRC_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::router {

// One event of a stream with its exact bytes, including the blank line at its end.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id;

    friend bool operator==(const stream_event&, const stream_event&) = default;
};

// Splits a text/event-stream into complete events. An endpoint can break off in the middle of an
// event. A caller must never get a partial event, because its rest cannot be had from another
// endpoint.
class event_splitter {
public:
    // Returns the events that these bytes complete.
    [[nodiscard]] std::vector<stream_event> feed(std::string_view bytes);

    // Whether there is an incomplete event.
    [[nodiscard]] bool has_part() const { return !this->part.empty(); }

    // Size of the incomplete event in bytes.
    [[nodiscard]] std::size_t part_size() const { return this->part.size(); }

    // Memory that it takes.
    [[nodiscard]] std::size_t allocated_bytes() const { return this->part.capacity(); }

private:
    std::string part;
    std::size_t line_begin = 0; // start of the incomplete line in `part`
};

} // namespace pearhaven::router

#endif
