#ifndef PEARHAVEN_COORDINATION_TEST_CRASH_FLEET_HPP
#define PEARHAVEN_COORDINATION_TEST_CRASH_FLEET_HPP

#include "pearhaven/coordination/peer_exchange.hpp"
#include "pearhaven/decision/dispatcher.hpp"
#include "pearhaven/decision/mix.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pearhaven::coordination::test {

struct crash_fleet_options {
    std::size_t routers = 20;
    std::size_t endpoints = 12;
    std::uint32_t slots_per_endpoint = 6;
    std::size_t first_seed = 1;
    std::uint32_t model_sizes = 1;
    double lost_messages = 0.0; // share of the messages between routers
    std::chrono::milliseconds store_delay{1500};
    bool crashes_are_silent = false; // connections to a crashed endpoint stay open
};

struct fleet_request {
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> parts; // of its prompt
    bool breaks_first_runs = false;   // two connections break, and their endpoints live on
    std::uint64_t crash_cause = 0;    // if set, it crashes its endpoint, soon after it is begun
    std::chrono::milliseconds time_to_begin{10};
    std::chrono::milliseconds time_to_end{40};
    std::chrono::milliseconds deadline{1000};
};

// Routers, and a few endpoints that crash under some of their requests. Another process takes the
// place of an endpoint that has crashed.
class crash_fleet {
public:
    explicit crash_fleet(const crash_fleet_options& chosen)
        : options(chosen), random_state(chosen.first_seed)
    {
        for (std::size_t i = 0; i < this->options.routers; ++i) {
            this->add_router(i);
        }
        for (std::size_t i = 0; i < this->options.endpoints; ++i) {
            this->start_endpoint();
        }
    }

    // Calls `send_requests` in each step of 10 ms.
    void simulate(decision::duration time, const std::function<void()>& send_requests)
    {
        for (const auto until = this->now + time; this->now < until; this->now += step) {
            this->deliver();
            send_requests();
            this->advance_runs();
            this->share_quarantines();
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                this->routers[i]->on_tick(this->now);
                this->apply_actions(i);
            }
        }
    }

    // Sends the request to any router. Returns whether it was refused because of crashes.
    bool send(const fleet_request& sent)
    {
        const auto router = this->next_random() % this->routers.size();
        decision::arrival request;
        request.ticket = ++this->last_ticket;
        request.team = "anyone";
        request.asked = "api";
        request.on_loss = decision::continuation::none;
        request.work = {decision::work_class::lookup, 30.0};
        request.deadline = this->now + sent.deadline;
        request.fingerprint = sent.fingerprint;
        request.part_names = sent.parts;
        request.max_attempts = 3;
        request.sizes = this->options.model_sizes;
        request.objective = sent.deadline / 2;
        this->sent_requests.push_back(sent);
        this->quarantined.erase(request.ticket);
        this->routers[router]->on_arrival(request, this->now);
        this->apply_actions(router);
        return this->quarantined.count(request.ticket) > 0;
    }

    // Endpoints fail at once, together with all their runs.
    void fail_endpoints(std::size_t count)
    {
        for (std::size_t i = 0; i < count && !this->running.empty(); ++i) {
            this->crash(this->running.front(), 0);
        }
    }

    // A router restarts and knows nothing of before.
    void restart_router(std::size_t rank)
    {
        std::erase_if(this->runs, [rank](const run& one) { return one.router == rank; });
        this->routers[rank] = this->make_router(rank);
        for (const auto& id : this->running) {
            this->routers[rank]->on_host_changes({{host(id)}, {}}, this->now);
        }
        for (const auto subject : this->published) {
            this->routers[rank]->on_shared_quarantine(subject, true, this->now);
        }
    }

    // Times of the crashes with this cause, and of the sends that had it.
    [[nodiscard]] const std::vector<decision::instant>& crashes(std::uint64_t cause)
    {
        return this->crash_times[cause];
    }
    [[nodiscard]] const std::vector<decision::instant>& crashing_sends(std::uint64_t cause)
    {
        return this->send_times[cause];
    }

    // How many of the times are later than that long after the crash of this number.
    [[nodiscard]] std::size_t count_later_than(const std::vector<decision::instant>& times,
                                               std::uint64_t cause, std::size_t crash,
                                               decision::duration after)
    {
        const auto& known = this->crashes(cause);
        if (known.size() < crash) {
            return 0;
        }
        const auto from = known[crash - 1] + after;
        return static_cast<std::size_t>(std::count_if(
            times.begin(), times.end(), [from](decision::instant one) { return one > from; }));
    }

    std::uint64_t next_random() { return decision::mix(this->random_state++); }

    decision::instant now{std::chrono::seconds(100)};
    std::size_t refused_innocents = 0; // as requests that crash endpoints

