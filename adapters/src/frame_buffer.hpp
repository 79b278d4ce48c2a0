#ifndef PEARHAVEN_ADAPTERS_SRC_FRAME_BUFFER_HPP
#define PEARHAVEN_ADAPTERS_SRC_FRAME_BUFFER_HPP

#include "frame_authenticator.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace pearhaven::adapters {

// A frame consists of the payload's length (4 bytes, little-endian), its authentication code and
// the payload.
inline constexpr std::size_t frame_header_bytes = 4 + sizeof(frame_code);

std::string make_frame(const frame_code& code, std::string_view payload);

struct frame {
    frame_code code{};
    std::string payload; // owns its storage, aligned for reading as a FlatBuffer
};

enum class frame_outcome { incomplete, complete, oversized };

// Splits the byte stream of a connection into frames. Memory use grows with the bytes received, not
// with the length that a frame header declares.
class frame_buffer {
public:
    void append(std::string_view bytes);

    // Extracts the next frame if it is complete. Returns `oversized` as soon as a declared length
    // over the limit is read.
    [[nodiscard]] frame_outcome next(std::size_t max_payload, frame& result);

    // Extracts bytes that are not part of a frame. Returns false if fewer than `count` are
    // available.
    [[nodiscard]] bool take(unsigned char* target, std::size_t count);

    [[nodiscard]] bool empty() const { return this->consumed == this->bytes.size(); }

private:
    [[nodiscard]] std::string_view unread() const
    {
        return std::string_view(this->bytes).substr(this->consumed);
    }

    std::string bytes;
    std::size_t consumed = 0;
};

} // namespace pearhaven::adapters

#endif
