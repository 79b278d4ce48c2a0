#include "outbound_socket.hpp"

#include <array>
#include <charconv>

namespace pearhaven::adapters {

namespace {

constexpr std::size_t read_size = 16U << 10U;
constexpr int first_final_status = 200;

// The whole seconds of `timeout=N` in a Keep-Alive field; zero where it names none.
decision::duration named_timeout(const http_fields& fields)
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

outbound_socket::outbound_socket(outbound_host& client, std::uint64_t name, outbound_target target)
    : host(client), number(name), where(std::move(target)),
      socket(tcp_socket::connect(this->where.host, this->where.port)),
      reader(http_reader_kind::responses, *this, client.settings().max_head)
{
    if (this->socket.get()) {
        this->socket.get().set_options(client.settings().unacknowledged_time);
    }
}

outbound_socket::~outbound_socket()
{
    this->host.loop().cancel(this->timer);
    if (this->socket.get()) {
        this->host.loop().forget(this->socket.get().get());
    }
}

void outbound_socket::watch()
{
    const bool writes = this->step == phase::connecting || this->socket.unsent() > 0;
    this->host.loop().watch(this->socket.get().get(), *this, !this->paused, writes);
}

void outbound_socket::start(outbound_number exchange, const outbound_request& request,
                            outbound_listener_ptr told)
{
    this->current = exchange;
    this->listener = std::move(told);
    this->head_came = false;
    this->skipping = false;
    this->message_over = false;
    this->answer_time = request.answer_time;
    this->progress_time = request.progress_time;
    this->no_body = request.method == "HEAD";
    auto fields = request.fields;
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        fields.emplace_back("Content-Length", std::to_string(request.body.size()));
    }
    auto bytes = write_request_head(request.method, request.target, fields);
    bytes.append(request.body);
    if (!this->socket.get()) {
        this->fail_soon(outbound_fault::not_connected);
        return;
    }
    if (this->step == phase::connecting) {
        this->unsent_request = std::move(bytes);
        this->arm(request.connect_time);
        this->watch();
        return;
    }
    this->step = phase::busy;
    this->reused = true;
    this->arm(this->answer_time);
    if (!this->socket.write(bytes)) {
        this->fail_soon(outbound_fault::connection_lost);
        return;
    }
    this->watch();
}

// The listener hears of it in a callback of its own, which others come before: one that starts the
// next exchange at once, to fail as well, would else keep the loop for itself.
void outbound_socket::fail_soon(outbound_fault why)
{
    auto& loop = this->host.loop();
    loop.cancel(this->timer);
    this->timer = loop.after(decision::duration::zero(), [this, why] {
        this->timer = 0;
        this->fail(why);
    });
}

void outbound_socket::arm(decision::duration longest)
{
    auto& loop = this->host.loop();
    this->last_progress = loop.now();
    if (this->bound == longest && this->timer != 0) {
        return;
    }
    loop.cancel(this->timer);
    this->timer = 0;
    this->bound = longest;
    if (longest > decision::duration::zero()) {
        this->timer = loop.after(longest, [this] { this->on_time(); });
    }
}

void outbound_socket::on_time()
{
    auto& loop = this->host.loop();
    this->timer = 0;
    // Not by the clock: what came while the loop was busy with something else has not been read.
    const auto waited = loop.polled_until() - this->last_progress;
    if (this->paused || waited < this->bound) {
        const auto left = this->paused ? this->bound : this->bound - waited;
        this->timer = loop.after(left, [this] { this->on_time(); });
        return;
    }
    if (this->step == phase::connecting) {
        this->host.on_connected(false);
        this->fail(outbound_fault::not_connected);
    } else if (this->step == phase::busy && this->listener->on_silence()) {
        this->fail(outbound_fault::silent);
    } else if (this->step == phase::busy) {
        this->arm(this->bound);
    }
}

void outbound_socket::connected()
{
    if (!this->socket.get().is_connected()) {
        this->host.on_connected(false);
        this->fail(outbound_fault::not_connected);
        return;
    }
    this->host.on_connected(true);
    this->step = phase::busy;
    this->arm(this->answer_time);
    const auto bytes = std::exchange(this->unsent_request, {});
    if (!this->socket.write(bytes)) {
        this->fail(outbound_fault::connection_lost);
        return;
    }
    this->watch();
}

void outbound_socket::on_ready(bool readable, bool writable, bool failed)
{
    if (this->step == phase::connecting) {
        if (writable || failed) {
            this->connected();
        }
        return;
    }
    if (writable && this->socket.unsent() > 0) {
        if (!this->socket.flush()) {
            this->fail(outbound_fault::connection_lost);
            return;
        }
        if (this->socket.unsent() == 0) {
            this->watch();
        }
    }
    if ((readable || failed) && this->step != phase::closed && !this->paused) {
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
    if (this->step == phase::idle) {
        // Closed, or bytes that answer nothing: either way it is of no more use.
        this->close();
        return;
    }
    if (transfer.outcome == tcp_outcome::closed) {
        this->fail(outbound_fault::connection_lost);
        return;
    }
    if (transfer.bytes > 0) {
        this->take({bytes.data(), transfer.bytes});
        return;
    }
    this->keeps = false;
    this->reader.feed_end();
    if (this->message_over) {
        this->finish();
    } else {
        this->fail(outbound_fault::connection_lost);
    }
}

void outbound_socket::take(std::string_view bytes)
{
    this->last_progress = this->host.loop().now();
    while (!bytes.empty() && this->step == phase::busy && !this->message_over) {
        bytes.remove_prefix(this->reader.feed(bytes));
        if (this->step == phase::busy && this->reader.fault() != framing_fault::none) {
            this->fail(outbound_fault::malformed);
            return;
        }
    }
    if (this->step == phase::busy && this->message_over) {
        // Bytes after the answer belong to nobody: what follows on this connection cannot be
        // trusted.
        this->keeps = this->keeps && bytes.empty();
        this->finish();
    }
}

void outbound_socket::on_request(http_request_head /*head*/) {}

bool outbound_socket::on_response(http_response_head head)
{
    if (this->step != phase::busy) {
        return false;
    }
    if (head.status < first_final_status) {
        this->skipping = true;
        return false;
    }
    const auto verdict = this->listener->on_head(head);
    this->skipping = verdict == head_verdict::skip;
    if (this->skipping || this->step != phase::busy) {
        return false;
    }
    if (verdict == head_verdict::drop) {
        this->cancel();
        return false;
    }
    this->head_came = true;
    this->keeps = head.keep_alive;
    this->named_idle_time = named_timeout(head.fields);
    this->arm(this->progress_time);
    return this->no_body;
}

void outbound_socket::on_body(std::string_view piece)
{
    if (this->step == phase::busy && !this->skipping) {
        this->listener->on_body(piece);
    }
}

void outbound_socket::on_message_end()
{
    if (!this->skipping) {
        this->message_over = true;
    }
    this->skipping = false;
}

decision::instant outbound_socket::idle_end() const
{
    const auto& settings = this->host.settings();
    const auto now = this->host.loop().now();
    if (this->named_idle_time > decision::duration::zero()) {
        return now + this->named_idle_time - settings.idle_margin;
    }
    return now + settings.unnamed_idle_time;
}

void outbound_socket::finish()
{
    const auto told = std::move(this->listener);
    // An answer that came before the whole request had left: the rest of the request would be taken
    // for the next one.
    const bool usable = this->keeps && this->socket.unsent() == 0;
    this->host.on_exchange_over(std::exchange(this->current, 0));
    this->arm(decision::duration::zero());
    if (usable) {
        this->step = phase::idle;
        this->paused = false;
        this->watch();
        this->host.on_idle(*this, this->idle_end());
    } else {
        this->close();
    }
    told->on_end();
}

void outbound_socket::fail(outbound_fault why)
{
    if (this->step == phase::closed) {
        return;
    }
    const auto told = std::move(this->listener);
    outbound_failure how;
    how.why = why;
    how.answer_began = this->head_came;
    how.was_reused = this->reused;
    this->close();
    if (told) {
        told->on_failure(how);
    }
}

// The listener hears no more, but it may be the one that cancels, in the middle of one of its own
// functions: it is dropped with the connection.
void outbound_socket::cancel()
{
    this->close();
}

void outbound_socket::pause(bool stop)
{
    if (this->step == phase::busy && this->paused != stop) {
        this->paused = stop;
        this->last_progress = this->host.loop().now();
        this->watch();
    }
}

void outbound_socket::close()
{
    if (this->step == phase::closed) {
        return;
    }
    this->step = phase::closed;
    this->host.loop().cancel(this->timer);
    this->timer = 0;
    if (this->socket.get()) {
        this->host.loop().forget(this->socket.get().get());
        this->socket.get().close();
    }
    this->host.on_closed(*this);
}

} // namespace pearhaven::adapters
