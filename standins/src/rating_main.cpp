#include "behaviours.hpp"
#include "call_counts.hpp"
#include "program.hpp"
#include "rater.hpp"

#include <gflags/gflags.h>

#include <thread>

DEFINE_uint64(lag_ms, 0, "how long a rating takes");
DEFINE_double(noise, 0, "share of the requests with an inverted rating, 0..1");
DEFINE_double(gaps, 0, "share of the requests that are refused with 503, 0..1");
DEFINE_string(quality, "", "share of good answers per version, like reader-small=0.7,reader=0.95");

namespace standins = pearhaven::standins;

namespace {

standins::behaviour_table<standins::rating_settings> rating_behaviour_table()
{
    standins::behaviour_table<standins::rating_settings> table;
    table.add("outage", &standins::rating_settings::outage, "bool; refuse every call with 503")
        .add("lag_ms", &standins::rating_settings::lag_ms, "how long a rating takes")
        .add("noise", &standins::rating_settings::noise, "share with an inverted rating")
        .add("gaps", &standins::rating_settings::gaps, "share refused with 503")
        .add("quality", &standins::rating_settings::quality,
             "text; share of good answers per version, like a=0.7,b=0.95");
    return table;
}

// Serves the rating service over HTTP.
class rating_service {
public:
    rating_service() : control(rating_behaviour_table())
    {
        this->control.update([](standins::rating_settings& present) {
            present.lag_ms = FLAGS_lag_ms;
            present.noise = FLAGS_noise;
            present.gaps = FLAGS_gaps;
            present.quality = FLAGS_quality;
        });
    }

    void add_routes(standins::web_server& server)
    {
        this->control.add_routes(server);
        server.route("POST", "/v1/ratings",
                     [this](standins::web_exchange& exchange) { this->rate(exchange); });
        server.route("GET", "/control/stats", [this](standins::web_exchange& exchange) {
            exchange.answer(200, this->counts.show());
        });
    }

private:
    void rate(standins::web_exchange& exchange)
    {
        const standins::call_counts::running_call counted(this->counts, "rating");
        const auto body = exchange.json_body();
        const standins::rated_answer answer{body.at("request").get<std::string>(),
                                            body.at("version").get<std::string>(),
                                            body.at("text").get<std::string>()};
        const auto settings = this->control.get();
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.lag_ms));
        const auto good = standins::rate(answer, settings);
        if (!good) {
            this->counts.count_refused();
            exchange.answer(503, {{"error", "no rating"}});
            return;
        }
        exchange.answer(200, {{"good", *good}});
    }

    standins::behaviour_control<standins::rating_settings> control;
    standins::call_counts counts;
};

} // namespace

int main(int argc, char** argv)
{
    standins::begin_program(
        argc, argv,
        "Rating service. An answer with a token marked BAD is not good; of the others of a\n"
        "version, the share that its quality names is, chosen by a hash of the request: the\n"
        "same request is rated the same way each time.\n" +
            rating_behaviour_table().help());
    rating_service service;
    standins::web_server server(standins::web_settings_from_flags());
    service.add_routes(server);
    standins::serve_until_terminated(server);
    standins::end_program();
}
