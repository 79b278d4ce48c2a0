#include "http_exchange.hpp"
#include "poller.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace pearhaven::adapters {

namespace {

enum class command_kind { start, cancel, resume };

struct command {
    command_kind kind = command_kind::start;
    exchange_number exchange = 0;
    http_request request;
    boost::intrusive_ptr<http_listener> listener;
};

struct curl_multi_deleter {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

void initialize_curl_once()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialized != CURLE_OK) {
        throw std::system_error(std::make_error_code(std::errc::not_enough_memory), "libcurl");
    }
}

// Runs all exchanges on one thread. libcurl reports which sockets it waits for and when it must be
// called, and the poller waits for both. The cost of a wakeup depends on the number of ready
// sockets, not of open ones, as it would with curl_multi_poll.
class curl_http_client : public http_client {
public:
    explicit curl_http_client(const http_client_settings& client_settings);
    ~curl_http_client() override { this->shut_down(); }
    curl_http_client(const curl_http_client&) = delete;
    curl_http_client& operator=(const curl_http_client&) = delete;

    exchange_number start(http_request request,
                          boost::intrusive_ptr<http_listener> listener) override;
    void cancel(exchange_number exchange) override;
    void resume(exchange_number exchange) override;
    void stop() override { this->shut_down(); }

private:
    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* self, void* unused);
    static int on_timer(CURLM* multi, long wait_ms, void* self);

    void shut_down();
    [[nodiscard]] bool submit(command& item);
    void run();
    [[nodiscard]] std::optional<std::chrono::nanoseconds> next_wait() const;
    void process_commands();
    void begin(command& item);
    void resume_exchange(exchange_number exchange);
    void process_events(const std::vector<ready_socket>& sockets);
    void process_curl_timer();
    void collect_finished();
    void end_expired();
    void finish(http_exchange& exchange, http_error error);
    curl_easy take_handle();
    void recycle_handle(curl_easy handle);

    const http_client_settings settings;
    poller socket_poller;
    std::unique_ptr<CURLM, curl_multi_deleter> multi;
    std::optional<monotonic_time> curl_timer;
    deadline_index deadlines;
    std::unordered_map<exchange_number, std::unique_ptr<http_exchange>> exchanges;
    std::vector<curl_easy> spare_handles;
    std::vector<command> taken_commands;

    std::atomic<exchange_number> last_number{0};
    std::mutex mutex; // guards the two below
    std::vector<command> commands;
    bool stopping = false;
    std::mutex stop_mutex;
    std::thread worker;
};

curl_http_client::curl_http_client(const http_client_settings& client_settings)
    : settings(client_settings), multi(curl_multi_init())
{
    if (!this->multi) {
        throw std::system_error(std::make_error_code(std::errc::not_enough_memory), "libcurl");
    }
    curl_multi_setopt(this->multi.get(), CURLMOPT_SOCKETFUNCTION, &curl_http_client::on_socket);
    curl_multi_setopt(this->multi.get(), CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi.get(), CURLMOPT_TIMERFUNCTION, &curl_http_client::on_timer);
    curl_multi_setopt(this->multi.get(), CURLMOPT_TIMERDATA, this);
    this->worker = std::thread([this] { this->run(); });
}

exchange_number curl_http_client::start(http_request request,
                                        boost::intrusive_ptr<http_listener> listener)
{
    command item{command_kind::start, ++this->last_number, std::move(request), std::move(listener)};
    const exchange_number number = item.exchange;
    if (!this->submit(item)) {
        http_result result;
        result.error = http_error::client_stopped;
        item.listener->on_end(result);
    }
    return number;
}

void curl_http_client::cancel(exchange_number exchange)
{
    command item{command_kind::cancel, exchange, {}, {}};
    static_cast<void>(this->submit(item));
}

void curl_http_client::resume(exchange_number exchange)
{
    command item{command_kind::resume, exchange, {}, {}};
    static_cast<void>(this->submit(item));
}

bool curl_http_client::submit(command& item)
{
    bool first = false;
    {
        const std::lock_guard guard(this->mutex);
        if (this->stopping) {
            return false;
        }
        first = this->commands.empty();
        this->commands.push_back(std::move(item));
    }
    if (first) {
        this->socket_poller.wake();
    }
    return true;
}