private:
    static constexpr auto step = std::chrono::milliseconds(10);
    static constexpr auto time_to_crash = std::chrono::milliseconds(30);
    static constexpr auto message_delay = std::chrono::milliseconds(60);
    static constexpr auto restart_time = std::chrono::seconds(3);
    static constexpr auto removal_time = std::chrono::milliseconds(3600);
    static constexpr auto silence_time = std::chrono::milliseconds(1000);
    static constexpr auto connect_time = std::chrono::milliseconds(400);

    struct run {
        std::size_t router = 0;
        decision::start_attempt attempt;
        decision::instant begins;
        decision::instant ends;
        bool has_begun = false;
    };

    struct event {
        decision::instant due;
        std::function<void()> apply;
    };

    static decision::endpoint_host host(const std::string& id)
    {
        return {id, id, "osu", 0, false, {}};
    }

    [[nodiscard]] std::unique_ptr<decision::dispatcher> make_router(std::size_t rank) const
    {
        decision::dispatcher_settings settings;
        settings.endpoints.compares_all = true;
        settings.endpoints.zone = "osu";
        settings.seed = rank + 1;
        settings.endpoints.router_seed = rank + 1;
        settings.retry_burst = 1000.0;
        auto router = std::make_unique<decision::dispatcher>(settings);
        router->on_config_confirmed(decision::instant::max(), this->now);
        router->on_fleet(rank, this->options.routers);
        decision::team anyone;
        anyone.name = "anyone";
        anyone.versions = decision::selector();
        anyone.max_in_flight = 1000;
        decision::version only;
        only.name = "api@v1";
        only.model = "api";
        decision::pool endpoints;
        endpoints.name = "endpoints";
        endpoints.hosts = decision::selector();
        endpoints.versions = decision::selector();
        endpoints.slots_per_host = this->options.slots_per_endpoint;
        router->on_configuration(
            decision::configuration_builder().add(anyone).add(only).add(endpoints).build(),
            this->now);
        return router;
    }

    void add_router(std::size_t rank)
    {
        this->routers.push_back(this->make_router(rank));
        peer_exchange_settings peers;
        peers.self = std::to_string(rank);
        auto& exchange =
            *this->exchanges.emplace_back(std::make_unique<peer_exchange>(std::move(peers)));
        for (std::size_t peer = 0; peer < this->options.routers; ++peer) {
            exchange.set_peer(std::to_string(peer),
                              {"10.0.0.1", static_cast<std::uint16_t>(peer), "osu"});
        }
    }

    void start_endpoint()
    {
        const auto id = "i-" + std::to_string(++this->started_endpoints);
        this->running.push_back(id);
        this->change_hosts({{host(id)}, {}});
    }

    void change_hosts(const decision::host_changes& changes)
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            this->routers[i]->on_host_changes(changes, this->now);
            this->apply_actions(i);
        }
    }

    [[nodiscard]] const fleet_request& request_of(decision::ticket_number ticket) const
    {
        return this->sent_requests.at(ticket - 1);
    }

    void apply_actions(std::size_t router)
    {
        for (const auto& action : this->routers[router]->take_actions()) {
            std::visit([this, router](const auto& one) { this->apply(router, one); }, action);
        }
    }

    template <typename Other>
    void apply(std::size_t /*router*/, const Other& /*action*/)
    {}

    void apply(std::size_t router, const decision::start_attempt& attempt)
    {
        const auto& request = this->request_of(attempt.ticket);
        if (!this->is_running(attempt.address)) {
            const auto delay = this->options.crashes_are_silent ? connect_time : step;
            this->later(delay, [this, router, attempt] {
                this->end(router, attempt, decision::attempt_result::unreachable);
            });
            return;
        }
        this->send_times[request.crash_cause].push_back(this->now);
        this->runs.push_back(
            {router, attempt, this->now + request.time_to_begin, this->now + request.time_to_end});
    }

    void apply(std::size_t /*router*/, const decision::give_up_request& refused)
    {
        if (refused.why.code != decision::failure_code::request_quarantined) {
            return;
        }
        this->quarantined.insert(refused.ticket);
        const bool is_innocent = this->request_of(refused.ticket).crash_cause == 0;
        this->refused_innocents += is_innocent ? 1 : 0;
    }

    void apply(std::size_t router, const decision::cancel_attempt& cancelled)
    {
        std::erase_if(this->runs, [&](const run& one) {
            return one.router == router && one.attempt.ticket == cancelled.ticket;
        });
    }

    void apply(std::size_t router, const decision::announce_lost_run& action)
    {
        this->report(router, action.run.fingerprint, [this, run = action.run](auto& peer) {
            peer.on_peer_lost_run(run, this->now);
        });
    }

    void apply(std::size_t router, const decision::announce_finished_run& action)
    {
        this->report(router, action.fingerprint, [fingerprint = action.fingerprint](auto& peer) {
            peer.on_peer_finished_run(fingerprint);
        });
    }

    void apply(std::size_t router, const decision::announce_lost_prompt& action)
    {
        this->report(router, action.prompt.target, [this, prompt = action.prompt](auto& peer) {
            peer.on_peer_lost_prompt(prompt, this->now);
        });
    }

    void apply(std::size_t router, const decision::announce_answered_prompt& action)
    {
        this->report(router, action.prompt.target, [this, prompt = action.prompt](auto& peer) {
            peer.on_peer_answered_prompt(prompt, this->now);
        });
    }

    template <typename Handle>
    void report(std::size_t router, std::uint64_t subject, Handle handle)
    {
        for (const auto& peer : this->exchanges[router]->run_report_recipients(subject)) {
            constexpr double random_range = 1000.0;
            const auto drawn = static_cast<double>(this->next_random() % 1000);
            if (drawn < this->options.lost_messages * random_range) {
                continue;
            }
            this->later(message_delay,
                        [this, to = peer.port, handle] { handle(*this->routers[to]); });
        }
    }

    void advance_runs()
    {
        const auto ready = [this](const run& one) {
            return (!one.has_begun && one.begins <= this->now) || one.ends <= this->now;
        };
        // Runs that begin or end may end others.
        for (auto one = std::find_if(this->runs.begin(), this->runs.end(), ready);
             one != this->runs.end();
             one = std::find_if(this->runs.begin(), this->runs.end(), ready)) {
            if (one->has_begun) {
                const auto ended = *one;
                this->runs.erase(one);
                this->end(ended.router, ended.attempt, decision::attempt_result::finished);
            } else {
                one->has_begun = true;
                this->begin(*one);
            }
        }
        for (const auto& one : this->runs) {
            if (one.has_begun) {
                this->routers[one.router]->on_piece(one.attempt.ticket, one.attempt.attempt,
                                                    this->now);
            }
        }
    }

    // Nearly half of the answers of smaller models are poor, so that the router drops them.
    void begin(const run& one)
    {
        const auto begun = one;
        if (const auto cause = this->request_of(begun.attempt.ticket).crash_cause; cause != 0) {
            this->later(time_to_crash, [this, address = begun.attempt.address, cause] {
                this->crash(address, cause);
            });
        }
        if (this->request_of(begun.attempt.ticket).breaks_first_runs &&
            begun.attempt.attempt <= 2) {
            this->forget(begun);
            this->end(begun.router, begun.attempt, decision::attempt_result::failed);
            return;
        }
        const bool is_small = begun.attempt.size + 1 < this->options.model_sizes;
        const bool is_poor = is_small && this->next_random() % 100 < 45;
        const bool is_accepted = this->routers[begun.router]->accepts_answer(
            begun.attempt.ticket, begun.attempt.attempt, is_poor ? 0.0 : 100.0, this->now);
        if (!is_accepted) {
            this->forget(begun);
            this->apply_actions(begun.router);
        }
    }

    void forget(const run& ended)
    {
        std::erase_if(this->runs, [&ended](const run& one) {
            return one.router == ended.router && one.attempt.ticket == ended.attempt.ticket &&
                   one.attempt.attempt == ended.attempt.attempt;
        });
    }

    [[nodiscard]] bool is_running(const std::string& address) const
    {
        return std::find(this->running.begin(), this->running.end(), address) !=
               this->running.end();
    }

    void crash(const std::string& crashed, std::uint64_t cause)
    {
        const auto address = crashed;
        if (!this->is_running(address)) {
            return;
        }
        this->crash_times[cause].push_back(this->now);
        std::erase(this->running, address);
        std::vector<run> lost;
        std::erase_if(this->runs, [&](const run& one) {
            const bool was_there = one.attempt.address == address;
            if (was_there) {
                lost.push_back(one);
            }
            return was_there;
        });
        for (const auto& one : lost) {
            if (this->options.crashes_are_silent) {
                this->later(silence_time, [this, one] {
                    this->end(one.router, one.attempt, decision::attempt_result::went_silent);
                });
            } else {
                this->end(one.router, one.attempt, decision::attempt_result::failed);
            }
        }
        this->later(restart_time, [this] { this->start_endpoint(); });
        this->later(removal_time, [this, address] { this->change_hosts({{}, {address}}); });
    }

    void end(std::size_t router, const decision::start_attempt& attempt,
             decision::attempt_result result)
    {
        decision::attempt_end ended;
        ended.ticket = attempt.ticket;
        ended.attempt = attempt.attempt;
        ended.result = result;
        ended.connection_lost = result == decision::attempt_result::failed;
        this->routers[router]->on_attempt_end(ended, this->now);
        this->apply_actions(router);
    }

    // What a router counts as quarantined reaches all of them through the store, which keeps it as
    // long as one of them does.
    void share_quarantines()
    {
        std::map<std::uint64_t, std::size_t> evidenced; // with the first router that counts them
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            auto& router = *this->routers[i];
            for (const auto fingerprint : router.quarantined_requests(this->now)) {
                evidenced.emplace(fingerprint, i);
            }
            for (const auto& found : router.crashing_parts(this->now)) {
                if (this->exchanges[i]->is_run_report_recipient(found.target)) {
                    evidenced.emplace(found.part, i);
                }
            }
        }
        for (const auto& [subject, first] : evidenced) {
            this->share(subject, this->published.insert(subject).second, true);
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                this->routers[i]->set_quarantine_tester(subject, i == first, this->now);
            }
        }
        for (auto one = this->published.begin(); one != this->published.end();) {
            const auto subject = *one;
            const bool ends = evidenced.count(subject) == 0;
            one = ends ? this->published.erase(one) : std::next(one);
            this->share(subject, ends, false);
        }
    }

    void share(std::uint64_t subject, bool has_changed, bool is_quarantined)
    {
        if (!has_changed) {
            return;
        }
        this->later(this->options.store_delay, [this, subject, is_quarantined] {
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                this->routers[i]->on_shared_quarantine(subject, is_quarantined, this->now);
                this->apply_actions(i);
            }
        });
    }

    void later(decision::duration delay, std::function<void()> apply)
    {
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
        this->events.insert(this->events.end(), std::make_move_iterator(remaining.begin()),
                            std::make_move_iterator(remaining.end()));
    }

    crash_fleet_options options;
    std::uint64_t random_state;
    decision::ticket_number last_ticket = 0;
    std::size_t started_endpoints = 0;
    std::vector<std::unique_ptr<decision::dispatcher>> routers;
    std::vector<std::unique_ptr<peer_exchange>> exchanges;
    std::vector<std::string> running;         // endpoints
    std::vector<fleet_request> sent_requests; // by ticket, less one
    std::set<decision::ticket_number> quarantined;
    std::set<std::uint64_t> published;                                   // subjects of quarantines
    std::map<std::uint64_t, std::vector<decision::instant>> crash_times; // by cause
    std::map<std::uint64_t, std::vector<decision::instant>> send_times;
    std::vector<run> runs;
    std::vector<event> events;
};

} // namespace pearhaven::coordination::test

#endif
