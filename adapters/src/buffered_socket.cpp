#include "buffered_socket.hpp"

#include <utility>

namespace pearhaven::adapters {

namespace {

// A buffer that has grown beyond this gives its memory back once it is empty.
constexpr std::size_t max_kept_capacity = 64U << 10U;

} // namespace

bool buffered_socket::write(std::string_view bytes)
{
    if (this->unsent() == 0) {
        const auto transfer = this->socket.write(bytes);
        if (transfer.outcome == tcp_outcome::closed) {
            this->last_error = transfer.error;
            return false;
        }
        this->total += transfer.bytes;
        bytes.remove_prefix(transfer.bytes);
    }
    this->pending.append(bytes);
    return true;
}

bool buffered_socket::flush()
{
    while (this->unsent() > 0) {
        const auto transfer =
            this->socket.write(std::string_view(this->pending).substr(this->sent));
        if (transfer.outcome == tcp_outcome::closed) {
            this->last_error = transfer.error;
            return false;
        }
        if (transfer.outcome == tcp_outcome::would_block || transfer.bytes == 0) {
            this->release_sent();
            return true;
        }
        this->sent += transfer.bytes;
        this->total += transfer.bytes;
    }
    this->pending.clear();
    this->sent = 0;
    if (this->pending.capacity() > max_kept_capacity) {
        this->pending.shrink_to_fit();
    }
    return true;
}

// A receiver that is always behind never empties the buffer.
void buffered_socket::release_sent()
{
    if (this->sent > this->pending.size() / 2) {
        this->pending.erase(0, std::exchange(this->sent, 0));
    }
}

} // namespace pearhaven::adapters
