#include "pearhaven/adapters/http_outbound.hpp"

#include "outbound_socket.hpp"

#include "pearhaven/adapters/log.hpp"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

namespace {

class outbound_client final : public http_outbound, public outbound_socket_owner {
public:
    outbound_client(event_loop& target_loop, const http_outbound_settings& settings)
        : events(target_loop), configured(settings)
    {}

    ~outbound_client() override { this->events.cancel(this->sweep); }
    outbound_client(const outbound_client&) = delete;
    outbound_client& operator=(const outbound_client&) = delete;

    outbound_number start(const outbound_target& target, outbound_request request,
                          outbound_listener_ptr listener) override;
    void cancel(outbound_number exchange) override;
    void pause(outbound_number exchange, bool paused) override;
    void forget(const std::string& pool) override;
    [[nodiscard]] outbound_counts counts() const override
    {
        auto all = this->counted;
        all.open = this->connections.size();
        all.held_bytes = this->held->value();
        return all;
    }
    [[nodiscard]] const boost::intrusive_ptr<byte_count>& held_bytes() const override
    {
        return this->held;
    }
    [[nodiscard]] std::size_t max_held_bytes() const override
    {
        return this->configured.max_held_bytes;
    }

    [[nodiscard]] event_loop& loop() override { return this->events; }
    [[nodiscard]] const http_outbound_settings& settings() const override
    {
        return this->configured;
    }
    void on_connected(bool connected) override
    {
        ++(connected ? this->counted.connected : this->counted.failed);
    }
    [[nodiscard]] transferred_bytes& bytes() override { return this->counted.bytes; }
    void on_exchange_end(outbound_number exchange) override { this->exchanges.erase(exchange); }
    void on_idle(outbound_socket& connection, decision::instant idle_until) override;
    void on_closed(outbound_socket& connection) override;
    void on_held() override;

private:
    struct idle_connection {
        std::uint64_t connection = 0;
        decision::instant until;
    };

    [[nodiscard]] outbound_socket* take_idle(const outbound_target& target);
    [[nodiscard]] outbound_socket& open(const outbound_target& target);
    [[nodiscard]] outbound_socket* greatest_holder();
    void destroy_closed();

    event_loop& events;
    http_outbound_settings configured;
    outbound_counts counted;
    boost::intrusive_ptr<byte_count> held{new byte_count}; // its owners may outlive the client
    std::uint64_t last_connection = 0;
    outbound_number last_exchange = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<outbound_socket>> connections;
    std::unordered_map<outbound_number, std::uint64_t> exchanges;
    std::unordered_map<std::string, std::deque<idle_connection>> idle;
    std::vector<std::unique_ptr<outbound_socket>> closed; // to be destroyed by `sweep`
    timer_number sweep = 0;
};

outbound_number outbound_client::start(const outbound_target& target, outbound_request request,
                                       outbound_listener_ptr listener)
{
    outbound_socket* connection = request.fresh_connection ? nullptr : this->take_idle(target);
    if (connection == nullptr) {
        connection = &this->open(target);
    } else {
        ++this->counted.reused;
    }
    const auto number = ++this->last_exchange;
    this->exchanges.emplace(number, connection->id());
    connection->start(number, request, std::move(listener));
    return number;
}

outbound_socket& outbound_client::open(const outbound_target& target)
{
    const auto id = ++this->last_connection;
    return *this->connections.emplace(id, std::make_unique<outbound_socket>(*this, id, target))
                .first->second;
}

// Takes the most recently used connection, so that the others can reach their idle timeout and
// close.
outbound_socket* outbound_client::take_idle(const outbound_target& target)
{
    const auto pool = this->idle.find(target.pool);
    if (pool == this->idle.end()) {
        return nullptr;
    }
    outbound_socket* found = nullptr;
    while (found == nullptr && !pool->second.empty()) {
        const auto last = pool->second.back();
        pool->second.pop_back();
        const auto entry = this->connections.find(last.connection);
        if (entry != this->connections.end() && this->events.now() < last.until) {
            found = entry->second.get();
        } else if (entry != this->connections.end()) {
            entry->second->cancel();
        }
    }
    if (pool->second.empty()) {
        this->idle.erase(pool);
    }
    return found;
}

void outbound_client::on_idle(outbound_socket& connection, decision::instant idle_until)
{
    auto& pool = this->idle[connection.target().pool];
    pool.push_back({connection.id(), idle_until});
    while (!pool.empty() && (pool.size() > this->configured.idle_per_pool ||
                             pool.front().until <= this->events.now())) {
        const auto oldest = pool.front();
        pool.pop_front();
        const auto entry = this->connections.find(oldest.connection);
        if (entry != this->connections.end()) {
            entry->second->cancel();
        }
    }
}

void outbound_client::on_closed(outbound_socket& connection)
{
    this->exchanges.erase(connection.exchange());
    const auto found = this->connections.find(connection.id());
    if (found == this->connections.end()) {
        return;
    }
    this->closed.push_back(std::move(found->second));
    this->connections.erase(found);
    if (this->sweep == 0) {
        this->sweep = this->events.soon([this] { this->destroy_closed(); });
    }
}

// Those that hold most come first, so that ordinary answers beside them are not affected.
void outbound_client::on_held()
{
    while (this->held->value() > this->configured.max_held_bytes) {
        auto* const holder = this->greatest_holder();
        if (holder == nullptr) {
            return;
        }
        const auto bytes = holder->held_bytes();
        const bool has_ended = holder->free_memory();
        this->counted.ended_for_memory += has_ended ? 1 : 0;
        log_warning("answers_hold_too_much", {{"endpoint", holder->target().pool},
                                              {"held_bytes", std::to_string(bytes)},
                                              {"ended", has_ended ? "true" : "false"}});
    }
}

// Null if no connection holds anything.
outbound_socket* outbound_client::greatest_holder()
{
    outbound_socket* greatest = nullptr;
    for (const auto& [number, connection] : this->connections) {
        const auto most = greatest == nullptr ? 0 : greatest->held_bytes();
        greatest = connection->held_bytes() > most ? connection.get() : greatest;
    }
    return greatest;
}

// Destroying a listener may close further connections, which the next sweep destroys.
void outbound_client::destroy_closed()
{
    this->sweep = 0;
    const auto dropped = std::exchange(this->closed, {});
}

void outbound_client::cancel(outbound_number exchange)
{
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end()) {
        return;
    }
    const auto connection = this->connections.find(found->second);
    this->exchanges.erase(found);
    if (connection != this->connections.end()) {
        connection->second->cancel();
    }
}