void curl_http_client::shut_down()
{
    const std::lock_guard once(this->stop_mutex);
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->socket_poller.wake();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

void curl_http_client::run()
{
    bool stopped = false;
    while (!stopped) {
        this->process_events(this->socket_poller.wait(this->next_wait()));
        {
            const std::lock_guard guard(this->mutex);
            this->taken_commands.swap(this->commands);
            stopped = this->stopping;
        }
        this->process_commands();
        this->process_curl_timer();
        this->collect_finished();
        this->end_expired();
    }
    while (!this->exchanges.empty()) {
        this->finish(*this->exchanges.begin()->second, http_error::client_stopped);
    }
    this->spare_handles.clear();
    this->multi.reset();
}

std::optional<std::chrono::nanoseconds> curl_http_client::next_wait() const
{
    std::optional<monotonic_time> earliest = this->deadlines.next();
    if (this->curl_timer) {
        earliest = earliest ? std::min(*earliest, *this->curl_timer) : *this->curl_timer;
    }
    if (!earliest) {
        return std::nullopt;
    }
    return *earliest - std::chrono::steady_clock::now();
}

void curl_http_client::process_commands()
{
    for (command& item : this->taken_commands) {
        const auto found = this->exchanges.find(item.exchange);
        if (item.kind == command_kind::start) {
            this->begin(item);
        } else if (found != this->exchanges.end() && item.kind == command_kind::cancel) {
            this->finish(*found->second, http_error::cancelled);
        } else if (found != this->exchanges.end()) {
            this->resume_exchange(item.exchange);
        }
    }
    this->taken_commands.clear();
}

void curl_http_client::begin(command& item)
{
    auto owned = std::make_unique<http_exchange>(item.exchange, std::move(item.request),
                                                 std::move(item.listener), this->deadlines);
    http_exchange& exchange = *owned;
    this->exchanges.emplace(item.exchange, std::move(owned));

    // libcurl's limit includes connections in use: with a fixed value, many open streams would
    // leave no capacity for idle connections, and every short call would open a new one.
    const std::size_t bound = this->settings.pooled_connections + this->exchanges.size();
    curl_multi_setopt(this->multi.get(), CURLMOPT_MAXCONNECTS, static_cast<long>(bound));

    const bool prepared = exchange.prepare(this->take_handle(), this->settings);
    if (!prepared || curl_multi_add_handle(this->multi.get(), exchange.handle()) != CURLM_OK) {
        this->finish(exchange, http_error::invalid_request);
        return;
    }
    if (const auto limit = exchange.deadline()) {
        this->deadlines.arm(exchange, *limit);
    }
}

void curl_http_client::resume_exchange(exchange_number exchange)
{
    http_exchange& paused = *this->exchanges.at(exchange);
    if (!paused.resume()) {
        this->finish(paused, http_error::connection_lost);
    }
}

void curl_http_client::process_events(const std::vector<ready_socket>& sockets)
{
    for (const ready_socket& item : sockets) {
        const int events = (item.readable ? CURL_CSELECT_IN : 0) |
                           (item.writable ? CURL_CSELECT_OUT : 0) |
                           (item.failed ? CURL_CSELECT_ERR : 0);
        int running = 0;
        curl_multi_socket_action(this->multi.get(), item.socket, events, &running);
    }
}

void curl_http_client::process_curl_timer()
{
    if (!this->curl_timer || *this->curl_timer > std::chrono::steady_clock::now()) {
        return;
    }
    this->curl_timer.reset();
    int running = 0;
    curl_multi_socket_action(this->multi.get(), CURL_SOCKET_TIMEOUT, 0, &running);
}

void curl_http_client::collect_finished()
{
    int left = 0;
    while (const CURLMsg* const message = curl_multi_info_read(this->multi.get(), &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        void* context = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
        auto& exchange = *static_cast<http_exchange*>(context);
        this->finish(exchange, exchange.to_http_error(code));
    }
}

void curl_http_client::end_expired()
{
    const monotonic_time now = std::chrono::steady_clock::now();
    while (with_deadline* const due = this->deadlines.take_due(now)) {
        auto& exchange = static_cast<http_exchange&>(*due);
        const auto limit = exchange.deadline();
        if (limit && *limit <= now) {
            this->finish(exchange, exchange.timeout_error(now));
            continue;
        }
        exchange.check_delivery();
        if (const auto next = exchange.next_check()) {
            this->deadlines.arm(exchange, *next);
        }
    }
}

void curl_http_client::finish(http_exchange& exchange, http_error error)
{
    const auto found = this->exchanges.find(exchange.number());
    const std::unique_ptr<http_exchange> owned = std::move(found->second);
    this->exchanges.erase(found);
    this->deadlines.disarm(exchange);
    if (exchange.handle() != nullptr) {
        curl_multi_remove_handle(this->multi.get(), exchange.handle());
        this->recycle_handle(exchange.release_handle());
    }
    exchange.end(error);
}

curl_easy curl_http_client::take_handle()
{
    if (this->spare_handles.empty()) {
        return curl_easy(curl_easy_init());
    }
    curl_easy handle = std::move(this->spare_handles.back());
    this->spare_handles.pop_back();
    return handle;
}

void curl_http_client::recycle_handle(curl_easy handle)
{
    constexpr std::size_t max_spare_handles = 256;
    if (this->spare_handles.size() < max_spare_handles) {
        curl_easy_reset(handle.get());
        this->spare_handles.push_back(std::move(handle));
    }
}

int curl_http_client::on_socket(CURL* easy, curl_socket_t socket, int what, void* self,
                                void* /*unused*/)
{
    const auto& client = *static_cast<curl_http_client*>(self);
    void* context = nullptr; // null for libcurl's own handles
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &context);
    auto* const exchange = static_cast<http_exchange*>(context);
    if (what == CURL_POLL_REMOVE) {
        if (exchange != nullptr) {
            exchange->forget_socket(socket);
        }
        client.socket_poller.forget(socket);
        return 0;
    }
    if (exchange != nullptr) {
        exchange->set_socket(socket);
    }
    const bool readable = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    const bool writable = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    return client.socket_poller.watch(socket, readable, writable) ? 0 : -1;
}

int curl_http_client::on_timer(CURLM* /*multi*/, long wait_ms, void* self)
{
    auto& client = *static_cast<curl_http_client*>(self);
    client.curl_timer.reset();
    if (wait_ms >= 0) {
        client.curl_timer = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    }
    return 0;
}

} // namespace

std::unique_ptr<http_client> make_http_client(const http_client_settings& settings)
{
    initialize_curl_once();
    return std::make_unique<curl_http_client>(settings);
}

} // namespace pearhaven::adapters
