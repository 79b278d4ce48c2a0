#include "pearhaven/decision/fair_queue.hpp"

#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace pearhaven::decision {

namespace {

namespace intrusive = boost::intrusive;

// Minimum values for input from callers and operators, so that no division overflows and every
// entry advances its team's account.
constexpr double min_weight = 1e-3;
constexpr double min_work = 1.0;
constexpr double min_share = 0.01;
constexpr std::size_t min_sweep_threshold = 64;

struct by_urgency;
struct by_deadline;

template <typename Tag>
using index_hook =
    intrusive::set_base_hook<intrusive::tag<Tag>, intrusive::link_mode<intrusive::auto_unlink>>;

// A waiting entry. Its destruction unlinks it from both indexes.
struct waiting_entry : index_hook<by_urgency>, index_hook<by_deadline> {
    waiting_entry(queue_entry waiting, std::uint64_t arrival_number)
        : entry(std::move(waiting)), arrival(arrival_number)
    {}

    queue_entry entry;
    std::uint64_t arrival;
};

struct more_urgent {
    bool operator()(const waiting_entry& left, const waiting_entry& right) const
    {
        return std::tie(left.entry.priority, left.arrival) <
               std::tie(right.entry.priority, right.arrival);
    }
};

struct earlier_deadline {
    bool operator()(const waiting_entry& left, const waiting_entry& right) const
    {
        return std::tie(left.entry.deadline, left.arrival) <
               std::tie(right.entry.deadline, right.arrival);
    }
};

using urgency_index =
    intrusive::set<waiting_entry, intrusive::base_hook<index_hook<by_urgency>>,
                   intrusive::compare<more_urgent>, intrusive::constant_time_size<false>>;
using deadline_index =
    intrusive::set<waiting_entry, intrusive::base_hook<index_hook<by_deadline>>,
                   intrusive::compare<earlier_deadline>, intrusive::constant_time_size<false>>;

// Orders lanes that are due at the same virtual time: lookups first, unless they have used up their
// part of the team's share.
enum class tie_rank : std::uint8_t { lookups_ahead, readings, lookups_behind };

struct team_account;

// A team's waiting entries of one class.
struct lane : index_hook<lane> {
    team_account* owner = nullptr;
    urgency_index entries;
    double due_at = 0.0; // virtual time
    tie_rank rank = tie_rank::readings;
    std::uint64_t arrival = 0; // of the first entry
};

struct due_sooner {
    bool operator()(const lane& left, const lane& right) const
    {
        return std::tie(left.due_at, left.rank, left.arrival) <
               std::tie(right.due_at, right.rank, right.arrival);
    }
};

using due_index =
    intrusive::multiset<lane, intrusive::base_hook<index_hook<lane>>,
                        intrusive::compare<due_sooner>, intrusive::constant_time_size<false>>;

struct team_account {
    team_account()
    {
        this->lookups.owner = this;
        this->readings.owner = this;
    }

    [[nodiscard]] bool is_waiting() const
    {
        return !this->lookups.entries.empty() || !this->readings.entries.empty();
    }

    lane& of(work_class kind)
    {
        return kind == work_class::lookup ? this->lookups : this->readings;
    }

    lane lookups;
    lane readings;
    double weight = 1.0;
    std::size_t waiting = 0;
    std::size_t unsettled = 0; // entries dispatched and not yet settled
    double served_until = 0.0; // virtual time up to which the team has received its share
    // The same for its lookups, charged against their part of the share. This lets a lookup go
    // while the team still pays for a reading, and prevents lookups from starving the readings.
    double lookups_served_until = 0.0;
};

} // namespace

class fair_queue::state {
public:
    explicit state(fair_queue_settings bounds) : settings(bounds)
    {
        this->settings.lookup_share = std::clamp(this->settings.lookup_share, min_share, 1.0);
    }

