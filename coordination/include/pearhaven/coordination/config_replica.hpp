#ifndef PEARHAVEN_COORDINATION_CONFIG_REPLICA_HPP
#define PEARHAVEN_COORDINATION_CONFIG_REPLICA_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/coordination/config_head.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

struct config_replica_settings {
    incarnation_id self;
    std::string zone;
    std::uint64_t seed = 0; // varies the choice of peers between routers; any number

    // New work is refused when the last confirmation is older than this.
    decision::duration freshness_bound = std::chrono::seconds{3};
    // A watch that ends without a change confirms only the instant at which it began, so its wait
    // adds to every router's age. Twice this plus a pull period must stay below two thirds of the
    // bound.
    decision::duration watch_wait = std::chrono::milliseconds{400};
    decision::duration pull_period = std::chrono::seconds{1};
    decision::duration pull_expiry = std::chrono::seconds{10}; // later answers are ignored
    // A read that is unanswered for this long counts as a failure to reach the store.
    decision::duration store_timeout = std::chrono::milliseconds{400};
    decision::duration first_retry = std::chrono::milliseconds{500};
    decision::duration longest_retry = std::chrono::seconds{4};
    std::size_t outage_pulls = 16;    // peers asked per period while the store may be down
    std::size_t startup_peers = 3;    // see `is_ready`
    std::size_t kept_changes = 256;   // recent changes kept for peers that are behind
    std::size_t kept_bytes = 1 << 18; // maximum size of these changes in bytes
};

// A router that membership considers live and that can be asked for the configuration.
struct config_peer {
    member_address address;
    std::string zone;
    bool reader = false; // watches the store on behalf of its zone

    friend bool operator==(const config_peer&, const config_peer&) = default;
};

// This configuration is now in effect on this router.
struct config_applied {
    config_state_ptr state;
};

// A router's copy of the configuration. It holds the highest revision received from the store (as a
// reader, at startup, and when its peers don't keep it fresh) or from one peer each period. It
// never returns to a lower revision, however late an old answer arrives.
//
// The age of the copy is counted from the start of the read that confirmed it: everything accepted
// before `confirmed_at` is in the copy. A peer's answer confirms the start of the pull minus the
// age that the peer reports. Both bounds hold for delayed answers as well, provided that the
// routers' monotonic clocks run at about the same rate. The store's reads must be linearizable.
//
// New work is accepted while the age is within the bound. Beyond it, the router may be partitioned
// from a store that others can still reach, and may run a version that was withdrawn, so it refuses
// new work unless there is agreement that the store is down. That is the case when all of these are
// true:
//   - this router's own reads fail;
//   - every live peer that answered a recent pull also fails to read, and none has a higher
//     revision;
//   - the peers that answered, plus this router, are a majority of the members known at the last
//     confirmation. A router in a minority partition can therefore never reach agreement, even
//     after its membership has removed the others, and a majority is not blocked by peers that were
//     lost during the outage.
// The reason: a change can take effect only through a router that read it from the store, or
// received it from one that did. If most routers cannot read the store and none is ahead, only an
// unreachable minority could have a newer revision.
//
// What remains unsafe:
//   - a change accepted right before the outage that no router had read takes effect only after the
//     outage;
//   - operators, or a minority of routers, may still reach the store while a majority is
//     partitioned from both: the majority continues with its last revision until the partition
//     heals;
//   - a peer's answer is valid for the bound, or three times the time needed to ask all peers: with
//     more than `outage_pulls` peers, agreement takes longer in proportion to their number, and the
//     router refuses new work in the meantime;
//   - when more than half of the known members were replaced during one outage, routers refuse new
//     work;
//   - a revision that only a host's former incarnation and messages in flight held is lost if that
//     incarnation is replaced during an outage.
// A store that was restored to an older state is not followed: the copy stays at its revision. A
// head that cannot be decoded confirms nothing and is not an outage: new work stops after the
// bound.
class config_replica {
public:
    using action = std::variant<store_call, send_message, config_applied, unreadable_value>;

    // The codec must outlive the replica.
    config_replica(config_replica_settings settings, const config_head_codec& codec,
                   decision::instant now);

    // Whether this router watches the store on behalf of its zone.
    void set_reader(bool reader, decision::instant now);

    // Live peers, without this router. Suspected members must be in the list.
    void set_peers(std::vector<config_peer> live, decision::instant now);

