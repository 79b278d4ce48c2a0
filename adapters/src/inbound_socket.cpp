#include "inbound_socket.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <sys/socket.h>

namespace pearhaven::adapters {

namespace {

constexpr std::size_t read_size = 16U << 10U;

// Bytes of a connection that the system holds and has not sent. The others are held, and counted,
// here.
constexpr std::size_t max_unsent_in_system = 64U << 10U;

// How long a connection that this end has ended stays open after its last answer has arrived. A
// close with unread bytes resets the connection, and the caller may not have read the answer yet.
constexpr decision::duration linger_timeout = std::chrono::seconds(1);

// How long a new connection does not count as idle although nothing was received on it: the first
// request is in transit for a round trip, which takes tens of milliseconds between regions.
constexpr decision::duration first_request_grace = std::chrono::milliseconds(250);

// Bodies up to this size are short; a part of the room for bodies is theirs alone.
constexpr std::size_t short_body_bytes = 64U << 10U;
constexpr std::size_t parts_for_short_bodies = 32;

// Part of the memory for callers that requests leave free until they are complete.
constexpr std::size_t parts_for_complete_requests = 32;

// How long an incomplete request is not ended for the sake of others.
constexpr decision::duration incomplete_grace = std::chrono::milliseconds(250);

// Longest time for which the rest of a refused request is read.
constexpr decision::duration drain_timeout = std::chrono::seconds(10);

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_unavailable = 503;

// Seconds after which a caller may come back whose body there was no room for.
constexpr const char* retry_delay = "1";

} // namespace

void connection_exchange::answer(int status, const http_fields& fields, std::string_view body)
{
    if (this->connection == nullptr) {
        return;
    }
    auto all = fields;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    if (this->connection->decide_close()) {
        all.emplace_back("Connection", "close");
    }
    auto bytes = write_response_head(status, all);
    if (this->request_head.method != "HEAD") {
        bytes.append(body);
    }
    this->connection->send(bytes);
    this->connection->finish_answer();
}

void connection_exchange::begin(int status, const http_fields& fields)
{
    if (this->connection == nullptr) {
        return;
    }
    auto all = fields;
    all.emplace_back("Transfer-Encoding", "chunked");
    if (this->connection->decide_close()) {
        all.emplace_back("Connection", "close");
    }
    this->connection->send(write_response_head(status, all));
}

void connection_exchange::write(std::string_view piece)
{
    if (this->connection != nullptr && !piece.empty() && this->request_head.method != "HEAD") {
        this->connection->send(write_chunk(piece));
    }
}

void connection_exchange::end()
{
    if (this->connection == nullptr) {
        return;
    }
    if (this->request_head.method != "HEAD") {
        this->connection->send(last_chunk);
    }
    this->connection->finish_answer();
}

void connection_exchange::abort()
{
    if (this->connection != nullptr) {
        this->connection->abort();
    }
}

std::size_t connection_exchange::unsent() const
{
    return this->connection == nullptr ? 0 : this->connection->unsent();
}

bool connection_exchange::has_room() const
{
    return this->connection == nullptr || this->connection->has_room();
}

inbound_socket::inbound_socket(inbound_socket_owner& server, tcp_socket accepted)
    : owner(server), socket(std::move(accepted)), delivery(server.limits().unacknowledged_time),
      reader(http_reader_kind::requests, *this, server.limits().head_bytes),
      wait_started(server.loop().now()), idle_time(server.limits().idle_time),
      memory(server.held_bytes())
{
    this->socket.get().set_options(idle_timeout(server.limits().unacknowledged_time));
    this->socket.get().limit_unsent(max_unsent_in_system);
    this->count_memory();
    this->watch();
}

inbound_socket::~inbound_socket()
{
    if (this->exchange) {
        this->exchange->detach();
    }
    this->report_unsent(0);
    this->owner.loop().cancel(this->deferred_work);
    this->owner.loop().forget(this->number());
}

void inbound_socket::watch()
{
    const bool writes = this->socket.unsent() > 0;
    // A lingering connection goes on sending its answer after the caller has ended its bytes.
    if (this->has_unread_bytes && this->current_phase == phase::answering) {
        this->owner.loop().watch_unread(this->number(), *this, writes);
    } else {
        this->owner.loop().watch(this->number(), *this, !this->has_unread_bytes, writes);
    }
}

void inbound_socket::on_ready(bool readable, bool writable, bool failed)
{
    if (writable && this->current_phase != phase::closed) {
        const bool had_unsent = this->socket.unsent() > 0;
        if (!this->socket.flush()) {
            this->close_as_lost(this->socket.error());
            return;
        }
        this->report_unsent(this->socket.unsent());
        this->delivery.on_written(this->number(), this->owner.loop().now());
        this->note_progress();
        if (had_unsent && this->socket.unsent() == 0) {
            this->watch();
            if (this->current_phase == phase::lingering) {
                ::shutdown(this->number(), SHUT_WR);
            } else if (const auto flushed = this->exchange) {
                this->owner.listener().on_flushed(*flushed);
            }
        }
    }
    if ((readable || failed) && this->current_phase != phase::closed) {
        if (this->current_phase == phase::reading || this->drains) {
            this->read_more();
        } else {
            this->look_ahead(failed);
        }
    }
}

// A caller that still takes its answer is not idle.
void inbound_socket::note_progress()
{
    if (this->waits() && this->socket.total_sent() != this->sent_at_wait) {
        this->begin_wait();
    }
}

void inbound_socket::report_unsent(std::size_t now)
{
    this->count_memory();
    this->owner.change_unsent(std::exchange(this->reported_unsent, now), now);
}

bool inbound_socket::waits() const
{
    return this->current_phase == phase::lingering || this->is_idle();
}

bool inbound_socket::is_delivered() const
{
    return this->socket.unsent() == 0 && this->delivery.is_delivered();
}

void inbound_socket::check_delivery()
{
    const bool was_waiting = this->delivery.is_waiting();
    const bool progressed = this->delivery.check(this->number(), this->owner.loop().now());
    if (was_waiting && progressed && this->waits()) {
        this->begin_wait();
    }
    if (this->delivery.stalled() > this->owner.limits().unread_time) {
        this->owner.on_unread(this->delivery.stalled());
        this->close(true);
    }
}

void inbound_socket::begin_wait()
{
    this->wait_started = this->owner.loop().now();
    this->sent_at_wait = this->socket.total_sent();
}

void inbound_socket::read_more()
{
    std::array<char, read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): filled
    const auto transfer = this->socket.get().read(bytes.data(), bytes.size());
    if (transfer.outcome == tcp_outcome::would_block) {
        return;
    }
    if (transfer.outcome == tcp_outcome::closed || transfer.bytes == 0) {
        this->close_as_lost(transfer.error);
        return;
    }
    if (this->current_phase == phase::reading) {
        this->process_bytes({bytes.data(), transfer.bytes});
        return;
    }
    this->drop_bytes(transfer.bytes);
}

