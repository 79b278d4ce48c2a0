// A router is stopped as planned (SIGTERM) while requesters read their streams slowly, behind small
// windows. The replicas end their streams within two seconds; the requesters would have all of it
// before `grace-s` is over. Counts the requests whose connection ends without a complete answer.
#include "small_site.hpp"

using namespace review;

namespace {

constexpr int requesters = 12;
constexpr int events = 165; // character-chat: at most 165 pieces of at most 330 bytes
constexpr int event_bytes = 150;
constexpr int window_bytes = 4096;
constexpr double slow_s = 6.2; // of reading slowly; grace-s is 8
constexpr int bytes_at_a_time = 100;

std::atomic<int> ended_by_replica{0};
std::mutex guard;
std::map<std::string, double> replica_ended; // seconds, by request

bool answer(replica& self, const message& request, connection& caller)
{
    const auto id = request.field("attempt-id");
    record.line("%s runs %s", self.id.c_str(), id.c_str());
    sleep_ms(100);
    if (!caller.send("HTTP/1.1 200 OK\r\n" + sealed_fields(request) +
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int number = 1; number <= events; ++number) {
        auto event = "id: " + std::to_string(number) + "\ndata: ";
        event += std::string(event_bytes - event.size() - 2, 'e') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!caller.send(size + event + "\r\n")) {
            record.line("%s: the router closes the connection of %s at event %d", self.id.c_str(),
                        id.c_str(), number);
            return false;
        }
        sleep_ms(10);
    }
    if (!caller.send("0\r\n\r\n")) {
        return false;
    }
    record.line("%s has ended %s", self.id.c_str(), id.c_str());
    const std::lock_guard<std::mutex> lock(guard);
    replica_ended[id] = seconds_now();
    return true;
}

std::atomic<int> whole{0};
std::atomic<int> cut{0};
std::atomic<int> others{0};
std::atomic<double> stopped_at{0.0}; // when SIGTERM was sent

void act_as_requester(int number, int front)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(made, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof window_bytes);
    const auto address = loopback(front);
    if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(made);
        return;
    }
    connection kept(made);
    const auto id = attempt_id(static_cast<unsigned>(number));
    kept.send(request_text("POST", "/chat/2f", id, 25000, std::string(1400, 'e'),
                           "Model: daka510000\r\nToken-Usage: 715,825\r\nPrefix-Hash: "
                           "5c1e07a2:172,91bd3f06:543\r\n"));
    const double began = seconds_now();
    std::string got;
    const auto is_whole = [&got] {
        return got.size() >= 7 && got.compare(got.size() - 7, 7, "\r\n0\r\n\r\n") == 0;
    };
    bool lost = false;
    while (!is_whole() && !lost && seconds_now() - began < 24.0) {
        char bytes[16384];
        const bool slow = has_trouble() && seconds_now() - began < slow_s;
        kept.set_timeout(1000);
        const auto count = recv(made, bytes, slow ? bytes_at_a_time : sizeof bytes, 0);
        lost = count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (count > 0) {
            got.append(bytes, static_cast<std::size_t>(count));
        }
        if (slow) {
            sleep_ms(500);
        }
    }
    const double took = seconds_now() - began;
    if (is_whole()) {
        ++whole;
        record.line("requester %d has its whole answer, %zu bytes, after %.2f s", number,
                    got.size(), took);
        return;
    }
    double ended = 0.0;
    {
        const std::lock_guard<std::mutex> lock(guard);
        ended = replica_ended.count(id) > 0 ? replica_ended[id] : 0.0;
    }
    // The rule's excuses: the replica broke off or was still at work, or it is later than 1 s after
    // grace-s.
    const bool counts = lost && ended > 0.0 && seconds_now() < stopped_at + 9.0;
    ++(counts ? cut : others);
    record.line("requester %d: the connection %s after %.2f s and %zu bytes of the answer; the "
                "replica's stream %s",
                number, lost ? "ends" : "is silent", took, got.size(),
                ended > 0.0 ? "had ended" : "had not ended");
}

int run()
{
    scratch_folder scratch;
    auto& registry = *new store; // its threads run until the process ends
    auto configuration = json::parse(small_configuration());
    auto reader = route_of("character-chat", "/chat/", "streaming", "adjud", 25000, 1500, 3);
    reader["resumable"] = true;
    reader["sticky"] = true;
    reader["gap-target-ms"] = 1200;
    configuration["routes"].push_back(reader);
    registry.put("op/config", configuration.dump());
    const std::vector<std::string> zones = {"osu", "tema"};
    for (int i = 0; i < 12; ++i) {
        (new replica(registry, "i-adjud-" + std::to_string(i + 1), "adjud",
                     zones[static_cast<std::size_t>(i) % zones.size()], 64, answer))
            ->enter();
    }
    std::vector<std::unique_ptr<router>> routers;
    for (const auto& zone : zones) {
        scratch.expect("edge-" + zone + "-1");
        routers.push_back(
            std::make_unique<router>("edge-" + zone + "-1", zone, registry.port(), scratch.path));
        routers.back()->start();
    }
    for (const auto& one : routers) {
        one->wait_ready();
    }
    sleep_ms(5000); // longer than contact-ms
    std::vector<std::thread> all;
    for (int number = 0; number < requesters; ++number) {
        all.emplace_back(act_as_requester, number, routers[0]->ports.front);
    }
    sleep_ms(300);
    record.line("SIGTERM to %s", routers[0]->name.c_str());
    const double stopped = seconds_now();
    stopped_at = stopped;
    routers[0]->signal(SIGTERM);
    std::thread platform([&] {
        while (routers[0]->is_alive() && seconds_now() - stopped < 8.0) {
            sleep_ms(10);
        }
        record.line("%s has %s %.2f s after SIGTERM", routers[0]->name.c_str(),
                    routers[0]->is_alive() ? "to be killed" : "ended", seconds_now() - stopped);
        routers[0]->kill();
    });
    for (auto& one : all) {
        one.join();
    }
    platform.join();
    char summary[300];
    std::snprintf(summary, sizeof summary,
                  "planned stop with %d streams: whole %d, connection ended without a complete "
                  "answer %d, others %d",
                  requesters, whole.load(), cut.load(), others.load());
    record.line("%s", summary);
    std::printf("%s\n", summary);
    if (whole + cut == 0) {
        return exit_not_run;
    }
    return cut > 0 ? exit_broken : exit_kept;
}

} // namespace

int main(int count, char** arguments)
{
    return main_of(count, arguments, run);
}
