#ifndef PEARHAVEN_COORDINATION_PREFIX_MIRROR_HPP
#define PEARHAVEN_COORDINATION_PREFIX_MIRROR_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/coordination/watch_share.hpp"
#include "pearhaven/decision/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

struct prefix_mirror_settings {
    std::string prefix;

    // Begins with `prefix`. Changes under it are read by a call of their own while a long answer is
    // being received. Empty: there are none.
    std::string urgent_prefix;

    // A watch can miss changes: after the store drops its history, a watch that began meanwhile was
    // seen to wait until its timeout although changes were made. Its end delivers them, so this is
    // the delay that such a watch adds; a shorter wait costs more calls.
    decision::duration watch_wait = std::chrono::seconds{1};

    // The same when other routers rely on this mirror: limits the age of what they receive.
    decision::duration shared_watch_wait = std::chrono::milliseconds{500};

    // Delay after a watch that returned changes. Endpoints that start together write one after the
    // other; without the delay each write costs every router a call. It adds to the time until a
    // change is received, for which the strictest bound is two seconds.
    decision::duration change_batch_delay = std::chrono::milliseconds{150};

    // The same when other routers rely on this mirror.
    decision::duration shared_change_batch_delay = std::chrono::milliseconds{150};

    // Shortest pause after a failed call. The time between the beginnings of two calls doubles with
    // each failure.
    decision::duration first_retry = std::chrono::milliseconds{50};
    decision::duration longest_retry = std::chrono::milliseconds{500};

    // How long a key that is missing right after the store was unavailable is still treated as
    // present. Leases can expire while nobody can renew them; a running owner writes its key again
    // within two seconds of the store's recovery.
    decision::duration missing_key_grace = std::chrono::milliseconds{2500};
    std::uint64_t seed = 0; // distributes the retries of many routers; any number
};

// A key under the prefix has a new value.
struct mirror_changed {
    kv_entry entry;

    friend bool operator==(const mirror_changed&, const mirror_changed&) = default;
};

struct mirror_removed {
    std::string key;
    store_revision revision = 0; // of the removal; 0 if the key is missing from a list

    friend bool operator==(const mirror_removed&, const mirror_removed&) = default;
};

// All entries of the store were reported; sent after each complete list.
struct mirror_listed {
    friend bool operator==(const mirror_listed&, const mirror_listed&) = default;
};

// The store has become unreadable, or readable again.
struct mirror_lost {
    friend bool operator==(const mirror_lost&, const mirror_lost&) = default;
};
struct mirror_regained {
    friend bool operator==(const mirror_regained&, const mirror_regained&) = default;
};

// The update without its largest values, for sending to many routers at once: large values would
// take the sender's bandwidth to its callers. The recipients read omitted values from the store.
[[nodiscard]] mirror_update without_large_values(mirror_update update);

// Mirrors all keys under one prefix: a list, then watches from the list's revision, and a new list
// if the store no longer holds the history that a watch needs. The revision of a key never
// decreases, whatever order replies arrive in.
class prefix_mirror {
public:
    using action = std::variant<store_call, mirror_changed, mirror_removed, mirror_listed,
                                mirror_lost, mirror_regained>;

    explicit prefix_mirror(prefix_mirror_settings settings);

    // Must be called about every 100 ms.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);

    // The answer to the open watch is long, and is being received. It may take seconds on a narrow
    // link; until then, changes under the urgent prefix are watched by another call.
    void on_long_answer(decision::instant now);

    // The update for a router that has followed the store up to the revision; empty while this
    // mirror cannot read the store itself.
    [[nodiscard]] std::optional<mirror_update> updates_after(store_revision after) const;

    // Applies an update from another router's mirror. The store may refuse some routers while it
    // serves the others and the operator; the refused ones would keep outdated state for as long as
    // that lasts. Revisions make it safe to apply changes from any source, in any order. Values
    // that the update omits are read from the store in every watch mode.
    void on_peer_update(const mirror_update& update);

    // A peer is about to send the values that updates have omitted. Until then a follower does not
    // read them from the store.
    void expect_values_until(decision::instant until) { this->values_expected_until = until; }

    // Another router reported that the store served it at that time. So the store was available
    // then to the owners of keys for renewing their leases.
    void on_peer_served_by_store(decision::instant at);

    // Whether peers have reported changes whose values were omitted and still have to be read from
    // the store.
    [[nodiscard]] bool must_read_store() const
    {
        return this->received_revision < this->reported_revision;
    }

