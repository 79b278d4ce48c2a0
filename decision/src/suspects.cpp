#include "pearhaven/decision/suspects.hpp"

#include <array>
#include <set>
#include <unordered_map>

#include <xxhash.h>

namespace pearhaven::decision {

namespace {

struct hash_state_deleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

// Hashes the length of a part before its bytes, which distinguishes ("ab", "c") from ("a", "bc").
template <typename Blocks>
void add_part(XXH64_state_t* state, const Blocks& blocks)
{
    std::uint64_t length = 0;
    for (const std::string_view block : blocks) {
        length += block.size();
    }
    XXH64_update(state, &length, sizeof length);
    for (const std::string_view block : blocks) {
        XXH64_update(state, block.data(), block.size());
    }
}

template <typename Blocks>
std::uint64_t fingerprint_of(std::string_view team, std::string_view asked, const Blocks& body)
{
    using one_block = std::array<std::string_view, 1>;
    const std::unique_ptr<XXH64_state_t, hash_state_deleter> state(XXH64_createState());
    XXH64_reset(state.get(), 0);
    add_part(state.get(), one_block{team});
    add_part(state.get(), one_block{asked});
    add_part(state.get(), body);
    return XXH64_digest(state.get());
}

} // namespace

std::uint64_t fingerprint(std::string_view team, std::string_view asked, std::string_view body)
{
    return fingerprint_of(team, asked, std::array<std::string_view, 1>{body});
}

std::uint64_t fingerprint(std::string_view team, std::string_view asked,
                          const std::vector<std::string>& body)
{
    return fingerprint_of(team, asked, body);
}

class suspect_table::state {
public:
    explicit state(suspect_settings bounds) : settings(bounds) {}

    [[nodiscard]] suspect_status status_of(std::uint64_t fingerprint, instant now) const;
    void set_status(std::uint64_t fingerprint, suspect_status status, instant now);
    void erase(std::uint64_t fingerprint);
    void record_change(std::uint64_t fingerprint, suspect_status status);

    suspect_settings settings;

    // Status and expiry.
    std::unordered_map<std::uint64_t, std::pair<suspect_status, instant>> records;
    std::set<std::pair<instant, std::uint64_t>> by_expiry;
    std::vector<std::pair<std::uint64_t, suspect_status>> changes;
};

suspect_table::suspect_status suspect_table::state::status_of(std::uint64_t fingerprint,
                                                              instant now) const
{
    const auto found = this->records.find(fingerprint);
    const bool holds = found != this->records.end() && now < found->second.second;
    return holds ? found->second.first : suspect_status::clear;
}

void suspect_table::state::set_status(std::uint64_t fingerprint, suspect_status status, instant now)
{
    this->erase(fingerprint);
    const bool quarantined = status == suspect_status::quarantined;
    const instant until =
        now + (quarantined ? this->settings.quarantine : this->settings.suspicion);
    this->records.emplace(fingerprint, std::make_pair(status, until));
    this->by_expiry.emplace(until, fingerprint);
    // Above the limit, entries that expire first are removed; suspects expire before quarantined
    // requests.
    while (!this->by_expiry.empty() && (this->by_expiry.size() > this->settings.max_entries ||
                                        this->by_expiry.begin()->first <= now)) {
        this->erase(this->by_expiry.begin()->second);
    }
}

void suspect_table::state::erase(std::uint64_t fingerprint)
{
    const auto found = this->records.find(fingerprint);
    if (found != this->records.end()) {
        this->by_expiry.erase({found->second.second, fingerprint});
        this->records.erase(found);
    }
}

void suspect_table::state::record_change(std::uint64_t fingerprint, suspect_status status)
{
    if (this->changes.size() < this->settings.max_entries) {
        this->changes.emplace_back(fingerprint, status);
    }
}

suspect_table::suspect_table(suspect_settings settings)
    : inner(std::make_unique<suspect_table::state>(settings))
{}

suspect_table::~suspect_table() = default;

suspect_table::suspect_status suspect_table::status_of(std::uint64_t fingerprint, instant now) const
{
    return this->inner->status_of(fingerprint, now);
}

std::vector<std::uint64_t> suspect_table::on_crash(const std::vector<std::uint64_t>& in_flight,
                                                   instant now)
{
    // A request may run twice on one endpoint; that counts as one crash.
    const std::set<std::uint64_t> crashed_requests(in_flight.begin(), in_flight.end());
    std::vector<std::uint64_t> suspects;
    for (const std::uint64_t request : crashed_requests) {
        const suspect_status before = this->status_of(request, now);
        if (before == suspect_status::suspect) {
            suspects.push_back(request);
        }
        if (before == suspect_status::clear) {
            this->inner->set_status(request, suspect_status::suspect, now);
            this->inner->record_change(request, suspect_status::suspect);
        }
    }
    // Several suspects on one endpoint, for example because another router's update arrived too
    // late to keep them apart: at least one of them is innocent and would be refused permanently.
    // The next crash identifies the cause.
    if (suspects.size() != 1) {
        return {};
    }
    this->inner->set_status(suspects.front(), suspect_status::quarantined, now);
    this->inner->record_change(suspects.front(), suspect_status::quarantined);
    return suspects;
}

void suspect_table::on_finished(std::uint64_t fingerprint, instant now)
{
    if (this->status_of(fingerprint, now) == suspect_status::suspect) {
        this->inner->erase(fingerprint);
        this->inner->record_change(fingerprint, suspect_status::clear);
    }
}

void suspect_table::apply_peer_status(std::uint64_t fingerprint, suspect_status reported,
                                      instant now)
{
    // Updates may arrive late and out of order; none of them lifts a quarantine.
    if (this->status_of(fingerprint, now) == suspect_status::quarantined) {
        return;
    }
    if (reported == suspect_status::clear) {
        this->inner->erase(fingerprint);
        return;
    }
    this->inner->set_status(fingerprint, reported, now);
}

std::vector<std::pair<std::uint64_t, suspect_table::suspect_status>> suspect_table::take_changes()
{
    return std::exchange(this->inner->changes, {});
}

std::size_t suspect_table::size() const
{
    return this->inner->records.size();
}

} // namespace pearhaven::decision
