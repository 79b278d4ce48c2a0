#ifndef PEARHAVEN_COORDINATION_SIMULATION_HPP
#define PEARHAVEN_COORDINATION_SIMULATION_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/coordination/registration.hpp"
#include "pearhaven/decision/time.hpp"

#include "mix.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pearhaven::coordination::simulation {

using decision::duration;
using decision::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Virtual time and a single source of randomness for a schedule, so that a seed reproduces a run.
class scheduler {
public:
    explicit scheduler(std::uint64_t seed) : sequence(seed) {}

    [[nodiscard]] instant now() const { return this->time; }
    void after(duration delay, std::function<void()> event)
    {
        this->events.emplace(this->time + delay, std::move(event));
    }
    void run_for(duration span)
    {
        const instant end = this->time + span;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto node = this->events.extract(this->events.begin());
            this->time = node.key();
            node.mapped()();
        }
        this->time = end;
    }
    std::uint64_t below(std::uint64_t bound) { return next_random(this->sequence) % bound; }
    bool chance(unsigned percent) { return this->below(100) < percent; }
    duration delay(milliseconds longest)
    {
        return milliseconds(this->below(static_cast<std::uint64_t>(longest.count()) + 1));
    }

private:
    instant time{seconds{1000}};
    std::uint64_t sequence;
    std::multimap<instant, std::function<void()>> events;
};

// Delivers messages between numbered nodes: late, twice, or not at all.
class network {
public:
    explicit network(scheduler& schedule) : clock(schedule) {}

    unsigned lost_percent = 0;
    milliseconds longest_delay{2};
    std::set<std::pair<std::size_t, std::size_t>> cuts; // blocked links, as sender and receiver
    std::uint64_t sent = 0;

    void transmit(std::size_t from, std::size_t to, const std::function<void()>& deliver)
    {
        ++this->sent;
        if (this->clock.chance(this->lost_percent) || this->cuts.count({from, to}) != 0) {
            return;
        }
        const unsigned copies = this->clock.chance(this->lost_percent) ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            this->clock.after(this->clock.delay(this->longest_delay), deliver);
        }
    }

private:
    scheduler& clock;
};

// Linearizable model of the key-value service. Each call takes effect at one instant, or not at
// all, and its reply may be lost or late.
class model_store {
public:
    explicit model_store(scheduler& schedule) : clock(schedule) {}

    unsigned lost_percent = 0; // of calls: half before they take effect, half after
    milliseconds longest_delay{2};
    bool down = false;
    duration time_to_fail{}; // delay before a call fails while the store is down
    std::uint64_t calls = 0;
    std::function<void(const kv_entry&)> on_write; // called for every write as it takes effect

    void submit(const kv_request& request, const std::function<void(const kv_reply&)>& done)
    {
        ++this->calls;
        const duration request_delay = this->clock.delay(this->longest_delay);
        const duration reply_delay = this->clock.delay(this->longest_delay);
        const bool lost = this->clock.chance(this->lost_percent);
        const bool applied = !lost || this->clock.chance(50);
        const auto finish = [this, request, done, reply_delay, lost, applied] {
            kv_reply reply;
            if (!this->down && applied) {
                reply = this->apply(request);
            }
            if (lost && !this->down) {
                reply = kv_reply{kv_outcome::unknown, 0, 0, {}};
            }
            const duration wait = this->down ? this->time_to_fail : reply_delay;
            this->clock.after(wait, [done, reply] { done(reply); });
        };
        const auto* watch = std::get_if<kv_watch>(&request);
        this->clock.after(watch != nullptr && this->changes(*watch).empty()
                              ? request_delay + watch->wait
                              : request_delay,
                          finish);
    }

    kv_reply apply(const kv_request& request)
    {
        this->expire_leases();
        return std::visit([this](const auto& call) { return this->call(call); }, request);
    }

    [[nodiscard]] const kv_entry* find(const std::string& key)
    {
        this->expire_leases();
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? nullptr : &found->second;
    }

    std::vector<kv_entry> range(const std::string& prefix)
    {
        this->expire_leases();
        std::vector<kv_entry> found;
        for (const auto& [key, entry] : this->entries) {
            if (key.starts_with(prefix)) {
                found.push_back(entry);
            }
        }
        return found;
    }

private:
    struct lease_state {
        instant end;
        duration time_to_live{};
    };

