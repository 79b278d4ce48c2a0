#include "outgoing_connection.hpp"

#include <algorithm>
#include <array>

namespace pearhaven::adapters {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds first_backoff{50};
constexpr milliseconds max_backoff{5000};

// A connection open for this long resets the count of consecutive failures. If opening alone reset
// it, a peer that rejects the key would be retried without backoff.
constexpr milliseconds min_stable_time{5000};

// Bytes written to one peer before the other connections get their turn.
constexpr std::size_t write_budget = 1U << 20U;

// Doubles with each failure, minus a random part of up to a quarter, so that the peers of a
// restarted router do not all reconnect at once.
milliseconds backoff_after(unsigned failures)
{
    constexpr unsigned max_doublings = 7;
    const milliseconds full =
        std::min(max_backoff, first_backoff * (1U << std::min(failures, max_doublings)));
    const auto quarter = static_cast<std::uint32_t>(full.count() / 4);
    return full - milliseconds(randombytes_uniform(quarter + 1));
}

} // namespace

outgoing_connection::outgoing_connection(link_context& shared, peer_address address)
    : link_connection(shared), peer(std::move(address))
{}

outgoing_connection::~outgoing_connection()
{
    this->disconnect();
    this->drop_queue();
}

void outgoing_connection::enqueue(std::string payload)
{
    const auto& settings = this->context.settings;
    this->queued_bytes += payload.size();
    this->queue.push_back(std::move(payload));
    while (this->queue.size() > settings.max_queued_frames ||
           (this->queued_bytes > settings.max_queued_bytes && this->queue.size() > 1)) {
        this->drop_oldest();
    }
    if (this->phase == stage::idle) {
        this->connect();
    } else if (this->phase == stage::opened && this->current.empty()) {
        this->flush();
    }
}

bool outgoing_connection::is_draining() const
{
    const bool active = this->phase != stage::idle && this->phase != stage::backing_off;
    return active && !(this->queue.empty() && this->current.empty());
}

void outgoing_connection::connect()
{
    this->socket = tcp_socket::connect(this->peer.host, this->peer.port);
    if (!this->socket) {
        ++this->context.counters.connect_failures;
        this->drop_queue();
        this->back_off();
        return;
    }
    this->phase = stage::connecting;
    this->socket.set_options(this->context.settings.unacknowledged_timeout);
    this->watch(this->socket.get(), false, true);
    this->set_deadline(std::chrono::steady_clock::now() + this->context.settings.connect_timeout);
}

void outgoing_connection::on_ready(const ready_socket& state)
{
    if (state.failed) {
        this->on_lost();
        return;
    }
    switch (this->phase) {
    case stage::connecting:
        this->on_connected();
        break;
    case stage::awaiting_nonce:
        this->on_readable();
        break;
    case stage::opened:
        if (state.readable) {
            this->on_readable();
        }
        if (state.writable && this->phase == stage::opened) {
            this->flush();
        }
        break;
    case stage::idle:
    case stage::backing_off:
        break;
    }
}

void outgoing_connection::on_connected()
{
    if (!this->socket.is_connected()) {
        return; // event of an earlier socket with the same descriptor
    }
    this->phase = stage::awaiting_nonce;
    this->own_nonce = random_nonce();
    this->received = {};
    const auto* nonce = reinterpret_cast<const char*>(this->own_nonce.data());
    const tcp_transfer transfer = this->socket.write({nonce, this->own_nonce.size()});
    if (transfer.bytes != this->own_nonce.size()) {
        this->on_lost();
        return;
    }
    this->watch(this->socket.get(), true, false);
    this->set_deadline(std::chrono::steady_clock::now() + this->context.settings.handshake_timeout);
}

// The peer sends its nonce and nothing else.
void outgoing_connection::on_readable()
{
    std::array<char, sizeof(connection_nonce) + 1> bytes{};
    const tcp_transfer transfer = this->socket.read(bytes.data(), bytes.size());
    if (transfer.outcome == tcp_outcome::would_block) {
        return;
    }
    if (transfer.outcome == tcp_outcome::closed) {
        this->on_lost();
        return;
    }
    this->received.append({bytes.data(), transfer.bytes});
    connection_nonce acceptor{};
    if (this->phase == stage::awaiting_nonce &&
        this->received.take(acceptor.data(), acceptor.size())) {
        this->open(acceptor);
    }
    if (this->phase == stage::opened && !this->received.empty()) {
        ++this->context.counters.rejected;
        this->on_lost();
    }
}

