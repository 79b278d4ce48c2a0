#include "pearhaven/adapters/peer_link.hpp"

#include "incoming_connection.hpp"
#include "outgoing_connection.hpp"
#include "peer_codec.hpp"

#include <algorithm>
#include <cerrno>
#include <list>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

namespace {

// Connections accepted before the others have their turn.
constexpr int accepts_at_once = 64;

// How long to leave waiting connections alone when the process has no socket left for them.
constexpr std::chrono::milliseconds accept_pause{100};

// How long `stop` lets queued messages leave.
constexpr std::chrono::milliseconds drain_time{200};

constexpr std::size_t max_submitted = 16384;

struct submission {
    peer_address to;
    std::string payload;
};

class tcp_peer_link : public peer_link {
public:
    tcp_peer_link(const peer_link_settings& settings, handler on_message);
    ~tcp_peer_link() override { this->shut_down(); }
    tcp_peer_link(const tcp_peer_link&) = delete;
    tcp_peer_link& operator=(const tcp_peer_link&) = delete;

    void send(const peer_address& to, coordination::peer_message message) override;
    [[nodiscard]] std::uint16_t port() const override { return this->listened_port; }
    [[nodiscard]] peer_link_counts counts() const override
    {
        return this->context.counters.snapshot();
    }
    void stop() override { this->shut_down(); }

private:
    void shut_down();
    void run();
    void drain();
    void turn(std::optional<monotonic_time> until);
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    next_wait(std::optional<monotonic_time> until) const;
    [[nodiscard]] bool submit(submission& item);
    void take_submissions();
    void serve(const std::vector<ready_socket>& sockets);
    void accept_waiting();
    void resume_accepting(monotonic_time now);
    [[nodiscard]] bool make_room();
    void look_at_due();
    void clear_up();
    [[nodiscard]] bool deliver(std::string_view payload);

    link_context context;
    handler on_message;
    tcp_socket listener;
    std::uint16_t listened_port;
    peer_address reply_to;
    std::map<peer_address, outgoing_connection> outgoing;
    std::list<incoming_connection> incoming; // oldest first
    std::optional<monotonic_time> accepting_again;
    std::vector<submission> taken;