    kv_reply ok(std::vector<kv_entry> found = {}) const
    {
        return {kv_outcome::ok, this->revision, 0, std::move(found)};
    }
    kv_reply call(const kv_get& get)
    {
        const kv_entry* entry = this->find(get.key);
        return entry == nullptr ? kv_reply{kv_outcome::not_found, this->revision, 0, {}}
                                : this->ok({*entry});
    }
    kv_reply call(const kv_range& range_call) { return this->ok(this->range(range_call.prefix)); }
    kv_reply call(const kv_compare_and_swap& swap)
    {
        if (swap.lease != 0 && this->leases.count(swap.lease) == 0) {
            return {kv_outcome::not_found, this->revision, 0, {}};
        }
        const kv_entry* current = this->find(swap.key);
        if ((current == nullptr ? 0 : current->revision) != swap.expected) {
            return this->conflict(current);
        }
        this->entries[swap.key] = {swap.key, swap.value, ++this->revision};
        if (this->on_write) {
            this->on_write(this->entries[swap.key]);
        }
        this->holders[swap.key] = swap.lease;
        return this->ok();
    }
    kv_reply call(const kv_delete& removal)
    {
        const kv_entry* current = this->find(removal.key);
        if (current == nullptr) {
            return {kv_outcome::not_found, this->revision, 0, {}};
        }
        if (current->revision != removal.expected) {
            return this->conflict(current);
        }
        this->remove(removal.key);
        return this->ok();
    }
    kv_reply call(const kv_watch& watch) { return this->ok(this->changes(watch)); }
    kv_reply call(const kv_grant_lease& grant)
    {
        const lease_number lease = ++this->last_lease;
        this->leases[lease] = {this->clock.now() + grant.time_to_live, grant.time_to_live};
        return {kv_outcome::ok, this->revision, lease, {}};
    }
    kv_reply call(const kv_renew_lease& renewal)
    {
        const auto found = this->leases.find(renewal.lease);
        if (found == this->leases.end()) {
            return {kv_outcome::not_found, this->revision, 0, {}};
        }
        found->second.end = this->clock.now() + found->second.time_to_live;
        return this->ok();
    }
    kv_reply call(const kv_revoke_lease& revocation)
    {
        this->end_lease(revocation.lease);
        return this->ok();
    }

    kv_reply conflict(const kv_entry* current) const
    {
        kv_reply reply{kv_outcome::conflict, this->revision, 0, {}};
        if (current != nullptr) {
            reply.entries.push_back(*current);
        }
        return reply;
    }
    std::vector<kv_entry> changes(const kv_watch& watch)
    {
        std::vector<kv_entry> found = this->range(watch.prefix);
        for (const auto& [key, entry] : this->deletions) {
            if (key.starts_with(watch.prefix) && this->entries.count(key) == 0) {
                found.push_back(entry);
            }
        }
        std::erase_if(found, [&](const auto& entry) { return entry.revision <= watch.after; });
        return found;
    }
    void remove(const std::string& key)
    {
        this->entries.erase(key);
        this->deletions[key] = {key, "", ++this->revision};
    }
    void end_lease(lease_number lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> gone;
        for (const auto& [key, holder] : this->holders) {
            if (holder == lease && this->entries.count(key) != 0) {
                gone.push_back(key);
            }
        }
        for (const std::string& key : gone) {
            this->remove(key);
            this->holders.erase(key);
        }
    }
    void expire_leases()
    {
        const auto ended = [&](const auto& lease) { return lease.second.end <= this->clock.now(); };
        for (auto found = std::find_if(this->leases.begin(), this->leases.end(), ended);
             found != this->leases.end();
             found = std::find_if(this->leases.begin(), this->leases.end(), ended)) {
            this->end_lease(found->first);
        }
    }

    scheduler& clock;
    store_revision revision = 0;
    lease_number last_lease = 0;
    std::map<std::string, kv_entry> entries;
    std::map<std::string, kv_entry> deletions;
    std::map<std::string, lease_number> holders;
    std::map<lease_number, lease_state> leases;
};

// Processes that each run one component, connected by the store and the network. A process can be
// replaced by a later incarnation at the same address. A paused process does nothing while time
// advances, and events for it are queued.
template <class Part>
class fleet {
public:
    fleet(std::uint64_t seed, std::size_t size)
        : clock(seed), store(clock), net(clock), nodes(size), incarnations(size),
          paused(size, false), store_cut(size, false)
    {}
    virtual ~fleet() = default;

    [[nodiscard]] std::string id(std::size_t node) const
    {
        return std::to_string(node) + "." + std::to_string(this->incarnations[node]);
    }
    [[nodiscard]] member_address address(std::size_t node) const
    {
        return {this->id(node), "", static_cast<std::uint16_t>(node)};
    }
    [[nodiscard]] std::vector<std::size_t> running() const
    {
        std::vector<std::size_t> found;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            if (this->nodes[node]) {
                found.push_back(node);
            }
        }
        return found;
    }
    template <class Check>
    std::size_t count_running(const Check& check) const
    {
        const auto all = this->running();
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](std::size_t node) { return check(*this->nodes[node]); }));
    }

    void start(std::size_t node)
    {
        this->nodes[node] = this->make(node);
        this->tick(node, this->incarnations[node]);
    }
    void stop(std::size_t node)
    {
        this->nodes[node].reset();
        ++this->incarnations[node];
        this->paused[node] = false;
    }
    void start_all()
    {
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            this->start(node);
        }
    }
    void cut_both_ways(std::size_t left, std::size_t right)
    {
        this->net.cuts.insert({left, right});
        this->net.cuts.insert({right, left});
    }
    void end_faults()
    {
        this->net.cuts.clear();
        this->net.lost_percent = this->store.lost_percent = 0;
        this->net.longest_delay = this->store.longest_delay = milliseconds{2};
        this->store.down = false;
        this->paused.assign(this->nodes.size(), false);
        this->store_cut.assign(this->nodes.size(), false);
    }

    void carry_out(std::size_t node)
    {
        for (const auto& action : this->nodes[node]->take_actions()) {
            std::visit([&](const auto& what) { this->carry_out(node, what); }, action);
        }
    }

    scheduler clock;
    model_store store;
    network net;
    std::vector<std::unique_ptr<Part>> nodes;
    std::vector<std::uint64_t> incarnations;
    std::vector<bool> paused;
    std::vector<bool> store_cut;

