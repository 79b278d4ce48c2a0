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

// Address of a peer router.
struct peer_router {
    std::string host; // IP number
    std::uint16_t port = 0;
    std::string zone; // availability zone

    // Port for callers' requests; 0 for a router of an earlier release, which does not tell it.
    std::uint16_t callers_port = 0;

    std::uint32_t link_mbps = 0; // of its host; 0: unknown

    friend bool operator==(const peer_router&, const peer_router&) = default;
};

struct peer_exchange_settings {
    std::string self; // name of this router among the peers
    std::string zone;

    // Minimum time between two load reports. A choice between endpoints is only as good as the
    // loads known to it; in this time a fleet of nine starts some eight requests.
    decision::duration load_period = std::chrono::milliseconds{100};

    // Interval at which an unchanged load report is repeated, so that its recipients keep counting
    // it; a fraction of the time after which they would discard it.
    decision::duration repeat_period = std::chrono::milliseconds{400};

    // Maximum number of peers that receive this router's loads, those in its zone first. This
    // bounds what a large fleet sends; most requests stay in their zone.
    std::size_t load_fanout = decision::load_fanout;

    // Maximum number of peers that receive this router's load at an endpoint that many routers fill
    // at the same time.
    std::size_t load_fanout_when_filling = decision::load_fanout_when_filling;

    // Time between two pulls from peers while the store does not answer this router.
    decision::duration pull_period = std::chrono::milliseconds{300};

    // The same for large values, after the first pull; doubled with each unanswered pull. A
    // configuration of half a megabyte takes that long from a peer whose link of 10 Mbit/s is in
    // use, and longer if many ask. The answer to any of the pulls is accepted.
    decision::duration large_pull_period = std::chrono::milliseconds{1500};
    decision::duration longest_large_pull_period = std::chrono::seconds{6};
    std::uint64_t seed = 0; // distributes the routers' pulls over the peers

    // Peers that hear of a request's lost runs. The same ones whichever router lost the run, as
    // far as the routers know the same peers.
    std::size_t run_report_fanout = 3;
};

// The state of this router's mirror of the store.
struct mirror_status {
    bool synchronized = false; // the store answers this router
    store_revision revision = 0;
    bool lacks_large_values = false; // values were omitted from updates because of their size

    friend bool operator==(const mirror_status&, const mirror_status&) = default;
};

// A message to a router.
struct peer_send {
    peer_router to;
    peer_message message;

    friend bool operator==(const peer_send&, const peer_send&) = default;
};

// Information that routers exchange without the store: each router's load at the endpoints, all the
// time, and the store's content, for a router that the store does not serve. Nothing here is agreed
// on: each message is the sender's own knowledge, and a lost one is made up for by the next.
class peer_exchange {
public:
    explicit peer_exchange(peer_exchange_settings chosen) : settings(std::move(chosen)) {}

    // Peers by name. This router's own name is ignored.
    void set_peer(const std::string& name, const peer_router& peer);
    void drop_peer(const std::string& name) { this->peers.erase(name); }

    // `filling`: the part of this router's load at endpoints that many routers fill at the same
    // time.
    [[nodiscard]] std::vector<peer_send>
    on_tick(const std::vector<decision::endpoint_load>& own, const mirror_status& mirror,
            decision::instant now, const std::vector<decision::endpoint_load>& filling = {});

    // The peers that add up the lost runs of the subject, which is the fingerprint of a request, or
    // of the target of many.
    [[nodiscard]] std::vector<peer_router> run_report_recipients(std::uint64_t subject) const;

    // Whether all other routers report the lost runs of the subject to this one.
    [[nodiscard]] bool is_run_report_recipient(std::uint64_t subject) const;

    // A request for the large values after the revision, for a peer that offers them.
    [[nodiscard]] mirror_pull make_value_pull(store_revision after);

    // The peers in this router's zone.
    [[nodiscard]] std::vector<peer_router> zone_peers() const;

    // Whether the update answers an open pull. One answer to each pull is accepted.
    [[nodiscard]] bool accepts_answer(const mirror_update& update);

    [[nodiscard]] std::size_t size() const { return this->peers.size(); }

private:
    // The loads last reported.
    struct load_report {
        std::vector<decision::endpoint_load> loads;
        decision::instant at;
    };

    [[nodiscard]] static std::uint64_t report_rank(std::uint64_t subject, const std::string& name);
    [[nodiscard]] bool is_due(const std::vector<decision::endpoint_load>& loads,
                              const load_report& last, decision::instant now) const;
    [[nodiscard]] std::vector<const peer_router*> recipients(std::size_t max_count) const;
    void add_loads(const std::vector<decision::endpoint_load>& own, std::vector<peer_send>& sends,
                   decision::instant now);
    void add_filling(const std::vector<decision::endpoint_load>& filling,
                     std::vector<peer_send>& sends, decision::instant now);
    void add_pulls(const mirror_status& mirror, std::vector<peer_send>& sends,
                   decision::instant now);
    [[nodiscard]] peer_send make_pull(store_revision after, bool large);
    void reset_large_pulls();

    peer_exchange_settings settings;
    std::map<std::string, peer_router> peers; // by name
    load_report last_report;
    load_report last_filling_report;
    decision::instant next_pull;
    decision::instant next_large_pull;
    std::uint64_t pull_count = 0;
    std::optional<std::uint64_t> open_pull;
    std::optional<std::uint64_t> open_value_pull;
    std::set<std::uint64_t> open_large_pulls;
    decision::duration large_pull_period = this->settings.large_pull_period;
};

} // namespace pearhaven::coordination

#endif
