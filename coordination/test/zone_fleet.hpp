#ifndef PEARHAVEN_COORDINATION_TEST_ZONE_FLEET_HPP
#define PEARHAVEN_COORDINATION_TEST_ZONE_FLEET_HPP

#include "pearhaven/coordination/peer_exchange.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pearhaven::coordination::test {

inline constexpr std::uint32_t usual_slots = 48;

struct zone_fleet_options {
    std::size_t routers = 78;
    std::size_t endpoints_per_zone = 22;
    double requests_per_s = 400.0;
    double cold_requests_per_s = 0.0;
    double believed_size = 1.0;  // fleet size that the routers know, relative to the actual one
    bool peers_are_heard = true; // whether load reports arrive
    bool at_most_once = false;   // whether a request whose run is lost cannot be sent again
    std::chrono::milliseconds run_time{1200};
    std::chrono::milliseconds tick{25};
    std::chrono::milliseconds deadline{10000};
    std::uint32_t slots = usual_slots;   // as each endpoint declares
    std::optional<std::uint32_t> room{}; // requests that an endpoint takes; nothing: any number
    double retry_share_on_arrival = 0.0;
    std::optional<double> retry_burst{}; // of one router; nothing: the default
    bool sheds_load = false;             // whether requests are served with regard to the forecast
    std::chrono::milliseconds objective{0};
    std::uint64_t seed = 1;

    // Between the clocks of two routers with consecutive ranks, and by how much their time of day
    // may differ.
    std::chrono::milliseconds clock_distance{7919001};
    std::chrono::milliseconds time_of_day_error{10};
};

// Many routers that place requests on the endpoints of four availability zones and tell each other
// their loads. They learn of each change of the endpoints or the configuration after some delay.
class zone_fleet {
public:
    using instant = decision::instant;
    using duration = decision::duration;

    static constexpr std::size_t zones = 4;
    static constexpr auto cold_time = std::chrono::seconds(3);

    explicit zone_fleet(const zone_fleet_options& chosen) : options(chosen)
    {
        for (std::size_t i = 0; i < this->options.routers; ++i) {
            this->add_router(i);
        }
        this->configure({});
        for (std::size_t i = 0; i < zones * this->options.endpoints_per_zone; ++i) {
            for (auto& router : this->routers) {
                router->on_host_changes({{host_of(i)}, {}}, this->clock_of(router));
            }
        }
        this->simulate(std::chrono::seconds(2));
    }

    static std::string zone_of(std::size_t number) { return "z" + std::to_string(number % zones); }

    // All routers apply it within `delay`.
    void configure(const std::set<std::string>& evacuated, duration delay = {})
    {
        const auto current = this->make_configuration(evacuated);
        for (auto& router : this->routers) {
            this->later(delay, [this, &router, current] {
                router->on_configuration(current, this->clock_of(router));
            });
        }
    }

    // The first `count` endpoints of the zone vanish from all lists.
    void lose(const std::string& zone, std::size_t count)
    {
        this->change_hosts(zone, count, {}, [](const auto& host) {
            return decision::host_changes{{}, {host.address}};
        });
    }

    // They are back, cold, and each router learns it within `delay`.
    void return_cold(const std::string& zone, std::size_t count, duration delay)
    {
        this->change_hosts(zone, count, delay, [this](auto host) {
            this->returned_at[host.address] = this->now;
            host.incarnation = 2;
            host.cold_for = cold_time;
            return decision::host_changes{{host}, {}};
        });
    }

    // From now on, the first endpoint of the zone accepts connections and drops them, or serves.
    void set_dropping(const std::string& zone, bool drops)
    {
        for (const auto& [address, its_zone] : this->zone_by_address) {
            if (its_zone == zone) {
                this->dropping = drops ? address : "";
                return;
            }
        }
    }