    bool push(queue_entry entry);
    std::optional<queue_entry> pop(const std::function<bool(const queue_entry&)>& can_start);
    bool remove(ticket_number ticket);
    void settle(const std::string& team, double estimated, double actual);
    std::vector<queue_entry> expire(instant now);

    [[nodiscard]] std::size_t waiting_of(const std::string& team) const
    {
        const auto found = this->accounts.find(team);
        return found == this->accounts.end() ? 0 : found->second.waiting;
    }

    fair_queue_settings settings;
    std::unordered_map<std::string, team_account> accounts;
    std::unordered_map<ticket_number, waiting_entry> waiting;
    due_index due;
    deadline_index deadlines;
    double total_work = 0.0;

private:
    void open_account(team_account& account, work_class kind) const;
    void charge(team_account& account, const lane& served, double work);
    void reorder(team_account& account);
    queue_entry take(ticket_number ticket);
    void sweep_accounts();

    double virtual_time = 0.0;
    std::uint64_t arrivals = 0;
    std::size_t sweep_threshold = min_sweep_threshold;
};

bool fair_queue::state::push(queue_entry entry)
{
    const bool full = this->waiting.size() >= this->settings.max_entries ||
                      this->waiting_of(entry.team) >= this->settings.max_entries_per_team;
    if (full || this->waiting.count(entry.ticket) > 0) {
        return false;
    }
    entry.weight = std::max(entry.weight, min_weight);
    entry.work = std::max(entry.work, min_work);
    this->sweep_accounts();
    team_account& account = this->accounts[entry.team];
    this->open_account(account, entry.kind);
    account.weight = entry.weight;
    ++account.waiting;
    this->total_work += entry.work;

    const ticket_number ticket = entry.ticket;
    const auto placed = this->waiting.try_emplace(ticket, std::move(entry), ++this->arrivals).first;
    account.of(placed->second.entry.kind).entries.insert(placed->second);
    this->deadlines.insert(placed->second);
    this->reorder(account);
    return true;
}

std::optional<queue_entry>
fair_queue::state::pop(const std::function<bool(const queue_entry&)>& can_start)
{
    for (lane& candidate : this->due) {
        std::size_t offered = 0;
        for (const waiting_entry& next : candidate.entries) {
            if (offered == this->settings.scan_depth) {
                break;
            }
            ++offered;
            if (can_start(next.entry)) {
                team_account& account = *candidate.owner;
                this->charge(account, candidate, next.entry.work);
                ++account.unsettled;
                return this->take(next.entry.ticket);
            }
        }
    }
    return std::nullopt;
}

bool fair_queue::state::remove(ticket_number ticket)
{
    if (this->waiting.count(ticket) == 0) {
        return false;
    }
    this->take(ticket);
    return true;
}

void fair_queue::state::settle(const std::string& team, double estimated, double actual)
{
    const auto found = this->accounts.find(team);
    if (found == this->accounts.end()) {
        return;
    }
    team_account& account = found->second;
    account.unsettled -= account.unsettled > 0 ? 1 : 0;
    const double charged = std::max(estimated, min_work);
    account.served_until += (std::max(actual, 0.0) - charged) / account.weight;
    this->reorder(account);
}

std::vector<queue_entry> fair_queue::state::expire(instant now)
{
    std::vector<queue_entry> late;
    while (!this->deadlines.empty() && this->deadlines.begin()->entry.deadline <= now) {
        late.push_back(this->take(this->deadlines.begin()->entry.ticket));
    }
    return late;
}

// A team, or its lookups, with nothing waiting starts at the current virtual time: idle time is not
// saved up.
void fair_queue::state::open_account(team_account& account, work_class kind) const
{
    if (!account.is_waiting()) {
        account.served_until = std::max(account.served_until, this->virtual_time);
    }
    if (kind == work_class::lookup && account.lookups.entries.empty()) {
        account.lookups_served_until = std::max(account.lookups_served_until, this->virtual_time);
    }
}

