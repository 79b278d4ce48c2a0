#ifndef PEARHAVEN_TESTS_TEST_FLEET_HPP
#define PEARHAVEN_TESTS_TEST_FLEET_HPP

#include "chat_call.hpp"
#include "child_process.hpp"

#include "pearhaven/adapters/http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pearhaven::tests {

// A simulated engine, service or platform component, with the proxy before it, if any. `address` is
// the one to connect to (that of the proxy, if there is one).
struct running_standin {
    std::unique_ptr<child_process> process;
    std::string own_address;
    std::unique_ptr<child_process> proxy;
    std::string proxy_admin;
    std::string address;
};

struct running_router {
    std::unique_ptr<child_process> process;
    std::string zone;
    std::string callers;   // IP:port
    std::string operators; // IP:port
    std::string peers;     // IP:port
    std::vector<std::string> flags;
    std::unique_ptr<child_process> store_proxy; // between this router and the key-value service
    std::string store_proxy_admin;
    std::string store_url;
};

// Result of one command of pearhavenctl.
struct command_result {
    int status = -1;
    std::string output;
};

// The simulated platform, engines and plain services and the routers of one test, all real
// processes on 127.0.0.1 that end with the test.
class test_fleet {
public:
    struct plan {
        std::string name = "test"; // of the folder for the processes' logs
        int engines = 2;
        int plain_services = 0;
        int routers = 3;
        bool proxied_engines = false;
        bool proxied_stores =
            false; // a proxy for each router, so that each can be cut off separately
        std::vector<std::string> engine_flags = {"--step_us=2000", "--step_us_per_run=50"};
        std::vector<std::string> router_flags;
        std::vector<std::string> zones = {"osu", "tema", "legon"};
        std::uint32_t host_list_lag_ms = 0;
    };

    explicit test_fleet(const plan& wanted);
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    // Runs pearhavenctl against this fleet's store.
    command_result command(const std::vector<std::string>& words);

    // Applies the YAML text and waits until it is in force on all routers. Throws on failure.
    void apply(const std::string& yaml);

    // The initial configuration of every test; tests append to it or replace parts.
    static std::string base_configuration();

    void wait_until_ready(const running_router& router);

    // Waits until every router has all others as members in the state alive.
    void wait_until_joined();
    running_router start_router(const std::string& zone, std::vector<std::string> more_flags = {});

    // Starts a new process in place of this router, on the same caller port.
    void replace_router(running_router& router);

    running_standin start_engine(bool proxied, std::vector<std::string> more_flags = {});

    // Updates the host list to the current hosts, with the `leaving` ones marked so.
    void list_hosts(const std::vector<std::string>& leaving = {});

    static void behave(adapters::http_client& client, const std::string& address,
                       const nlohmann::json& behaviours);
    void behave(const std::string& address, const nlohmann::json& behaviours);
    nlohmann::json get(const std::string& address, const std::string& path);
    nlohmann::json status(const running_router& router);

    // Every run that the running engines and plain services have recorded.
    std::vector<nlohmann::json> runs();

    // One bill for each request, merged from all pages as operators see them.
    nlohmann::json bills();

    std::unique_ptr<chat_call> call(std::size_t router, const chat_request& request);
    chat_answer ask(std::size_t router, const chat_request& request);

    // Calls a plain service through a router.
    adapters::http_answer call_service(std::size_t router, const std::string& method,
                                       const std::string& path, const std::string& body,
                                       const header_map& headers);

    adapters::http_client& http() { return *this->client; }

    running_standin store;
    running_standin hosts;
    std::vector<running_standin> engines;
    std::vector<running_standin> services;
    std::vector<running_router> routers;

private:
    running_standin start_standin(const std::string& program, const std::vector<std::string>& flags,
                                  bool proxied);
    std::unique_ptr<child_process> spawn(const std::string& program,
                                         const std::vector<std::string>& flags);
    void launch(running_router& router);

    plan wanted;
    std::string folder;
    std::unique_ptr<adapters::http_client> client;
};

// Polls until the condition is true; false when `patience` expires first.
bool eventually(const std::function<bool()>& asked,
                std::chrono::seconds patience = std::chrono::seconds(30));

// Name of the host at the position among those of its kind.
std::string host_name(const std::string& kind, std::size_t position);

} // namespace pearhaven::tests

#endif
