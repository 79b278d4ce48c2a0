#ifndef PEARHAVEN_DECISION_ENDPOINT_TABLE_HPP
#define PEARHAVEN_DECISION_ENDPOINT_TABLE_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/time.hpp"
#include "pearhaven/decision/work.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pearhaven::decision {

// An endpoint as listed in the platform's host list. A process that replaces another at the same
// address has a different incarnation, which is higher unless `lists_in_order` is set. Where
// endpoints have names of their own, `address` may hold the name and `reached_at` the address that
// it listens on.
struct endpoint_host {
    std::string address;
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0; // 0: unknown
    bool leaving = false;
    labels tags;
    std::string reached_at = {}; // IP:port; empty: same as `address`
    duration cold_for{};         // as listed: how much longer it is cold

    friend bool operator==(const endpoint_host&, const endpoint_host&) = default;
};

// An endpoint process that is gone: its address was removed from the host list or is now used by
// another process.
struct ended_incarnation {
    std::string address;
    std::uint64_t incarnation = 0;
    std::optional<std::uint64_t> next; // incarnation of the process that replaced it

    friend bool operator==(const ended_incarnation&, const ended_incarnation&) = default;
};

// A load report of an endpoint. `age` is the time between its measurement and its receipt.
struct load_report {
    double running = 0.0;
    double queued = 0.0;
    double capacity = 0.0;
    duration age{};
    bool draining = false;
    std::uint64_t incarnation = 0; // of the reporting process; 0: unknown

    friend bool operator==(const load_report&, const load_report&) = default;
};

// The newest statement of an endpoint about one of its limits that a router knows of.
struct limit_report {
    std::optional<double> rate; // per second; nothing: the endpoint states no limit
    duration age{};             // time since the statement

    friend bool operator==(const limit_report&, const limit_report&) = default;
};

// The room that an endpoint had when it last refused a request for want of it.
struct room_report {
    double requests = 0.0;
    duration age{}; // time since the refusal

    friend bool operator==(const room_report&, const room_report&) = default;
};

// The load that one router has in flight at an endpoint, as reported to its peers.
struct endpoint_load {
    std::string address;
    std::uint32_t requests = 0;
    double work = 0.0;                     // total of placement::work over these requests
    std::uint64_t incarnation = 0;         // of the endpoint
    std::vector<std::uint64_t> parts = {}; // keys of the shared parts of their prompts
    std::uint32_t writing = 0;             // requests whose answers have begun
    bool in_doubt = false; // the reporter's last connection to it broke or could not be opened
    std::optional<limit_report> limit = {};         // on requests; nothing: none was stated lately
    std::optional<limit_report> refusal_limit = {}; // on refusals; likewise
    std::optional<room_report> room = {};           // of a brittle endpoint, if it is reduced

    friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

// What an endpoint states about itself in an answer.
struct endpoint_notice {
    // Requests per second that it accepts from all routers together. Stated for as long as it
    // applies: without a value, there is no limit.
    std::optional<double> request_limit;

    // With a refusal: for how long it wants no request from this router.
    std::optional<duration> rest = {};

    // It is about to end.
    bool leaving = false;

    // Requests per second, of all routers together, that it can refuse for want of room. It crashes
    // if it has to refuse more. Stated for as long as it applies, like the request limit.
    std::optional<double> refusal_limit = {};

    friend bool operator==(const endpoint_notice&, const endpoint_notice&) = default;
};

// Which of an endpoint's limits a notice has changed.
struct limit_changes {
    bool requests = false;
    bool refusals = false;

    friend bool operator==(const limit_changes&, const limit_changes&) = default;
};

// A limit of an endpoint that a peer's report has changed.
struct peer_limit_change {
    std::string address;
    std::uint64_t incarnation = 0;
    bool is_refusal_limit = false; // otherwise the request limit
    limit_report statement;

    friend bool operator==(const peer_limit_change&, const peer_limit_change&) = default;
};

// How an attempt at an endpoint ended.
enum class attempt_result : std::uint8_t {
    finished,
    refused,     // by the endpoint, before it ran
    unreachable, // no connection
    failed,
    went_silent, // no data within the progress timeout
    cancelled,
};

// What this router may send to a target all of whose endpoints state request limits or want rest.
struct limited_access {
    instant opens;               // when it may send the next request
    double requests_per_s = 0.0; // from then on; very high if an endpoint has no request limit

