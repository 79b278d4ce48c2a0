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

// Connections accepted before the other sockets get their turn.
constexpr int max_accepts_per_turn = 64;

// Pause before accepting again when the process has run out of file descriptors.
constexpr std::chrono::milliseconds accept_pause{100};

// Time that `stop` allows for sending queued messages.
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
    void run_once(std::optional<monotonic_time> until);
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    next_wait(std::optional<monotonic_time> until) const;
    [[nodiscard]] bool submit(submission& item);
    void take_submissions();
    void serve(const std::vector<ready_socket>& sockets);
    void accept_waiting();
    void resume_accepting(monotonic_time now);
    [[nodiscard]] bool make_room();
    void handle_due_deadlines();
    void remove_finished();
    [[nodiscard]] bool deliver(std::string_view payload);

    link_context context;
    handler on_message;
    tcp_socket listener;
    std::uint16_t listened_port;
    peer_address reply_to;
    std::map<peer_address, outgoing_connection> outgoing;
    std::list<incoming_connection> incoming; // oldest first
    std::optional<monotonic_time> accept_resume_time;
    std::vector<submission> taken_submissions;

    std::mutex mutex; // guards `submitted` and `stopping`
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
    if (!this->context.socket_poller.watch(this->listener.get(), true, false)) {
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
        this->context.socket_poller.wake();
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
    this->context.socket_poller.wake();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

void tcp_peer_link::run()
{
    bool stopped = false;
    while (!stopped) {
        this->run_once(std::nullopt);
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
    this->context.socket_poller.forget(this->listener.get());
    this->listener.close();
    this->accept_resume_time.reset();
    this->take_submissions();
    const auto is_draining = [](const auto& entry) { return entry.second.is_draining(); };
    while (std::any_of(this->outgoing.begin(), this->outgoing.end(), is_draining) &&
           std::chrono::steady_clock::now() < end) {
        this->run_once(end);
    }
}

void tcp_peer_link::run_once(std::optional<monotonic_time> until)
{
    this->serve(this->context.socket_poller.wait(this->next_wait(until)));
    this->take_submissions();
    this->handle_due_deadlines();
    this->remove_finished();
}

std::optional<std::chrono::nanoseconds>
tcp_peer_link::next_wait(std::optional<monotonic_time> until) const
{
    std::optional<monotonic_time> earliest = until;
    for (const auto& time : {this->context.deadlines.next(), this->accept_resume_time}) {
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
        this->taken_submissions.swap(this->submitted);
    }
    for (submission& item : this->taken_submissions) {
        const auto peer = this->outgoing.try_emplace(item.to, this->context, item.to).first;
        peer->second.enqueue(std::move(item.payload));
    }
    this->taken_submissions.clear();
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
    for (int count = 0; count < max_accepts_per_turn; ++count) {
        tcp_socket accepted = this->listener.accept();
        const bool out_of_sockets = !accepted && (errno == EMFILE || errno == ENFILE);
        if (out_of_sockets) {
            // The listener stays readable: without a pause the thread would spin.
            this->context.socket_poller.forget(this->listener.get());
            this->accept_resume_time = std::chrono::steady_clock::now() + accept_pause;
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
    if (this->accept_resume_time && *this->accept_resume_time <= now) {
        this->accept_resume_time.reset();
        static_cast<void>(this->context.socket_poller.watch(this->listener.get(), true, false));
    }
}

// At the limit, evicts the oldest connection that has not authenticated yet, so that
// unauthenticated clients cannot lock out routers by holding connections.
bool tcp_peer_link::make_room()
{
    if (this->incoming.size() < this->context.settings.max_incoming) {
        return true;
    }
    for (auto position = this->incoming.begin(); position != this->incoming.end(); ++position) {
        if (!position->is_opened()) {
            ++this->context.counters.connections_refused;
            this->incoming.erase(position);
            return true;
        }
    }
    return false;
}

void tcp_peer_link::handle_due_deadlines()
{
    const monotonic_time now = std::chrono::steady_clock::now();
    this->resume_accepting(now);
    while (with_deadline* const due = this->context.deadlines.take_due(now)) {
        static_cast<link_connection*>(due)->check_deadline(now);
    }
}

void tcp_peer_link::remove_finished()
{
    if (!std::exchange(this->context.has_closed_connections, false)) {
        return;
    }
    this->incoming.remove_if([](const incoming_connection& item) { return item.is_closed(); });
    for (auto position = this->outgoing.begin(); position != this->outgoing.end();) {
        position =
            position->second.is_unused() ? this->outgoing.erase(position) : std::next(position);
    }
}

bool tcp_peer_link::deliver(std::string_view payload)
{
    std::optional<peer_envelope> envelope = decode_envelope(payload);
    if (!envelope || envelope->from == this->context.settings.self) {
        return false; // not a message, or an own message reflected
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