    // Sets whether this mirror watches the store. A follower makes no calls once it has its list,
    // and when it has to watch again, it continues from the revision that peer updates have
    // reached.
    void set_mode(watch_mode wanted);

    // When the store last answered this mirror.
    [[nodiscard]] decision::instant confirmed_at() const { return this->confirmed; }

    // The same, or when it last answered an urgent call.
    [[nodiscard]] decision::instant answered_at() const { return this->answered; }

    // A peer held every change up to the revision at that time.
    void on_peer_confirmed(store_revision as_of, decision::instant at);

    // The time up to which this mirror holds every change under the urgent prefix, as far as the
    // store and the peers have confirmed it.
    [[nodiscard]] decision::instant urgent_known_until() const { return this->urgent_known_at; }

    // The store has returned from an older copy. Keys that it lost are treated as present for as
    // long as after a loss of the store: their owners write them again.
    void on_store_restored(decision::instant now);

    // Abandons the open call, as when its connection has stopped responding, and starts a new one.
    void restart(decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    [[nodiscard]] bool is_synchronized() const { return this->failures == 0 && this->has_list; }
    [[nodiscard]] const std::map<std::string, kv_entry>& entries() const { return this->known; }

    // All changes up to this revision have been received.
    [[nodiscard]] store_revision revision() const { return this->received_revision; }

private:
    void call(kv_request request, decision::instant now);
    void on_list(const kv_reply& reply, decision::instant now);
    void on_watch(const kv_reply& reply, decision::instant now);
    void call_urgently(decision::instant now);
    void on_urgent_reply(const kv_reply& reply, decision::instant now);
    void end_urgent_calls();
    void take_changes(const kv_reply& reply, decision::instant now);
    void fail(decision::instant now);
    [[nodiscard]] decision::duration with_jitter(decision::duration pause) const;
    void succeed(decision::instant now);
    void adopt(const kv_entry& entry);
    void on_missing(const std::string& key, store_revision revision, decision::instant now);
    void drop(const std::string& key, store_revision revision);
    void drop_missing_keys(decision::instant now);
    [[nodiscard]] std::vector<std::string> missing_from(const std::set<std::string>& listed,
                                                        store_revision as_of) const;
    void record_removal(const std::string& key, store_revision revision);
    void record_change(const std::string& key, store_revision revision);
    void advance_to(const mirror_update& update);
    void drop_unknown_reports();
    [[nodiscard]] store_revision reported_until() const;
    [[nodiscard]] bool store_served_peers(decision::instant now) const;
    [[nodiscard]] decision::duration next_watch_wait() const;

    struct change {
        store_revision revision = 0; // of the key, or of the mirror when it learned of the change
        std::string key;
    };

    struct missing_key {
        store_revision revision = 0;   // of the removal; 0 if the key is missing from a list
        store_revision noticed_at = 0; // revision of the mirror at which the key was found missing
        decision::instant until;
    };

    prefix_mirror_settings settings;
    std::map<std::string, kv_entry> known;
    std::map<std::string, missing_key> missing_keys; // missing, but still treated as present
    std::map<std::string, store_revision> removed; // removals seen by watches, until the next list
    bool has_list = false;
    bool needs_list = true;
    store_revision received_revision = 0;
    store_revision small_values_revision = 0; // the same without values that peers have omitted
    decision::instant peers_served_since;     // without a gap longer than `missing_key_grace`
    decision::instant peers_served_at;
    store_revision reported_revision = 0; // highest revision reported by peers with omitted values
    store_revision reported_revision_at_call = 0; // value when the open call was made
    decision::instant values_expected_until;
    std::deque<change> changes;       // the latest ones, for peers; not sorted by revision
    store_revision changes_since = 0; // `changes` holds all changes after this revision
    std::optional<call_tag> open_call;
    decision::instant called_at;
    bool answer_is_long = false; // of the open call
    std::optional<call_tag> urgent_call;
    store_revision urgent_revision = 0; // the next urgent call continues from here
    decision::instant urgent_due;
    call_tag next_tag = 1;
    std::uint32_t failures = 0;
    watch_mode mode = watch_mode::independent;
    bool has_stopped_following = false; // since the store's last answer
    decision::instant confirmed;
    decision::instant answered;
    decision::instant urgent_known_at;
    decision::instant due;
    std::optional<decision::instant> regained_at; // after a loss
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