    // From now on, each of the first `count` endpoints of the zone states in its answers that it
    // accepts this rate from all routers together; without a rate, it states no limit.
    void state_limit(const std::string& zone, std::size_t count, std::optional<double> rate)
    {
        for (std::size_t i = 0; i < zones * count; ++i) {
            if (zone_of(i) == zone) {
                this->notices[host_of(i).address].request_limit = rate;
            }
        }
    }

    // From now on, each of the first `count` endpoints of the zone is brittle: it states in its
    // answers how many requests a second it can refuse, and crashes if it has to refuse more.
    // Without a limit it refuses any number.
    void state_refusal_limit(const std::string& zone, std::size_t count,
                             std::optional<double> limit)
    {
        for (std::size_t i = 0; i < zones * count; ++i) {
            if (zone_of(i) == zone) {
                this->notices[host_of(i).address].refusal_limit = limit;
                this->brittle_since[host_of(i).address] = this->now;
            }
        }
    }

    void set_request_rate(double requests_per_s) { this->options.requests_per_s = requests_per_s; }

    // From now on, nine of ten requests arrive at this router; nothing: all get as many.
    void set_crowded(std::optional<std::size_t> router) { this->crowded = router; }

    // From now on, each endpoint has room for that many requests.
    void set_room(std::uint32_t room) { this->options.room = room; }

    // Ends all runs at the first endpoint of the zone. It is back after some seconds.
    void crash_first_of(const std::string& zone)
    {
        for (const auto& [address, its_zone] : this->zone_by_address) {
            if (its_zone == zone) {
                this->crash(address);
                return;
            }
        }
    }

    // A new process takes the place of the router. It knows nothing but the endpoints.
    void restart_router(std::size_t rank)
    {
        for (auto at = this->runs.begin(); at != this->runs.end();) {
            if (at->router == rank) {
                --this->held[at->attempt.address];
                at = this->runs.erase(at);
            } else {
                ++at;
            }
        }
        this->routers[rank] = this->make_router(rank);
        this->routers[rank]->on_configuration(this->make_configuration({}), this->clock(rank));
        for (std::size_t i = 0; i < zones * this->options.endpoints_per_zone; ++i) {
            auto host = host_of(i);
            host.incarnation = this->incarnations[host.address];
            this->routers[rank]->on_host_changes({{host}, {}}, this->clock(rank));
        }
    }

    // From now on, each of the first `count` endpoints of the zone states in its answers that it is
    // leaving.
    void state_leaving(const std::string& zone, std::size_t count)
    {
        for (std::size_t i = 0; i < zones * count; ++i) {
            if (zone_of(i) == zone) {
                this->notices[host_of(i).address].leaving = true;
            }
        }
    }

    // From now on, each of the first `count` endpoints of the zone refuses all requests and asks
    // for that much rest; without one, it runs them again.
    void set_refusing(const std::string& zone, std::size_t count, std::optional<duration> rest)
    {
        for (std::size_t i = 0; i < zones * count; ++i) {
            if (zone_of(i) == zone) {
                this->rests[host_of(i).address] = rest;
            }
        }
    }

    // The most requests that an endpoint got from a router between half a second after it had asked
    // that router for rest and the end of that time.
    [[nodiscard]] std::size_t most_in_a_rest() const { return this->max_in_a_rest; }

