#include "engine_service.hpp"

#include "engine_requests.hpp"
#include "sse_events.hpp"

#include <algorithm>
#include <thread>

namespace pearhaven::standins {

namespace {

constexpr std::string_view runs_path = "/v1/runs/";
constexpr std::string_view resume_suffix = "/resume";

nlohmann::json error_body(const char* code, const std::string& message)
{
    return {{"error", {{"code", code}, {"message", message}}}};
}

void answer_not_run(web_exchange& exchange, int status, const char* code,
                    const std::string& message)
{
    exchange.answer(status, error_body(code, message), {{"X-Not-Run", "true"}});
}

void answer_unknown_run(web_exchange& exchange)
{
    exchange.answer(404, error_body("no_such_run", "the run is unknown or was cancelled"));
}

void answer_failed_run(web_exchange& exchange)
{
    exchange.answer(500, error_body("internal", "the run failed"));
}

void refuse(web_exchange& exchange, admission outcome, const engine_request& request)
{
    switch (outcome) {
    case admission::overloaded:
        answer_not_run(exchange, 429, "overloaded", "the queue is full");
        return;
    case admission::draining:
        answer_not_run(exchange, 503, "draining", "the engine takes no new work");
        return;
    case admission::no_such_version:
        answer_not_run(exchange, 404, "no_such_version", "not served: " + request.version);
        return;
    case admission::duplicate: // it may have run already, so X-Not-Run is not sent
        exchange.answer(409, error_body("duplicate_run", "known already: " + request.run));
        return;
    case admission::refused:
    case admission::accepted:
        break;
    }
    answer_not_run(exchange, 503, "refused", "refused");
}

// The run in /v1/runs/RUN or /v1/runs/RUN/resume.
std::string run_in_path(std::string_view path)
{
    path.remove_prefix(runs_path.size());
    return std::string(path.substr(0, path.find('/')));
}

bool ends_with_resume(std::string_view path)
{
    return path.size() > resume_suffix.size() &&
           path.substr(path.size() - resume_suffix.size()) == resume_suffix;
}

// Counts an answer as open until destroyed.
class open_answer {
public:
    explicit open_answer(std::atomic<std::uint64_t>& counted_in) : open(counted_in)
    {
        ++this->open;
    }
    ~open_answer() { --this->open; }
    open_answer(const open_answer&) = delete;
    open_answer& operator=(const open_answer&) = delete;

private:
    std::atomic<std::uint64_t>& open;
};

} // namespace

behaviour_table<engine_behaviours> engine_behaviour_table()
{
    behaviour_table<engine_behaviours> table;
    table
        .add("crash_on", &engine_behaviours::crash_on,
             "text; the process exits at once (status 3) when a prompt that contains it starts")
        .add("freeze", &engine_behaviours::freeze,
             "bool; no token is sent and no run progresses; connections stay open")
        .add("silence_connections", &engine_behaviours::silence_connections,
             "bool, once; open streams go silent permanently, their runs continue")
        .add("slow_factor", &engine_behaviours::slow_factor, "factor on the duration of each step")
        .add("bad", &engine_behaviours::bad, "bool; each token of new runs begins with BAD")
        .add("fail_rate", &engine_behaviours::fail_rate,
             "0..1; this share of new runs, by hash of the run, is answered 500 after running")
        .add("refuse", &engine_behaviours::refuse, "bool; new runs get 503 with X-Not-Run")
        .add("draining", &engine_behaviours::draining,
             "bool; new runs get 503 draining, shown in the load report")
        .add("truncate_after", &engine_behaviours::truncate_after,
             "once; the next stream that has sent N tokens is closed without its end; 0: off")
        .add("version", &engine_behaviours::version,
             "text; bad and fail_rate apply to this version only; empty: for all");
    return table;
}

engine_service::engine_service(engine& served, unsigned threads, std::uint64_t batched)
    : served_engine(served), tokens_per_write(batched), control(engine_behaviour_table()),
      holder(threads)
{}

void engine_service::add_routes(web_server& server)
{
    const auto add = [&](const char* method, const char* path, const char* kind, auto action) {
        server.route(method, path, [this, kind, action](web_exchange& exchange) {
            const call_counts::running_call counted(this->counts, kind);
            (this->*action)(exchange);
        });
    };
    add("POST", "/v1/chat/completions", "complete", &engine_service::complete);
    add("GET", "/v1/runs/", "resume", &engine_service::resume);
    add("DELETE", "/v1/runs/", "cancel", &engine_service::cancel);
    add("GET", "/v1/load", "load", &engine_service::load);
    add("GET", "/v1/cache-events", "cache_events", &engine_service::cache_events);
    add("POST", "/v1/orders", "order", &engine_service::order);
    server.route("GET", "/control/runs", [this](web_exchange& exchange) {
        exchange.answer(200, this->served_engine.show_runs(exchange.query_number("first", 0)));
    });
    server.route("GET", "/control/orders", [this](web_exchange& exchange) {
        exchange.answer(200, this->served_engine.show_orders());
    });
    server.route("GET", "/control/stats", [this](web_exchange& each) { this->stats(each); });
    this->control.add_routes(server,
                             [this](const engine_behaviours& wanted) { this->behave(wanted); });
}

void engine_service::behave(const engine_behaviours& wanted)
{
    if (wanted.silence_connections) {
        ++this->silencings;
        this->control.update(
            [](engine_behaviours& present) { present.silence_connections = false; });
    }
    this->frozen = wanted.freeze;
    this->truncate_after = wanted.truncate_after;
    this->served_engine.behave(wanted);
}

void engine_service::wait_for_answers(std::chrono::milliseconds timeout) const
{
    constexpr std::chrono::milliseconds poll_period{20};
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (this->answers_open > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(poll_period);
    }
}

void engine_service::complete(web_exchange& exchange)
{
    engine_request request;
    try {
        request = read_chat_completion(exchange);
    } catch (const nlohmann::json::exception& problem) {
        answer_not_run(exchange, 400, "refused", problem.what());
        return;
    }
    const open_answer open(this->answers_open);
    const auto submitted = this->served_engine.submit(request);
    if (submitted.outcome != admission::accepted) {
        refuse(exchange, submitted.outcome, request);
    } else if (request.stream) {
        this->stream(exchange, *submitted.run, 0);
    } else {
        this->answer_whole(exchange, *submitted.run);
    }
}

void engine_service::resume(web_exchange& exchange)
{
    const auto run = this->served_engine.find(run_in_path(exchange.path()));
    const bool known = run != nullptr && run->progress_snapshot().state != run_state::cancelled;
    if (!known || !ends_with_resume(exchange.path())) {
        answer_unknown_run(exchange);
        return;
    }
    const open_answer open(this->answers_open);
    this->stream(exchange, *run, exchange.query_number("offset", 0));
}

void engine_service::cancel(web_exchange& exchange)
{
    const auto run = this->served_engine.cancel(run_in_path(exchange.path()));
    if (run == nullptr) {
        answer_unknown_run(exchange);
        return;
    }
    const auto progress = run->progress_snapshot();
    const char* state = progress.state == run_state::cancelled ? "cancelled" : "finished";
    exchange.answer(200, {{"state", state}, {"tokens", progress.tokens}});
}

run_progress engine_service::wait_unfrozen(live_run& run, std::uint64_t wanted)
{
    auto progress = run.wait_for_tokens(wanted);
    while (this->frozen) {
        constexpr std::chrono::milliseconds poll_period{20};
        std::this_thread::sleep_for(poll_period);
        progress = run.progress_snapshot();
    }
    return progress;
}

run_progress engine_service::wait_for_end(live_run& run)
{
    auto progress = run.progress_snapshot();
    while (!has_ended(progress.state) || this->frozen) {
        progress = this->wait_unfrozen(run, run.request.max_tokens);
    }
    return progress;
}

void engine_service::answer_whole(web_exchange& exchange, live_run& run)
{
    const auto progress = this->wait_for_end(run);
    if (progress.state == run_state::cancelled) {
        exchange.answer(409, error_body("cancelled", "the run was cancelled"));
        return;
    }
    if (run.outcome.fails) {
        answer_failed_run(exchange);
        return;
    }
    const nlohmann::json message = {{"role", "assistant"}, {"content", run.text()}};
    const nlohmann::json choice = {{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    exchange.answer(200, {{"id", run.request.run},
                          {"object", "chat.completion"},
                          {"model", run.request.version},
                          {"choices", nlohmann::json::array({choice})},
                          {"usage", nlohmann::json::parse(usage_json(run, progress))}});
}

void engine_service::stream(web_exchange& exchange, live_run& run, std::uint64_t offset)
{
    if (run.outcome.fails) { // an error status can only be sent before the stream starts
        this->wait_for_end(run);
        answer_failed_run(exchange);
        return;
    }
    if (exchange.begin_stream("text/event-stream", {{"Cache-Control", "no-store"}})) {
        this->stream_tokens(exchange, run, offset);
    }
}

// Sends the events from the offset to the end, or until the stream is aborted.
void engine_service::stream_tokens(web_exchange& exchange, live_run& run, std::uint64_t offset)
{
    const auto silencings_before = this->silencings.load();
    const sse_events events(run);
    auto sent = offset;
    for (;;) {
        const auto wanted = sent + (sent == offset ? 1 : this->tokens_per_write);
        const auto progress = this->wait_unfrozen(run, wanted);
        if (this->silencings != silencings_before) {
            this->holder.hold_while([] { return true; });
            return;
        }
        const auto end = this->take_truncation(sent, progress.tokens);
        std::string text;
        for (; sent < end; ++sent) {
            events.append_token(text, sent);
        }
        const bool truncated = end < progress.tokens;
        if (!truncated && progress.state == run_state::finished) {
            events.append_end(text, progress);
            exchange.finish(text);
            return;
        }
        const bool written = text.empty() || exchange.write(text);
        if (!written || truncated || progress.state == run_state::cancelled) {
            return;
        }
    }
}

// Index at which sending stops: before `end` if the requested one-time truncation falls there.
std::uint64_t engine_service::take_truncation(std::uint64_t sent, std::uint64_t end)
{
    auto wanted = this->truncate_after.load();
    if (wanted == 0 || wanted >= end || !this->truncate_after.compare_exchange_strong(wanted, 0)) {
        return end;
    }
    this->control.update([](engine_behaviours& present) { present.truncate_after = 0; });
    return std::max(sent, wanted);
}

void engine_service::load(web_exchange& exchange)
{
    const auto report = this->served_engine.load_report();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(report.age);
    exchange.answer(200, {{"running", report.load.running},
                          {"queued", report.load.queued},
                          {"capacity", report.load.capacity},
                          {"kv_used", report.load.kv_used},
                          {"age_ms", age.count()},
                          {"draining", report.draining},
                          {"versions", report.versions}});
}

void engine_service::cache_events(web_exchange& exchange)
{
    const auto after = exchange.query_number("after", 0);
    const auto events = this->served_engine.cache_events_after(after);
    auto shown = nlohmann::json::array();
    for (const auto& each : events) {
        const char* operation = each.operation == cache_operation::add ? "add" : "drop";
        shown.push_back(
            {{"seq", each.sequence}, {"op", operation}, {"prefix", to_text(each.prefix)}});
    }
    const auto next = events.empty() ? after : events.back().sequence;
    exchange.answer(200, {{"next", next}, {"events", shown}});
}

void engine_service::order(web_exchange& exchange)
{
    const auto body = exchange.json_body();
    const auto name = body.at("order").get<std::string>();
    const auto version = body.at("version").get<std::string>();
    const auto fence = body.value("fence", std::uint64_t{0});
    auto order = engine_order::role;
    if (name == "load") {
        order = engine_order::load;
    } else if (name == "unload") {
        order = engine_order::unload;
    } else if (name != "role") {
        exchange.answer(400, {{"error", "unknown order: " + name}});
        return;
    }
    if (!this->served_engine.obey(order, version, fence)) {
        exchange.answer(409, {{"error", "stale fence"}});
        return;
    }
    exchange.answer(200, {{"order", name}, {"version", version}});
}

void engine_service::stats(web_exchange& exchange)
{
    auto shown = this->served_engine.show_counts();
    shown["calls"] = this->counts.show().at("calls");
    shown["open_answers"] = this->answers_open.load();
    exchange.answer(200, shown);
}

} // namespace pearhaven::standins
