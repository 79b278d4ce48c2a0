#include "test_fleet.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace pearhaven::tests {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds start_patience{30};
constexpr std::size_t largest_answer = 64U << 20U;
const std::string operator_key = "operators-key-of-the-tests";

const child_process::environment secrets = {
    {"PEARHAVEND_FLEET_KEY", "fleet-key-of-the-tests-0123456789"},
    {"PEARHAVEND_OPERATOR_KEY", operator_key},
    {"PEARHAVENCTL_OPERATOR_KEY", operator_key}};

std::string program_path(const std::string& program)
{
    const std::string below = program.rfind("standin_", 0) == 0 ? "/standins/" : "/";
    return std::string(PEARHAVEN_PROGRAMS) + below + program;
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

adapters::http_request to_request(const std::string& method, const std::string& url,
                                  const std::string& body)
{
    adapters::http_request request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.total_timeout = std::chrono::seconds(30);
    return request;
}

} // namespace

bool eventually(const std::function<bool()>& asked, std::chrono::seconds patience)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!asked()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string host_name(const std::string& kind, std::size_t position)
{
    return kind + "-" + std::to_string(position + 1);
}

test_fleet::test_fleet(const plan& wanted_plan)
    : wanted(wanted_plan), folder(std::string(PEARHAVEN_PROGRAMS) + "/logs/" + wanted_plan.name +
                                  "-" + std::to_string(getpid())),
      client(adapters::make_http_client({}))
{
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
    this->store = this->start_standin("standin_kv", {}, false);
    this->hosts = this->start_standin(
        "standin_hosts", {"--lag_ms=" + std::to_string(this->wanted.host_list_lag_ms)}, false);
    for (int i = 0; i < this->wanted.engines; ++i) {
        this->engines.push_back(this->start_engine(this->wanted.proxied_engines));
    }
    for (int i = 0; i < this->wanted.plain_services; ++i) {
        this->services.push_back(
            this->start_standin("standin_plain", {"--service=booking"}, false));
    }
    this->list_hosts();
    for (int i = 0; i < this->wanted.routers; ++i) {
        const auto& zone =
            this->wanted.zones[static_cast<std::size_t>(i) % this->wanted.zones.size()];
        this->routers.push_back(this->start_router(zone));
    }
    this->apply(base_configuration());
    for (const auto& router : this->routers) {
        this->wait_until_ready(router);
    }
    this->wait_until_joined();
}

test_fleet::~test_fleet()
{
    this->client->stop();
    // The logs of a failed test are kept. The process id in the folder's name prevents concurrent
    // runs of one test from overwriting each other's files.
    if (!UtestShell::getCurrent()->hasFailed()) {
        std::filesystem::remove_all(this->folder);
    }
}

std::unique_ptr<child_process> test_fleet::spawn(const std::string& program,
                                                 const std::vector<std::string>& flags)
{
    std::vector<std::string> arguments = {program_path(program)};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return std::make_unique<child_process>(arguments, secrets,
                                           this->folder + "/" + program + ".log");
}

running_standin test_fleet::start_standin(const std::string& program,
                                          const std::vector<std::string>& flags, bool proxied)
{
    // Fewer threads than the default, since several fleets run in parallel in CI.
    std::vector<std::string> all = {"--listen=127.0.0.1:0", "--threads=128"};
    all.insert(all.end(), flags.begin(), flags.end());
    running_standin started;
    started.process = this->spawn(program, all);
    started.own_address = started.process->wait_for_line("listening on ", start_patience);
    started.address = started.own_address;
    if (proxied) {
        started.proxy =
            this->spawn("standin_proxy", {"--listen=127.0.0.1:0", "--to=" + started.own_address});
        started.address = started.proxy->wait_for_line("listening on ", start_patience);
        started.proxy_admin = started.proxy->wait_for_line("admin on ", start_patience);
    }
    return started;
}

running_standin test_fleet::start_engine(bool proxied, std::vector<std::string> more_flags)
{
    auto flags = this->wanted.engine_flags;
    flags.emplace_back("--versions=adjudicator-1,adjudicator-2");
    flags.insert(flags.end(), more_flags.begin(), more_flags.end());
    return this->start_standin("standin_engine", flags, proxied);
}

