#ifndef PEARHAVEN_COORDINATION_MEMBERSHIP_HPP
#define PEARHAVEN_COORDINATION_MEMBERSHIP_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/coordination/registration.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

struct membership_settings {
    member self;
    std::vector<member_address> seeds; // probed while no peer is known, as when the store is down
    std::uint64_t seed = 0;            // of random choices; any number

    registration_settings registration;
    decision::duration read_period =
        std::chrono::seconds{10}; // of the list in the store, by readers
    std::size_t readers_per_zone = 2;

    decision::duration probe_period = std::chrono::seconds{1};
    decision::duration probe_timeout = std::chrono::milliseconds{300}; // then probes go indirectly
    std::size_t indirect_probes = 3;
    double suspicion_periods = 4;   // times the logarithm (base 10) of the number of members
    int periods_per_dead_probe = 5; // a dead member is probed once in this many periods

    std::size_t fresh_updates = 8;   // recent changes in one message
    std::size_t joiner_updates = 64; // in the reply to a router that was unknown before
    std::size_t max_members = 2048;
    std::size_t max_dead = 512;
    decision::duration dead_retention = std::chrono::seconds{60}; // longer than a store lease
};

// A member was seen for the first time, or its state changed.
struct member_changed {
    member changed;

    friend bool operator==(const member_changed&, const member_changed&) = default;
};

// Tracks which routers are alive. A router registers in the store under a lease, learns its peers
// from there at startup, and from then on by gossip. Only a few readers in each availability zone
// keep reading the list, so that the load on the store does not grow with the fleet.
//
// Each period a router probes one peer, in random order without repetition. A peer that does not
// answer is probed through other members, which distinguishes a failed peer from a broken link
// between the two. If that fails too, the peer is suspected, and the suspicion spreads with the
// next messages. The peer refutes it by raising its sequence. Without a refutation it becomes dead
// after a time that allows the suspicion to spread. A dead member that still runs is informed by
// the occasional probe of dead members, and refutes that too, which repairs the membership after a
// partition. All this costs each member a constant number of messages of bounded size per second.
//
// A message that a peer sent does not prove that it is alive: a peer is alive when it answers a
// probe. So a router that can send but not receive, or receive but not send, becomes dead to all
// others, while one that is partitioned from a single peer does not.
//
// A router that was paused suspects nobody on resuming: its open probe is dropped, and its
// suspicions are extended by the length of the pause.
class membership {
public:
    using action = std::variant<store_call, send_message, member_changed, unreadable_value>;

    // The codec must outlive the membership.
    membership(membership_settings settings, const member_codec& codec, decision::instant now);

    // Must be called about every 100 ms.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    void on_message(const member_address& from, const peer_message& message, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Sent to peers with the next messages.
    void set_config_revision(std::uint64_t revision);

    // This router completes its work and accepts no new duties. It stays a member.
    void leave(decision::instant now);

    // This router stops now; no call may follow. Informs peers, so that none has to suspect it.
    void depart(decision::instant now);

    [[nodiscard]] const member& self() const { return this->own; }

    // All members but this router that are not dead.
    [[nodiscard]] std::vector<member> live() const;

    // The few alive members of each zone that read the store on its behalf, selected by a hash of
    // their ids, so that all routers with the same view select the same ones.
    [[nodiscard]] std::set<incarnation_id> readers() const;
    [[nodiscard]] bool is_reader() const { return this->readers().count(this->own.id) != 0; }

private:
    struct known_member {
        member record;
        decision::instant since; // when this router learned the record's state
        int sends_left = 0;      // messages that will still include the record
    };
    struct open_probe {
        std::uint64_t nonce = 0;
        member_address target;
        decision::instant start;
        bool indirect = false;
    };
    struct relayed_probe {
        member_address requester;
        std::uint64_t requester_nonce = 0;
        incarnation_id target;
        decision::instant start;
    };

    void allow_for_pause(decision::instant now);
    void probe_when_due(decision::instant now);
    void end_period(decision::instant now);
    void begin_period(decision::instant now);
    void probe_indirectly();
    void probe_dead(decision::instant now);
    void probe_seed();
    [[nodiscard]] std::uint64_t send_probe(const member_address& to, const incarnation_id& target);
    [[nodiscard]] const known_member* next_target();
    [[nodiscard]] std::vector<member_address> choose_helpers(const incarnation_id& target);

    void on_probe(const member_address& from, const probe& request, decision::instant now);
    void on_probe_reply(const member_address& from, const probe_reply& answer,
                        decision::instant now);

    [[nodiscard]] bool is_from_target_or_helper(const member_address& from) const;

    void merge(const std::vector<member>& updates, decision::instant now);
    void merge(const member& update, decision::instant now);
    void refute(const member& report);
    void adopt(known_member& known, const member& update, decision::instant now);
    void add(const member& update, decision::instant now);
    void change_state(known_member& known, member_state state, decision::instant now);
    void expire_suspicions(decision::instant now);
    void drop_dead(decision::instant now);
    [[nodiscard]] std::vector<member> updates_for(const incarnation_id& peer);
    void append_round_robin(std::vector<member>& updates, std::size_t count);
    [[nodiscard]] int transmit_count() const;
    [[nodiscard]] decision::duration suspicion_timeout() const;
    [[nodiscard]] std::size_t count_live() const;

    void read_list_when_due(decision::instant now);
    void on_list(const kv_reply& reply, decision::instant now);
    void take_registration_calls();

    membership_settings settings;
    const member_codec& codec;
    member own;
    registration record;
    std::map<incarnation_id, known_member> members; // without this router
    std::uint64_t random;

    std::optional<decision::instant> last_tick;
    decision::instant next_period;
    std::uint64_t periods = 0;
    std::uint64_t next_nonce = 1;
    std::optional<open_probe> current;
    std::vector<incarnation_id> probe_order;
    std::map<std::uint64_t, relayed_probe> relays;
    incarnation_id last_round_robin;

    std::optional<call_tag> list_call;
    bool has_list = false;
    call_tag next_tag = 1;
    decision::instant next_list;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
