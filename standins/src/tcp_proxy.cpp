#include "tcp_proxy.hpp"

#include "program.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <future>
#include <system_error>

namespace pearhaven::standins {

namespace {

constexpr const char* to_server = "to_server";
constexpr const char* to_client = "to_client";
constexpr int events_at_a_time = 256;

std::optional<std::string> check_one_way(const proxy_behaviours& wanted)
{
    const auto& way = wanted.one_way;
    if (way.empty() || way == to_server || way == to_client) {
        return std::nullopt;
    }
    return "one_way: expected to_server, to_client or an empty text, found " + way;
}

proxy_faults faults_of(const proxy_behaviours& wanted)
{
    proxy_faults faults;
    faults.silent = wanted.silence;
    faults.swallow_to_server = wanted.one_way == to_server;
    faults.swallow_to_client = wanted.one_way == to_client;
    faults.paced.delay = std::chrono::milliseconds(wanted.delay_ms);
    faults.paced.bytes_per_second = wanted.rate_bytes_per_s;
    faults.truncate_to_client_after = wanted.truncate_to_client_after;
    return faults;
}

} // namespace

behaviour_table<proxy_behaviours> proxy_behaviour_table()
{
    behaviour_table<proxy_behaviours> table;
    table.add("cut", &proxy_behaviours::cut, "bool; reset all connections and refuse new ones")
        .add("one_way", &proxy_behaviours::one_way,
             "\"to_server\" or \"to_client\"; bytes in that direction are swallowed; empty: off")
        .add("silence_open", &proxy_behaviours::silence_open,
             "bool, once; open connections go silent permanently, new ones work")
        .add("silence", &proxy_behaviours::silence,
             "bool; nothing moves on any connection; transfers resume when lifted")
        .add("delay_ms", &proxy_behaviours::delay_ms, "delay of the bytes in both directions")
        .add("truncate_to_client_after", &proxy_behaviours::truncate_to_client_after,
             "close each connection in an orderly way after this many further bytes to its client")
        .add("rate_bytes_per_s", &proxy_behaviours::rate_bytes_per_s,
             "limit for each direction of each connection; 0: none")
        .add("clear", &proxy_behaviours::clear,
             "bool, once; lift everything except permanent silence")
        .check(&check_one_way);
    return table;
}

tcp_proxy::tcp_proxy(const std::string& listen, std::string to)
    : to_address(std::move(to)), reservation(reserved_socket(listen)),
      listen_address(bound_address(this->reservation)), epoll_set(epoll_create1(EPOLL_CLOEXEC)),
      wake_up(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)), shared{this->epoll_set.get(), {}}
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = &this->wake_up;
    epoll_ctl(this->epoll_set.get(), EPOLL_CTL_ADD, this->wake_up.get(), &event);
    this->open_listener();
    this->thread = std::thread([this] { this->loop(); });
}

tcp_proxy::~tcp_proxy()
{
    this->run_on_loop([this] { this->close_everything(); });
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    eventfd_write(this->wake_up.get(), 1);
    this->thread.join();
}

void tcp_proxy::run_on_loop(const std::function<void()>& action)
{
    std::promise<void> done;
    {
        const std::lock_guard guard(this->mutex);
        this->actions.emplace_back([&] {
            action();
            done.set_value();
        });
    }
    eventfd_write(this->wake_up.get(), 1);
    done.get_future().wait();
}

void tcp_proxy::apply(const proxy_behaviours& wanted)
{
    this->run_on_loop([&] { this->change_behaviours(wanted); });
}

proxy_counts tcp_proxy::counts()
{
    proxy_counts shown;
    this->run_on_loop([&] {
        shown = this->totals;
        shown.open = this->connections.size();
        for (const auto& each : this->connections) {
            shown.bytes_to_server += each.moved().to_server;
            shown.bytes_to_client += each.moved().to_client;
        }
    });
    return shown;
}

void tcp_proxy::loop()
{
    std::array<epoll_event, events_at_a_time> events{};
    for (;;) {
        const int count = epoll_wait(this->epoll_set.get(), events.data(), events_at_a_time,
                                     this->wait_ms(monotonic_now()));
        const auto now = monotonic_now();
        for (int index = 0; index < count; ++index) {
            const auto& event = events.at(static_cast<std::size_t>(index));
            this->handle_event(event.data.ptr, event.events, now);
        }
        this->flush_due(now);
        this->run_actions();
        this->delete_closed();
        const std::lock_guard guard(this->mutex);
        if (this->stopping) {
            return;
        }
    }
}

