#include "kv_service.hpp"

#include "program.hpp"

#include <algorithm>

namespace pearhaven::standins {

namespace {

constexpr std::size_t max_value_bytes = 1U << 20U;
constexpr std::uint64_t max_wait_ms = 120'000;
constexpr std::array<const char*, kv_call_kinds> call_names = {"get",   "range", "cas",   "delete",
                                                               "watch", "lease", "renew", "revoke"};

nlohmann::json to_json(const kv_record& record)
{
    nlohmann::json shown = {
        {"key", record.key}, {"value", record.value}, {"revision", record.revision}};
    if (record.deleted) {
        shown["deleted"] = true;
    }
    return shown;
}

nlohmann::json listing(std::uint64_t revision, const std::vector<kv_record>& records)
{
    auto entries = nlohmann::json::array();
    for (const auto& each : records) {
        entries.push_back(to_json(each));
    }
    return {{"revision", revision}, {"entries", std::move(entries)}};
}

int http_status(kv_status status)
{
    switch (status) {
    case kv_status::applied:
        return 200;
    case kv_status::conflict:
        return 409;
    case kv_status::no_such_key:
    case kv_status::no_such_lease:
        break;
    }
    return 404;
}

void sleep_ms(std::uint64_t milliseconds)
{
    if (milliseconds > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }
}

} // namespace

behaviour_table<kv_behaviours> kv_behaviour_table()
{
    behaviour_table<kv_behaviours> table;
    table.add("outage", &kv_behaviours::outage, "bool; refuse every call with 503")
        .add("silent", &kv_behaviours::silent,
             "bool; hold every call without an answer; nothing is applied")
        .add("delay_ms", &kv_behaviours::delay_ms, "wait before a call is processed")
        .add("reply_delay_ms", &kv_behaviours::reply_delay_ms,
             "wait between a call's effect (or read) and its answer")
        .add("lose_reply_next", &kv_behaviours::lose_reply_next,
             "apply the next N cas and delete calls, but close their connections unanswered")
        .add("lose_reply_prefix", &kv_behaviours::lose_reply_prefix,
             "text; lose_reply_next counts only writes of keys under this prefix");
    return table;
}

kv_service::kv_service(unsigned threads)
    : control(kv_behaviour_table()), holder(threads), expirer([this] { this->expire_leases(); })
{}

kv_service::~kv_service()
{
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->expirer.join();
}

void kv_service::add_routes(web_server& server)
{
    this->control.add_routes(server);
    server.route("GET", "/control/stats", [this](web_exchange& each) { this->stats(each); });
    this->add_call(server, "GET", "/v1/kv", kv_call::get, &kv_service::get);
    this->add_call(server, "GET", "/v1/range", kv_call::range, &kv_service::range);
    this->add_call(server, "GET", "/v1/watch", kv_call::watch, &kv_service::watch);
    this->add_call(server, "POST", "/v1/cas", kv_call::cas, &kv_service::cas);
    this->add_call(server, "POST", "/v1/delete", kv_call::erase, &kv_service::erase);
    this->add_call(server, "POST", "/v1/lease/renew", kv_call::renew, &kv_service::renew);
    this->add_call(server, "POST", "/v1/lease/revoke", kv_call::revoke, &kv_service::revoke);
    this->add_call(server, "POST", "/v1/lease", kv_call::lease, &kv_service::grant);
}

void kv_service::add_call(web_server& server, const char* method, const char* path, kv_call kind,
                          action answer)
{
    server.route(method, path, [this, kind, answer](web_exchange& exchange) {
        this->run_call(exchange, kind, answer);
    });
}

void kv_service::run_call(web_exchange& exchange, kv_call kind, action answer)
{
    {
        const std::lock_guard guard(this->mutex);
        ++this->calls.at(static_cast<std::size_t>(kind));
        ++this->running;
        this->peak_running = std::max(this->peak_running, this->running);
    }
    const auto behaviours = this->control.get();
    if (behaviours.silent) {
        this->holder.hold_while([this] { return this->control.get().silent; });
    } else if (behaviours.outage) {
        exchange.answer(503, {{"error", "outage"}});
    } else {
        sleep_ms(behaviours.delay_ms);
        (this->*answer)(exchange);
    }
    const std::lock_guard guard(this->mutex);
    --this->running;
    this->refused += behaviours.outage ? 1 : 0;
}

void kv_service::get(web_exchange& exchange)
{
    const auto key = exchange.query("key").value_or("");
    std::unique_lock lock(this->mutex);
    this->state.expire(monotonic_now());
    const auto found = this->state.get(key);
    const auto revision = this->state.revision();
    lock.unlock();
    this->delay_reply();
    if (found) {
        exchange.answer(200, listing(revision, {*found}));
    } else {
        exchange.answer(404, {{"revision", revision}});
    }
}

void kv_service::range(web_exchange& exchange)
{
    const auto prefix = exchange.query("prefix").value_or("");
    std::unique_lock lock(this->mutex);
    this->state.expire(monotonic_now());
    const auto found = this->state.range(prefix);
    const auto revision = this->state.revision();
    lock.unlock();
    this->delay_reply();
    exchange.answer(200, listing(revision, found));
}

void kv_service::cas(web_exchange& exchange)
{
    const auto body = exchange.json_body();
    const auto key = body.at("key").get<std::string>();
    const auto value = body.at("value").get<std::string>();
    const auto expected = body.value("expected", std::uint64_t{0});
    const auto lease = body.value("lease", std::uint64_t{0});
    if (value.size() > max_value_bytes) {
        exchange.answer(413, {{"error", "value too long"}, {"limit", max_value_bytes}});
        return;
    }
    std::unique_lock lock(this->mutex);
    const auto result = this->state.compare_and_swap(key, value, expected, lease, monotonic_now());
    lock.unlock();
    this->answer_write(exchange, key, result);
}

void kv_service::erase(web_exchange& exchange)
{
    const auto body = exchange.json_body();
    const auto key = body.at("key").get<std::string>();
    const auto expected = body.value("expected", std::uint64_t{0});
    std::unique_lock lock(this->mutex);
    const auto result = this->state.erase(key, expected, monotonic_now());
    lock.unlock();
    this->answer_write(exchange, key, result);
}

void kv_service::answer_write(web_exchange& exchange, const std::string& key,
                              const kv_result& result)
{
    this->changed.notify_all();
    if (this->loses_reply(key)) {
        return; // unanswered: the server closes the connection
    }
    this->delay_reply();
    nlohmann::json body = {{"revision", result.revision}};
    if (result.status == kv_status::conflict) {
        body["entries"] = nlohmann::json::array();
        if (result.current) {
            body["entries"].push_back(to_json(*result.current));
        }
    }
    exchange.answer(http_status(result.status), body);
}

bool kv_service::loses_reply(const std::string& key)
{
    const bool lost = this->control.update([&](kv_behaviours& present) {
        const auto& prefix = present.lose_reply_prefix;
        if (present.lose_reply_next == 0 || key.compare(0, prefix.size(), prefix) != 0) {
            return false;
        }
        --present.lose_reply_next;
        return true;
    });
    if (lost) {
        const std::lock_guard guard(this->mutex);
        ++this->lost_replies;
    }
    return lost;
}

void kv_service::delay_reply() const
{
    sleep_ms(this->control.get().reply_delay_ms);
}

// A watch in progress when an outage begins may end normally: it cannot see a change during the
// outage, because writes are refused.
void kv_service::watch(web_exchange& exchange)
{
    const auto prefix = exchange.query("prefix").value_or("");
    const auto after = exchange.query_number("after", 0);
    const auto wait_ms = std::min(exchange.query_number("wait_ms", 0), max_wait_ms);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);

