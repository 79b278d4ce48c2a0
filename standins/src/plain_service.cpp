#include "plain_service.hpp"

#include "program.hpp"

#include <thread>
#include <utility>

namespace pearhaven::standins {

behaviour_table<plain_behaviours> plain_behaviour_table()
{
    behaviour_table<plain_behaviours> table;
    table.add("refuse", &plain_behaviours::refuse, "bool; refuse with 503 and X-Not-Run")
        .add("fail", &plain_behaviours::fail, "bool; run, then answer 500")
        .add("hang", &plain_behaviours::hang, "bool; start to run and never answer")
        .add("delay_ms", &plain_behaviours::delay_ms, "added to the service time")
        .add("lose_reply_next", &plain_behaviours::lose_reply_next,
             "run the next N calls, but close their connections unanswered");
    return table;
}

plain_service::plain_service(std::string service_name, std::chrono::milliseconds time,
                             unsigned threads)
    : name(std::move(service_name)), service_time(time), control(plain_behaviour_table()),
      holder(threads)
{}

void plain_service::add_routes(web_server& server)
{
    this->control.add_routes(server);
    server.route("GET", "/control/runs", [this](web_exchange& exchange) {
        exchange.answer(200, this->log.show(exchange.query_number("first", 0)));
    });
    server.route("GET", "/control/stats",
                 [this](web_exchange& exchange) { exchange.answer(200, this->counts.show()); });
    server.route("*", "/", [this](web_exchange& exchange) { this->run(exchange); });
}

void plain_service::run(web_exchange& exchange)
{
    const call_counts::running_call counted(this->counts, exchange.method());
    const auto behaviours = this->control.get();
    if (behaviours.refuse) {
        this->counts.count_refused();
        const nlohmann::json error = {{"code", "refused"}, {"message", "refused"}};
        exchange.answer(503, {{"error", error}}, {{"X-Not-Run", "true"}});
        return;
    }
    auto run = exchange.field("X-Run-Id");
    if (run.empty()) {
        run = "own-" + std::to_string(++this->unnamed_runs);
    }
    const auto number = this->log.add({run, exchange.field("X-Request-Id"), "", exchange.path(),
                                       logged_state::running, 0, 0, unix_ms()});
    if (behaviours.hang) {
        this->holder.hold_while([this] { return this->control.get().hang; });
        this->log.update(number, logged_state::lost, 0);
        return;
    }
    std::this_thread::sleep_for(this->service_time +
                                std::chrono::milliseconds(behaviours.delay_ms));
    this->give_outcome(exchange, number, run);
}

void plain_service::give_outcome(web_exchange& exchange, std::size_t number, const std::string& run)
{
    if (this->loses_reply()) {
        this->log.update(number, logged_state::lost, 0);
        return; // unanswered: the server closes the connection
    }
    if (this->control.get().fail) {
        this->log.update(number, logged_state::lost, 0);
        exchange.answer(500, {{"error", {{"code", "internal"}, {"message", "the run failed"}}}});
        return;
    }
    this->log.update(number, logged_state::finished, 0);
    exchange.answer(
        200,
        {{"service", this->name}, {"path", exchange.path()}, {"run", run}, {"count", number + 1}});
}

bool plain_service::loses_reply()
{
    return this->control.update([](plain_behaviours& present) {
        const bool lost = present.lose_reply_next > 0;
        present.lose_reply_next -= lost ? 1 : 0;
        return lost;
    });
}

} // namespace pearhaven::standins
