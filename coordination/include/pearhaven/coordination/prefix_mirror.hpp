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
    // A watch can go deaf: after the store drops its history, one that began meanwhile was seen to
    // wait out its whole time although changes were made. Its end brings them, so the wait is what
    // such a watch costs; a shorter one costs a call each time.
    decision::duration watch_wait = std::chrono::seconds{2};

    // The same where others go by what this router hears: how old that may be.
    decision::duration shared_watch_wait = std::chrono::milliseconds{500};

    // Pause after a watch that brought changes. Endpoints that start together write one after the
    // other; without it each write costs every router a call. It adds to the time in which a change
    // is heard of, of which the strictest bound is two seconds.
    decision::duration change_batch_delay = std::chrono::milliseconds{150};

    // The same where others go by what this router hears.
    decision::duration shared_change_batch_delay = std::chrono::milliseconds{150};

    // Whether the first list may be some seconds old, which costs the store less. The watch that
    // follows brings what it lacks.
    bool allow_stale_first_list = false;
    decision::duration first_retry = std::chrono::milliseconds{50}; // doubles with each failure
    decision::duration longest_retry = std::chrono::milliseconds{500};

    // How long a key that is found missing just after the store was away is still taken to be
    // there. Leases can run out while nobody can renew them; a live owner writes its key again
    // within two seconds of the store's return.
    decision::duration lapse_grace = std::chrono::milliseconds{2500};
    std::uint64_t seed = 0; // spreads the retries of many routers; any number
};

// A key under the prefix has a new value.
struct mirror_changed {
    kv_entry entry;

    friend bool operator==(const mirror_changed&, const mirror_changed&) = default;
};

struct mirror_removed {
    std::string key;
    store_revision revision = 0; // of the removal; 0 where a list lacks the key

    friend bool operator==(const mirror_removed&, const mirror_removed&) = default;
};

// Everything that the store held has been told; sent after each whole list.
struct mirror_listed {
    friend bool operator==(const mirror_listed&, const mirror_listed&) = default;
};

// The store cannot be read, or can be again.
struct mirror_lost {
    friend bool operator==(const mirror_lost&, const mirror_lost&) = default;
};
struct mirror_regained {
    friend bool operator==(const mirror_regained&, const mirror_regained&) = default;
};

// The news without their largest values, for many that hear them at once from one router: these
// would share its link with its callers. A listener asks the store for what is left out.
[[nodiscard]] mirror_update without_large_values(mirror_update news);

// Follows all keys under one prefix: a list, then watches from the list's revision, and a list
// again where the store no longer holds the history that a watch needs. The revision of a key never
// goes back, whatever order replies come in.
class prefix_mirror {
public:
    using action = std::variant<store_call, mirror_changed, mirror_removed, mirror_listed,
                                mirror_lost, mirror_regained>;

    explicit prefix_mirror(prefix_mirror_settings settings);

    // To be called every 100 ms or so.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);

    // What this mirror can tell one that has followed the store up to the revision; nothing while
    // it does not follow the store itself.
    [[nodiscard]] std::optional<mirror_update> updates_after(store_revision after) const;

    // Another router's mirror tells what it holds. The store may turn some routers away while it
    // serves the others and the operator: these would keep what is no longer in force, for as long
    // as that lasts. Revisions make it safe to hear of a change from anybody, in any order. What
    // the news leave out this mirror asks the store for, whether it follows others or not.
    void on_peer_update(const mirror_update& news);

    // The store has served another router at that time, as that one says. It was not away then, for
    // whoever keeps keys alive there.
    void on_peer_served_by_store(decision::instant at);

    // Whether others have told of changes without what changed, and the store has yet to say it.
    [[nodiscard]] bool must_read_store() const { return this->watched < this->told_of; }

    // Whether this mirror watches the store. One that follows others makes no calls once it has
    // listed, and goes on from where they have brought it when it has to watch again.
    void set_mode(watch_mode wanted) { this->mode = wanted; }

    // When the store last answered this mirror.
    [[nodiscard]] decision::instant confirmed_at() const { return this->confirmed; }

    // The open call is given up, as when its connection has gone silent; the next one starts anew.
    void restart(decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    [[nodiscard]] bool is_synchronized() const { return this->failures == 0 && this->has_list; }
    [[nodiscard]] const std::map<std::string, kv_entry>& entries() const { return this->known; }

    // Everything up to it has been heard of.
    [[nodiscard]] store_revision revision() const { return this->watched; }

private:
    void call(kv_request request);
    void on_list(const kv_reply& reply, decision::instant now);
    void on_watch(const kv_reply& reply, decision::instant now);
    void fail(decision::instant now);
    void succeed(decision::instant now);
    void adopt(const kv_entry& entry);
    void miss(const std::string& key, store_revision revision, decision::instant now);
    void drop(const std::string& key, store_revision revision);
    void drop_lapsed(decision::instant now);
    [[nodiscard]] std::vector<std::string> missing_from(const std::set<std::string>& listed,
                                                        store_revision as_of) const;
    void note_removal(const std::string& key, store_revision revision);
    void note_change(const std::string& key, store_revision revision);
    void go_on_to(const mirror_update& news);
    void drop_false_word();
    [[nodiscard]] store_revision told_until() const;
    [[nodiscard]] bool has_served_others(decision::instant now) const;

    struct change {
        store_revision revision = 0; // of the mirror when it heard of it, if not of the key itself
        std::string key;
    };

    struct lapse {
        store_revision revision = 0; // of the removal; 0 where a list lacks the key
        store_revision seen_at = 0;  // the mirror's, up to which it was heard of
        decision::instant until;
    };

    prefix_mirror_settings settings;
    std::map<std::string, kv_entry> known;
    std::map<std::string, lapse> lapsed;           // missing, but still taken to be there
    std::map<std::string, store_revision> removed; // of watched removals, until the next list
    bool has_list = false;
    bool needs_list = true;
    bool has_asked = false; // for any list
    store_revision watched = 0;
    decision::instant served_others_since; // without a longer gap than a key may be missing for
    decision::instant served_others_at;
    store_revision told_of = 0;         // up to there others know of changes
    store_revision told_of_at_call = 0; // when the open call was made
    std::deque<change> changes;         // the newest ones, for others, in no order of revision
    store_revision changes_since = 0;   // all after it are among them
    std::optional<call_tag> open_call;
    call_tag next_tag = 1;
    std::uint32_t failures = 0;
    watch_mode mode = watch_mode::independent;
    decision::instant confirmed;
    decision::instant due;
    std::optional<decision::instant> regained_at; // after a loss
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