// A caller that is still sending its request may read the refusal only afterwards. Beyond a body of
// the allowed length, and after a time, its bytes stay unread until the connection closes.
void inbound_socket::drop_bytes(std::size_t count)
{
    this->drained_bytes += count;
    const auto drained = this->owner.loop().now() - this->drain_started;
    if (this->drained_bytes <= this->message_limits.body_bytes && drained <= drain_timeout) {
        this->begin_wait();
        return;
    }
    this->drains = false;
    this->has_unread_bytes = true;
    this->watch();
}

// Detects a caller that disconnects. A request that has arrived is not read before its turn.
void inbound_socket::look_ahead(bool failed)
{
    if (failed && this->has_unread_bytes) {
        const int error = this->socket.get().take_error();
        if (this->current_phase == phase::lingering && error == 0 && !this->is_delivered()) {
            // Both ends have ended; a close with unread bytes could overtake the answer.
            this->owner.loop().forget(this->number());
        } else {
            this->close_as_lost(error);
        }
        return;
    }
    const auto transfer = this->socket.get().peek();
    if (transfer.outcome == tcp_outcome::would_block) {
        return;
    }
    if (transfer.outcome == tcp_outcome::closed) {
        this->close_as_lost(transfer.error);
        return;
    }
    this->has_unread_bytes = true;
    this->watch();
    if (this->current_phase == phase::lingering) {
        this->on_bytes_after_close();
    }
}

bool inbound_socket::next_request_arrived() const
{
    return !this->pipelined.empty() || this->has_unread_bytes ||
           this->socket.get().peek().outcome == tcp_outcome::done;
}