void test_fleet::list_hosts(const std::vector<std::string>& leaving)
{
    auto list = json::array();
    const auto add = [&](const std::vector<running_standin>& started, const std::string& kind) {
        for (std::size_t i = 0; i < started.size(); ++i) {
            const auto name = host_name(kind, i);
            const bool leaves = std::find(leaving.begin(), leaving.end(), name) != leaving.end();
            list.push_back({{"name", name},
                            {"address", started[i].address},
                            {"zone", this->wanted.zones[i % this->wanted.zones.size()]},
                            {"incarnation", 1},
                            {"state", leaves ? "leaving" : "live"},
                            {"labels", {{"role", kind}}}});
        }
    };
    add(this->engines, "engine");
    add(this->services, "booking");
    const auto answer = adapters::fetch_and_wait(
        *this->client,
        to_request("POST", "http://" + this->hosts.own_address + "/control/set", list.dump()),
        largest_answer);
    if (answer.result.status != 200) {
        throw std::runtime_error("the host list was refused: " + answer.body);
    }
}

running_router test_fleet::start_router(const std::string& zone,
                                        std::vector<std::string> more_flags)
{
    running_router router;
    router.zone = zone;
    router.store_url = "http://" + this->store.address;
    if (this->wanted.proxied_stores) {
        router.store_proxy = this->spawn(
            "standin_proxy", {"--listen=127.0.0.1:0", "--to=" + this->store.own_address});
        router.store_url =
            "http://" + router.store_proxy->wait_for_line("listening on ", start_patience);
        router.store_proxy_admin = router.store_proxy->wait_for_line("admin on ", start_patience);
    }
    router.flags = this->wanted.router_flags;
    router.flags.insert(router.flags.end(), more_flags.begin(), more_flags.end());
    router.callers = "127.0.0.1:0";
    this->launch(router);
    return router;
}

void test_fleet::launch(running_router& router)
{
    std::vector<std::string> flags = {"--zone=" + router.zone,
                                      "--key_value_url=" + router.store_url,
                                      "--host_list_url=http://" + this->hosts.address,
                                      "--caller_port=" + port_of(router.callers),
                                      "--caller_threads=64",
                                      "--host_list_period_ms=200"};
    flags.insert(flags.end(), router.flags.begin(), router.flags.end());
    router.process = this->spawn("pearhavend", flags);
    const auto address = [&router](const std::string& line) {
        return "127.0.0.1:" + router.process->wait_for_line(line, start_patience);
    };
    router.callers = address("callers on ");
    router.operators = address("operators on ");
    router.peers = address("peers on ");
}

void test_fleet::replace_router(running_router& router)
{
    router.process.reset();
    this->launch(router);
}

void test_fleet::wait_until_ready(const running_router& router)
{
    const auto is_ready = [&] {
        const auto answer = adapters::fetch_and_wait(
            *this->client, to_request("GET", "http://" + router.operators + "/readyz", ""),
            largest_answer);
        return answer.result.status == 200;
    };
    if (!eventually(is_ready, start_patience)) {
        throw std::runtime_error("router " + router.callers + " is not ready");
    }
}

void test_fleet::wait_until_joined()
{
    const auto all_joined = [this] {
        return std::all_of(this->routers.begin(), this->routers.end(), [this](const auto& router) {
            const auto members = this->status(router)["members"];
            const auto alive = std::count_if(members.begin(), members.end(), [](const json& one) {
                return one["state"] == "alive";
            });
            return static_cast<std::size_t>(alive) + 1 == this->routers.size();
        });
    };
    if (!eventually(all_joined, start_patience)) {
        throw std::runtime_error("the routers have not joined each other");
    }
}

command_result test_fleet::command(const std::vector<std::string>& words)
{
    std::vector<std::string> flags = words;
    flags.push_back("--kv=http://" + this->store.own_address);
    const auto process = this->spawn("pearhavenctl", flags);
    command_result result;
    result.output = process->read_output();
    result.status = process->wait(std::chrono::seconds(60));
    return result;
}

