// A model server whose streams have neither a length nor chunks is killed in the middle of them. Do
// the streams look complete to their requesters?
#include "engine.hpp"

#include <cstring>

using namespace review;

namespace {

constexpr int servers = 6;
constexpr std::uint64_t events = 17;

// A server in a process of its own, which reports its port and runs to the parent over a pipe.
pid_t start_server(int number, int& reports)
{
    int ends[2];
    if (pipe(ends) != 0) {
        return -1;
    }
    const pid_t child = fork();
    if (child != 0) {
        close(ends[1]);
        reports = ends[0];
        return child;
    }
    close(ends[0]);
    const auto id = "i-" + std::to_string(number);
    http_server server([&](connection& caller, const message& request) {
        const auto after = request.field("last-event-id");
        const engine_run run{id, request.field("attempt-id"), request.field("model"),
                             after.empty() ? 0 : std::strtoull(after.c_str(), nullptr, 10)};
        if (request.field("expect-instance") != id) {
            return caller.send(plain_answer(421, "",
                                            "Not-Executed: 1\r\nAttempt-Id: " + run.id +
                                                "\r\nInstance-Id: " + id + "\r\n"));
        }
        dprintf(ends[1], "server %s runs %s after event %llu\n", id.c_str(), run.id.c_str(),
                static_cast<unsigned long long>(run.after));
        caller.send(sealed_head(200, run) + "Connection: close\r\n\r\n");
        for (std::uint64_t event = run.after + 1; event <= events; ++event) {
            if (!caller.send(stream_event(event, "token"))) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        dprintf(ends[1], "server %s has made all events of %s\n", id.c_str(), run.id.c_str());
        return false; // the answer ends with its connection
    });
    dprintf(ends[1], "%u\n", static_cast<unsigned>(server.port()));
    for (;;) {
        pause();
    }
}

} // namespace

int main(int count, char** words)
{
    const std::string folder = count > 1 ? words[1] : ".";
    const std::string work = count > 2 ? words[2] : "/tmp";
    std::vector<pid_t> children;
    std::vector<FILE*> reports;
    std::vector<int> ports;
    for (int number = 1; number <= servers; ++number) {
        int pipe_end = -1;
        children.push_back(start_server(number, pipe_end));
        reports.push_back(fdopen(pipe_end, "r"));
        char line[32] = "";
        ports.push_back(std::fgets(line, sizeof line, reports.back()) == nullptr ? 0
                                                                                 : std::atoi(line));
    }
    record_file record(folder + "/record.txt");
    std::vector<std::thread> readers;
    for (auto* const from : reports) {
        readers.emplace_back([&record, from] {
            char line[200];
            while (std::fgets(line, sizeof line, from) != nullptr) {
                record.line(std::string(line, std::strcspn(line, "\n")));
            }
        });
    }
    platform_store store;
    const auto register_server = [&](int index) {
        store.put(
            "servers/i-" + std::to_string(index + 1),
            endpoint_entry(
                "llm", "127.0.0.1:" + std::to_string(ports[static_cast<std::size_t>(index)]), 64));
    };
    for (int index = 0; index < servers; ++index) {
        register_server(index);
    }
    store.put("op/config",
              {{"version", 7},
               {"routes", json::array({{{"name", "r-1"},
                                        {"host", "ficu95.example"},
                                        {"path-prefix", "/lohu930/"},
                                        {"type", "streaming"},
                                        {"timeout-ms", 10000},
                                        {"target-latency-ms", 3000},
                                        {"priority", 0},
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
    router_process router("edge-1", store.port(), work);
    const auto end = [&](int status) {
        router.kill_now();
        for (const auto child : children) {
            kill(child, SIGKILL);
            waitpid(child, nullptr, 0);
        }
        end_case(status);
    };
    if (!router.wait_ready(seconds(20))) {
        record.say("the router is not ready");
        end(2);
    }
    std::atomic<int> whole{0};
    std::atomic<int> cut{0}; // look complete and are not
    std::atomic<int> broken_off{0};
    std::vector<std::thread> clients;
    for (int number = 1; number <= 40; ++number) {
        clients.emplace_back([&, number] {
            const auto id = "stream-" + std::to_string(number);
            const auto answer =
                call(router.callers_port(), id, "/lohu930/2f",
                     "Model: m\r\nToken-Usage: 300,51\r\nPrefix-Hash: 5c1e07a2:100," +
                         std::to_string(number) + ":200\r\n",
                     seconds(10));
            std::uint64_t received = 0;
            for (auto at = answer.body.find("id: "); at != std::string::npos;
                 at = answer.body.find("id: ", at + 1)) {
                ++received;
            }
            const bool looks_complete = answer.status == 200 && answer.complete;
            ++(!looks_complete ? broken_off : received == events ? whole : cut);
            record.line("client " + id + ": " + answer.first_line + ", " +
                        std::to_string(received) + " of " + std::to_string(events) + " events, " +
                        (answer.complete ? "ended as complete" : "broken off"));
        });
        std::this_thread::sleep_for(milliseconds(50));
    }
    if (has_trouble()) {
        kill(children[0], SIGKILL);
        record.line("server i-1 crashes");
    }
    for (auto& client : clients) {
        client.join();
    }
    record.say("streams whole " + std::to_string(whole) + ", broken off " +
               std::to_string(broken_off) + ", ended as complete before their last event " +
               std::to_string(cut));
    record.say(cut > 0 ? "BROKEN: a stream ended as complete before its last piece" : "held");
    end(cut > 0 ? 1 : 0);
}