    friend bool operator==(const limited_access&, const limited_access&) = default;
};

// A prompt part that several requests share. After processing it, an endpoint keeps it cached for a
// while and need not process it again for the same model and the same preceding parts.
struct prompt_part {
    std::uint64_t key = 0; // differs by model
    double work = 0.0;     // of processing it

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// The request for which an endpoint is chosen.
struct placement {
    std::string version_or_service;
    bool is_service = false;
    work_class kind = work_class::lookup;
    double work = 0.0;
    bool concentrated = false;     // to the one endpoint that all routers choose, while it has room
    std::uint64_t prefix_hash = 0; // of the prompt's prefix; 0: no affinity
    double prefill = 0.0;          // part of `work` done before the answer begins
    std::vector<prompt_part> parts; // in prompt order; add to `work` where not cached
    std::vector<std::string> avoid; // addresses that must not be chosen
    bool runs_once = false;         // if its run is lost, it cannot be sent again

    friend bool operator==(const placement&, const placement&) = default;
};

// Number of peers to which each router reports its load: in general, and for an endpoint that many
// routers fill together. There each router needs reports from almost all others to know when to
// stop.
inline constexpr std::size_t load_fanout = 16;
inline constexpr std::size_t load_fanout_when_filling = 128;

struct endpoint_table_settings {
    std::string zone;
    std::uint64_t router_seed = 0; // differs by router, so that their subsets differ

    std::size_t subset_size = 48; // endpoints per target that one router uses
    double zone_bias = 0.25;      // extra load, as a share of a limit, accepted to stay in the zone

    // With `compares_all`: extra load, as a share of a limit, accepted to keep a request away from
    // an endpoint in doubt, so that it is not the least loaded one because it drops what it gets.
    // One router's doubt is enough for a request that cannot be sent again.
    double cost_of_doubt = 2.0;
    std::uint32_t doubting_routers = 2;
    duration doubt_time = std::chrono::seconds(3); // after the last lost connection

    // With `compares_all`: cost of a millisecond of processing uncached prompt parts, relative to a
    // millisecond of waiting. It is above 1 because all later requests at the endpoint wait as
    // well.
    double cold_prefill_cost = 3.0;

    // Requests per slot up to which the endpoint for concentrated requests gets more of them.
    double concentrated_per_slot = 1.25;

    // Whether all available endpoints are compared with each other. This suits routers that report
    // their load to each other. A router that knows only its own load should use the better of two
    // random endpoints: otherwise all routers would choose the same one.
    bool compares_all = false;

    // With `compares_all`: load that a millisecond of prompt processing adds per answer being
    // written at the endpoint, as a fraction of its own load. An engine processes prompts between
    // decoding steps, so a prompt delays all answers in progress.
    double prefill_interference = 0.05;
    double affinity_free_share = 0.25;  // share of capacity always open to affinity
    double affinity_load_factor = 1.25; // max load of a warm endpoint, in mean loads

    std::uint32_t service_slots = 64; // like pool::slots_per_host, for plain services
    double refusal_backoff = 0.7;     // factor on the limit after a refusal
    double latency_backoff = 0.9;     // factor on the limit after a late first token
    double latency_tolerance = 3.0; // multiple of the usual first-token latency that counts as late
    duration backoff_interval = std::chrono::milliseconds(250); // min time between two reductions

    double report_overcommit = 1.25; // factor on a reported capacity; covers changes hidden by lag
    double typical_work = 500.0;     // work that adds as much load as one request
    duration report_lifetime = std::chrono::seconds(2);    // older reports are dropped
    duration peer_load_lifetime = std::chrono::seconds(1); // likewise, for loads reported by peers

    std::uint32_t failures_to_eject = 3; // consecutive

    // Multiple of the other endpoints' median first-token latency that causes ejection.
    double slow_factor = 4.0;

    std::uint32_t slow_samples = 8;  // first tokens needed before an endpoint can count as slow
    double max_ejected_share = 0.34; // of a target's endpoints, for failures and slowness
    duration initial_ejection_time = std::chrono::seconds(1); // doubles with each consecutive one
    duration max_ejection_time = std::chrono::seconds(10);

    // How long the leaving mark and the incarnations of an unlisted host are kept.
    duration departed_retention = std::chrono::minutes(10);

