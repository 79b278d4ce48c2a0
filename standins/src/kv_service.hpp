#ifndef PEARHAVEN_STANDINS_KV_SERVICE_HPP
#define PEARHAVEN_STANDINS_KV_SERVICE_HPP

#include "behaviours.hpp"
#include "hold.hpp"
#include "kv_state.hpp"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace pearhaven::standins {

// Faults that can be injected into the key-value service.
struct kv_behaviours {
    bool outage = false;
    bool silent = false;
    std::uint64_t delay_ms = 0;
    std::uint64_t reply_delay_ms = 0;
    std::uint64_t lose_reply_next = 0;
    std::string lose_reply_prefix;
};

behaviour_table<kv_behaviours> kv_behaviour_table();

enum class kv_call { get, range, cas, erase, watch, lease, renew, revoke };
constexpr std::size_t kv_call_kinds = 8;

// Serves the key-value service over HTTP.
class kv_service {
public:
    explicit kv_service(unsigned threads);
    ~kv_service();

    kv_service(const kv_service&) = delete;
    kv_service& operator=(const kv_service&) = delete;

    void add_routes(web_server& server);

private:
    using action = void (kv_service::*)(web_exchange&);

    void add_call(web_server& server, const char* method, const char* path, kv_call kind,
                  action answer);
    void run_call(web_exchange& exchange, kv_call kind, action answer);
    void get(web_exchange& exchange);
    void range(web_exchange& exchange);
    void cas(web_exchange& exchange);
    void erase(web_exchange& exchange);
    void watch(web_exchange& exchange);
    void grant(web_exchange& exchange);
    void renew(web_exchange& exchange);
    void revoke(web_exchange& exchange);
    void stats(web_exchange& exchange);

    void answer_write(web_exchange& exchange, const std::string& key, const kv_result& result);
    bool loses_reply(const std::string& key);
    void delay_reply() const;
    void expire_leases();

    behaviour_control<kv_behaviours> control;
    call_holder holder;

    std::mutex mutex; // guards everything below
    std::condition_variable changed;
    kv_state state;
    std::array<std::uint64_t, kv_call_kinds> calls{};
    std::uint64_t refused = 0;
    std::uint64_t lost_replies = 0;
    std::uint64_t waiting_watches = 0;
    std::uint64_t peak_waiting_watches = 0;
    std::uint64_t running = 0;
    std::uint64_t peak_running = 0;
    bool stopping = false;
    std::thread expirer; // last: uses the members above
};

} // namespace pearhaven::standins

#endif