    std::unique_lock lock(this->mutex);
    ++this->waiting_watches;
    this->peak_waiting_watches = std::max(this->peak_waiting_watches, this->waiting_watches);
    std::vector<kv_record> found;
    this->changed.wait_until(lock, end, [&] {
        found = this->state.changes_after(prefix, after);
        return !found.empty();
    });
    --this->waiting_watches;
    const auto revision = this->state.revision();
    lock.unlock();
    this->delay_reply();
    if (this->control.get().silent) {
        this->holder.hold_while([this] { return this->control.get().silent; });
        return;
    }
    exchange.answer(200, listing(revision, found));
}

void kv_service::grant(web_exchange& exchange)
{
    const auto ttl = std::chrono::milliseconds(exchange.json_body().at("ttl_ms").get<unsigned>());
    std::unique_lock lock(this->mutex);
    const auto lease = this->state.grant_lease(ttl, monotonic_now());
    lock.unlock();
    this->changed.notify_all(); // the expirer has a new expiry time to wait for
    this->delay_reply();
    exchange.answer(200, {{"lease", lease}});
}

void kv_service::renew(web_exchange& exchange)
{
    const auto lease = exchange.json_body().at("lease").get<std::uint64_t>();
    std::unique_lock lock(this->mutex);
    const bool alive = this->state.renew_lease(lease, monotonic_now());
    lock.unlock();
    this->delay_reply();
    exchange.answer(alive ? 200 : 404, {{"lease", lease}});
}

void kv_service::revoke(web_exchange& exchange)
{
    const auto lease = exchange.json_body().at("lease").get<std::uint64_t>();
    std::unique_lock lock(this->mutex);
    const bool alive = this->state.revoke_lease(lease, monotonic_now());
    lock.unlock();
    this->changed.notify_all();
    this->delay_reply();
    exchange.answer(alive ? 200 : 404, {{"lease", lease}});
}

void kv_service::stats(web_exchange& exchange)
{
    auto by_kind = nlohmann::json::object();
    const std::lock_guard guard(this->mutex);
    for (std::size_t kind = 0; kind < kv_call_kinds; ++kind) {
        by_kind[call_names.at(kind)] = this->calls.at(kind);
    }
    exchange.answer(200, {{"calls", by_kind},
                          {"refused", this->refused},
                          {"lost_replies", this->lost_replies},
                          {"waiting_watches", this->waiting_watches},
                          {"most_waiting_watches", this->peak_waiting_watches},
                          {"highest_concurrency", this->peak_running},
                          {"leases", this->state.lease_count()},
                          {"revision", this->state.revision()}});
}

void kv_service::expire_leases()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const auto before = this->state.revision();
        this->state.expire(monotonic_now());
        if (this->state.revision() != before) {
            this->changed.notify_all();
        }
        if (const auto next = this->state.next_expiry()) {
            this->changed.wait_until(lock, steady_point(*next));
        } else {
            this->changed.wait(lock);
        }
    }
}

} // namespace pearhaven::standins
