#ifndef PEARHAVEN_STANDINS_TCP_PROXY_HPP
#define PEARHAVEN_STANDINS_TCP_PROXY_HPP

#include "behaviours.hpp"
#include "proxied_connection.hpp"
#include "socket_handle.hpp"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pearhaven::standins {

// Faults that can be injected into the proxy.
struct proxy_behaviours {
    bool cut = false;
    std::string one_way;
    bool silence_open = false;
    bool silence = false;
    std::uint64_t delay_ms = 0;
    std::uint64_t truncate_to_client_after = 0;
    std::uint64_t rate_bytes_per_s = 0;
    bool clear = false;
};

behaviour_table<proxy_behaviours> proxy_behaviour_table();

struct proxy_counts {
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t silenced = 0;
    std::uint64_t cut = 0;
    std::uint64_t bytes_to_server = 0;
    std::uint64_t bytes_to_client = 0;
};

// Forwards TCP connections to one address and injects faults. One thread moves all bytes.
class tcp_proxy {
public:
    // Starts listening. Throws std::system_error or std::invalid_argument for a bad address.
    tcp_proxy(const std::string& listen, std::string to);
    ~tcp_proxy();

    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    [[nodiscard]] const std::string& address() const { return this->listen_address; }

    // Returns once the behaviours are applied. `silence_open` acts once per call.
    void apply(const proxy_behaviours& wanted);

    proxy_counts counts();

private:
    using connection_list = boost::intrusive::list<proxied_connection>;
    using timer_set = std::set<std::pair<decision::instant, proxied_connection*>>;

    // Runs the action on the loop's thread and waits for it.
    void run_on_loop(const std::function<void()>& action);

    void loop();
    void run_actions();
    void delete_closed();
    void handle_event(void* tag, std::uint32_t events, decision::instant now);
    void accept_all(decision::instant now);
    void flush_due(decision::instant now);
    void update_or_remove(proxied_connection& connection, bool is_active, decision::instant now);
    void set_timer(proxied_connection& connection, std::optional<decision::instant> when);
    void remove(proxied_connection& connection);
    void change_behaviours(const proxy_behaviours& wanted);
    void close_everything();
    void open_listener();
    void close_listener();
    [[nodiscard]] int wait_ms(decision::instant now) const;

    const std::string to_address;
    socket_handle reservation; // reserves the port while the proxy refuses connections
    std::string listen_address;
    socket_handle epoll_set;
    socket_handle wake_up;
    proxy_loop shared;

    // Used only on the loop's thread.
    socket_handle listener;
    proxy_behaviours behaviours;
    proxy_faults faults;
    connection_list connections;
    std::vector<proxied_connection*> closed_connections; // pending events may refer to them
    timer_set timers;
    proxy_counts totals;

    std::mutex mutex; // guards the two below
    std::vector<std::function<void()>> actions;
    bool stopping = false;
    std::thread thread; // last: uses the members above
};

} // namespace pearhaven::standins

#endif