void tcp_proxy::delete_closed()
{
    for (auto* each : this->closed_connections) {
        delete each;
    }
    this->closed_connections.clear();
}

int tcp_proxy::wait_ms(decision::instant now) const
{
    if (this->timers.empty()) {
        return -1;
    }
    const auto left = std::max(this->timers.begin()->first - now, decision::duration{});
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(left).count());
}

void tcp_proxy::run_actions()
{
    std::vector<std::function<void()>> taken;
    {
        const std::lock_guard guard(this->mutex);
        taken.swap(this->actions);
    }
    for (const auto& each : taken) {
        each();
    }
}

void tcp_proxy::handle_event(void* tag, std::uint32_t events, decision::instant now)
{
    if (tag == &this->wake_up) {
        eventfd_t count = 0;
        eventfd_read(this->wake_up.get(), &count);
        return;
    }
    if (tag == &this->listener) {
        this->accept_all(now);
        return;
    }
    auto* end = static_cast<proxied_connection::socket_end*>(tag);
    if (!end->socket.is_open()) {
        return; // closed by an earlier event of this batch
    }
    auto& connection = *end->connection;
    const bool is_active = connection.handle(end->side, events, this->faults, now);
    this->update_or_remove(connection, is_active, now);
}

void tcp_proxy::accept_all(decision::instant now)
{
    while (this->listener.is_open() && !this->faults.silent) {
        socket_handle client(
            accept4(this->listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!client.is_open()) {
            return;
        }
        const int yes = 1;
        setsockopt(client.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        ++this->totals.accepted;
        try {
            auto server = connecting_socket(this->to_address);
            auto* made = new proxied_connection(this->shared, std::move(client), std::move(server));
            this->connections.push_back(*made);
            this->update_or_remove(*made, true, now);
        } catch (const std::system_error&) {
            client.reset(); // refused immediately, as the server would
        }
    }
}

void tcp_proxy::update_or_remove(proxied_connection& connection, bool is_active,
                                 decision::instant now)
{
    if (!is_active) {
        this->remove(connection);
        return;
    }
    connection.watch(this->faults, now);
    this->set_timer(connection, connection.next_due(now));
}

void tcp_proxy::set_timer(proxied_connection& connection, std::optional<decision::instant> when)
{
    if (connection.timer == when) {
        return;
    }
    if (connection.timer) {
        this->timers.erase({*connection.timer, &connection});
    }
    if (when) {
        this->timers.insert({*when, &connection});
    }
    connection.timer = when;
}

void tcp_proxy::flush_due(decision::instant now)
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        auto& connection = *this->timers.begin()->second;
        this->set_timer(connection, std::nullopt);
        this->update_or_remove(connection, connection.flush(this->faults, now), now);
    }
}

void tcp_proxy::remove(proxied_connection& connection)
{
    this->set_timer(connection, std::nullopt);
    this->totals.bytes_to_server += connection.moved().to_server;
    this->totals.bytes_to_client += connection.moved().to_client;
    this->connections.erase(this->connections.iterator_to(connection));
    connection.close();
    this->closed_connections.push_back(&connection);
}

void tcp_proxy::change_behaviours(const proxy_behaviours& wanted)
{
    const auto before = std::exchange(this->behaviours, wanted);
    this->faults = faults_of(wanted);
    if (wanted.cut && !before.cut) {
        this->totals.cut += this->connections.size();
        this->close_everything();
    } else if (!wanted.cut && before.cut) {
        this->open_listener();
    }
    const auto now = monotonic_now();
    const bool recount = wanted.truncate_to_client_after != before.truncate_to_client_after;
    for (auto each = this->connections.begin(); each != this->connections.end();) {
        auto& connection = *each++;
        if (wanted.silence_open) {
            connection.silence();
            ++this->totals.silenced;
        }
        if (recount) {
            connection.count_from_here();
        }
        this->update_or_remove(connection, connection.flush(this->faults, now), now);
    }
    this->accept_all(now); // connections that arrived during the silence
}

void tcp_proxy::close_everything()
{
    this->close_listener();
    while (!this->connections.empty()) {
        auto& connection = this->connections.front();
        connection.reset();
        this->remove(connection);
    }
}

void tcp_proxy::open_listener()
{
    this->listener = listening_socket(this->listen_address);
    epoll_event event{};
    event.events = EPOLLIN | EPOLLET;
    event.data.ptr = &this->listener;
    epoll_ctl(this->epoll_set.get(), EPOLL_CTL_ADD, this->listener.get(), &event);
}

void tcp_proxy::close_listener()
{
    this->listener.close();
}

} // namespace pearhaven::standins