    // The most requests that any endpoint got within `window` since `from` from routers that had
    // passed on one of its notices at least half a second before.
    [[nodiscard]] std::size_t most_from_told_routers(instant from, duration window) const
    {
        std::size_t most = 0;
        for (const auto& [address, sends] : this->sends_by_told_routers) {
            auto first = std::lower_bound(sends.begin(), sends.end(), from);
            for (; first != sends.end(); ++first) {
                const auto last = std::lower_bound(first, sends.end(), *first + window);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    void simulate(duration time)
    {
        for (const auto until = this->now + time; this->now < until;
             this->now += this->options.tick) {
            this->deliver();
            this->issue_requests();
            this->end_runs();
            this->send_reports();
            if (this->now < this->next_router_tick) {
                continue;
            }
            this->next_router_tick = this->now + router_tick;
            for (auto& router : this->routers) {
                router->on_tick(this->clock_of(router));
            }
        }
    }

    // The most requests that an endpoint got within one second since it returned.
    [[nodiscard]] std::size_t most_in_a_second_since_return() const
    {
        std::size_t most = 0;
        for (const auto& [address, returned] : this->returned_at) {
            const auto found = this->starts.find(address);
            if (found == this->starts.end()) {
                continue;
            }
            const auto& times = found->second;
            auto first = std::lower_bound(times.begin(), times.end(), returned);
            for (; first != times.end(); ++first) {
                const auto last =
                    std::lower_bound(first, times.end(), *first + std::chrono::seconds(1));
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    // Requests that the zone got after `from`.
    [[nodiscard]] std::size_t started_in(const std::string& zone, instant from) const
    {
        std::size_t sum = 0;
        for (const auto& [address, times] : this->starts) {
            if (this->zone_by_address.at(address) == zone) {
                sum += static_cast<std::size_t>(times.end() -
                                                std::lower_bound(times.begin(), times.end(), from));
            }
        }
        return sum;
    }

    instant now{std::chrono::seconds(100)};
    std::size_t refused = 0;
    std::size_t finished = 0;
    std::size_t refused_by_endpoints = 0;
    std::size_t repeated_sends = 0; // beyond the first of each request
    std::size_t crashes = 0;        // of brittle endpoints, for what they had to refuse
    std::size_t max_held = 0;       // at one endpoint

private:
    static constexpr auto router_tick = std::chrono::milliseconds(25);
    static constexpr auto report_delay = std::chrono::milliseconds(30);

    // How long after its statement a brittle endpoint tolerates all refusals.
    static constexpr auto time_to_react = std::chrono::seconds(3);

    static constexpr auto time_to_return = std::chrono::seconds(3);
    static constexpr auto answer_delay = std::chrono::milliseconds(4);

    struct run {
        std::size_t router = 0;
        decision::start_attempt attempt;
        instant ends;
    };

    struct report_in_flight {
        std::size_t to = 0;
        std::string from;
        std::vector<decision::endpoint_load> loads;
        instant arrives;
    };

    // A time for which an endpoint wants no requests from a router, and those that it got.
    struct asked_rest {
        instant from;
        instant until;
        std::size_t requests = 0;
    };

    struct event {
        instant due;
        std::function<void()> apply;
    };

    std::unique_ptr<decision::dispatcher> make_router(std::size_t rank) const
    {
        decision::dispatcher_settings settings;
        settings.endpoints.compares_all = true;
        settings.endpoints.lists_in_order = true;
        settings.endpoints.typical_work = 14.0;
        settings.endpoints.zone_bias = 0.5;
        settings.endpoints.subset_size = 256;
        settings.endpoints.zone = zone_of(rank);
        settings.seed = rank + 1;
        settings.endpoints.router_seed = rank + 1;
        settings.retry_share_on_arrival = this->options.retry_share_on_arrival;
        settings.sheds_load = this->options.sheds_load;
        if (this->options.retry_burst) {
            settings.retry_share = 0.0;
            settings.retry_burst = *this->options.retry_burst;
        }
        auto router = std::make_unique<decision::dispatcher>(settings);
        router->on_config_confirmed(instant::max(), this->clock(rank));
        const auto believed = std::max<std::size_t>(
            1, static_cast<std::size_t>(this->options.believed_size *
                                        static_cast<double>(this->options.routers)));
        router->on_fleet(rank % believed, believed);
        const auto error = static_cast<std::int64_t>(decision::mix(rank) % 3) - 1;
        router->set_clock_offset(this->now - this->clock(rank) +
                                 error * this->options.time_of_day_error);
        for (std::size_t peer = 0; peer < this->options.routers; ++peer) {
            if (peer != rank) {
                router->set_peer(std::to_string(peer), std::to_string(peer));
            }
        }
        return router;
    }

    void add_router(std::size_t rank)
    {
        this->routers.push_back(this->make_router(rank));
        peer_exchange_settings peers;
        peers.self = std::to_string(rank);
        peers.zone = zone_of(rank);
        auto& exchange =
            *this->exchanges.emplace_back(std::make_unique<peer_exchange>(std::move(peers)));
        for (std::size_t peer = 0; peer < this->options.routers; ++peer) {
            exchange.set_peer(std::to_string(peer),
                              {"10.0.0.1", static_cast<std::uint16_t>(peer), zone_of(peer)});
        }
    }

    [[nodiscard]] decision::configuration_ptr
    make_configuration(const std::set<std::string>& evacuated) const
    {
        decision::team anyone;
        anyone.name = "anyone";
        anyone.versions = decision::selector();
        anyone.max_in_flight = 1U << 20U;
        decision::version only;
        only.name = "reader-1";
        only.model = "reader";
        decision::pool engines;
        engines.name = "engines";
        engines.hosts = decision::selector().require("role", {"engine"});
        engines.versions = decision::selector();
        engines.slots_per_host = this->options.slots;
        engines.cold_time = cold_time;
        engines.cold_requests_per_s = this->options.cold_requests_per_s;
        decision::configuration_builder builder;
        builder.add(anyone).add(only).add(engines);
        for (const auto& zone : evacuated) {
            builder.add(decision::evacuation{zone, "", 0});
        }
        return builder.build();
    }

    decision::endpoint_host host_of(std::size_t number)
    {
        const auto address = "10.0.1." + std::to_string(number) + ":80";
        this->zone_by_address[address] = zone_of(number);
        this->incarnations.try_emplace(address, 1);
        return {address, address, zone_of(number), 1, false, {{"role", "engine"}}};
    }

    template <typename Change>
    void change_hosts(const std::string& zone, std::size_t count, duration delay,
                      Change make_change)
    {
        for (std::size_t i = 0; i < zones * count; ++i) {
            if (zone_of(i) != zone) {
                continue;
            }
            const auto changes = make_change(host_of(i));
            for (auto& router : this->routers) {
                this->later(delay, [this, &router, changes] {
                    router->on_host_changes(changes, this->clock_of(router));
                });
            }
        }
    }

    void later(duration longest, std::function<void()> apply)
    {
        const auto range = static_cast<std::uint64_t>(longest.count()) + 1;
        const duration delay(static_cast<duration::rep>(this->next_random() % range));
        this->events.push_back({this->now + delay, std::move(apply)});
    }

    void deliver()
    {
        std::vector<event> remaining;
        for (auto& waiting : std::exchange(this->events, {})) {
            if (waiting.due <= this->now) {
                waiting.apply();
            } else {
                remaining.push_back(std::move(waiting));
            }
        }
        this->events.insert(this->events.end(), remaining.begin(), remaining.end());
    }

    void issue_requests()
    {
        this->request_credit += this->options.requests_per_s *
                                std::chrono::duration<double>(this->options.tick).count();
        for (; this->request_credit >= 1.0; this->request_credit -= 1.0) {
            const auto router = this->next_router();
            decision::arrival request;
            request.ticket = ++this->arrived;
            request.team = "anyone";
            request.asked = "reader";
            request.idempotent = !this->options.at_most_once;
            request.on_loss = decision::continuation::none;
            request.work = {decision::work_class::lookup, 60.0, 14.0};
            request.objective = this->options.objective;
            request.deadline = this->clock(router) + this->options.deadline;
            request.fingerprint = request.ticket;
            this->admit(router, request);
        }
    }

    std::size_t next_router()
    {
        constexpr std::uint64_t crowded_of_ten = 9;
        if (this->crowded && this->next_random() % 10 < crowded_of_ten) {
            return *this->crowded;
        }
        return this->next_random() % this->routers.size();
    }

    void admit(std::size_t router, const decision::arrival& request)
    {
        this->requests[request.ticket] = request;
        this->routers[router]->on_arrival(request, this->clock(router));
        this->apply_actions(router);
    }

    // Another router handles the request as a new one.
    void forward(std::size_t router, const decision::start_attempt& attempt)
    {
        const auto to = static_cast<std::size_t>(std::stoul(attempt.address));
        auto request = this->requests.at(attempt.ticket);
        request.deadline += this->clock(to) - this->clock(router);
        request.ticket = ++this->arrived;
        request.forwarded = true;
        request.only_at_once = attempt.only_at_once;
        this->forwarded_by[request.ticket] = {router, attempt};
        this->events.push_back(
            {this->now + answer_delay, [this, to, request] { this->admit(to, request); }});
    }

    // Tells the router that forwarded the request, if one did, how it ended. Returns whether one
    // did.
    bool end_forwarded(decision::ticket_number ticket, decision::attempt_result result)
    {
        const auto found = this->forwarded_by.find(ticket);
        if (found == this->forwarded_by.end()) {
            return false;
        }
        const auto [router, attempt] = found->second;
        this->forwarded_by.erase(found);
        this->events.push_back(
            {this->now + answer_delay, [this, router = router, attempt = attempt, result] {
                 this->end(router, attempt, result);
             }});
        return true;
    }

    void apply_actions(std::size_t router)
    {
        for (const auto& action : this->routers[router]->take_actions()) {
            if (const auto* started = std::get_if<decision::start_attempt>(&action)) {
                if (started->forwarded) {
                    this->forward(router, *started);
                    continue;
                }
                this->starts[started->address].push_back(this->now);
                this->record_send(router, started->address);
                this->repeated_sends += started->attempt > 1 ? 1 : 0;
                if (this->is_refused(router, *started) || this->is_rejected(router, *started)) {
                    continue;
                }
                if (started->address == this->dropping) {
                    this->end(router, *started, decision::attempt_result::failed);
                    continue;
                }
                this->runs.push_back({router, *started, this->now + this->options.run_time});
                if (this->options.sheds_load) {
                    this->answer_soon(router, *started);
                }
                this->max_held = std::max(this->max_held, ++this->held[started->address]);
            } else if (const auto* cancelled = std::get_if<decision::cancel_attempt>(&action)) {
                this->drop_run(router, *cancelled);
            } else if (const auto* given_up = std::get_if<decision::give_up_request>(&action)) {
                const bool has_run = given_up->why.run != decision::run_state::not_run;
                const bool was_forwarded = this->end_forwarded(
                    given_up->ticket,
                    has_run ? decision::attempt_result::failed : decision::attempt_result::refused);
                this->refused += was_forwarded ? 0 : 1;
                this->requests.erase(given_up->ticket);
            } else if (const auto* done = std::get_if<decision::complete_request>(&action)) {
                this->end_forwarded(done->ticket, decision::attempt_result::finished);
                this->requests.erase(done->ticket);
            }
        }
    }

    // The answer begins within the first eighth of the run.
    void answer_soon(std::size_t router, const decision::start_attempt& attempt)
    {
        constexpr int answer_divisor = 8;
        constexpr double confidence = 100.0;
        this->events.push_back(
            {this->now + this->options.run_time / answer_divisor, [this, router, attempt] {
                 [[maybe_unused]] const bool accepted = this->routers[router]->accepts_answer(
                     attempt.ticket, attempt.attempt, confidence, this->clock(router));
             }});
    }

    // An endpoint drops a run whose connection is closed.
    void drop_run(std::size_t router, const decision::cancel_attempt& cancelled)
    {
        const auto found = std::find_if(this->runs.begin(), this->runs.end(), [&](const run& one) {
            return one.router == router && one.attempt.ticket == cancelled.ticket &&
                   one.attempt.attempt == cancelled.attempt;
        });
        if (found != this->runs.end()) {
            --this->held[cancelled.address];
            this->runs.erase(found);
        }
    }

    void record_send(std::size_t router, const std::string& address)
    {
        constexpr auto learning_time = std::chrono::milliseconds(500);
        const auto told = this->told_at.find({address, router});
        if (told != this->told_at.end() && told->second + learning_time <= this->now) {
            this->sends_by_told_routers[address].push_back(this->now);
        }
    }

    bool is_refused(std::size_t router, const decision::start_attempt& attempt)
    {
        auto& asked = this->asked_rests[{attempt.address, router}];
        for (auto& one : asked) {
            constexpr auto learning_time = std::chrono::milliseconds(500);
            if (this->now >= one.from + learning_time && this->now < one.until) {
                this->max_in_a_rest = std::max(this->max_in_a_rest, ++one.requests);
            }
        }
        const auto found = this->rests.find(attempt.address);
        if (found == this->rests.end() || !found->second) {
            return false;
        }
        asked.push_back({this->now, this->now + *found->second});
        decision::endpoint_notice notice;
        notice.rest = found->second;
        this->routers[router]->on_endpoint_notice(attempt.ticket, attempt.attempt, notice,
                                                  this->clock(router));
        this->end(router, attempt, decision::attempt_result::refused);
        return true;
    }

    // Whether the endpoint is down, or has no room for the request.
    bool is_rejected(std::size_t router, const decision::start_attempt& attempt)
    {
        const auto& address = attempt.address;
        const auto down = this->down_until.find(address);
        if (down != this->down_until.end() && this->now < down->second) {
            this->end_later(router, attempt, decision::attempt_result::unreachable);
            return true;
        }
        if (!this->options.room || this->held[address] < *this->options.room) {
            return false;
        }
        ++this->refused_by_endpoints;
        this->end_later(router, attempt, decision::attempt_result::refused);
        this->record_refusal(address);
        return true;
    }

    void record_refusal(const std::string& address)
    {
        const auto notice = this->notices.find(address);
        const bool is_brittle = notice != this->notices.end() && notice->second.refusal_limit &&
                                this->now - this->brittle_since[address] >= time_to_react;
        if (!is_brittle) {
            return;
        }
        auto& recent = this->refusals[address];
        recent.push_back(this->now);
        while (this->now - recent.front() >= std::chrono::seconds(1)) {
            recent.pop_front();
        }
        if (static_cast<double>(recent.size()) > *notice->second.refusal_limit) {
            ++this->crashes;
            this->crash(address);
        }
    }

    void crash(const std::string& address)
    {
        this->refusals[address].clear();
        this->held[address] = 0;
        this->down_until[address] = this->now + time_to_return;
        std::vector<run> lost;
        std::erase_if(this->runs, [&](const run& one) {
            if (one.attempt.address == address) {
                lost.push_back(one);
            }
            return one.attempt.address == address;
        });
        for (const auto& one : lost) {
            this->end_later(one.router, one.attempt, decision::attempt_result::failed);
        }
        this->events.push_back(
            {this->now + time_to_return, [this, address] {
                 decision::endpoint_host host{address,
                                              address,
                                              this->zone_by_address.at(address),
                                              ++this->incarnations[address],
                                              false,
                                              {{"role", "engine"}}};
                 for (auto& router : this->routers) {
                     router->on_host_changes({{host}, {}}, this->clock_of(router));
                 }
             }});
    }

    // The router hears of it after a moment, and has sent other requests meanwhile.
    void end_later(std::size_t router, const decision::start_attempt& attempt,
                   decision::attempt_result result)
    {
        this->events.push_back({this->now + answer_delay, [this, router, attempt, result] {
                                    this->deliver_notice(router, attempt);
                                    this->end(router, attempt, result);
                                }});
    }

    void deliver_notice(std::size_t router, const decision::start_attempt& attempt)
    {
        const auto found = this->notices.find(attempt.address);
        if (found == this->notices.end()) {
            return;
        }
        this->routers[router]->on_endpoint_notice(attempt.ticket, attempt.attempt, found->second,
                                                  this->clock(router));
        if (found->second.request_limit || found->second.leaving) {
            this->told_at.try_emplace({attempt.address, router}, this->now);
        }
    }

    void end_runs()
    {
        while (!this->runs.empty() && this->runs.front().ends <= this->now) {
            const auto ended = this->runs.front(); // what follows may change the list
            this->runs.pop_front();
            --this->held[ended.attempt.address];
            this->deliver_notice(ended.router, ended.attempt);
            this->end(ended.router, ended.attempt, decision::attempt_result::finished);
            ++this->finished;
        }
    }

    void end(std::size_t router, const decision::start_attempt& attempt,
             decision::attempt_result result)
    {
        decision::attempt_end ended;
        ended.ticket = attempt.ticket;
        ended.attempt = attempt.attempt;
        ended.result = result;
        this->routers[router]->on_attempt_end(ended, this->clock(router));
        this->apply_actions(router);
    }

    void send_reports()
    {
        for (std::size_t from = 0; from < this->routers.size(); ++from) {
            const auto sends = this->exchanges[from]->on_tick(
                this->routers[from]->endpoints().own_loads(this->clock(from)), {true, 1}, this->now,
                {});
            for (const auto& send : sends) {
                this->reports.push_back({send.to.port, std::to_string(from),
                                         std::get<load_push>(send.message).loads,
                                         this->now + report_delay});
            }
        }
        for (; !this->reports.empty() && this->reports.front().arrives <= this->now;
             this->reports.pop_front()) {
            const auto& report = this->reports.front();
            if (this->options.peers_are_heard) {
                this->routers[report.to]->on_peer_loads(report.from, report.loads,
                                                        this->clock(report.to));
            }
        }
    }

    // The router's own clock, whose origin differs from that of the others.
    [[nodiscard]] instant clock(std::size_t rank) const
    {
        return this->now + this->options.clock_distance * static_cast<std::int64_t>(rank);
    }

    [[nodiscard]] instant clock_of(const std::unique_ptr<decision::dispatcher>& router) const
    {
        return this->clock(static_cast<std::size_t>(&router - this->routers.data()));
    }

    std::uint64_t next_random() { return decision::mix(this->random_state++); }

    zone_fleet_options options;
    std::uint64_t random_state = 1 + (this->options.seed - 1) * 1'000'003;
    double request_credit = 0.0;
    std::optional<std::size_t> crowded; // router
    instant next_router_tick;
    std::uint64_t arrived = 0;
    std::map<decision::ticket_number, decision::arrival> requests;

    // The routers that forwarded requests, and their attempts, by the tickets at the other routers.
    std::map<decision::ticket_number, std::pair<std::size_t, decision::start_attempt>> forwarded_by;
    std::vector<std::unique_ptr<decision::dispatcher>> routers;
    std::vector<std::unique_ptr<peer_exchange>> exchanges;
    std::map<std::string, std::string> zone_by_address;
    std::string dropping; // address of the endpoint that drops its requests; empty: none
    std::map<std::string, instant> returned_at;           // by address
    std::map<std::string, std::vector<instant>> starts;   // by address, in order
    std::map<std::string, std::size_t> held;              // by address
    std::map<std::string, std::uint64_t> incarnations;    // by address
    std::map<std::string, instant> brittle_since;         // by address
    std::map<std::string, instant> down_until;            // by address
    std::map<std::string, std::deque<instant>> refusals;  // of the last second, by address
    std::map<std::string, std::optional<duration>> rests; // by address
    std::map<std::pair<std::string, std::size_t>, std::vector<asked_rest>> asked_rests;
    std::size_t max_in_a_rest = 0;
    std::map<std::string, decision::endpoint_notice> notices;          // by address
    std::map<std::pair<std::string, std::size_t>, instant> told_at;    // by address and router
    std::map<std::string, std::vector<instant>> sends_by_told_routers; // by address, in order
    std::deque<run> runs; // in the order in which they end
    std::deque<report_in_flight> reports;
    std::vector<event> events;
};

} // namespace pearhaven::coordination::test

#endif