    std::mutex mutex; // guards the two below
    std::vector<submission> submitted;
    bool stopping = false;
    std::mutex stop_mutex;
    std::thread worker;
};

tcp_peer_link::tcp_peer_link(const peer_link_settings& settings, handler receiver)
    : context(settings), on_message(std::move(receiver)),
      listener(tcp_socket::listen(settings.listen_host, settings.listen_port)),
      listened_port(this->listener.port()),
      reply_to{settings.advertise_host.empty() ? settings.listen_host : settings.advertise_host,
               settings.advertise_port == 0 ? this->listened_port : settings.advertise_port}
{
    if (!this->context.ready.watch(this->listener.get(), true, false)) {
        throw std::system_error(errno, std::system_category(), "epoll");
    }
    this->worker = std::thread([this] { this->run(); });
}

void tcp_peer_link::send(const peer_address& to, coordination::peer_message message)
{
    submission item{
        to, encode_envelope({this->context.settings.self, this->reply_to, std::move(message)})};
    if (item.payload.size() > this->context.settings.max_frame_bytes || !this->submit(item)) {
        ++this->context.counters.dropped;
    }
}

bool tcp_peer_link::submit(submission& item)
{
    bool first = false;
    {
        const std::lock_guard guard(this->mutex);
        if (this->stopping || this->submitted.size() >= max_submitted) {
            return false;
        }
        first = this->submitted.empty();
        this->submitted.push_back(std::move(item));
    }
    if (first) {
        this->context.ready.wake();
    }
    return true;
}

void tcp_peer_link::shut_down()
{
    const std::lock_guard once(this->stop_mutex);
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->context.ready.wake();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

void tcp_peer_link::run()
{
    bool stopped = false;
    while (!stopped) {
        this->turn(std::nullopt);
        const std::lock_guard guard(this->mutex);
        stopped = this->stopping;
    }
    this->drain();
    this->outgoing.clear();
    this->incoming.clear();
}

void tcp_peer_link::drain()
{
    const monotonic_time end = std::chrono::steady_clock::now() + drain_time;
    this->context.ready.forget(this->listener.get());
    this->listener.close();
    this->accepting_again.reset();
    this->take_submissions();
    const auto is_draining = [](const auto& entry) { return entry.second.is_draining(); };
    while (std::any_of(this->outgoing.begin(), this->outgoing.end(), is_draining) &&
           std::chrono::steady_clock::now() < end) {
        this->turn(end);
    }
}

void tcp_peer_link::turn(std::optional<monotonic_time> until)
{
    this->serve(this->context.ready.wait(this->next_wait(until)));
    this->take_submissions();
    this->look_at_due();
    this->clear_up();
}

std::optional<std::chrono::nanoseconds>
tcp_peer_link::next_wait(std::optional<monotonic_time> until) const
{
    std::optional<monotonic_time> earliest = until;
    for (const auto& time : {this->context.deadlines.next(), this->accepting_again}) {
        if (time && (!earliest || *time < *earliest)) {
            earliest = time;
        }
    }
    if (!earliest) {
        return std::nullopt;
    }
    return *earliest - std::chrono::steady_clock::now();
}

void tcp_peer_link::take_submissions()
{
    {
        const std::lock_guard guard(this->mutex);
        this->taken.swap(this->submitted);
    }
    for (submission& item : this->taken) {
        const auto peer = this->outgoing.try_emplace(item.to, this->context, item.to).first;
        peer->second.enqueue(std::move(item.payload));
    }
    this->taken.clear();
}

void tcp_peer_link::serve(const std::vector<ready_socket>& sockets)
{
    for (const ready_socket& item : sockets) {
        if (item.socket == this->listener.get()) {
            this->accept_waiting();
            continue;
        }
        const auto found = this->context.by_socket.find(item.socket);
        if (found != this->context.by_socket.end()) {
            found->second->on_ready(item);
        }
    }
}

void tcp_peer_link::accept_waiting()
{
    for (int count = 0; count < accepts_at_once; ++count) {
        tcp_socket accepted = this->listener.accept();
        const bool out_of_sockets = !accepted && (errno == EMFILE || errno == ENFILE);
        if (out_of_sockets) {
            // The connection stays ready: without a pause the thread would turn at full speed.
            this->context.ready.forget(this->listener.get());
            this->accepting_again = std::chrono::steady_clock::now() + accept_pause;
        }
        if (!accepted) {
            return;
        }
        if (!this->make_room()) {
            ++this->context.counters.connections_refused;
            continue;
        }
        this->incoming.emplace_back(
            this->context, std::move(accepted),
            [this](std::string_view payload) { return this->deliver(payload); });
    }
}

void tcp_peer_link::resume_accepting(monotonic_time now)
{
    if (this->accepting_again && *this->accepting_again <= now) {
        this->accepting_again.reset();
        static_cast<void>(this->context.ready.watch(this->listener.get(), true, false));
    }
}

// At the bound, the connection that has gone longest without proving the key makes room: strangers
// cannot keep routers out by holding connections.
bool tcp_peer_link::make_room()
{
    if (this->incoming.size() < this->context.settings.max_incoming) {
        return true;
    }
    for (auto place = this->incoming.begin(); place != this->incoming.end(); ++place) {
        if (!place->is_opened()) {
            ++this->context.counters.connections_refused;
            this->incoming.erase(place);
            return true;
        }
    }
    return false;
}

void tcp_peer_link::look_at_due()
{
    const monotonic_time now = std::chrono::steady_clock::now();
    this->resume_accepting(now);
    while (with_deadline* const due = this->context.deadlines.take_due(now)) {
        static_cast<link_connection*>(due)->look(now);
    }
}

void tcp_peer_link::clear_up()
{
    if (!std::exchange(this->context.has_closed_connections, false)) {
        return;
    }
    this->incoming.remove_if([](const incoming_connection& item) { return item.is_closed(); });
    for (auto place = this->outgoing.begin(); place != this->outgoing.end();) {
        place = place->second.is_spent() ? this->outgoing.erase(place) : std::next(place);
    }
}

bool tcp_peer_link::deliver(std::string_view payload)
{
    std::optional<peer_envelope> envelope = decode_envelope(payload);
    if (!envelope || envelope->from == this->context.settings.self) {
        return false; // no message, or an own one turned back
    }
    this->on_message(envelope->from, envelope->reply_to, std::move(envelope->message));
    return true;
}

} // namespace

std::unique_ptr<peer_link> make_peer_link(const peer_link_settings& settings,
                                          peer_link::handler on_message)
{
    if (settings.self.empty() || settings.fleet_key.empty()) {
        throw std::invalid_argument("a peer link needs an incarnation and a fleet key");
    }
    return std::make_unique<tcp_peer_link>(settings, std::move(on_message));
}

} // namespace pearhaven::adapters
