#include "pearhaven/adapters/http_inbound.hpp"

#include "inbound_socket.hpp"

#include "pearhaven/adapters/log.hpp"

#include <algorithm>
#include <cstddef>
#include <malloc.h>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

namespace {

// Time between two checks for connections that have exceeded a time limit. It adds to each limit.
constexpr decision::duration check_period = std::chrono::milliseconds(250);

// Part of the connections that is closed at once, those that were idle for longest, to make room
// for new ones.
constexpr std::size_t parts_to_make_room = 64;

// Minimum time between two searches for overdue requests, after one that found none.
constexpr decision::duration overdue_search_period = std::chrono::milliseconds(50);

// Decrease of the memory held for callers after which free memory is returned to the system.
constexpr std::size_t min_returned_bytes = 8U << 20U;

class inbound_server final : public http_inbound,
                             public inbound_socket_owner,
                             public socket_listener {
public:
    inbound_server(event_loop& target_loop, const std::string& address, std::uint16_t port,
                   std::size_t connection_limit, inbound_listener& new_listener,
                   boost::intrusive_ptr<byte_count> held_bytes)
        : events(target_loop), requests(new_listener), max_connections(connection_limit),
          acceptor(tcp_socket::listen(address, port)), held(std::move(held_bytes))
    {
        this->events.watch(this->acceptor.get(), *this, true, false);
        this->schedule_check();
    }

    ~inbound_server() override
    {
        this->events.cancel(this->check);
        this->events.forget(this->acceptor.get());
    }

    inbound_server(const inbound_server&) = delete;
    inbound_server& operator=(const inbound_server&) = delete;

    void set_limits(const inbound_limits& limits) override { this->bounds = limits; }
    void begin_close() override { this->closing = true; }
    void close_idle() override
    {
        this->for_each([](inbound_socket& connection) { connection.close_if_idle(); });
    }
    [[nodiscard]] std::uint16_t port() const override { return this->acceptor.port(); }
    [[nodiscard]] inbound_counts counts() const override
    {
        auto all = this->counted;
        all.open = this->connections.size();
        all.body_bytes = this->bodies->value();
        all.held_bytes = this->held->value();
        return all;
    }

    [[nodiscard]] transferred_bytes bytes() const override { return this->counted_bytes; }

    [[nodiscard]] event_loop& loop() override { return this->events; }
    [[nodiscard]] inbound_listener& listener() override { return this->requests; }
    [[nodiscard]] const inbound_limits& limits() const override { return this->bounds; }
    [[nodiscard]] bool is_closing() const override { return this->closing; }
    void change_unsent(std::size_t before, std::size_t now) override
    {
        this->counted.unsent_bytes += now - before;
    }
    [[nodiscard]] bool has_room() const override
    {
        return this->counted.unsent_bytes < this->bounds.unsent_bytes &&
               this->held->value() < this->bounds.held_bytes;
    }
    [[nodiscard]] const boost::intrusive_ptr<byte_count>& body_bytes() const override
    {
        return this->bodies;
    }
    [[nodiscard]] const boost::intrusive_ptr<byte_count>& held_bytes() const override
    {
        return this->held;
    }
    [[nodiscard]] bool free_memory(const inbound_socket& requester) override;
    void on_refused_head() override { ++this->counted.refused_heads; }
    void on_refused_body() override { ++this->counted.refused_bodies; }
    void on_refused_long_body() override { ++this->counted.refused_long_bodies; }
    void on_refused_for_memory() override { ++this->counted.refused_for_memory; }
    void on_timed_out() override { ++this->counted.timed_out; }
    void on_unacknowledged(bool in_progress) override;
    void on_unread(decision::duration stalled) override;
    void on_closed_as_idle() override { ++this->counted.closed_as_idle; }
    void on_sent_to_closed(decision::duration closed, decision::duration idle_duration) override;
    [[nodiscard]] timer_number schedule_deferred_work(inbound_socket& connection) override;
    void on_ready(bool readable, bool writable, bool failed) override;

private:
    using ranked_connections = std::vector<std::pair<decision::instant, inbound_socket*>>;

    void drop(const inbound_socket& connection);
    void make_room();
    [[nodiscard]] std::size_t close_idle_for_room();
    template <typename Rank>
    [[nodiscard]] ranked_connections first_ranked(Rank&& rank);
    [[nodiscard]] std::vector<inbound_socket*> overdue_connections();
    void return_free_memory();
    void schedule_check();
    template <typename Function>
    void for_each(Function&& act);

    event_loop& events;
    inbound_listener& requests;
    std::size_t max_connections;
    tcp_socket acceptor;
    inbound_limits bounds;
    bool closing = false;
    inbound_counts counted;
    transferred_bytes counted_bytes;
    boost::intrusive_ptr<byte_count> bodies{new byte_count}; // requests may outlive the server
    boost::intrusive_ptr<byte_count> held;
    decision::instant next_overdue_search; // earliest time of another one, after one in vain
    std::unordered_map<int, std::unique_ptr<inbound_socket>> connections;
    timer_number check = 0;
};

void inbound_server::on_ready(bool /*readable*/, bool /*writable*/, bool /*failed*/)
{
    while (auto accepted = this->acceptor.accept()) {
        const bool is_accepted = this->requests.accepts_connection();
        if (is_accepted && this->connections.size() >= this->max_connections) {
            this->make_room();
        }
        if (!is_accepted || this->connections.size() >= this->max_connections) {
            ++this->counted.turned_away;
            continue;
        }
        ++this->counted.accepted;
        accepted.count_bytes_in(this->counted_bytes);
        const int number = accepted.get();
        this->connections[number] = std::make_unique<inbound_socket>(*this, std::move(accepted));
    }
}

// Closes connections that are idle: their callers may open new ones, whereas a new connection that
// is not accepted holds its caller up. If none is, ends requests that have not become complete.
void inbound_server::make_room()
{
    if (this->close_idle_for_room() > 0) {
        return;
    }
    for (auto* connection : this->overdue_connections()) {
        ++this->counted.ended_for_room;
        connection->end_incomplete();
        this->drop(*connection);
    }
}

// Returns the number of closed connections. Those that have ended only wait for their callers.
std::size_t inbound_server::close_idle_for_room()
{
    const auto idle = this->first_ranked([](inbound_socket& connection) {
        return connection.has_ended() ? decision::instant::min() : connection.idle_since();
    });
    std::size_t closed = 0;
    for (const auto& [since, connection] : idle) {
        if (!connection->next_request_arrived()) {
            ++this->counted.closed_for_room;
            ++closed;
            this->drop(*connection);
        }
    }
    return closed;
}

// The connections whose rank is lowest, a part of all at most. The rank is a time, or nothing.
template <typename Rank>
inbound_server::ranked_connections inbound_server::first_ranked(Rank&& rank)
{
    ranked_connections ranked;
    this->for_each([&](inbound_socket& connection) {
        const std::optional<decision::instant> place = rank(connection);
        if (place) {
            ranked.emplace_back(*place, &connection);
        }
    });
    const auto count = std::min(ranked.size(), this->max_connections / parts_to_make_room + 1);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    ranked.resize(count);
    return ranked;
}

// Called by a connection, so the others are only closed, and destroyed by their deferred work.
bool inbound_server::free_memory(const inbound_socket& requester)
{
    if (this->events.now() < this->next_overdue_search) {
        return false;
    }
    bool found = false;
    for (auto* connection : this->overdue_connections()) {
        if (connection != &requester) {
            found = true;
            ++this->counted.ended_for_memory;
            connection->end_incomplete();
        }
    }
    if (!found) {
        this->next_overdue_search = this->events.now() + overdue_search_period;
    }
    return found;
}

// Some of the connections whose requests are furthest behind, and of which no more has arrived.
std::vector<inbound_socket*> inbound_server::overdue_connections()
{
    std::vector<inbound_socket*> found;
    for (const auto& [since, connection] :
         this->first_ranked([](const inbound_socket& one) { return one.overdue_since(); })) {
        if (!connection->next_request_arrived()) {
            found.push_back(connection);
        }
    }
    return found;
}

// The allocator keeps free memory between blocks that are in use. After a crowd, most of the
// process's memory would stay resident.
void inbound_server::return_free_memory()
{
    if (this->held->peak() - this->held->value() >= min_returned_bytes) {
        malloc_trim(0);
        this->held->reset_peak();
    }
}

timer_number inbound_server::schedule_deferred_work(inbound_socket& connection)
{
    return this->events.soon([this, &connection] {
        if (connection.run_deferred_work()) {
            this->drop(connection);
        }
    });
}

void inbound_server::on_unacknowledged(bool in_progress)
{
    ++this->counted.unacknowledged;
    log_warning("caller_unreachable", {{"cause", "bytes or a probe were not acknowledged"},
                                       {"in_progress", in_progress ? "true" : "false"}});
}

void inbound_server::on_unread(decision::duration stalled)
{
    ++this->counted.unread;
    log_warning("caller_not_reading", {{"stalled_ms", milliseconds(stalled)}});
}

void inbound_server::on_sent_to_closed(decision::duration closed, decision::duration idle_duration)
{
    ++this->counted.sent_to_closed;
    log_warning("sent_to_closed",
                {{"closed_ms", milliseconds(closed)}, {"rested_ms", milliseconds(idle_duration)}});
}

// Called only by the loop, when none of the connection's own functions is running.
void inbound_server::drop(const inbound_socket& connection)
{
    this->connections.erase(connection.number());
}

// Calls into a connection never add or remove connections; that is deferred to the loop.
template <typename Function>
void inbound_server::for_each(Function&& act)
{
    for (const auto& [number, connection] : this->connections) {
        act(*connection);
    }
}

void inbound_server::schedule_check()
{
    this->check = this->events.after(check_period, [this] {
        const auto until = this->events.polled_until();
        this->for_each([until](inbound_socket& connection) { connection.check_time(until); });
        this->return_free_memory();
        this->schedule_check();
    });
}

} // namespace

std::unique_ptr<http_inbound> make_http_inbound(event_loop& loop, const std::string& host,
                                                std::uint16_t port, std::size_t max_connections,
                                                inbound_listener& listener,
                                                boost::intrusive_ptr<byte_count> held_bytes)
{
    return std::make_unique<inbound_server>(loop, host, port, max_connections, listener,
                                            std::move(held_bytes));
}

} // namespace pearhaven::adapters
