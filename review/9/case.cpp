// The operator takes the last tenant's key away, with the tenant. Do requests run that have no key,
// or one that no configuration ever held?
#include "engine.hpp"

using namespace review;

namespace {

struct requester {
    std::string name;
    std::string key; // empty: none
    int sent = 0;
    int answered = 0; // with 200
};

message send_with_key(std::uint16_t port, const std::string& id, const std::string& key)
{
    connection to(connect_to(port));
    if (!to.is_open()) {
        return {};
    }
    to.set_timeout(seconds(3));
    to.send("GET /cufi504/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id +
            "\r\nDeadline-Ms: 3000\r\n" +
            (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") + "\r\n");
    return to.read_message();
}

} // namespace

int main(int count, char** words)
{
    const std::string folder = count > 1 ? words[1] : ".";
    const std::string work = count > 2 ? words[2] : "/tmp";
    record_file record(folder + "/record.txt");
    platform_store store;
    std::mutex guard;
    std::vector<std::string> runs;
    engine service(store, "app", "i-1", 6, {}, record,
                   [&](connection& caller, const engine_run& run) {
                       {
                           const std::lock_guard lock(guard);
                           runs.push_back(run.id);
                       }
                       std::this_thread::sleep_for(milliseconds(15));
                       return caller.send(sealed_head(200, run) + "Content-Length: 800\r\n\r\n" +
                                          std::string(800, 'a'));
                   });
    const json first_tenant = {
        {"name", "hule930"}, {"api-keys", json::array({"n2ctnfzs989anu6wsjnb"})}, {"priority", 1}};
    const json other_tenant = {
        {"name", "dasu112"}, {"api-keys", json::array({"anfqasnmgkcuyj8pjbvk"})}, {"priority", 1}};
    const auto configure = [&](int version, const json& tenants) {
        store.put(
            "op/config",
            {{"version", version},
             {"routes", json::array({{{"name", "r-1"},
                                      {"host", "ficu95.example"},
                                      {"path-prefix", "/cufi504/"},
                                      {"type", "safe"},
                                      {"timeout-ms", 3000},
                                      {"target-latency-ms", 300},
                                      {"priority", 2},
                                      {"service", "app"},
                                      {"max-attempts", 3},
                                      {"public", false}}})},
             {"services",
              json::array({{{"name", "app"}, {"health-path", "/healthz"}, {"max-conns", 110}}})},
             {"limits", limits_of_site()},
             {"tenants", tenants}});
        record.line("the operator confirms version " + std::to_string(version) + ", tenants " +
                    tenants.dump());
    };
    configure(7, json::array({first_tenant}));
    router_process router("edge-1", store.port(), work);
    const auto end = [&](int status) {
        router.kill_now();
        end_case(status);
    };
    if (!router.wait_ready(seconds(20))) {
        record.say("the router is not ready");
        end(2);
    }
    std::vector<requester> requesters = {{"with the tenant's key", "n2ctnfzs989anu6wsjnb"},
                                         {"with a key that never was", "zzzzzzzzzzzzzzzzzzzz"},
                                         {"without a key", ""}};
    int next = 0;
    const auto send_round = [&] {
        for (auto& one : requesters) {
            const auto id = "request-" + std::to_string(++next);
            const auto answer = send_with_key(router.callers_port(), id, one.key);
            ++one.sent;
            one.answered += answer.status == 200 ? 1 : 0;
            record.line("requester " + one.name + ", " + id + ": " + answer.first_line);
        }
    };
    const auto report = [&](const std::string& when) {
        for (auto& one : requesters) {
            record.say(when + ", " + one.name + ": " + std::to_string(one.answered) + " of " +
                       std::to_string(one.sent) + " were run and answered");
        }
    };
    for (int round = 0; round < 20; ++round) {
        send_round();
    }
    report("before");
    if (requesters[0].answered != 20 || requesters[1].answered + requesters[2].answered != 0) {
        record.say("the keys do not count from the start");
        end(2);
    }
    // Without trouble another tenant stays.
    configure(8, has_trouble() ? json::array() : json::array({other_tenant}));
    std::this_thread::sleep_for(seconds(5)); // config-apply-ms is 2,000, contact-ms 3,000
    for (auto& one : requesters) {
        one.sent = 0;
        one.answered = 0;
    }
    for (int round = 0; round < 50; ++round) {
        send_round();
        std::this_thread::sleep_for(milliseconds(100));
    }
    report("afterwards");
    const bool is_broken = requesters[1].answered > 0;
    record.say(is_broken ? "BROKEN: requests ran whose key no configuration ever held" : "held");
    end(is_broken ? 1 : 0);
}