void test_fleet::apply(const std::string& yaml)
{
    const auto file = this->folder + "/configuration.yaml";
    std::ofstream(file) << yaml;
    const auto result = this->command({"apply", "-f", file, "--wait"});
    if (result.status != 0) {
        throw std::runtime_error("apply gave " + std::to_string(result.status) + ": " +
                                 result.output);
    }
}

// The digests are those of `key-of-deposits` and, for the second team, `key-of-agents`.
std::string test_fleet::base_configuration()
{
    return R"(kind: team
name: deposits
labels: {tier: gold}
spec:
  key_sha256: [01dcd6c7cd9692ae2e192b80c4176fd84fe0d6085bbc3374e7b5a214966657b0]
  versions: {model: adjudicator}
---
kind: team
name: agents
spec:
  key_sha256: [726c28f7992dbf051038a1467f00b8d2796e5c57e1b0eb478fd9f118664a7d2f]
  versions: {version: adjudicator-1}
---
kind: version
name: adjudicator-1
labels: {channel: stable}
spec: {model: adjudicator, cost_per_token: 2.0}
---
kind: version
name: adjudicator-2
labels: {channel: canary}
spec: {model: adjudicator, cost_per_token: 3.0}
---
kind: pool
name: engines
spec: {hosts: {role: engine}, versions: {model: adjudicator}, slots_per_host: 16}
---
kind: service
name: booking
spec: {hosts: {role: booking}, idempotent: false, idempotent_methods: [GET]}
)";
}

void test_fleet::behave(adapters::http_client& client, const std::string& address,
                        const json& behaviours)
{
    const auto answer = adapters::fetch_and_wait(
        client, to_request("POST", "http://" + address + "/control/behave", behaviours.dump()),
        largest_answer);
    if (answer.result.status != 200) {
        throw std::runtime_error(address + " rejected the behaviour: " + answer.body);
    }
}

void test_fleet::behave(const std::string& address, const json& behaviours)
{
    behave(*this->client, address, behaviours);
}

json test_fleet::get(const std::string& address, const std::string& path)
{
    auto request = to_request("GET", "http://" + address + path, "");
    request.headers = {{"Authorization", "Bearer " + operator_key}};
    return json::parse(adapters::fetch_and_wait(*this->client, request, largest_answer).body,
                       nullptr, false);
}

json test_fleet::status(const running_router& router)
{
    return this->get(router.operators, "/v1/status");
}

std::vector<json> test_fleet::runs()
{
    std::vector<json> all;
    for (const auto* group : {&this->engines, &this->services}) {
        for (const auto& one : *group) {
            if (!one.process->is_running()) {
                continue;
            }
            const auto listed = this->get(one.own_address, "/control/runs");
            all.insert(all.end(), listed.begin(), listed.end());
        }
    }
    return all;
}

json test_fleet::bills()
{
    const auto result = this->command({"bills", "--output=json"});
    if (result.status != 0) {
        throw std::runtime_error("bills gave " + std::to_string(result.status) + ": " +
                                 result.output);
    }
    return json::parse(result.output).at("bills");
}

std::unique_ptr<chat_call> test_fleet::call(std::size_t router, const chat_request& request)
{
    return std::make_unique<chat_call>(*this->client, this->routers.at(router).callers, request);
}

chat_answer test_fleet::ask(std::size_t router, const chat_request& request)
{
    return this->call(router, request)->wait();
}

adapters::http_answer test_fleet::call_service(std::size_t router, const std::string& method,
                                               const std::string& path, const std::string& body,
                                               const header_map& headers)
{
    auto request = to_request(
        method, "http://" + this->routers.at(router).callers + "/services/" + path, body);
    request.headers = {{"Authorization", "Bearer key-of-deposits"}};
    for (const auto& [name, value] : headers) {
        request.headers.emplace_back(name, value);
    }
    return adapters::fetch_and_wait(*this->client, std::move(request), largest_answer);
}

} // namespace pearhaven::tests
