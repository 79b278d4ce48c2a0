#include "behaviours.hpp"
#include "call_counts.hpp"
#include "hold.hpp"
#include "host_list.hpp"
#include "program.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(file, "", "JSON file with the first hosts: a list, or {\"hosts\":[...]}");
DEFINE_uint64(lag_ms, 0, "how long after a change GET /v1/hosts shows it");

namespace standins = pearhaven::standins;

namespace {

struct hosts_behaviours {
    bool outage = false;
    bool silent = false;
    std::uint64_t lag_ms = 0;
};

standins::behaviour_table<hosts_behaviours> hosts_behaviour_table()
{
    standins::behaviour_table<hosts_behaviours> table;
    table.add("outage", &hosts_behaviours::outage, "bool; refuse the list with 503")
        .add("silent", &hosts_behaviours::silent, "bool; hold calls for the list unanswered")
        .add("lag_ms", &hosts_behaviours::lag_ms, "lag of changes made from now on");
    return table;
}

// Serves the host list over HTTP.
class hosts_service {
public:
    explicit hosts_service(unsigned threads) : control(hosts_behaviour_table()), holder(threads)
    {
        this->control.update([](hosts_behaviours& present) { present.lag_ms = FLAGS_lag_ms; });
    }

    // Publishes the hosts in the file immediately, without the lag.
    void load(const std::string& file)
    {
        std::ifstream input(file);
        this->set_all(nlohmann::json::parse(input), standins::monotonic_now());
    }

    void add_routes(standins::web_server& server)
    {
        this->control.add_routes(server);
        server.route("GET", "/v1/hosts",
                     [this](standins::web_exchange& exchange) { this->list(exchange); });
        server.route("POST", "/control/set", [this](standins::web_exchange& exchange) {
            this->set_all(exchange.json_body(), this->next_seen_at());
            this->answer_actual(exchange);
        });
        server.route("POST", "/control/remove", [this](standins::web_exchange& exchange) {
            this->remove(exchange.json_body().at("name").get<std::string>());
            this->answer_actual(exchange);
        });
        server.route("GET", "/control/stats", [this](standins::web_exchange& exchange) {
            exchange.answer(200, this->counts.show());
        });
    }

private:
    [[nodiscard]] pearhaven::decision::instant next_seen_at() const
    {
        return standins::monotonic_now() + std::chrono::milliseconds(this->control.get().lag_ms);
    }

    void list(standins::web_exchange& exchange)
    {
        const standins::call_counts::running_call counted(this->counts, "hosts");
        if (this->control.get().silent) {
            this->holder.hold_while([this] { return this->control.get().silent; });
            return;
        }
        if (this->control.get().outage) {
            this->counts.count_refused();
            exchange.answer(503, {{"error", "outage"}});
            return;
        }
        const std::lock_guard guard(this->mutex);
        exchange.answer(200, this->hosts.published(standins::monotonic_now()));
    }

    void set_all(const nlohmann::json& given, pearhaven::decision::instant seen_at)
    {
        const bool wrapped = given.is_object() && given.contains("hosts");
        const auto& listed = wrapped ? given.at("hosts") : given;
        auto complete = nlohmann::json::array();
        for (const auto& each : listed.is_array() ? listed : nlohmann::json::array({listed})) {
            complete.push_back(standins::complete_host(each));
        }
        const std::lock_guard guard(this->mutex);
        for (const auto& each : complete) {
            this->hosts.set(each, seen_at);
        }
    }

    void remove(const std::string& name)
    {
        const std::lock_guard guard(this->mutex);
        this->hosts.remove(name, this->next_seen_at());
    }

    void answer_actual(standins::web_exchange& exchange)
    {
        const std::lock_guard guard(this->mutex);
        exchange.answer(200, this->hosts.actual());
    }

    standins::behaviour_control<hosts_behaviours> control;
    standins::call_holder holder;
    standins::call_counts counts;
    std::mutex mutex;
    standins::host_list hosts;
};

} // namespace

int main(int argc, char** argv)
{
    standins::begin_program(argc, argv,
                            "List of endpoint hosts that publishes changes after a lag.\n"
                            "POST /control/set takes a host or a list of hosts, POST "
                            "/control/remove {\"name\"}.\n" +
                                hosts_behaviour_table().help());
    const auto settings = standins::web_settings_from_flags();
    hosts_service service(settings.threads);
    if (!FLAGS_file.empty()) {
        service.load(FLAGS_file);
    }
    standins::web_server server(settings);
    service.add_routes(server);
    standins::serve_until_terminated(server);
    standins::end_program();
}
