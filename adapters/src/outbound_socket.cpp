#include "outbound_socket.hpp"

#include <array>
#include <cerrno>
#include <charconv>

namespace pearhaven::adapters {

namespace {

constexpr std::size_t read_size = 16U << 10U;
constexpr int first_final_status = 200;

// Maximum bytes received in a row that are no part of the answer: incomplete heads, interim
// answers, answers to other requests, and framing. An endpoint in trouble may send such bytes
// without end.
constexpr std::size_t max_undelivered_bytes = 256U << 10U;

// Returns the seconds of `timeout=N` in a Keep-Alive field; zero if there is none.
decision::duration announced_idle_timeout(const http_fields& fields)
{
    const std::string* value = find_field(fields, "Keep-Alive");
    constexpr std::string_view key = "timeout=";
    const auto at = value == nullptr ? std::string::npos : value->find(key);
    if (at == std::string::npos) {
        return decision::duration::zero();
    }
    unsigned seconds = 0;
    const char* begin = value->data() + at + key.size();
    std::from_chars(begin, value->data() + value->size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

outbound_socket::outbound_socket(outbound_socket_owner& client, std::uint64_t id,
                                 outbound_target target)
    : owner(client), own_id(id), destination(std::move(target)),
      socket(tcp_socket::connect(this->destination.host, this->destination.port)),
      delivery(client.settings().unacknowledged_timeout),
      reader(http_reader_kind::responses, *this, client.settings().max_head),
      held_charge(client.held_bytes())
{
    if (this->socket.get()) {
        this->socket.get().set_options(idle_timeout(client.settings().unacknowledged_timeout));
        this->socket.get().count_bytes_in(client.bytes());
    }
}

outbound_socket::~outbound_socket()
{
    this->owner.loop().cancel(this->timer);
    this->owner.loop().cancel(this->delivery_timer);
    if (this->socket.get()) {
        this->owner.loop().forget(this->socket.get().get());
    }
}

void outbound_socket::watch()
{
    const bool writes = this->current_phase == phase::connecting || this->socket.unsent() > 0;
    this->owner.loop().watch(this->socket.get().get(), *this, !this->paused, writes);
}

void outbound_socket::start(outbound_number exchange, const outbound_request& request,
                            outbound_listener_ptr callback)
{
    this->current_exchange = exchange;
    this->listener = std::move(callback);
    this->head_received = false;
    this->skipping = false;
    this->undelivered_bytes = 0;
    this->body_bytes = 0;
    this->max_body = request.max_body;
    this->message_complete = false;
    this->answer_time = request.answer_time;
    this->progress_time = request.progress_time;
    this->no_body = request.method == "HEAD";
    auto fields = request.fields;
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        fields.emplace_back("Content-Length", std::to_string(request.body.size()));
    }
    auto head = write_request_head(request.method, request.target, fields);
    if (!this->socket.get()) {
        this->fail_soon(outbound_fault::not_connected);
        return;
    }
    if (this->current_phase == phase::connecting) {
        this->unsent_head = std::move(head);
        this->unsent_body = request.body;
        this->arm(request.connect_time);
        this->watch();
        return;
    }
    this->current_phase = phase::busy;
    this->reused = true;
    this->arm(this->answer_time);
    if (!this->socket.write(head, request.body)) {
        this->fail_soon(outbound_fault::connection_lost);
        return;
    }
    this->observe_delivery();
    this->watch();
}

// Reports the failure in a separate callback that runs after others already due. Otherwise a
// listener that immediately starts the next exchange, which fails too, would starve the loop.
void outbound_socket::fail_soon(outbound_fault why)
{
    auto& loop = this->owner.loop();
    loop.cancel(this->timer);
    this->timer = loop.after(decision::duration::zero(), [this, why] {
        this->timer = 0;
        this->fail(why);
    });
}

void outbound_socket::arm(decision::duration limit)
{
    auto& loop = this->owner.loop();
    this->last_progress = loop.now();
    if (this->timeout == limit && this->timer != 0) {
        return;
    }
    loop.cancel(this->timer);
    this->timer = 0;
    this->timeout = limit;
    if (limit > decision::duration::zero()) {
        this->timer = loop.after(limit, [this] { this->on_timer(); });
    }
}

void outbound_socket::on_timer()
{
    auto& loop = this->owner.loop();
    this->timer = 0;
    // Uses the polled time, not the clock: data that arrived while the loop was busy has not been
    // read yet.
    const auto waited = loop.polled_until() - this->last_progress;
    if (this->paused || waited < this->timeout) {
        const auto left = this->paused ? this->timeout : this->timeout - waited;
        this->timer = loop.after(left, [this] { this->on_timer(); });
        return;
    }
    if (this->current_phase == phase::connecting) {
        this->owner.on_connected(false);
        this->fail(outbound_fault::not_connected);
    } else if (this->current_phase == phase::busy && this->listener->on_silence()) {
        this->fail(outbound_fault::silent);
    } else if (this->current_phase == phase::busy) {
        this->arm(this->timeout);
    }
}

void outbound_socket::connected()
{
    if (!this->socket.get().is_connected()) {
        this->owner.on_connected(false);
        this->fail(outbound_fault::not_connected);
        return;
    }
    this->owner.on_connected(true);
    this->current_phase = phase::busy;
    this->arm(this->answer_time);
    this->listener->on_connected();
    if (this->current_phase != phase::busy) {
        return;
    }
    const auto head = std::exchange(this->unsent_head, {});
    if (!this->socket.write(head, std::exchange(this->unsent_body, {}))) {
        this->fail(outbound_fault::connection_lost, this->socket.error());
        return;
    }
    this->observe_delivery();
    this->watch();
}

// An endpoint may read a long body slowly.
void outbound_socket::observe_delivery()
{
    this->delivery.on_written(this->socket.get().get(), this->owner.loop().now());
    if (this->delivery_timer == 0) {
        this->delivery_timer = this->owner.loop().after(
            this->delivery.next() - this->owner.loop().now(), [this] { this->check_delivery(); });
    }
}

void outbound_socket::check_delivery()
{
    this->delivery_timer = 0;
    static_cast<void>(this->delivery.check(this->socket.get().get(), this->owner.loop().now()));
    if (!this->delivery.is_delivered() || this->socket.unsent() > 0) {
        this->observe_delivery();
    }
}

void outbound_socket::on_ready(bool readable, bool writable, bool failed)
{
    if (this->current_phase == phase::connecting) {
        if (writable || failed) {
            this->connected();
        }
        return;
    }
    if (writable && this->socket.unsent() > 0) {
        if (!this->socket.flush()) {
            this->read_rest(this->socket.error());
            return;
        }
        if (this->socket.unsent() == 0) {
            this->watch();
        }
    }
    if (this->paused && failed) {
        // The system goes on reporting a failure. It is read, after the bytes before it, when the
        // exchange goes on and the socket is watched again.
        this->owner.loop().forget(this->socket.get().get());
    } else if ((readable || failed) && this->current_phase != phase::closed && !this->paused) {
        this->read_more();
    }
}

void outbound_socket::read_more()
{
    std::array<char, read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): filled
    const auto transfer = this->socket.get().read(bytes.data(), bytes.size());
    if (transfer.outcome == tcp_outcome::would_block) {
        return;
    }
    if (this->current_phase == phase::idle) {
        // The connection was closed or received unexpected bytes; either way it cannot be reused.
        this->close();
        return;
    }
    if (transfer.outcome == tcp_outcome::closed && transfer.error != 0) {
        this->fail(outbound_fault::connection_lost, transfer.error);
        return;
    }
    if (transfer.bytes > 0) {
        this->process_bytes({bytes.data(), transfer.bytes});
        return;
    }
    this->reusable = false;
    const int error = this->socket.get().take_error();
    if (error == 0 && this->is_request_delivered()) {
        this->reader.feed_end();
    }
    if (this->message_complete) {
        this->finish();
    } else {
        this->fail(outbound_fault::connection_lost, error);
    }
}

// Whether the endpoint's host has acknowledged the whole request. An endpoint that ends its
// connection before has broken off, also if it does so in order: only a length or chunks would show
// that an answer which it began is complete.
bool outbound_socket::is_request_delivered() const
{
    const auto delivery_state = delivery_of(this->socket.get().get());
    return this->socket.unsent() == 0 && !(delivery_state && delivery_state->outstanding);
}

// The other end has closed the connection before it received all of the request. It may have
// answered before: whoever refuses a body does not read the rest.
void outbound_socket::read_rest(int error)
{
    std::array<char, read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): filled
    while (this->current_phase == phase::busy && !this->paused) {
        const auto transfer = this->socket.get().read(bytes.data(), bytes.size());
        if (transfer.outcome != tcp_outcome::done) {
            break;
        }
        this->process_bytes({bytes.data(), transfer.bytes});
    }
    if (this->current_phase == phase::busy) {
        this->fail(outbound_fault::connection_lost, error);
    }
}

void outbound_socket::process_bytes(std::string_view bytes)
{
    this->undelivered_bytes += bytes.size();
    while (!bytes.empty() && this->current_phase == phase::busy && !this->message_complete) {
        bytes.remove_prefix(this->reader.feed(bytes));
        const bool is_endless = this->undelivered_bytes > max_undelivered_bytes ||
                                (this->max_body > 0 && this->body_bytes > this->max_body);
        if (this->current_phase == phase::busy &&
            (is_endless || this->reader.fault() != framing_fault::none)) {
            this->fail(outbound_fault::malformed);
            return;
        }
    }
    const auto held_before = this->held;
    this->update_held();
    if (this->held > held_before && !this->message_complete) {
        this->owner.on_held();
    }
    if (this->current_phase == phase::busy && this->message_complete) {
        // Bytes after the answer belong to no request, so later data on this connection cannot be
        // trusted.
        this->reusable = this->reusable && bytes.empty();
        this->finish();
    }
}

void outbound_socket::update_held()
{
    const bool is_open = this->current_phase == phase::busy && this->listener;
    this->held = is_open ? this->reader.held_head_bytes() + this->listener->held_bytes() : 0;
    this->held_charge.set(this->held);
}

bool outbound_socket::free_memory()
{
    const auto held_before = this->held;
    this->listener->release_held();
    this->update_held();
    if (this->current_phase == phase::busy && this->held >= held_before) {
        this->fail(outbound_fault::no_memory);
    }
    return this->current_phase == phase::closed;
}

void outbound_socket::on_request(http_request_head /*head*/) {}

bool outbound_socket::on_response(http_response_head head)
{
    if (this->current_phase != phase::busy) {
        return false;
    }
    if (head.status < first_final_status) {
        this->skipping = true;
        return false;
    }
    const auto verdict = this->listener->on_head(head);
    this->skipping = verdict == head_verdict::skip;
    if (this->skipping || this->current_phase != phase::busy) {
        return false;
    }
    if (verdict == head_verdict::drop) {
        this->cancel();
        return false;
    }
    this->head_received = true;
    this->undelivered_bytes = 0;
    this->reusable = head.keep_alive;
    this->announced_idle_time = announced_idle_timeout(head.fields);
    this->arm(this->progress_time);
    return this->no_body;
}

void outbound_socket::on_body(std::string_view piece)
{
    if (this->current_phase == phase::busy && !this->skipping) {
        this->undelivered_bytes = 0;
        this->body_bytes += piece.size();
        this->last_progress = this->owner.loop().now();
        this->listener->on_body(piece);
    }
}

void outbound_socket::on_message_end()
{
    if (!this->skipping) {
        this->message_complete = true;
    }
    this->skipping = false;
}

decision::instant outbound_socket::idle_end() const
{
    const auto& settings = this->owner.settings();
    const auto now = this->owner.loop().now();
    if (this->announced_idle_time > decision::duration::zero()) {
        return now + this->announced_idle_time - settings.idle_margin;
    }
    return now + settings.default_idle_time;
}

void outbound_socket::finish()
{
    const auto callback = std::move(this->listener);
    // If the answer arrived before the whole request was sent, the rest of the request would be
    // parsed as the next one.
    const bool usable = this->reusable && this->socket.unsent() == 0;
    this->owner.on_exchange_end(std::exchange(this->current_exchange, 0));
    this->arm(decision::duration::zero());
    if (usable) {
        this->current_phase = phase::idle;
        this->update_held();
        this->paused = false;
        this->watch();
        this->owner.on_idle(*this, this->idle_end());
    } else {
        this->close();
    }
    callback->on_end();
}

// `error` is the errno of a lost connection, or 0.
void outbound_socket::fail(outbound_fault why, int error)
{
    if (this->current_phase == phase::closed) {
        return;
    }
    const auto callback = std::move(this->listener);
    outbound_failure how;
    how.why = why;
    how.answer_began = this->head_received;
    how.was_reused = this->reused;
    how.unacknowledged = error == ETIMEDOUT;
    this->close();
    if (callback) {
        callback->on_failure(how);
    }
}

// The listener is not called again, but it may be the one that cancels, from within one of its own
// functions: it is released when the connection is destroyed.
void outbound_socket::cancel()
{
    this->close();
}

void outbound_socket::pause(bool stop)
{
    if (this->current_phase == phase::busy && this->paused != stop) {
        this->paused = stop;
        this->last_progress = this->owner.loop().now();
        this->watch();
    }
}

void outbound_socket::close()
{
    if (this->current_phase == phase::closed) {
        return;
    }
    this->current_phase = phase::closed;
    this->update_held();
    this->owner.loop().cancel(std::exchange(this->timer, 0));
    this->owner.loop().cancel(std::exchange(this->delivery_timer, 0));
    if (this->socket.get()) {
        this->owner.loop().forget(this->socket.get().get());
        this->socket.get().close();
    }
    this->owner.on_closed(*this);
}

} // namespace pearhaven::adapters
