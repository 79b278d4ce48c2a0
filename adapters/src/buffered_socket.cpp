#include "buffered_socket.hpp"

namespace pearhaven::adapters {

bool buffered_socket::write(std::string_view bytes)
{
    if (this->unsent() == 0) {
        const auto transfer = this->socket.write(bytes);
        if (transfer.outcome == tcp_outcome::closed) {
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
            return false;
        }
        if (transfer.outcome == tcp_outcome::would_block || transfer.bytes == 0) {
            return true;
        }
        this->sent += transfer.bytes;
        this->total += transfer.bytes;
    }
    this->pending.clear();
    this->sent = 0;
    return true;
}

} // namespace pearhaven::adapters