void outbound_client::pause(outbound_number exchange, bool paused)
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end()) {
        this->connections.at(found->second)->pause(paused);
    }
}

void outbound_client::forget(const std::string& pool)
{
    const auto found = this->idle.find(pool);
    if (found == this->idle.end()) {
        return;
    }
    const auto pool_connections = std::move(found->second);
    this->idle.erase(found);
    for (const auto& one : pool_connections) {
        const auto entry = this->connections.find(one.connection);
        if (entry != this->connections.end() && entry->second->exchange() == 0) {
            entry->second->cancel();
        }
    }
}

class answer_collector final : public outbound_listener {
public:
    answer_collector(std::size_t limit, std::function<void(const collected_answer&)> callback,
                     std::function<bool()> silence_callback,
                     std::function<void(std::size_t)> progress_callback)
        : max_body(limit), done(std::move(callback)), silence(std::move(silence_callback)),
          progress(std::move(progress_callback))
    {}

    head_verdict on_head(const http_response_head& head) override
    {
        this->collected.status = head.status;
        this->collected.fields = head.fields;
        return head_verdict::take;
    }

    void on_body(std::string_view piece) override
    {
        this->too_long = this->too_long || this->collected.body.size() + piece.size() > max_body;
        if (!this->too_long) {
            this->collected.body.append(piece);
        }
        if (this->progress) {
            this->progress(this->collected.body.size());
        }
    }

    void on_end() override
    {
        if (this->too_long) {
            this->on_failure({outbound_fault::malformed, true, false});
            return;
        }
        this->done(this->collected);
    }

    [[nodiscard]] bool on_silence() override
    {
        const bool has_head = this->collected.status != 0;
        return has_head || !this->silence || this->silence();
    }

    [[nodiscard]] std::size_t held_bytes() const override
    {
        return this->collected.body.capacity();
    }

    void on_failure(const outbound_failure& how) override
    {
        collected_answer none;
        none.failure = how;
        this->done(none);
    }

private:
    std::size_t max_body;
    std::function<void(const collected_answer&)> done;
    std::function<bool()> silence;             // may be empty
    std::function<void(std::size_t)> progress; // may be empty
    collected_answer collected;
    bool too_long = false;
};

} // namespace

std::unique_ptr<http_outbound> make_http_outbound(event_loop& loop,
                                                  const http_outbound_settings& settings)
{
    return std::make_unique<outbound_client>(loop, settings);
}

outbound_listener_ptr collect_answer(std::size_t max_body,
                                     std::function<void(const collected_answer&)> done,
                                     std::function<bool()> on_silence,
                                     std::function<void(std::size_t)> on_progress)
{
    return new answer_collector(max_body, std::move(done), std::move(on_silence),
                                std::move(on_progress));
}

} // namespace pearhaven::adapters
