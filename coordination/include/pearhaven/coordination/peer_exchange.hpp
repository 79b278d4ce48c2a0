#ifndef PEARHAVEN_COORDINATION_PEER_EXCHANGE_HPP
#define PEARHAVEN_COORDINATION_PEER_EXCHANGE_HPP

#include "pearhaven/coordination/peer_message.hpp"
#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pearhaven::coordination {

// A router that can be talked to.
struct peer_router {
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string zone; // availability zone

    friend bool operator==(const peer_router&, const peer_router&) = default;
};

struct peer_exchange_settings {
    std::string self; // name of this router among the peers
    std::string zone;

    // Time between two words about own loads. A choice between endpoints is as good as what it
    // knows of them; in this time a fleet of nine begins some eight requests.
    decision::duration load_period = std::chrono::milliseconds{100};

    // The same word again, so that those who heard it go on counting it; a part of the time after
    // which they would not.
    decision::duration repeat_period = std::chrono::milliseconds{400};

    // Peers that hear of own loads, those in the zone first. It bounds what a large fleet sends;
    // most requests stay in their zone.
    std::size_t most_told = decision::load_fanout;

    // Peers that hear of what this router holds at an endpoint that many fill together.
    std::size_t most_told_when_filling = decision::load_fanout_when_filling;

    // Time between two questions to peers while the store does not answer this router.
    decision::duration pull_period = std::chrono::milliseconds{300};

    // The same for large values, after the first question; doubled with each one that has no answer
    // yet. A configuration of half a megabyte takes that long from a peer whose link of 10 Mbit/s
    // is in use, and longer where many ask. The answer to any of the questions is taken.
    decision::duration large_pull_period = std::chrono::milliseconds{1500};
    decision::duration longest_large_pull_period = std::chrono::seconds{6};
    std::uint64_t seed = 0; // spreads the routers' questions over the peers
};

// How far this router has followed the store.
struct mirror_standing {
    bool in_touch = false; // the store answers it
    store_revision revision = 0;
    bool lacks_large = false; // it knows of values that it was not told for their size

    friend bool operator==(const mirror_standing&, const mirror_standing&) = default;
};

// A message to a router.
struct peer_send {
    peer_router to;
    peer_message message;

    friend bool operator==(const peer_send&, const peer_send&) = default;
};

// What routers tell each other beside the store: how much each holds at the endpoints, all the
// time; and what the store says, to one that the store turns away. Nothing here is agreed upon:
// each word is somebody's own knowledge, and a lost one is made good by the next.
class peer_exchange {
public:
    explicit peer_exchange(peer_exchange_settings chosen) : settings(std::move(chosen)) {}

    // Peers by name. This router's own name is passed over.
    void set_peer(const std::string& name, const peer_router& where);
    void drop_peer(const std::string& name) { this->peers.erase(name); }

    // `filling`: the part of the own load that is held at endpoints that many fill together.
    [[nodiscard]] std::vector<peer_send>
    on_tick(const std::vector<decision::endpoint_load>& own, const mirror_standing& mirror,
            decision::instant now, const std::vector<decision::endpoint_load>& filling = {});

    // The peers of this router's zone.
    [[nodiscard]] std::vector<peer_router> near() const;

    // Whether the news answers an open question. One answer to each is taken.
    [[nodiscard]] bool takes(const mirror_news& news);

    [[nodiscard]] std::size_t size() const { return this->peers.size(); }

private:
    // Loads as they were told last.
    struct told_word {
        std::vector<decision::endpoint_load> loads;
        decision::instant at;
    };

    [[nodiscard]] bool is_due(const std::vector<decision::endpoint_load>& loads,
                              const told_word& last, decision::instant now) const;
    [[nodiscard]] std::vector<const peer_router*> listeners(std::size_t most) const;
    void add_loads(const std::vector<decision::endpoint_load>& own, std::vector<peer_send>& sends,
                   decision::instant now);
    void add_filling(const std::vector<decision::endpoint_load>& filling,
                     std::vector<peer_send>& sends, decision::instant now);
    void add_pulls(const mirror_standing& mirror, std::vector<peer_send>& sends,
                   decision::instant now);
    [[nodiscard]] peer_send ask(store_revision after, bool large);
    void forget_large_questions();

    peer_exchange_settings settings;
    std::map<std::string, peer_router> peers; // by name
    told_word told;
    told_word told_of_filling;
    decision::instant next_pull;
    decision::instant next_large_pull;
    std::uint64_t questions = 0;
    std::optional<std::uint64_t> open_question;
    std::set<std::uint64_t> open_large_questions;
    decision::duration large_pull_period = this->settings.large_pull_period;
};

} // namespace pearhaven::coordination

#endif