protected:
    virtual std::unique_ptr<Part> make(std::size_t node) = 0;
    virtual void on_action(std::size_t /*node*/, const typename Part::action& /*action*/) {}
    virtual void on_message(const peer_message& /*sent*/) {}
    virtual void on_ticked(std::size_t /*node*/) {}

private:
    std::map<std::size_t, std::vector<std::function<void()>>>
        waiting; // events queued for paused processes

    void tick(std::size_t node, std::uint64_t incarnation)
    {
        if (this->incarnations[node] != incarnation) {
            return;
        }
        if (!this->paused[node]) {
            for (const auto& event : std::exchange(this->waiting[node], {})) {
                event();
            }
            this->nodes[node]->on_tick(this->clock.now());
            this->carry_out(node);
            this->on_ticked(node);
        }
        this->clock.after(milliseconds{100}, [=, this] { this->tick(node, incarnation); });
    }

    void when_running(std::size_t node, std::uint64_t incarnation,
                      const std::function<void()>& event)
    {
        if (this->incarnations[node] != incarnation || !this->nodes[node]) {
            return;
        }
        if (this->paused[node]) {
            this->waiting[node].push_back(
                [=, this] { this->when_running(node, incarnation, event); });
            return;
        }
        event();
        this->carry_out(node);
    }

    void carry_out(std::size_t node, const store_call& call)
    {
        if constexpr (requires(Part part) { part.on_reply({}, {}, {}); }) {
            const auto done = [=, this,
                               incarnation = this->incarnations[node]](const kv_reply& reply) {
                this->when_running(node, incarnation, [=, this] {
                    this->nodes[node]->on_reply(call.tag, reply, this->clock.now());
                });
            };
            if (this->store_cut[node]) {
                this->clock.after(milliseconds{1}, [done] { done({}); });
            } else {
                this->store.submit(call.request, done);
            }
        }
    }

    void carry_out(std::size_t node, const send_message& sent)
    {
        this->on_message(sent.message);
        const std::size_t to = sent.to.port;
        const member_address from = this->address(node);
        this->net.transmit(node, to, [=, this, message = sent.message] {
            this->when_running(to, this->incarnations[to],
                               [=, this] { this->deliver(to, from, message); });
        });
    }

    void deliver(std::size_t to, const member_address& from, const peer_message& message)
    {
        if constexpr (requires(Part part) { part.on_message(from, message, instant{}); }) {
            this->nodes[to]->on_message(from, message, this->clock.now());
        } else if constexpr (requires(Part part) { part.on_message(message, instant{}); }) {
            this->nodes[to]->on_message(message, this->clock.now());
        }
    }

    template <class Action>
    void carry_out(std::size_t node, const Action& action)
    {
        this->on_action(node, action);
    }
};

// Replaces the JSON codecs: a value is encoded as its index in a table.
template <class Value>
class value_table {
public:
    std::string write(const Value& value)
    {
        const auto found = std::find(this->values.begin(), this->values.end(), value);
        const auto index = found - this->values.begin();
        if (found == this->values.end()) {
            this->values.push_back(value);
        }
        return std::to_string(index);
    }
    [[nodiscard]] std::optional<Value> read(std::string_view text) const
    {
        if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos) {
            return std::nullopt;
        }
        return this->values.at(std::stoul(std::string(text)));
    }

private:
    std::vector<Value> values;
};

class table_member_codec : public member_codec {
public:
    [[nodiscard]] std::string write_member(const member& record) const override
    {
        return this->records.write(record);
    }
    [[nodiscard]] std::optional<member> read_member(std::string_view text) const override
    {
        return this->records.read(text);
    }

private:
    mutable value_table<member> records;
};

class table_config_codec : public config_head_codec {
public:
    [[nodiscard]] std::string write_head(const config_head& head) const override
    {
        return this->heads.write(head);
    }
    [[nodiscard]] std::optional<config_head> read_head(std::string_view text) const override
    {
        return this->heads.read(text);
    }
    [[nodiscard]] std::string write_page(const std::vector<config_object>& objects) const override
    {
        return this->pages.write(objects);
    }
    [[nodiscard]] std::optional<std::vector<config_object>>
    read_page(std::string_view text) const override
    {
        return this->pages.read(text);
    }

private:
    mutable value_table<config_head> heads;
    mutable value_table<std::vector<config_object>> pages;
};

} // namespace pearhaven::coordination::simulation

#endif