    // Whether host lists arrive in the order in which they were made, as from a store that orders
    // the writes of a key. Incarnations are then compared for equality only: their numbers come
    // from the endpoint's clock, which may be set back, and an endpoint whose number fell would
    // otherwise get no work until its clock had caught up.
    bool lists_in_order = false;
};

// This router's view of the endpoints: which ones exist and which are leaving, the requests it has
// in flight there, their lagging load reports, their concurrency limits, and which ones are ejected
// for a while. Not thread-safe.
class endpoint_table {
public:
    explicit endpoint_table(endpoint_table_settings settings);
    endpoint_table(const endpoint_table&) = delete;
    endpoint_table& operator=(const endpoint_table&) = delete;
    ~endpoint_table();

    // Sets which endpoints serve which version or service, and their bounds. The table shares
    // ownership of the configuration. From `now` on, endpoints of a zone whose evacuation has ended
    // count as cold, since they may have been restarted meanwhile.
    void configure(const configuration& current, instant now = {});

    // This router's rank among the live routers, which share what a cold endpoint may get.
    void on_fleet(std::size_t rank, std::size_t size);

    // The difference of the routers' common time, such as the time of day, from this router's
    // clock. Routers draw for the places of brittle endpoints by that time. Without it the draws of
    // several routers are independent of each other.
    void set_clock_offset(duration offset);

    // Applies a complete host list and returns the incarnations that it ended. A host marked
    // leaving returns only with a newer incarnation. A newer incarnation discards all state of the
    // earlier one, including its requests in flight. Newer means a higher number or, with
    // `lists_in_order`, one that has not been replaced before. An older incarnation is ignored.
    std::vector<ended_incarnation> set_hosts(const std::vector<endpoint_host>& hosts, instant now);

    // Like `set_hosts` with the last list plus or minus one host: `set_host` adds or replaces the
    // host at its address, `drop_host` removes it. The cost does not depend on the number of
    // endpoints.
    std::vector<ended_incarnation> set_host(const endpoint_host& host, instant now);
    std::vector<ended_incarnation> drop_host(const std::string& address, instant now);

    // Stops new work to this incarnation at the address; 0 means the one currently known. The mark
    // does not apply to a newer incarnation, and is ignored for one already replaced.
    void mark_leaving(const std::string& address, std::uint64_t incarnation, instant now);

    // Each attempt is reported when it is sent and when it ends. A `first_token` of zero means that
    // none arrived. After an attempt went silent, the embedder must not reuse older idle
    // connections to the address: the endpoint is blamed only when fresh connections go silent too.
    // The end of an attempt that was sent to an earlier `incarnation` changes nothing, since it is
    // not counted at the present one. Without a value, the present incarnation is meant.
    // `parts` are the shared parts of the prompt, which are cached at the endpoint from then on.
    // `answered` tells whether the endpoint itself reported the failure of an attempt that failed.
    void started(const std::string& address, work_class kind, double work,
                 const std::vector<prompt_part>& parts, instant now);
    void ended(const std::string& address, work_class kind, double work, attempt_result result,
               duration first_token, instant now,
               std::optional<std::uint64_t> incarnation = std::nullopt,
               const std::vector<prompt_part>& parts = {}, bool answered = false);

    // An endpoint's answer to a request that was sent at `sent` contained this notice. Returns
    // which of its limits that changes. A notice of another incarnation is ignored. Answers on
    // different connections may overtake each other, so a limit ends only with an answer to a
    // request that was sent after the limit was known.
    limit_changes noticed(const std::string& address, std::uint64_t incarnation,
                          const endpoint_notice& notice, instant sent, instant now);

    // Whether the known incarnation is leaving, by the host list, a peer or its own statement.
    [[nodiscard]] bool is_leaving(const std::string& address) const;

    // Until when the endpoint wants no request from this router; in the past if it did not say.
    [[nodiscard]] instant rests_until(const std::string& address) const;

    // The request limit that the endpoint last stated.
    [[nodiscard]] std::optional<double> request_limit_of(const std::string& address) const;

    // The refusal limit that the endpoint last stated.
    [[nodiscard]] std::optional<double> refusal_limit_of(const std::string& address) const;

    // Requests in flight there, of this router and of the peers that report to it.
    [[nodiscard]] double requests_at(const std::string& address) const;

    // Part of the work of an attempt in flight is done. `ended` is then called with the rest.
    void work_completed(const std::string& address, double work,
                        std::optional<std::uint64_t> incarnation = std::nullopt);

