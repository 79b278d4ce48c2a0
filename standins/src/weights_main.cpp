#include "behaviours.hpp"
#include "call_counts.hpp"
#include "program.hpp"
#include "rate_limit.hpp"

#include <gflags/gflags.h>

#include <mutex>
#include <thread>

DEFINE_double(loads_per_s, 1, "max rate of loads; further ones are answered with 429");
DEFINE_double(burst, 2, "loads accepted at once after an idle period");
DEFINE_uint64(read_ms, 1000, "how long the bytes of one load take");

namespace standins = pearhaven::standins;

namespace {

struct weights_behaviours {
    bool outage = false;
    std::uint64_t read_ms = 0;
};

standins::behaviour_table<weights_behaviours> weights_behaviour_table()
{
    standins::behaviour_table<weights_behaviours> table;
    table.add("outage", &weights_behaviours::outage, "bool; refuse every call with 503")
        .add("read_ms", &weights_behaviours::read_ms, "how long the bytes of one load take");
    return table;
}

// Serves the weight store over HTTP.
class weights_service {
public:
    weights_service() : control(weights_behaviour_table()), limit(FLAGS_loads_per_s, FLAGS_burst)
    {
        this->control.update([](weights_behaviours& present) { present.read_ms = FLAGS_read_ms; });
    }

    void add_routes(standins::web_server& server)
    {
        this->control.add_routes(server);
        server.route("POST", "/v1/load",
                     [this](standins::web_exchange& exchange) { this->load(exchange); });
        server.route("GET", "/control/stats", [this](standins::web_exchange& exchange) {
            exchange.answer(200, this->counts.show());
        });
    }

private:
    void load(standins::web_exchange& exchange)
    {
        const standins::call_counts::running_call counted(this->counts, "load");
        const auto version = exchange.json_body().at("version").get<std::string>();
        const auto behaviours = this->control.get();
        if (behaviours.outage) {
            this->counts.count_refused();
            exchange.answer(503, {{"error", "outage"}});
            return;
        }
        if (!this->let_in()) {
            this->counts.count_refused();
            exchange.answer(429, {{"error", "beyond the rate"}}, {{"Retry-After", "1"}});
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(behaviours.read_ms));
        exchange.answer(200, {{"version", version}});
    }

    bool let_in()
    {
        const std::lock_guard guard(this->mutex);
        return this->limit.take(standins::monotonic_now());
    }

    standins::behaviour_control<weights_behaviours> control;
    standins::call_counts counts;
    std::mutex mutex;
    standins::rate_limit limit;
};

} // namespace

int main(int argc, char** argv)
{
    standins::begin_program(argc, argv,
                            "Weight store with a limited rate. POST /v1/load {\"version\"} answers "
                            "when the bytes were read.\n" +
                                weights_behaviour_table().help());
    weights_service service;
    standins::web_server server(standins::web_settings_from_flags());
    service.add_routes(server);
    standins::serve_until_terminated(server);
    standins::end_program();
}
