// Unsafe requests, and streams that may not be resumed, run at most once. Their routes have sizes:
// are they run again when the small model's answer has a low confidence?
#include "engine.hpp"

using namespace review;

int main(int count, char** words)
{
    const std::string folder = count > 1 ? words[1] : ".";
    const std::string work = count > 2 ? words[2] : "/tmp";
    record_file record(folder + "/record.txt");
    platform_store store;
    const std::vector<std::string> models = {"small", "large"};
    // Large models are sure of their answers. The small one is not, if there is trouble.
    const int confidence_of_small = has_trouble() ? 20 : 90;
    std::mutex guard;
    std::map<std::string, std::vector<std::string>> runs; // by request
    std::vector<std::unique_ptr<engine>> engines;
    for (int number = 1; number <= 4; ++number) {
        engines.push_back(std::make_unique<engine>(
            store, "llm", "i-" + std::to_string(number), 64, models, record,
            [&](connection& caller, const engine_run& run) {
                {
                    const std::lock_guard lock(guard);
                    runs[run.id].push_back(run.model + "@" + run.server);
                }
                // Its first token has been made: it runs.
                std::this_thread::sleep_for(milliseconds(30));
                const int confidence = run.model == "small" ? confidence_of_small : 90;
                caller.send(sealed_head(200, run, confidence) +
                            "Transfer-Encoding: chunked\r\n\r\n");
                for (std::uint64_t event = run.after + 1; event <= 5; ++event) {
                    if (!caller.send(chunk(stream_event(event, run.model)))) {
                        return false;
                    }
                    std::this_thread::sleep_for(milliseconds(10));
                }
                return caller.send("0\r\n\r\n");
            }));
    }
    json route = {{"name", "r-1"},       {"host", "ficu95.example"}, {"path-prefix", "/lohu930/"},
                  {"type", "streaming"}, {"timeout-ms", 10000},      {"target-latency-ms", 3000},
                  {"priority", 0},       {"sizes", models},          {"service", "llm"},
                  {"max-attempts", 3},   {"public", false},          {"sticky", true},
                  {"resumable", false},  {"gap-target-ms", 1200}};
    json unsafe = route;
    unsafe["name"] = "r-2";
    unsafe["path-prefix"] = "/puxa403/";
    unsafe["type"] = "unsafe";
    store.put("op/config",
              {{"version", 7},
               {"routes", json::array({route, unsafe})},
               {"services",
                json::array({{{"name", "llm"}, {"health-path", "/healthz"}, {"max-conns", 370}}})},
               {"limits", limits_of_site()},
               {"tenants", tenants_of_site()}});
    router_process router("edge-1", store.port(), work);
    const auto end = [&](int status) {
        router.kill_now();
        end_case(status);
    };
    if (!router.wait_ready(seconds(20))) {
        record.say("the router is not ready");
        end(2);
    }
    int served = 0;
    constexpr int requests = 50;
    for (int number = 1; number <= requests; ++number) {
        const bool is_unsafe = number % 2 == 0;
        const auto id = (is_unsafe ? "unsafe-" : "stream-") + std::to_string(number);
        const auto answer =
            call(router.callers_port(), id, is_unsafe ? "/puxa403/2f" : "/lohu930/2f",
                 "Model: *\r\nToken-Usage: 300,20\r\nPrefix-Hash: 5c1e07a2:100,e4402b7d:200\r\n",
                 seconds(10));
        served += answer.status == 200 && answer.complete ? 1 : 0;
        record.line("client " + id + ": " + answer.first_line);
        std::this_thread::sleep_for(milliseconds(100));
    }
    int twice = 0;
    int twice_unsafe = 0;
    for (const auto& [id, where] : runs) {
        twice += where.size() > 1 ? 1 : 0;
        twice_unsafe += where.size() > 1 && id.starts_with("unsafe") ? 1 : 0;
        if (where.size() > 1) {
            record.line("request " + id + " ran " + std::to_string(where.size()) +
                        " times: " + where[0] + ", " + where[1]);
        }
    }
    record.say(std::to_string(requests) + " requests that may run once, served " +
               std::to_string(served) + ", run more than once " + std::to_string(twice) +
               ", of these unsafe " + std::to_string(twice_unsafe));
    record.say(twice > 0 ? "BROKEN: a request that is not idempotent ran more than once" : "held");
    end(twice > 0 ? 1 : 0);
}