    // The answer of an attempt in flight begins or ends. `ended` does not imply `answer_ended`.
    void answer_began(const std::string& address, std::uint64_t incarnation);
    void answer_ended(const std::string& address, std::uint64_t incarnation);

    // Applies a load report. Reports lag, so requests sent since their measurement are added.
    // Returns false if the endpoint is unknown or the report is of another incarnation, in which
    // case it is ignored.
    bool reported(const std::string& address, const load_report& report, instant now);

    // Applies a peer's load report, which replaces its previous one. Load at an incarnation other
    // than the known one counts once the host list contains that incarnation. Returns the limits
    // that the report changes.
    std::vector<peer_limit_change> peer_reported(const std::string& router,
                                                 std::vector<endpoint_load> loads, instant now);

    // This router's load and its doubts at that time, to report to its peers.
    [[nodiscard]] std::vector<endpoint_load> own_loads(instant now = instant::max()) const;

    // Chooses an endpoint, or returns nothing when none has room. It is never one that is leaving,
    // ejected, excluded by `avoid` or full. The caller must call `started` if it sends the request.
    [[nodiscard]] std::optional<std::string> choose(const placement& wanted, instant now,
                                                    std::uint64_t random) const;

    // Nothing if an endpoint of the target has no request limit and wants no rest, or if there is
    // no endpoint.
    [[nodiscard]] std::optional<limited_access> access(const placement& wanted, instant now) const;

    // Work of processing those parts that are not cached at the endpoint.
    [[nodiscard]] double cold_work_at(const std::string& address,
                                      const std::vector<prompt_part>& parts, instant now) const;

    // Work in flight at the endpoint, of this router and its peers. When only some of the `routers`
    // in the fleet report to this one, the others are assumed to have as much on average.
    [[nodiscard]] double work_at(const std::string& address, std::size_t routers) const;

    // Answers being written at the endpoint that is being filled, per slot. Routers that do not
    // report are accounted for as in `work_at`.
    [[nodiscard]] double writing_per_slot(const std::string& address, std::size_t routers) const;

    // Whether the endpoint for concentrated requests can take one more. Requests of others count as
    // in `writing_per_slot`.
    [[nodiscard]] bool has_concentrated_room(const placement& wanted, std::size_t routers,
                                             instant now) const;

    // Requests of all routers at the endpoint for concentrated requests; zero if there is none.
    [[nodiscard]] double concentrated_requests(const std::string& version, instant now) const;

    // The router has ended.
    void drop_peer(const std::string& router);

    // Whether an endpoint has room for the request and only this router's own share of it is used
    // up. `if_uncertain`: also where the others may have used up theirs.
    [[nodiscard]] bool has_room_for_others(const placement& wanted, bool if_uncertain,
                                           instant now) const;

    // Requests in flight of the routers that report their loads.
    [[nodiscard]] std::int64_t peer_requests() const;

    // The mean of the known work over the endpoints among which a request is placed, full ones
    // included, as time: a unit of work is a millisecond. Requests of others are accounted for as
    // in `work_at`.
    [[nodiscard]] duration backlog(const placement& wanted, std::size_t routers, instant now) const;

    // Whether any endpoint is not leaving, even if it is full or ejected.
    [[nodiscard]] bool serves(const placement& wanted, instant now) const;

    [[nodiscard]] std::optional<endpoint_host> find(const std::string& address) const;

    // Returns 0 for an unknown address.
    [[nodiscard]] std::uint64_t incarnation_of(const std::string& address) const;
    [[nodiscard]] std::vector<std::string> addresses() const;

    // Endpoints of the version or service, whatever their state.
    [[nodiscard]] std::size_t endpoint_count(const std::string& name, bool is_service) const;

    // Addresses in this router's subsets of all targets, whose endpoints it polls for load.
    [[nodiscard]] std::vector<std::string> used_addresses(instant now) const;

    // For status pages.
    struct endpoint_status {
        endpoint_host host;
        std::uint32_t outstanding = 0;
        double limit = 0.0;
        bool ejected = false;
        bool leaving = false;

        friend bool operator==(const endpoint_status&, const endpoint_status&) = default;
    };
    [[nodiscard]] std::vector<endpoint_status> status(instant now) const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace pearhaven::decision

#endif
