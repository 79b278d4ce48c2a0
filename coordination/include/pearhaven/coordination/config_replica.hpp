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
    std::uint64_t seed = 0; // spreads the routers' choices of peers; any number

    // New work is refused when the newest confirmation is older than this.
    decision::duration freshness_bound = std::chrono::seconds{3};
    // A quiet watch confirms only the instant at which it began, so that its wait is part of every
    // router's age. Twice this and a pull period must stay under two thirds of the bound.
    decision::duration watch_wait = std::chrono::milliseconds{400};
    decision::duration pull_period = std::chrono::seconds{1};
    decision::duration pull_expiry = std::chrono::seconds{10}; // a later answer is not looked at
    // A read that is unanswered for this long counts as a store that cannot be reached, so far.
    decision::duration store_timeout = std::chrono::milliseconds{400};
    decision::duration first_retry = std::chrono::milliseconds{500};
    decision::duration longest_retry = std::chrono::seconds{4};
    std::size_t outage_pulls = 16;    // peers asked in a period while the store may be out
    std::size_t startup_peers = 3;    // see `is_ready`
    std::size_t kept_changes = 256;   // recent changes held for peers that are behind
    std::size_t kept_bytes = 1 << 18; // and their size
};

// A live router, as membership sees it, that can be asked for the configuration.
struct config_peer {
    member_address address;
    std::string zone;
    bool reader = false; // watches the store for its zone

    friend bool operator==(const config_peer&, const config_peer&) = default;
};

// This configuration is now in force on this router.
struct config_applied {
    config_state_ptr state;
};

// A router's copy of the configuration. It holds the highest revision that it has heard of, from
// the store (when it is a reader, when it starts, and when its peers leave it behind) and from one
// peer each period. It never goes back to a lower revision, however late an old answer comes.
//
// How fresh the copy is, is counted from the start of the read that confirmed it: everything that
// was accepted before `confirmed_at` is in the copy. A peer's answer confirms the start of the pull
// less the age that the peer states. Both are bounds also when the answer is delayed, provided that
// the routers' monotonic clocks run at about the same rate. The store's reads must be linearizable.
//
// New work is taken while the age is within the bound. Beyond it, the router may be cut off from
// a store that others still reach, and run a version that was withdrawn; so it stops, unless the
// store is plainly out. That is held to be so when all of these are true:
//   - this router's own reads fail;
//   - every live peer that answered a recent pull says the same, and none has a higher revision;
//   - those that answered, and this router, are a majority of the members that were known at the
//     last confirmation. A router cut off with a minority can therefore never conclude it, also
//     after its membership has given up the others; and a majority is not held up by peers that
//     were lost during the outage.
// The reason: a change can be in force somewhere only through a router that read it from the store,
// or heard it from one that did. When most routers say that they cannot read, and none is ahead,
// at most a minority that nobody hears could be.
// What remains unsafe:
//   - a change accepted in the last moment before the outage, that no router had read, comes into
//     force only after it;
//   - operators, or a minority of routers, that still reach the store while a majority is cut off
//     from it and from them: the majority goes on with its last revision until the cut heals;
//   - a peer's answer holds for the bound, or three times as long as it takes to ask all: with more
//     than `outage_pulls` peers, agreement takes longer, in proportion to their number, and the
//     router refuses new work in between;
//   - when more than half of the known members were replaced during one outage, routers refuse;
//   - a revision that only a host's former life and messages on the way held when it was replaced
//     during an outage.
// A store that was set back to an older state is not followed: the copy stays at its revision. A
// head that cannot be read confirms nothing, and is no outage: new work stops after the bound.
class config_replica {
public:
    using action = std::variant<store_call, send_message, config_applied, unreadable_value>;

    // The codec must outlive the replica.
    config_replica(config_replica_settings settings, const config_head_codec& codec,
                   decision::instant now);

    // Whether this router watches the store for its zone.
    void set_reader(bool reader, decision::instant now);

    // Live peers, without this router. Those of unknown state (suspects) belong into the list.
    void set_peers(std::vector<config_peer> live, decision::instant now);

    // To be called every 100 ms or so.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    void on_message(const member_address& from, const peer_message& message, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Never null; revision 0 without objects before the first answer.
    [[nodiscard]] const config_state_ptr& current() const { return this->state; }

    // False from the start until the copy holds all that was accepted before the start. During an
    // outage: until that is agreed on and the highest revision of all live peers was taken, at
    // least `startup_peers` of them (or all, if fewer) being no starters themselves. Stays true.
    [[nodiscard]] bool is_ready() const { return this->ready; }

    // Everything accepted longer ago than this is in the copy. Nothing before the first answer.
    [[nodiscard]] std::optional<decision::duration> confirmed_age(decision::instant now) const;

    // Whether new work may be taken under the current configuration; see above.
    [[nodiscard]] bool may_take_new_work(decision::instant now) const;

    // Whether the rule above holds the store to be out, whatever the age.
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
        bool ready = false; // a router that is still starting answers, but knows nothing yet
    };
    struct snapshot_load {
        snapshot_assembly assembly;
        decision::instant start; // of the newest read that gave this head
        std::map<call_tag, std::string> pending;
    };

    [[nodiscard]] bool is_fresh(decision::instant now) const;
    [[nodiscard]] bool is_fading(decision::instant now) const;
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
    [[nodiscard]] std::vector<config_peer> longest_unasked(std::size_t count) const;
    void answer(const member_address& from, const config_pull& asked_for, decision::instant now);
    void on_update(const member_address& from, const config_update& update, decision::instant now);
    bool apply(const std::vector<config_change>& changes);
    void put_in_force(config_state_ptr newer, const std::vector<config_change>& changes);
    void remember(const std::vector<config_change>& changes);
    void confirm(decision::instant start, std::uint64_t revision, decision::instant now);
    void note_members();
    void forget_gone_peers();
    void check_startup_without_store(decision::instant now);

    config_replica_settings settings;
    const config_head_codec& codec;
    decision::instant started_at;
    config_state_ptr state{new config_state};
    bool ready = false;
    bool reader = false;
    std::optional<decision::instant> confirmed_at;

    std::vector<config_peer> peers;
    std::set<incarnation_id> members_at_confirmation; // before the first: all that were ever seen
    bool was_fresh = false;
    std::map<incarnation_id, peer_answer> answers;
    std::map<incarnation_id, decision::instant> asked; // start of the last pull
    std::map<std::uint64_t, pending_pull> pulls;
    // Begins elsewhere in each life: a late answer to a pull of the life before, which listened at
    // the same address, would else pass for a fresh one.
    std::uint64_t next_nonce;
    std::uint64_t pull_round = 0;
    std::optional<decision::instant> last_pull;

    call_tag next_tag = 1;
    std::map<call_tag, pending_read> reads;
    std::optional<store_revision> watch_after;
    std::uint64_t seen_head = 0; // highest configuration revision read from the store
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