// Bytes have arrived on a connection that this end has closed. The reset that follows a close with
// unread bytes tells the caller at once that its request was not read. A reset could overtake an
// answer that has not arrived.
void inbound_socket::on_bytes_after_close()
{
    if (!std::exchange(this->closed_as_idle, false)) {
        return;
    }
    this->owner.on_sent_to_closed(this->owner.loop().now() - this->wait_started,
                                  this->idle_duration);
    if (this->is_delivered()) {
        this->close(false);
    }
}

// A message keeps the limits in force when it began. Otherwise a request that was allowed when its
// caller began to send it would be refused in the middle.
void inbound_socket::begin_message()
{
    this->begin_wait();
    this->message_limits = this->owner.limits();
    this->reader.set_max_head(this->message_limits.head_bytes, this->message_limits.head_fields);
}

void inbound_socket::process_bytes(std::string_view bytes)
{
    if (!this->reader.inside_message()) {
        this->begin_message();
    }
    while (!bytes.empty() && this->current_phase == phase::reading) {
        bytes.remove_prefix(this->reader.feed(bytes));
        const auto fault = this->reader.fault();
        if (fault != framing_fault::none && this->current_phase == phase::reading) {
            this->owner.on_refused_head();
            this->refuse(fault == framing_fault::head_too_long ? status_head_too_large
                                                               : status_bad_request);
        }
    }
    if (this->current_phase == phase::answering) {
        this->pipelined.append(bytes);
    }
    this->check_memory();
    if (this->current_phase == phase::answering) {
        this->owner.listener().on_request(this->exchange);
    }
}

void inbound_socket::count_memory()
{
    this->memory.set(sizeof *this + this->reader.allocated_bytes() + this->pipelined.capacity() +
                     this->socket.allocated_bytes());
}

// Called with what has been received so far, and before a complete request is passed on.
void inbound_socket::check_memory()
{
    this->count_memory();
    const bool is_receiving =
        this->current_phase == phase::answering ||
        (this->current_phase == phase::reading && this->reader.inside_message());
    if (is_receiving && !this->has_memory()) {
        this->refuse_for_memory();
    }
}

// Whether the memory suffices, if need be after others have freed theirs.
bool inbound_socket::has_memory() const
{
    const auto all = this->owner.limits().held_bytes;
    const bool is_complete = this->current_phase == phase::answering;
    const auto bound = is_complete ? all : all - all / parts_for_complete_requests;
    while (this->owner.held_bytes()->value() > bound) {
        if (!this->owner.free_memory(*this)) {
            return false;
        }
    }
    return true;
}

void inbound_socket::refuse_for_memory()
{
    this->owner.on_refused_for_memory();
    this->pipelined = {};
    this->refuse(status_unavailable, {{"Retry-After", retry_delay}});
}

void inbound_socket::process_pipelined()
{
    if (!this->pipelined.empty() && this->current_phase == phase::reading) {
        const std::string bytes = std::exchange(this->pipelined, {});
        this->process_bytes(bytes);
    }
}

