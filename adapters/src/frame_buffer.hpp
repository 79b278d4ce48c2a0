#ifndef PEARHAVEN_ADAPTERS_SRC_FRAME_BUFFER_HPP
#define PEARHAVEN_ADAPTERS_SRC_FRAME_BUFFER_HPP

#include "frame_authenticator.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// A frame is the payload's length (4 bytes, little-endian), its code, and the payload.
inline constexpr std::size_t frame_header_bytes = 4 + sizeof(frame_code);

std::string make_frame(const frame_code& code, std::string_view payload);

struct frame {
    frame_code code{};
    std::string payload; // storage of its own, aligned for reading as a FlatBuffer
};

enum class frame_outcome { incomplete, whole, oversized };

// Cuts the bytes of a connection into frames. Memory grows with the bytes that came, not with the
// length that a frame claims.
class frame_buffer {
public:
    void append(std::string_view bytes);

    // Takes the next frame out, if all of it is there. A length over the limit is `oversized` as
    // soon as it is seen.
    [[nodiscard]] frame_outcome next(std::size_t max_payload, frame& result);

    // Takes bytes out that are no frame. False when there are too few.
    [[nodiscard]] bool take(unsigned char* target, std::size_t count);

    [[nodiscard]] bool empty() const { return this->used == this->bytes.size(); }

private:
    [[nodiscard]] std::string_view rest() const
    {
        return std::string_view(this->bytes).substr(this->used);
    }

    std::string bytes;
    std::size_t used = 0;
};

} // namespace pearhaven::adapters

#endif