void outgoing_connection::open(const connection_nonce& acceptor)
{
    this->phase = stage::opened;
    this->opened_at = std::chrono::steady_clock::now();
    this->authenticator.emplace(this->context.key, this->own_nonce, acceptor,
                                frame_direction::from_opener);
    this->current = make_frame(this->authenticator->next_code({}), {});
    this->current_is_message = false;
    this->written = 0;
    this->flush();
}

// Writes until the queue is empty, the socket would block or the write budget is spent.
void outgoing_connection::flush()
{
    std::size_t budget = write_budget;
    bool blocked = false;
    while (!blocked && budget > 0 && (!this->current.empty() || this->start_next_frame())) {
        const std::string_view unwritten = std::string_view(this->current).substr(this->written);
        const tcp_transfer transfer = this->socket.write(unwritten.substr(0, budget));
        if (transfer.outcome == tcp_outcome::closed) {
            this->on_lost();
            return;
        }
        blocked = transfer.outcome == tcp_outcome::would_block;
        budget -= transfer.bytes;
        this->written += transfer.bytes;
        if (this->written == this->current.size()) {
            this->context.counters.sent += this->current_is_message ? 1U : 0U;
            this->context.counters.sent_bytes += this->current.size();
            this->current.clear();
        }
    }
    const bool pending = !this->current.empty() || !this->queue.empty();
    this->watch(this->socket.get(), true, pending);
    this->set_deadline(std::chrono::steady_clock::now() + this->context.settings.idle_timeout);
}

bool outgoing_connection::start_next_frame()
{
    if (this->queue.empty()) {
        return false;
    }
    const std::string& payload = this->queue.front();
    this->current = make_frame(this->authenticator->next_code(payload), payload);
    this->current_is_message = true;
    this->written = 0;
    this->queued_bytes -= payload.size();
    this->queue.pop_front();
    return true;
}

void outgoing_connection::drop_oldest()
{
    this->queued_bytes -= this->queue.front().size();
    this->queue.pop_front();
    ++this->context.counters.dropped;
}

void outgoing_connection::drop_queue()
{
    while (!this->queue.empty()) {
        this->drop_oldest();
    }
}

void outgoing_connection::on_deadline(monotonic_time /*now*/)
{
    switch (this->phase) {
    case stage::connecting:
    case stage::awaiting_nonce:
        this->on_lost();
        break;
    case stage::opened:
        if (this->current.empty() && this->queue.empty()) {
            this->become_idle();
        } else {
            this->on_lost(); // no progress in writing for the complete idle timeout
        }
        break;
    case stage::backing_off:
        this->end_back_off();
        break;
    case stage::idle:
        this->become_idle();
        break;
    }
}

// Handles the end of the connection or of the connection attempt. A partly written frame is lost;
// queued messages are kept if the connection had been opened.
void outgoing_connection::on_lost()
{
    auto& counters = this->context.counters;
    if (this->phase == stage::opened) {
        ++counters.connections_lost;
        const auto open_time = std::chrono::steady_clock::now() - this->opened_at;
        this->failures = open_time >= min_stable_time ? 0 : this->failures;
    } else {
        ++(this->phase == stage::connecting ? counters.connect_failures
                                            : counters.handshake_failures);
        this->drop_queue();
    }
    this->disconnect();
    this->back_off();
}

void outgoing_connection::back_off()
{
    this->phase = stage::backing_off;
    this->set_deadline(std::chrono::steady_clock::now() + backoff_after(this->failures));
    ++this->failures;
}

void outgoing_connection::end_back_off()
{
    this->phase = stage::idle;
    if (!this->queue.empty()) {
        this->connect();
        return;
    }
    // Keeps the failure count for a while, because the next message may follow soon.
    this->set_deadline(std::chrono::steady_clock::now() + max_backoff);
}

void outgoing_connection::become_idle()
{
    this->disconnect();
    this->phase = stage::idle;
    this->failures = 0;
    this->context.has_closed_connections = true;
}

void outgoing_connection::disconnect()
{
    if (!this->current.empty() && this->current_is_message) {
        ++this->context.counters.dropped;
    }
    this->current.clear();
    if (this->socket) {
        this->forget(this->socket.get());
        this->socket.close();
    }
}

} // namespace pearhaven::adapters