void inbound_socket::on_request(http_request_head head)
{
    const std::string* length = find_field(head.fields, "Content-Length");
    if (length != nullptr && !this->check_length(std::strtoull(length->c_str(), nullptr, 10))) {
        return;
    }
    const std::string* expected = find_field(head.fields, "Expect");
    if (expected != nullptr && same_field_name(*expected, "100-continue")) {
        this->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->exchange =
        new connection_exchange(*this, std::move(head), this->owner, this->owner.loop().now());
}

// Refuses the request if its body of so many bytes, announced or received, is not allowed or has no
// room. Returns false then.
bool inbound_socket::check_length(std::size_t bytes)
{
    if (bytes > std::max(this->message_limits.body_bytes, this->owner.limits().body_bytes)) {
        this->owner.on_refused_long_body();
        this->refuse(status_too_large);
        return false;
    }
    while (!this->has_room_for(bytes)) {
        if (!this->owner.free_memory(*this)) {
            this->owner.on_refused_body();
            this->refuse(status_unavailable, {{"Retry-After", retry_delay}});
            return false;
        }
    }
    return true;
}

bool inbound_socket::on_response(http_response_head /*head*/)
{
    return false;
}

void inbound_socket::on_body(std::string_view piece)
{
    if (!this->exchange || this->current_phase != phase::reading) {
        return;
    }
    if (this->check_length(this->exchange->received_bytes() + piece.size())) {
        this->exchange->append(piece);
    }
}

// Whether the body may have so many bytes. A few long bodies must not take the room of all short
// ones.
bool inbound_socket::has_room_for(std::size_t bytes) const
{
    const auto room = this->owner.limits().held_body_bytes;
    const bool is_short = bytes <= short_body_bytes;
    const auto bound = is_short ? room : room - room / parts_for_short_bodies;
    const auto received = this->exchange ? this->exchange->received_bytes() : 0;
    return this->owner.body_bytes()->value() - received + bytes <= bound;
}

void inbound_socket::on_message_end()
{
    if (this->current_phase != phase::reading) {
        return;
    }
    this->current_phase = phase::answering;
    this->has_served = true;
    this->exchange->set_arrived(this->owner.loop().now());
}

void inbound_socket::send(std::string_view bytes)
{
    if (this->current_phase == phase::closed) {
        return;
    }
    const bool had_unsent = this->socket.unsent() > 0;
    if (!this->socket.write(bytes)) {
        this->close_as_lost(this->socket.error());
        return;
    }
    this->report_unsent(this->socket.unsent());
    this->delivery.on_written(this->number(), this->owner.loop().now());
    if (!had_unsent && this->socket.unsent() > 0) {
        this->watch();
    }
}

// A server that is closing still answers a request that has arrived by now.
bool inbound_socket::decide_close()
{
    const bool is_last = this->exchange && !this->exchange->head().keep_alive;
    this->closes_after_answer =
        is_last || (this->owner.is_closing() && !this->next_request_arrived());
    return this->closes_after_answer;
}

// The connection gives up its reference to the exchange, which may then be destroyed as soon as its
// other owners release it.
void inbound_socket::drop_exchange()
{
    if (this->exchange) {
        this->exchange->detach();
        this->exchange.reset();
    }
}

void inbound_socket::finish_answer()
{
    const bool closes = std::exchange(this->closes_after_answer, false);
    this->drop_exchange();
    if (this->current_phase != phase::answering) {
        return;
    }
    this->begin_wait();
    this->idle_time = this->owner.limits().idle_time;
    if (closes) {
        this->linger();
        return;
    }
    this->current_phase = phase::reading;
    if (std::exchange(this->has_unread_bytes, false)) {
        this->watch();
    }
    if (!this->pipelined.empty()) {
        this->request_deferred_work();
    }
}

// Answers an invalid request and reads no more of it, since the end of the request is unknown.
void inbound_socket::refuse(int status, const http_fields& fields)
{
    this->drop_exchange();
    http_fields all = {{"Content-Length", "0"}, {"Connection", "close"}};
    all.insert(all.end(), fields.begin(), fields.end());
    this->send(write_response_head(status, all));
    if (this->current_phase != phase::closed) {
        this->drains = true;
        this->drain_started = this->owner.loop().now();
        this->linger();
    }
}

void inbound_socket::linger()
{
    this->current_phase = phase::lingering;
    this->begin_wait();
    if (this->has_unread_bytes) {
        this->watch();
    }
    if (this->socket.unsent() == 0) {
        ::shutdown(this->number(), SHUT_WR);
    }
}

std::optional<decision::instant> inbound_socket::overdue_since() const
{
    const bool is_incomplete =
        this->current_phase == phase::reading && this->reader.inside_message();
    if (!is_incomplete || this->owner.loop().now() - this->wait_started < incomplete_grace) {
        return std::nullopt;
    }
    return this->wait_started + this->time_for_received();
}

void inbound_socket::end_incomplete()
{
    this->drop_exchange();
    this->send(write_response_head(
        status_unavailable,
        {{"Content-Length", "0"}, {"Connection", "close"}, {"Retry-After", retry_delay}}));
    this->close(false);
    this->memory.set(0);
}

void inbound_socket::close_as_idle()
{
    this->closed_as_idle = true;
    this->idle_duration = this->owner.loop().now() - this->wait_started;
    this->owner.on_closed_as_idle();
    this->linger();
}

void inbound_socket::abort()
{
    this->drop_exchange();
    this->close(false);
}

// Only marks the connection; nothing is read or sent on it from here on. The listener is notified
// later, because it may be in the middle of the call that detected the loss: if notified
// immediately, it would release the request that its call still uses.
void inbound_socket::close(bool caller_disconnected)
{
    if (this->current_phase == phase::closed) {
        return;
    }
    if (!caller_disconnected || this->current_phase != phase::answering) {
        this->drop_exchange();
    }
    this->current_phase = phase::closed;
    this->request_deferred_work();
}

void inbound_socket::close_as_lost(int error)
{
    if (error == ETIMEDOUT) {
        this->owner.on_unacknowledged(this->current_phase == phase::answering);
    }
    this->close(true);
}

void inbound_socket::request_deferred_work()
{
    if (this->deferred_work == 0) {
        this->deferred_work = this->owner.schedule_deferred_work(*this);
    }
}

bool inbound_socket::run_deferred_work()
{
    this->deferred_work = 0;
    if (this->current_phase == phase::closed) {
        this->report_disconnect();
        return true;
    }
    this->process_pipelined();
    if (std::exchange(this->idle_close_pending, false)) {
        this->close_if_still_idle();
    }
    return false;
}

void inbound_socket::report_disconnect()
{
    const auto disconnected = std::move(this->exchange);
    if (disconnected) {
        disconnected->detach();
        this->owner.listener().on_caller_gone(*disconnected);
    }
}

// Compares against the time up to which received data was read, not against the clock. While the
// loop is busy for seconds with other work, requests arrive and are not read; by the clock, their
// connections would be closed as idle or refused as too slow although the complete request has
// arrived.
void inbound_socket::check_time(decision::instant polled_until)
{
    if (this->current_phase != phase::closed && this->delivery.is_due(this->owner.loop().now())) {
        this->check_delivery();
    }
    const auto waited = polled_until - this->wait_started;
    if (this->current_phase == phase::lingering) {
        // Until the answer has arrived, the caller has not had the chance to close first.
        const auto limit = this->is_delivered() ? linger_timeout : this->owner.limits().unread_time;
        if (waited > limit) {
            this->close(false);
        }
        return;
    }
    if (this->current_phase != phase::reading) {
        return;
    }
    if (!this->reader.inside_message()) {
        const auto limit =
            this->is_delivered() ? this->idle_limit() : this->owner.limits().unread_time;
        if (waited > limit) {
            this->idle_close_pending = true;
            this->request_deferred_work();
        }
        return;
    }
    // A head that arrives byte by byte would hold its connection forever. A body may be long, so
    // the allowed time grows by the head time for each started megabyte of it.
    const auto head_time = std::max(this->message_limits.head_time, this->owner.limits().head_time);
    if (waited > head_time * 2 + this->time_for_received()) {
        this->owner.on_timed_out();
        this->refuse(status_timeout);
    }
}

// Time that the caller may have taken for the bytes of the body received so far.
decision::duration inbound_socket::time_for_received() const
{
    const auto head_time = std::max(this->message_limits.head_time, this->owner.limits().head_time);
    const auto parts = this->exchange ? this->exchange->received_bytes() >> 20U : 0U;
    return head_time * static_cast<int>(parts);
}

decision::duration inbound_socket::idle_limit() const
{
    const auto& limits = this->owner.limits();
    return std::max(this->idle_time, limits.idle_time) + limits.idle_slack;
}

bool inbound_socket::is_idle() const
{
    return this->current_phase == phase::reading && !this->reader.inside_message() &&
           this->pipelined.empty();
}

bool inbound_socket::awaits_first_request() const
{
    return !this->has_served && this->owner.loop().now() - this->wait_started < first_request_grace;
}

std::optional<decision::instant> inbound_socket::idle_since()
{
    if (!this->is_idle() || this->awaits_first_request()) {
        return std::nullopt;
    }
    if (!this->is_delivered()) {
        static_cast<void>(this->delivery.check(this->number(), this->owner.loop().now()));
    }
    if (!this->is_delivered()) {
        return std::nullopt;
    }
    return this->wait_started;
}

void inbound_socket::close_if_idle()
{
    if (this->is_idle() && !this->awaits_first_request()) {
        this->idle_close_pending = true;
        this->request_deferred_work();
    }
}

// Reads once more before the close: a request that has arrived but was not read yet would be
// discarded with the connection, and its caller would get no answer.
void inbound_socket::close_if_still_idle()
{
    if (this->is_idle()) {
        this->read_more();
    }
    if (this->is_idle()) {
        this->close_as_idle();
    }
}

} // namespace pearhaven::adapters
