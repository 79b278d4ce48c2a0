// Servers in trouble send bytes without end in the bodies of their streams. Do the routers stay
// within the memory of their machines?
#include "engine.hpp"

using namespace review;

namespace {

constexpr int servers = 12;
constexpr int servers_in_trouble = 6; // share .5
constexpr int streams_per_router = 340;
constexpr int episodes = 3;
constexpr int memory_mb = 160;

} // namespace

int main(int count, char** words)
{
    const std::string folder = count > 1 ? words[1] : ".";
    const std::string work = count > 2 ? words[2] : "/tmp";
    record_file record(folder + "/record.txt");
    platform_store store;
    std::atomic<bool> trouble{false};
    std::atomic<long> longest{0}; // bytes that a server could send without an end of the event
    std::vector<std::unique_ptr<engine>> engines;
    for (int number = 1; number <= servers; ++number) {
        const bool may_fail = number <= servers_in_trouble;
        engines.push_back(std::make_unique<engine>(
            store, "llm", "i-" + std::to_string(number), 64, std::vector<std::string>{"m"}, record,
            [&, may_fail](connection& caller, const engine_run& run) {
                caller.set_timeout(seconds(20));
                caller.send(sealed_head(200, run) + "Transfer-Encoding: chunked\r\n\r\n");
                for (std::uint64_t event = run.after + 1; event <= 60; ++event) {
                    if (may_fail && trouble && has_trouble()) {
                        const auto piece = chunk(std::string(16384, 'x'));
                        long sent = 0;
                        while (caller.send(piece)) {
                            sent += 16384;
                            std::this_thread::sleep_for(milliseconds(20));
                        }
                        record.line("server " + run.server + " was cut off in " + run.id +
                                    " after " + std::to_string(sent) + " bytes without an end");
                        longest = std::max(longest.load(), sent);
                        return false;
                    }
                    if (!caller.send(chunk(stream_event(event, "token")))) {
                        return false;
                    }
                    std::this_thread::sleep_for(milliseconds(100));
                }
                return caller.send("0\r\n\r\n");
            }));
    }
    store.put("op/config",
              {{"version", 7},
               {"routes", json::array({{{"name", "r-1"},
                                        {"host", "ficu95.example"},
                                        {"path-prefix", "/lohu930/"},
                                        {"type", "streaming"},
                                        {"timeout-ms", 25000},
                                        {"target-latency-ms", 5000},
                                        {"priority", 2},
                                        {"service", "llm"},
                                        {"max-attempts", 3},
                                        {"public", false},
                                        {"sticky", true},
                                        {"resumable", true},
                                        {"gap-target-ms", 1200}}})},
               {"services",
                json::array({{{"name", "llm"}, {"health-path", "/healthz"}, {"max-conns", 370}}})},
               {"limits", limits_of_site()},
               {"tenants", tenants_of_site()}});
    std::vector<std::unique_ptr<router_process>> routers;
    for (const char* const name : {"edge-1", "edge-2"}) {
        routers.push_back(std::make_unique<router_process>(name, store.port(), work, memory_mb));
    }
    const auto end = [&](int status) {
        for (auto& router : routers) {
            router->kill_now();
        }
        end_case(status);
    };
    std::atomic<int> next{0};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::map<std::string, int> kills;
    for (int episode = 1; episode <= episodes; ++episode) {
        for (const auto& router : routers) {
            if (!router->wait_ready(seconds(20))) {
                record.say("a router is not ready");
                end(2);
            }
        }
        std::vector<std::thread> clients;
        for (const auto& router : routers) {
            for (int number = 0; number < streams_per_router; ++number) {
                clients.emplace_back([&, port = router->callers_port()] {
                    const auto id = "stream-" + std::to_string(++next);
                    const auto part = std::to_string(next.load());
                    const auto answer =
                        call(port, id, "/lohu930/2f",
                             "Model: m\r\nToken-Usage: 300,180\r\nPrefix-Hash: 5c1e07a2:100," +
                                 part + ":200\r\n",
                             seconds(25));
                    const bool is_served = answer.status == 200 && answer.complete;
                    ++(is_served ? served : failed);
                    record.line("client " + id + ": " + answer.first_line +
                                (answer.complete ? " complete" : " broken off"));
                });
                std::this_thread::sleep_for(milliseconds(2));
            }
        }
        std::this_thread::sleep_for(seconds(1));
        trouble = true;
        const auto start = clock_type::now();
        std::map<std::string, bool> killed;
        while (seconds_since(start) < 8.0) {
            for (const auto& router : routers) {
                int status = 0;
                if (!killed[router->name()] && !router->is_running(status)) {
                    killed[router->name()] = true;
                    ++kills[router->name()];
                    record.say(router->name() + " ended by itself, status " +
                               std::to_string(status));
                }
                // The platform kills a process that exceeds its memory.
                if (!killed[router->name()] &&
                    router->memory() > router->memory_limit_mb() * 1024L) {
                    record.say(router->name() + " holds " + std::to_string(router->memory()) +
                               " kB of " + std::to_string(router->memory_limit_mb()) +
                               " MB: the platform kills it, episode " + std::to_string(episode));
                    router->kill_now();
                    killed[router->name()] = true;
                    ++kills[router->name()];
                }
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        for (const auto& router : routers) {
            record.say(router->name() +
                       (killed[router->name()]
                            ? " was killed"
                            : ": peak " + std::to_string(router->memory("VmHWM:")) + " kB") +
                       " in episode " + std::to_string(episode));
        }
        trouble = false;
        for (auto& client : clients) {
            client.join();
        }
        for (const auto& router : routers) {
            if (killed[router->name()]) {
                router->start();
            }
        }
        std::this_thread::sleep_for(seconds(1));
    }
    record.say("streams served " + std::to_string(served) + ", failed " + std::to_string(failed) +
               "; longest run of bytes without an end: " + std::to_string(longest));
    const bool is_broken = kills["edge-1"] >= episodes && kills["edge-2"] >= episodes;
    record.say(is_broken ? "BROKEN: both routers ended three times, for their memory" : "held");
    end(is_broken ? 1 : 0);
}
