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

bool buffered_socket::write(std::string_view bytes, message_body body)
{
    if (!this->write(bytes)) {
        return false;
    }
    this->body_left = body.size();
    this->pending_body = std::move(body);
    return this->flush();
}

bool buffered_socket::flush()
{
    if (!this->send(this->pending, this->sent)) {
        return false;
    }
    if (this->sent < this->pending.size()) {
        this->release_sent();
        return true;
    }
    this->pending.clear();
    this->sent = 0;
    if (this->pending.capacity() > max_kept_capacity) {
        this->pending.shrink_to_fit();
    }
    return this->flush_body();
}

bool buffered_socket::flush_body()
{
    const auto& blocks = this->pending_body.blocks();
    for (; this->body_block < blocks.size(); ++this->body_block, this->sent_body = 0) {
        const auto& block = blocks[this->body_block];
        const auto before = this->sent_body;
        const bool is_open = this->send(block, this->sent_body);
        this->body_left -= this->sent_body - before;
        if (!is_open || this->sent_body < block.size()) {
            return is_open;
        }
    }
    this->pending_body = {};
    this->body_block = 0;
    return true;
}

// Sends the bytes after the first `counted`, as far as the socket accepts them, and counts them.
// Returns false when the connection is lost.
bool buffered_socket::send(std::string_view bytes, std::size_t& counted)
{
    while (counted < bytes.size()) {
        const auto transfer = this->socket.write(bytes.substr(counted));
        if (transfer.outcome == tcp_outcome::closed) {
            this->last_error = transfer.error;
            return false;
        }
        if (transfer.outcome == tcp_outcome::would_block || transfer.bytes == 0) {
            return true;
        }
        counted += transfer.bytes;
        this->total += transfer.bytes;
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
