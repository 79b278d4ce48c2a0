#include "pearhaven/router/router.hpp"

#include "caller_server.hpp"
#include "clock.hpp"
#include "fleet_worker.hpp"
#include "operator_server.hpp"
#include "published.hpp"
#include "routing_worker.hpp"

#include "pearhaven/adapters/authenticator.hpp"
#include "pearhaven/adapters/log.hpp"
#include "pearhaven/adapters/platform.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace pearhaven::router {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds drain_step{20};

std::uint64_t seed_of(const std::string& incarnation)
{
    return decision::fingerprint("", "", incarnation);
}

json to_json(const decision::endpoint_table::endpoint_status& status)
{
    return {{"address", status.host.address}, {"name", status.host.name},
            {"zone", status.host.zone},       {"outstanding", status.outstanding},
            {"limit", status.limit},          {"ejected", status.ejected},
            {"leaving", status.leaving}};
}

} // namespace

class router::parts {
public:
    explicit parts(const router_settings& chosen)
        : settings(chosen), incarnation(adapters::random_identifier()),
          client(adapters::make_http_client({})),
          store(adapters::make_key_value_store(*this->client, this->settings.key_value_url,
                                               this->settings.store_timeout)),
          session_keys(adapters::make_token_authenticator(this->settings.fleet_key)),
          fleet({this->settings, this->incarnation, seed_of(this->incarnation), *this->store,
                 this->counts, this->configuration}),
          routing(this->settings, *this->client, this->fleet, this->counts,
                  seed_of(this->incarnation)),
          link(this->make_link()),
          callers({this->settings, this->configuration, *this->session_keys, this->routing,
                   this->fleet, *this->client, this->counts}),
          operators(this->settings.host, this->settings.operator_port, this->settings.operator_key,
                    this->make_pages())
    {
        this->routing.start();
        this->fleet.start(this->routing, *this->link, this->operators.port());
        adapters::log_change("router_started",
                             {{"incarnation", this->incarnation},
                              {"zone", this->settings.zone},
                              {"callers", std::to_string(this->callers.port())},
                              {"operators", std::to_string(this->operators.port())},
                              {"peers", std::to_string(this->link->port())}});
    }

    ~parts()
    {
        this->callers.stop();
        this->operators.stop();
        this->link->stop();
        this->client->stop();
        this->routing.stop();
        this->fleet.stop();
    }

    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;

    std::size_t drain(const std::function<bool()>& stop_now);

    router_settings settings;
    std::string incarnation;
    adapters::metrics counts;
    published<decision::configuration_ptr> configuration;
    std::atomic<bool> draining{false};
    std::unique_ptr<adapters::http_client> client;
    std::unique_ptr<coordination::key_value_store> store;
    std::unique_ptr<decision::token_authenticator> session_keys;
    fleet_worker fleet;
    routing_worker routing;
    std::unique_ptr<adapters::peer_link> link;
    caller_server callers;
    operator_server operators;

private:
    [[nodiscard]] std::unique_ptr<adapters::peer_link> make_link();
    [[nodiscard]] operator_pages make_pages();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::string status_page() const;
    [[nodiscard]] std::string endpoints_page() const;
    [[nodiscard]] std::string metrics_page();
};

std::unique_ptr<adapters::peer_link> router::parts::make_link()
{
    adapters::peer_link_settings chosen;
    chosen.listen_host = this->settings.host;
    chosen.listen_port = this->settings.peer_port;
    chosen.self = this->incarnation;
    chosen.fleet_key = this->settings.fleet_key;
    return adapters::make_peer_link(chosen, [this](const std::string& from,
                                                   const adapters::peer_address& reply_to,
                                                   coordination::peer_message message) {
        this->fleet.submit(peer_message_received{from, reply_to, std::move(message)});
    });
}

operator_pages router::parts::make_pages()
{
    operator_pages pages;
    pages.status = [this] { return this->status_page(); };
    pages.endpoints = [this] { return this->endpoints_page(); };
    pages.metrics = [this] { return this->metrics_page(); };
    pages.ready = [this] { return this->is_ready(); };
    return pages;
}

bool router::parts::is_ready() const
{
    const auto fleet_now = this->fleet.view();
    return !this->draining && fleet_now.ready && fleet_now.in_touch;
}

