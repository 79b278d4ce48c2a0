#ifndef PEARHAVEN_ROUTER_ROUTING_WORKER_HPP
#define PEARHAVEN_ROUTER_ROUTING_WORKER_HPP

#include "engine_attempt.hpp"
#include "fleet_event.hpp"
#include "routing_event.hpp"

#include "pearhaven/adapters/bounded_ring.hpp"
#include "pearhaven/adapters/http_client.hpp"
#include "pearhaven/adapters/metrics.hpp"
#include "pearhaven/router/evacuation_monitor.hpp"
#include "pearhaven/router/settings.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace pearhaven::router {

// State of the routing thread that the operator port shows.
struct routing_view {
    std::vector<decision::endpoint_table::endpoint_status> endpoints;
    std::size_t in_flight = 0;
    std::size_t queued = 0;
};

// Runs the dispatcher on a thread of its own: feeds it with events and executes its actions. It
// also keeps the dispatcher's view of the endpoints current from the host list and load reports.
class routing_worker : public routing_sink {
public:
    // All references must outlive the worker.
    routing_worker(const router_settings& chosen, adapters::http_client& http_client,
                   fleet_sink& fleet_events, adapters::metrics& process_metrics,
                   std::uint64_t seed);
    ~routing_worker() override;
    routing_worker(const routing_worker&) = delete;
    routing_worker& operator=(const routing_worker&) = delete;

    void start();
    void stop();

    bool submit(routing_event event) override;
    bool offer(routing_event& event) override;

    [[nodiscard]] routing_view view() const;

    // Revision of the configuration that applies to every attempt started from now on.
    [[nodiscard]] std::uint64_t revision() const { return this->revision_in_force.load(); }

private:
    struct request_record {
        exchange_ptr caller;
        engine_run_ptr run;
        attempt_ended last;
        double cost_per_token = 0.0;
    };

    struct reported_rollout {
        decision::rollout_report report;
        decision::instant at;
    };

    void run();
    void handle_waiting();
    void handle(request_arrived& event);
    void handle(attempt_ended& ended);
    void handle(caller_gone& event);
    void handle(configuration_changed& event);
    void handle(config_validity_changed& event);
    void handle(hosts_listed& event);
    void handle(load_reported& event);
    void handle(endpoint_leaving_reported& event);
    void handle(suspect_status_reported& event);
    void handle(fleet_changed& event);
    void handle(version_trip_reported& event);
    void handle(drain_begun& event);
    void carry_out();
    void carry_out(const decision::start_attempt& action);
    void carry_out(const decision::resume_attempt& action);
    void carry_out(const decision::cancel_attempt& action);
    void carry_out(const decision::complete_request& action);
    void carry_out(const decision::give_up_request& action);
    void carry_out(const decision::announce_leaving& action);
    void carry_out(const decision::announce_suspect_status& action);

    // Endpoints of this interface tell whether they still know a run, so runs that end with their
    // connection are not reported here.
    void carry_out(const decision::announce_lost_run& /*action*/) {}
    void carry_out(const decision::announce_lost_prompt& /*action*/) {}
    void carry_out(const decision::announce_answered_prompt& /*action*/) {}
    void carry_out(const decision::report_quarantine_test& /*action*/) {}
    void carry_out(const decision::report_load_measure& /*action*/) {}
    void carry_out(const decision::announce_finished_run& /*action*/) {}
    void carry_out(const decision::report_reachability& action);
    void carry_out(const decision::report_repeat_prevented& action);

    // Requests of this interface have no objective.
    void carry_out(const decision::report_cheaper_answer& /*action*/) {}
    void start_engine(request_record& record, const decision::start_attempt& action);
    void start_service(request_record& record, const decision::start_attempt& action);
    [[nodiscard]] coordination::bill make_bill(const request_record& record,
                                               const decision::complete_request& action) const;
    void poll_when_due();
    void report_rollouts();
    void report_rollout(const decision::rollout_report& report);
    void poll_hosts();
    void poll_loads();
    [[nodiscard]] bool gives_load_reports(const decision::endpoint_host& host) const;
    void publish_view();

    const router_settings& settings;
    adapters::http_client& client;
    fleet_sink& fleet;
    adapters::metrics& counts;
    decision::dispatcher dispatcher;
    adapters::bounded_ring<routing_event> ring;
    std::unordered_map<decision::ticket_number, request_record> records;
    decision::instant next_tick;
    decision::instant next_hosts;
    decision::instant next_loads;
    decision::instant next_view;
    decision::instant next_rollouts;
    std::map<std::string, reported_rollout> reported_rollouts;
    evacuation_monitor evacuations{this->counts};
    mutable std::mutex view_mutex;
    routing_view latest_view;
    std::atomic<std::uint64_t> revision_in_force{0};
    std::thread thread;
};

} // namespace pearhaven::router

#endif