    // Must be called about every 100 ms.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    void on_message(const member_address& from, const peer_message& message, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Never null; revision 0 without objects before the first answer.
    [[nodiscard]] const config_state_ptr& current() const { return this->state; }

    // False after startup until the copy holds everything accepted before startup. During an
    // outage: until the outage is agreed and the highest revision of all live peers was taken,
    // where at least `startup_peers` of them (or all, if there are fewer) must be ready themselves.
    // Stays true.
    [[nodiscard]] bool is_ready() const { return this->ready; }

    // Everything accepted longer ago than this is in the copy. Empty before the first answer.
    [[nodiscard]] std::optional<decision::duration> confirmed_age(decision::instant now) const;

    // Whether new work may be accepted under the current configuration; see above.
    [[nodiscard]] bool may_take_new_work(decision::instant now) const;

    // Whether the store is agreed to be down by the rule above, whatever the age.
    [[nodiscard]] bool is_outage_agreed(decision::instant now) const;

private:
    struct pending_read {
        decision::instant start;
        decision::duration wait{};
        bool watches = false;
    };
    struct pending_pull {
        decision::instant start;
        incarnation_id peer;
    };
    struct peer_answer {
        decision::instant start; // of the pull
        std::uint64_t revision = 0;
        bool store_reachable = true;
        bool ready = false; // a router that is still starting has no configuration yet
    };
    struct snapshot_load {
        snapshot_assembly assembly;
        decision::instant start; // of the latest read that returned this head
        std::map<call_tag, std::string> pending;
    };

    [[nodiscard]] bool is_fresh(decision::instant now) const;
    [[nodiscard]] bool is_nearly_stale(decision::instant now) const;
    [[nodiscard]] bool is_store_failing(decision::instant now) const;
    [[nodiscard]] decision::duration answer_validity() const;
    [[nodiscard]] const peer_answer* valid_answer(const incarnation_id& peer,
                                                  decision::instant now) const;
    call_tag submit(kv_request request);
    void read_when_due(decision::instant now);
    void on_read(const pending_read& read, const kv_reply& reply, decision::instant now);
    void on_read_failed(decision::instant now);
    void on_head(const kv_entry& entry, const pending_read& read, decision::instant now);
    void load_snapshot(const config_head& head, decision::instant start, decision::instant now);
    void on_page(call_tag tag, const kv_reply& reply, decision::instant now);
    void finish_load(decision::instant now);
    void pull_when_due(decision::instant now);
    void pull_from(const config_peer& peer, decision::instant now);
    [[nodiscard]] const config_peer* choose_peer(decision::instant now, bool by_preference) const;
    [[nodiscard]] std::vector<config_peer> least_recently_asked(std::size_t count) const;
    void answer(const member_address& from, const config_pull& pull, decision::instant now);
    void on_update(const member_address& from, const config_update& update, decision::instant now);
    bool apply(const std::vector<config_change>& changes);
    void apply_state(config_state_ptr newer, const std::vector<config_change>& changes);
    void keep_recent(const std::vector<config_change>& changes);
    void confirm(decision::instant start, std::uint64_t revision, decision::instant now);
    void record_members();
    void drop_removed_peers();
    void check_startup_without_store(decision::instant now);

    config_replica_settings settings;
    const config_head_codec& codec;
    decision::instant started_at;
    config_state_ptr state{new config_state};
    bool ready = false;
    bool reader = false;
    std::optional<decision::instant> confirmed_at;

    std::vector<config_peer> peers;
    // Before the first confirmation: all members ever seen.
    std::set<incarnation_id> members_at_confirmation;
    bool was_fresh = false;
    std::map<incarnation_id, peer_answer> answers;
    std::map<incarnation_id, decision::instant> asked; // start of the last pull
    std::map<std::uint64_t, pending_pull> pulls;
    // Starts at a different value in each incarnation. Otherwise a late answer to a pull of the
    // previous incarnation at the same address would be taken for a current one.
    std::uint64_t next_nonce;
    std::uint64_t pull_round = 0;
    std::optional<decision::instant> last_pull;

    call_tag next_tag = 1;
    std::map<call_tag, pending_read> reads;
    std::optional<store_revision> watch_after;
    std::uint64_t seen_head_revision = 0; // highest configuration revision read from the store
    bool last_read_failed = false;
    decision::duration retry_delay;
    decision::instant next_read;
    std::optional<snapshot_load> load;

    std::deque<config_change> recent; // without gaps, up to the current revision
    std::size_t recent_bytes = 0;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
