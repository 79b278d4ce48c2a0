#include "inbound_socket.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace pearhaven::adapters {

namespace {

constexpr std::size_t read_size = 16U << 10U;

// Bytes of later requests that are kept while one is under way; beyond it they wait in the socket.
constexpr std::size_t most_kept = 64U << 10U;

// How long a connection that this end has closed goes on reading. A close with unread bytes resets
// the connection, and the reset can overtake the last answer.
constexpr decision::duration linger_bound = std::chrono::seconds(1);

// How long a new connection is not idle, though nothing has come on it yet: the first request is
// under way for a round trip, which between regions takes tens of milliseconds.
constexpr decision::duration first_request_time = std::chrono::milliseconds(250);

// Longest time that a caller's host may leave sent bytes unacknowledged.
constexpr std::chrono::milliseconds unacknowledged_bound{5000};

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;

} // namespace

void connection_exchange::answer(int status, const http_fields& fields, std::string_view body)
{
    if (this->connection == nullptr) {
        return;
    }
    auto all = fields;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    if (this->connection->closes_after_answer()) {
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
    if (this->connection->closes_after_answer()) {
        all.emplace_back("Connection", "close");
    }
    this->connection->send(write_response_head(status, all));
}

void connection_exchange::write(std::string_view piece)
{
    if (this->connection != nullptr && !piece.empty()) {
        this->connection->send(write_chunk(piece));
    }
}

void connection_exchange::end()
{
    if (this->connection == nullptr) {
        return;
    }
    this->connection->send(last_chunk);
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

inbound_socket::inbound_socket(inbound_host& server, tcp_socket accepted)
    : host(server), socket(std::move(accepted)),
      reader(http_reader_kind::requests, *this, server.limits().head_bytes),
      since(server.loop().now()), idle_time(server.limits().idle_time)
{
    this->socket.get().set_options(unacknowledged_bound);
    this->watch();
}

inbound_socket::~inbound_socket()
{
    if (this->exchange) {
        this->exchange->detach();
    }
    this->host.loop().cancel(this->turn);
    this->host.loop().forget(this->number());
}

void inbound_socket::watch()
{
    const bool reads = this->kept.size() < most_kept;
    this->host.loop().watch(this->number(), *this, reads, this->socket.unsent() > 0);
}

void inbound_socket::on_ready(bool readable, bool writable, bool failed)
{
    if (writable && this->step != phase::closed) {
        const bool waited = this->socket.unsent() > 0;
        if (!this->socket.flush()) {
            this->close(true);
            return;
        }
        if (waited && this->socket.unsent() == 0) {
            this->watch();
            if (this->step == phase::lingering) {
                ::shutdown(this->number(), SHUT_WR);
            } else if (const auto told = this->exchange) {
                this->host.listener().on_flushed(*told);
            }
        }
    }
    if ((readable || failed) && this->step != phase::closed) {
        this->read_more();
    }
}

void inbound_socket::read_more()
{
    std::array<char, read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): filled
    const auto transfer = this->socket.get().read(bytes.data(), bytes.size());
    if (transfer.outcome == tcp_outcome::would_block) {
        return;
    }
    if (transfer.outcome == tcp_outcome::closed || transfer.bytes == 0) {
        if (transfer.error == ETIMEDOUT) {
            this->host.on_unacknowledged();
        }
        this->close(true);
        return;
    }
    if (this->step == phase::reading) {
        this->take({bytes.data(), transfer.bytes});
    } else if (this->step == phase::answering) {
        this->kept.append(bytes.data(), transfer.bytes);
        if (this->kept.size() >= most_kept) {
            this->watch();
        }
    } else if (this->step == phase::lingering) {
        this->note_sent_to_closed();
    }
}

// Of a request that is lost so its caller knows nothing, and this end nothing but these bytes.
void inbound_socket::note_sent_to_closed()
{
    if (std::exchange(this->closed_as_idle, false)) {
        this->host.on_sent_to_closed(this->host.loop().now() - this->since, this->rested);
    }
}

// What has begun ends by the limits that it began with: a caller whose request was allowed when it
// began to send it would else be refused in the middle of it.
void inbound_socket::begin_message()
{
    this->since = this->host.loop().now();
    this->begun = this->host.limits();
    this->reader.set_max_head(this->begun.head_bytes);
}

void inbound_socket::take(std::string_view bytes)
{
    if (!this->reader.inside_message()) {
        this->begin_message();
    }
    this->running = true;
    while (!bytes.empty() && this->step == phase::reading) {
        bytes.remove_prefix(this->reader.feed(bytes));
        const auto fault = this->reader.fault();
        if (fault != framing_fault::none) {
            this->host.on_refused_head();
            this->refuse(fault == framing_fault::head_too_long ? status_head_too_large
                                                               : status_bad_request);
        }
    }
    this->running = false;
    if (this->step == phase::answering) {
        this->kept.append(bytes);
    }
}

void inbound_socket::take_kept()
{
    if (!this->kept.empty() && this->step == phase::reading) {
        const bool was_full = this->kept.size() >= most_kept;
        const std::string bytes = std::exchange(this->kept, {});
        this->take(bytes);
        if (was_full && this->step != phase::closed) {
            this->watch();
        }
    }
}

void inbound_socket::on_request(http_request_head head)
{
    const std::string* expected = find_field(head.fields, "Expect");
    if (expected != nullptr && same_field_name(*expected, "100-continue")) {
        this->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->exchange = new connection_exchange(*this, std::move(head), this->host.loop().now());
}

bool inbound_socket::on_response(http_response_head /*head*/)
{
    return false;
}

void inbound_socket::on_body(std::string_view piece)
{
    if (!this->exchange || this->step != phase::reading) {
        return;
    }
    const auto bound = std::max(this->begun.body_bytes, this->host.limits().body_bytes);
    if (this->exchange->body().size() + piece.size() > bound) {
        this->refuse(status_too_large);
        return;
    }
    this->exchange->append(piece);
}

void inbound_socket::on_message_end()
{
    if (this->step != phase::reading) {
        return;
    }
    this->step = phase::answering;
    this->has_served = true;
    this->exchange->set_arrived(this->host.loop().now());
    this->host.listener().on_request(this->exchange);
}

void inbound_socket::send(std::string_view bytes)
{
    if (this->step == phase::closed) {
        return;
    }
    const bool waited = this->socket.unsent() > 0;
    if (!this->socket.write(bytes)) {
        this->close(true);
        return;
    }
    if (!waited && this->socket.unsent() > 0) {
        this->watch();
    }
}

bool inbound_socket::closes_after_answer() const
{
    return this->host.is_closing() || (this->exchange && !this->exchange->head().keep_alive);
}

// The exchange is the callers' alone from here on: it may be destroyed as soon as they drop it.
void inbound_socket::drop_exchange()
{
    if (this->exchange) {
        this->exchange->detach();
        this->exchange.reset();
    }
}

void inbound_socket::finish_answer()
{
    const bool closes = this->closes_after_answer();
    this->drop_exchange();
    if (this->step != phase::answering) {
        return;
    }
    this->since = this->host.loop().now();
    this->idle_time = this->host.limits().idle_time;
    if (closes) {
        this->linger();
        return;
    }
    this->step = phase::reading;
    if (!this->running && !this->kept.empty()) {
        this->ask_for_turn();
    }
}

// Answers what cannot be understood and reads no more of it: where it ends is not known.
void inbound_socket::refuse(int status)
{
    this->drop_exchange();
    this->send(write_response_head(status, {{"Content-Length", "0"}, {"Connection", "close"}}));
    if (this->step != phase::closed) {
        this->linger();
    }
}

void inbound_socket::linger()
{
    this->step = phase::lingering;
    this->since = this->host.loop().now();
    if (this->socket.unsent() == 0) {
        ::shutdown(this->number(), SHUT_WR);
    }
}

void inbound_socket::close_as_idle()
{
    this->closed_as_idle = true;
    this->rested = this->host.loop().now() - this->since;
    this->host.on_closed_as_idle();
    this->linger();
}

void inbound_socket::abort()
{
    this->drop_exchange();
    this->close(false);
}

// Only marks the connection, of which nothing is read and on which nothing is sent from here on.
// The listener may be in the middle of the call that met the loss, with the request in its hands:
// told at once it would drop the request, and the call would go on with what it had dropped.
void inbound_socket::close(bool caller_left)
{
    if (this->step == phase::closed) {
        return;
    }
    if (!caller_left || this->step != phase::answering) {
        this->drop_exchange();
    }
    this->step = phase::closed;
    this->ask_for_turn();
}

void inbound_socket::ask_for_turn()
{
    if (this->turn == 0) {
        this->turn = this->host.give_turn(*this);
    }
}

bool inbound_socket::take_turn()
{
    this->turn = 0;
    if (this->step == phase::closed) {
        this->tell_loss();
        return true;
    }
    this->take_kept();
    if (std::exchange(this->closes_if_idle, false)) {
        this->end_idle_wait();
    }
    return false;
}

void inbound_socket::tell_loss()
{
    const auto left = std::move(this->exchange);
    if (left) {
        left->detach();
        this->host.listener().on_caller_gone(*left);
    }
}

// A caller that was not listened to is not one that is silent: while the router is busy for seconds
// with something else, requests come and are not read, and their connections would be closed as
// idle, or refused as too slow, with the whole request in them. What was heard until then decides.
void inbound_socket::check_time(decision::instant polled_until)
{
    const auto waited = polled_until - this->since;
    if (this->step == phase::lingering && waited > linger_bound) {
        this->close(false);
        return;
    }
    if (this->step != phase::reading) {
        return;
    }
    if (!this->reader.inside_message()) {
        const auto& limits = this->host.limits();
        if (waited > std::max(this->idle_time, limits.idle_time) + limits.idle_slack) {
            this->closes_if_idle = true;
            this->ask_for_turn();
        }
        return;
    }
    // A head that comes byte by byte would hold its connection for ever. A body may be long: it
    // has the head's time for each megabyte or part of one.
    const auto parts = 1 + (this->exchange ? this->exchange->body().size() >> 20U : 0U);
    const auto head_time = std::max(this->begun.head_time, this->host.limits().head_time);
    if (waited > head_time * static_cast<int>(parts + 1)) {
        this->refuse(status_timeout);
    }
}

bool inbound_socket::is_idle() const
{
    return this->step == phase::reading && !this->reader.inside_message() && this->kept.empty();
}

void inbound_socket::close_if_idle()
{
    const bool has_just_come =
        !this->has_served && this->host.loop().now() - this->since < first_request_time;
    if (this->is_idle() && !has_just_come) {
        this->closes_if_idle = true;
        this->ask_for_turn();
    }
}

// A request that has come and was not read yet would be thrown away with the connection: its caller
// would have no answer, though all of the request was taken.
void inbound_socket::end_idle_wait()
{
    if (this->is_idle()) {
        this->read_more();
    }
    if (this->is_idle()) {
        this->close_as_idle();
    }
}

} // namespace pearhaven::adapters