void fair_queue::state::charge(team_account& account, const lane& served, double work)
{
    this->virtual_time = std::max(this->virtual_time, served.due_at);
    // Without this limit, a team that was blocked for long because its versions had no capacity
    // would block the other teams for just as long once there is capacity again.
    const double oldest_credit = this->virtual_time - this->settings.max_credit;
    const double cost = work / account.weight;
    account.served_until = std::max(account.served_until, oldest_credit) + cost;
    if (&served == &account.readings) {
        return;
    }
    if (account.readings.entries.empty()) {
        // Lookups that run without competing readings take nothing from them and owe nothing later.
        account.lookups_served_until = account.served_until;
        return;
    }
    account.lookups_served_until =
        std::max(account.lookups_served_until, oldest_credit) + cost / this->settings.lookup_share;
}

// Moves the team's lanes to their place in the order of all lanes.
void fair_queue::state::reorder(team_account& account)
{
    const bool within_share = account.lookups_served_until <= account.served_until;
    account.lookups.due_at = std::min(account.served_until, account.lookups_served_until);
    account.lookups.rank = within_share ? tie_rank::lookups_ahead : tie_rank::lookups_behind;
    account.readings.due_at = account.served_until;
    for (lane* moved : {&account.lookups, &account.readings}) {
        moved->index_hook<lane>::unlink();
        if (!moved->entries.empty()) {
            moved->arrival = moved->entries.begin()->arrival;
            this->due.insert(*moved);
        }
    }
}

queue_entry fair_queue::state::take(ticket_number ticket)
{
    const auto found = this->waiting.find(ticket);
    queue_entry taken = std::move(found->second.entry);
    this->waiting.erase(found);
    this->total_work = this->waiting.empty() ? 0.0 : this->total_work - taken.work;
    team_account& account = this->accounts.at(taken.team);
    --account.waiting;
    this->reorder(account);
    return taken;
}

// Drops the accounts of teams that neither wait nor are charged for work ahead of the virtual time.
// The cost is amortized over the pushes that doubled the number of accounts.
void fair_queue::state::sweep_accounts()
{
    if (this->accounts.size() < this->sweep_threshold) {
        return;
    }
    for (auto at = this->accounts.begin(); at != this->accounts.end();) {
        const team_account& account = at->second;
        const bool idle = !account.is_waiting() && account.unsettled == 0 &&
                          account.served_until <= this->virtual_time;
        at = idle ? this->accounts.erase(at) : std::next(at);
    }
    this->sweep_threshold = std::max(min_sweep_threshold, 2 * this->accounts.size());
}

fair_queue::fair_queue(fair_queue_settings settings)
    : inner(std::make_unique<fair_queue::state>(settings))
{}

fair_queue::~fair_queue() = default;

bool fair_queue::push(queue_entry entry)
{
    return this->inner->push(std::move(entry));
}

std::optional<queue_entry> fair_queue::pop(const std::function<bool(const queue_entry&)>& can_start)
{
    return this->inner->pop(can_start);
}

bool fair_queue::remove(ticket_number ticket)
{
    return this->inner->remove(ticket);
}

void fair_queue::settle(const std::string& team, double estimated, double actual)
{
    this->inner->settle(team, estimated, actual);
}

std::vector<queue_entry> fair_queue::expire(instant now)
{
    return this->inner->expire(now);
}

std::optional<instant> fair_queue::next_deadline() const
{
    if (this->inner->deadlines.empty()) {
        return std::nullopt;
    }
    return this->inner->deadlines.begin()->entry.deadline;
}

std::size_t fair_queue::size() const
{
    return this->inner->waiting.size();
}

std::size_t fair_queue::size(const std::string& team) const
{
    return this->inner->waiting_of(team);
}

double fair_queue::queued_work() const
{
    return this->inner->total_work;
}

} // namespace pearhaven::decision
