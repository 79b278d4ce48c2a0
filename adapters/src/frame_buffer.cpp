#include "frame_buffer.hpp"

#include <cstdint>
#include <cstring>

namespace pearhaven::adapters {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_kept_capacity = 256U << 10U;

std::size_t read_length(std::string_view text)
{
    std::size_t length = 0;
    for (std::size_t index = length_bytes; index > 0; --index) {
        length = (length << 8U) | static_cast<unsigned char>(text[index - 1]);
    }
    return length;
}

} // namespace

std::string make_frame(const frame_code& code, std::string_view payload)
{
    std::string text;
    text.reserve(frame_header_bytes + payload.size());
    std::size_t length = payload.size();
    for (std::size_t index = 0; index < length_bytes; ++index) {
        text += static_cast<char>(length & 0xFFU);
        length >>= 8U;
    }
    text.append(reinterpret_cast<const char*>(code.data()), code.size());
    text += payload;
    return text;
}

void frame_buffer::append(std::string_view added)
{
    if (this->empty() && this->bytes.capacity() > max_kept_capacity) {
        this->bytes =
            {}; // frees the memory that one long frame would hold until the connection closes
    } else {
        this->bytes.erase(0, this->consumed);
    }
    this->consumed = 0;
    this->bytes += added;
}

frame_outcome frame_buffer::next(std::size_t max_payload, frame& result)
{
    const std::string_view text = this->unread();
    if (text.size() < length_bytes) {
        return frame_outcome::incomplete;
    }
    const std::size_t length = read_length(text);
    if (length > max_payload) {
        return frame_outcome::oversized;
    }
    if (text.size() < frame_header_bytes + length) {
        return frame_outcome::incomplete;
    }
    std::memcpy(result.code.data(), text.data() + length_bytes, result.code.size());
    result.payload = text.substr(frame_header_bytes, length);
    this->consumed += frame_header_bytes + length;
    return frame_outcome::complete;
}

bool frame_buffer::take(unsigned char* target, std::size_t count)
{
    const std::string_view text = this->unread();
    if (text.size() < count) {
        return false;
    }
    std::memcpy(target, text.data(), count);
    this->consumed += count;
    return true;
}

} // namespace pearhaven::adapters