std::string router::parts::status_page() const
{
    const auto fleet_now = this->fleet.view();
    auto members = json::array();
    for (const auto& peer : fleet_now.members) {
        members.push_back({{"incarnation", peer.id},
                           {"zone", peer.zone},
                           {"host", peer.host},
                           {"peer_port", peer.peer_port},
                           {"operator_port", peer.operator_port},
                           {"state", state_name(peer.state)},
                           {"revision", peer.config_revision}});
    }
    json page = {
        {"incarnation", this->incarnation},         {"zone", this->settings.zone},
        {"revision", this->routing.revision()},     {"ready", this->is_ready()},
        {"draining", this->draining.load()},        {"in_touch", fleet_now.in_touch},
        {"outage_agreed", fleet_now.outage_agreed}, {"bills_waiting", fleet_now.bills_waiting},
        {"in_flight", this->callers.in_flight()},   {"members", std::move(members)}};
    if (fleet_now.confirmed_age) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(*fleet_now.confirmed_age);
        page["confirmed_age_ms"] = age.count();
    }
    return page.dump();
}

std::string router::parts::endpoints_page() const
{
    const auto view = this->routing.view();
    auto list = json::array();
    for (const auto& status : view.endpoints) {
        list.push_back(to_json(status));
    }
    const json page = {
        {"endpoints", std::move(list)}, {"in_flight", view.in_flight}, {"queued", view.queued}};
    return page.dump();
}

std::string router::parts::metrics_page()
{
    const auto frames = this->link->counts();
    const auto view = this->routing.view();
    const auto fleet_now = this->fleet.view();
    this->counts.set("pearhaven_peer_frames_sent", {}, static_cast<double>(frames.sent));
    this->counts.set("pearhaven_peer_frames_received", {}, static_cast<double>(frames.received));
    this->counts.set("pearhaven_peer_bytes_sent", {}, static_cast<double>(frames.sent_bytes));
    this->counts.set("pearhaven_peer_bytes_received", {},
                     static_cast<double>(frames.received_bytes));
    this->counts.set("pearhaven_peer_frames_rejected", {}, static_cast<double>(frames.rejected));
    this->counts.set("pearhaven_peer_frames_dropped", {}, static_cast<double>(frames.dropped));
    this->counts.set("pearhaven_queued", {}, static_cast<double>(view.queued));
    this->counts.set("pearhaven_in_flight", {}, static_cast<double>(view.in_flight));
    this->counts.set("pearhaven_config_revision", {}, static_cast<double>(fleet_now.revision));
    this->counts.set("pearhaven_bills_waiting", {}, static_cast<double>(fleet_now.bills_waiting));
    return this->counts.exposition();
}

std::size_t router::parts::drain(const std::function<bool()>& stop_now)
{
    this->draining = true;
    this->fleet.submit(leave_begun{false});
    adapters::log_change("drain_started",
                         {{"in_flight", std::to_string(this->callers.in_flight())}});
    const auto start = std::chrono::steady_clock::now();
    const auto wait_until = [&](const std::function<bool()>& done,
                                std::chrono::milliseconds bound) {
        while (!done() && !stop_now() && std::chrono::steady_clock::now() - start < bound) {
            std::this_thread::sleep_for(drain_step);
        }
    };
    const auto first = now();
    const auto end = first + this->settings.longest_drain;
    this->routing.submit(drain_begun{{first + this->settings.quiet_before_close, end}});
    // The load balancer needs a moment to notice that this router is not ready. New work that it
    // sends until then is still accepted, so that a graceful stop refuses nobody.
    wait_until([] { return false; }, this->settings.quiet_before_close);
    // Stops new work early if `stop_now` ended the wait.
    this->routing.submit(drain_begun{{now(), end}});
    wait_until(
        [this] { return this->callers.in_flight() == 0 && this->fleet.view().bills_waiting == 0; },
        this->settings.longest_drain);
    const auto cut_off = this->callers.in_flight();
    this->fleet.submit(leave_begun{true});
    wait_until([this] { return this->fleet.view().left; }, this->settings.longest_drain);
    if (cut_off > 0) {
        adapters::log_warning("requests_cut_off", {{"count", std::to_string(cut_off)}});
    }
    adapters::log_change("drain_ended", {{"cut_off", std::to_string(cut_off)}});
    return cut_off;
}

router::router(const router_settings& settings) : inner(std::make_unique<parts>(settings)) {}

router::~router() = default;

std::uint16_t router::caller_port() const
{
    return this->inner->callers.port();
}

std::uint16_t router::operator_port() const
{
    return this->inner->operators.port();
}

std::uint16_t router::peer_port() const
{
    return this->inner->link->port();
}

std::size_t router::drain(const std::function<bool()>& stop_now)
{
    return this->inner->drain(stop_now);
}

} // namespace pearhaven::router
