#include "incoming_connection.hpp"

namespace pearhaven::adapters {

namespace {

// The sender closes idle connections at the idle timeout; this end waits for a multiple of it and
// so only cleans up after a sender that has disappeared.
constexpr int idle_factor = 2;

} // namespace

incoming_connection::incoming_connection(link_context& shared, tcp_socket accepted, sink target)
    : link_connection(shared), socket(std::move(accepted)), deliver(std::move(target))
{
    const auto& settings = this->context.settings;
    this->socket.set_options(settings.unacknowledged_timeout);
    this->watch(this->socket.get(), true, false);
    this->set_deadline(std::chrono::steady_clock::now() + settings.handshake_timeout);

    // A new socket has buffer space for the nonce. If the write fails, the peer gives up after its
    // handshake timeout.
    const auto* nonce = reinterpret_cast<const char*>(this->own_nonce.data());
    static_cast<void>(this->socket.write({nonce, this->own_nonce.size()}));
}

incoming_connection::~incoming_connection()
{
    this->close();
}

void incoming_connection::close()
{
    if (this->socket) {
        this->forget(this->socket.get());
        this->socket.close();
        this->context.has_closed_connections = true;
    }
}

void incoming_connection::reject()
{
    ++this->context.counters.rejected;
    this->close();
}

void incoming_connection::on_deadline(monotonic_time /*now*/)
{
    if (this->phase != stage::opened) {
        ++this->context.counters.handshake_failures;
    }
    this->close();
}

void incoming_connection::on_ready(const ready_socket& /*state*/)
{
    auto& bytes = this->context.scratch;
    const tcp_transfer transfer = this->socket.read(bytes.data(), bytes.size());
    if (transfer.outcome == tcp_outcome::would_block) {
        return;
    }
    if (transfer.outcome == tcp_outcome::done) {
        this->take_bytes({bytes.data(), transfer.bytes});
    } else if (this->buffer.empty()) {
        this->close();
    } else {
        this->reject(); // the connection ended inside a frame
    }
}

void incoming_connection::take_bytes(std::string_view bytes)
{
    if (this->phase == stage::opened) {
        this->set_deadline(std::chrono::steady_clock::now() +
                           idle_factor * this->context.settings.idle_timeout);
    }
    this->buffer.append(bytes);
    if (this->phase == stage::awaiting_nonce && !this->take_nonce()) {
        return;
    }
    this->take_frames();
}

bool incoming_connection::take_nonce()
{
    connection_nonce opener{};
    if (!this->buffer.take(opener.data(), opener.size())) {
        return false;
    }
    this->authenticator.emplace(this->context.key, opener, this->own_nonce,
                                frame_direction::from_opener);
    this->phase = stage::awaiting_opening;
    return true;
}

void incoming_connection::take_frames()
{
    frame item;
    while (!this->is_closed()) {
        const std::size_t limit = this->is_opened() ? this->context.settings.max_frame_bytes : 0;
        const frame_outcome outcome = this->buffer.next(limit, item);
        if (outcome == frame_outcome::incomplete) {
            return;
        }
        if (outcome == frame_outcome::oversized || !this->take_frame(item)) {
            this->reject();
        }
    }
}

bool incoming_connection::take_frame(const frame& item)
{
    if (!this->authenticator->accept_next(item.code, item.payload)) {
        return false;
    }
    if (this->phase == stage::awaiting_opening) {
        this->phase = stage::opened;
        this->set_deadline(std::chrono::steady_clock::now() +
                           idle_factor * this->context.settings.idle_timeout);
        return true;
    }
    if (!this->deliver(item.payload)) {
        return false;
    }
    ++this->context.counters.received;
    this->context.counters.received_bytes += frame_header_bytes + item.payload.size();
    return true;
}

} // namespace pearhaven::adapters
