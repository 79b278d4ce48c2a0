#ifndef PEARHAVEN_COORDINATION_FACT_TABLE_HPP
#define PEARHAVEN_COORDINATION_FACT_TABLE_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

struct fact_table_settings {
    incarnation_id self;
    std::uint64_t seed = 0;       // of random choices; any number
    std::size_t max_facts = 4096; // when exceeded, the fact that expires first is dropped
    std::size_t push_facts = 64;  // maximum number in one message
    std::size_t push_peers = 2;   // peers pushed to per period while there are updates
    decision::duration push_period = std::chrono::milliseconds{200};
};

// The fact is new, or newer than the known one.
struct fact_learned {
    fact learned;

    friend bool operator==(const fact_learned&, const fact_learned&) = default;
};

// The fact expired, or was dropped because the table is full.
struct fact_removed {
    fact removed;

    friend bool operator==(const fact_removed&, const fact_removed&) = default;
};

// Small facts that every router should learn soon: spread by gossip, kept for a limited time, in
// bounded memory. Nothing here is agreed on or durable; state that has to be is kept in the store.
//
// Updates are pushed to a few random peers each period by every router that received them, a number
// of times that grows with the logarithm of the fleet size; without updates nothing is sent. A
// router that joins is sent all facts by two of its peers, which all routers choose alike. A fact
// is forwarded with its remaining time to live, so that it expires everywhere. An author that wants
// to keep a fact publishes it again.
class fact_table {
public:
    using action = std::variant<send_message, fact_learned, fact_removed>;

    explicit fact_table(fact_table_settings settings);

    // Publishes a fact with this router as its author, replacing its earlier fact on the subject.
    void publish(fact_kind kind, std::string subject, double value, decision::duration time_to_live,
                 decision::instant now);

    // Live peers, without this router.
    void set_peers(const std::vector<member_address>& live, decision::instant now);

    // Must be called about every 100 ms.
    void on_tick(decision::instant now);
    void on_message(const peer_message& message, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // The facts of all authors on the subject, one from each.
    [[nodiscard]] std::vector<fact> about(fact_kind kind, std::string_view subject) const;

    [[nodiscard]] std::size_t size() const { return this->facts.size(); }

private:
    using fact_key = std::tuple<fact_kind, std::string, incarnation_id>;
    struct known_fact {
        fact latest;
        decision::instant end;
        int sends_left = 0;
    };

    void learn(const fact& received, decision::instant now);
    void make_room();
    void remove_expired(decision::instant now);
    void push_updates(decision::instant now);
    void send_all(const member_address& joiner, decision::instant now);
    [[nodiscard]] bool sends_all_to(const incarnation_id& joiner) const;
    [[nodiscard]] std::vector<known_fact*> choose_updates();
    [[nodiscard]] std::vector<member_address> choose_peers();
    void shuffle_peers();

    fact_table_settings settings;
    std::uint64_t random;
    std::uint64_t last_sequence = 0;
    std::map<fact_key, known_fact> facts;
    std::vector<member_address> last_peers;
    std::vector<member_address> peers; // in push order
    std::size_t next_peer = 0;
    decision::instant next_push;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
