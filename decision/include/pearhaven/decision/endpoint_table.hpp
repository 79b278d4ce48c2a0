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

// An endpoint as the platform's host list names it. A process that replaces another at the same
// address has another incarnation: a higher one, unless `lists_in_order` is set. Where endpoints
// have names of their own, the name may stand as `address`, and `reached_at` says where it listens.
struct endpoint_host {
    std::string address;
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0; // 0: not known
    bool leaving = false;
    labels tags;
    std::string reached_at = {}; // IP:port; empty: `address` is that

    friend bool operator==(const endpoint_host&, const endpoint_host&) = default;
};

// A listed endpoint's process that is there no longer: the list names its address no more, or
// another process at it.
struct ended_incarnation {
    std::string address;
    std::uint64_t incarnation = 0;
    std::optional<std::uint64_t> next; // incarnation of the process that took its place

    friend bool operator==(const ended_incarnation&, const ended_incarnation&) = default;
};

// What an endpoint said of itself, `age` before it was received.
struct load_report {
    double running = 0.0;
    double queued = 0.0;
    double capacity = 0.0;
    duration age{};
    bool draining = false;
    std::uint64_t incarnation = 0; // of the process that said it; 0: not known

    friend bool operator==(const load_report&, const load_report&) = default;
};

// What one router holds at an endpoint, as it tells the others.
struct endpoint_load {
    std::string address;
    std::uint32_t requests = 0;
    double work = 0.0;                     // as placement::work, of all of them
    std::uint64_t incarnation = 0;         // of the endpoint that holds them
    std::vector<std::uint64_t> parts = {}; // keys of the shared parts of their prompts
    std::uint32_t writing = 0;             // of the requests, those whose answers have begun

    friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

// How an attempt at an endpoint ended.
enum class attempt_result : std::uint8_t {
    finished,
    refused,     // by the endpoint, before it ran
    unreachable, // no connection
    failed,
    went_silent, // nothing came within the progress timeout
    cancelled,
};

// A part of a prompt that other requests have as well. An endpoint that has read it keeps it for a
// while and need not read it again, for the same model and behind the same parts.
struct prompt_part {
    std::uint64_t key = 0; // differs by model
    double work = 0.0;     // of reading it

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// What an endpoint is wanted for.
struct placement {
    std::string version_or_service;
    bool is_service = false;
    work_class kind = work_class::lookup;
    double work = 0.0;
    bool concentrated = false;     // on the one endpoint that all routers choose, while it has room
    std::uint64_t prefix_hash = 0; // of the prompt's beginning; 0: no affinity
    double reading = 0.0;          // of `work`, done before the answer begins
    std::vector<prompt_part> parts; // on top of `work` where they are not cached, in their order
    std::vector<std::string> avoid; // addresses not to be taken

    friend bool operator==(const placement&, const placement&) = default;
};

// Routers that each router tells of its load, and of what it holds at an endpoint that many fill
// together: there each stops by what it hears of all the others' requests.
inline constexpr std::size_t load_fanout = 16;
inline constexpr std::size_t load_fanout_when_filling = 128;

struct endpoint_table_settings {
    std::string zone;
    std::uint64_t router_seed = 0; // differs by router: spreads the routers' subsets

    std::size_t subset_size = 48; // endpoints of a target that one router uses
    double zone_bias = 0.25;      // load, as a share of a limit, accepted to stay in the zone

    // Where all are weighed: what a millisecond of reading anew costs, against one of waiting. All
    // that comes to the endpoint later waits for it as well.
    double cold_read_cost = 3.0;

    // Requests for each slot of the endpoint that packed ones go to, up to which it gets more.
    double concentrated_per_slot = 1.25;

    // Whether all open endpoints are weighed against each other, for routers that tell each other
    // what they hold. By its own work alone a router does better to draw two and take the better
    // one: it would send to the one that all others choose as well.
    bool compares_all = false;

    // Where all are weighed: load that a millisecond of reading adds for each answer that is being
    // written there, as a part of its own. An engine reads prompts between the steps in which it
    // writes, so everybody waits for a prompt that is being read.
    double reading_interference = 0.05;
    double affinity_free_share = 0.25;  // of an endpoint's capacity that affinity may always fill
    double affinity_load_factor = 1.25; // of the mean load, up to which a warm endpoint is kept

    std::uint32_t service_slots = 64; // as pool::slots_per_host, for plain services
    double refusal_backoff = 0.7;     // factor on the limit after a refusal
    double latency_backoff = 0.9;     // factor on the limit when the first token comes late
    double latency_tolerance = 3.0;   // times the usual first-token latency that count as late
    duration backoff_interval = std::chrono::milliseconds(250); // between two cuts of a limit

    double report_overcommit = 1.25; // of a reported capacity: covers what the lag hides
    double typical_work = 500.0;     // work that loads an endpoint as much as one request does
    duration report_lifetime = std::chrono::seconds(2); // a load report older than that is dropped
    duration peer_load_lifetime =
        std::chrono::seconds(1); // likewise, of what a router says it holds

    std::uint32_t failures_to_eject = 3; // in a row
    double slow_factor = 4.0; // times the peers' median first-token latency that eject an endpoint
    std::uint32_t slow_samples = 8;  // first tokens seen before an endpoint is called slow
    double max_ejected_share = 0.34; // of a target's endpoints, for failing and slow ones
    duration first_ejection = std::chrono::seconds(1); // doubles with each one in a row
    duration longest_ejection = std::chrono::seconds(10);

    // For which an unlisted host's leaving and its incarnations are remembered.
    duration departed_retention = std::chrono::minutes(10);

    // Whether host lists come in the order in which they were made, as from a store that orders the
    // writes of a key. An incarnation is then only compared for being another: its number comes
    // from the endpoint's clock, which may be set back, and an endpoint whose number fell would get
    // no work until its clock had caught up.
    bool lists_in_order = false;
};

// What this router knows of the endpoints: who is there and who leaves, what it has sent there
// itself, what they reported with a lag, how much each bears, and which ones to leave alone for a
// while. One thread uses a table at a time.
class endpoint_table {
public:
    explicit endpoint_table(endpoint_table_settings settings);
    endpoint_table(const endpoint_table&) = delete;
    endpoint_table& operator=(const endpoint_table&) = delete;
    ~endpoint_table();

    // Which endpoints serve which version or service, and their bounds. The table shares the
    // configuration.
    void configure(const configuration& current);

    // The whole host list. A host marked leaving comes back only with a newer incarnation. With a
    // newer incarnation all is dropped that was known of the earlier one, and what still runs there
    // counts no longer. Newer is a higher one; where lists come in order, any that was not replaced
    // before. An incarnation that is older than the known one is passed over. Tells the lives that
    // ended by it.
    std::vector<ended_incarnation> set_hosts(const std::vector<endpoint_host>& hosts, instant now);

    // As the last whole list, with this host added or in the place of the one at its address; or
    // without the one at the address. The cost does not grow with the other endpoints.
    std::vector<ended_incarnation> set_host(const endpoint_host& host, instant now);
    std::vector<ended_incarnation> drop_host(const std::string& address, instant now);

    // The incarnation at the address gets no new work. 0 means the one now known. The mark does not
    // bind a newer one, and that of an incarnation already replaced is passed over.
    void mark_leaving(const std::string& address, std::uint64_t incarnation, instant now);

    // Every attempt is told twice: when it is sent, and when it ends. A `first_token` of zero means
    // that none came. After an attempt went silent the embedder must not reuse older idle
    // connections to that address: the endpoint is blamed when fresh ones go silent too. The end of
    // an attempt that an earlier `incarnation` was sent changes nothing: it was never counted at
    // the present one. Without one, the present one is meant.
    // `parts` are the shared parts of its prompt, which the endpoint has from then on.
    void started(const std::string& address, work_class kind, double work,
                 const std::vector<prompt_part>& parts, instant now);
    void ended(const std::string& address, work_class kind, double work, attempt_result result,
               duration first_token, instant now,
               std::optional<std::uint64_t> incarnation = std::nullopt,
               const std::vector<prompt_part>& parts = {});

    // Part of the work of an attempt under way is done. Its `ended` is told the rest.
    void work_completed(const std::string& address, double work,
                        std::optional<std::uint64_t> incarnation = std::nullopt);

    // The answer of an attempt under way begins, and ends. `ended` doesn't count it out.
    void answer_began(const std::string& address, std::uint64_t incarnation);
    void answer_ended(const std::string& address, std::uint64_t incarnation);

    // Reports lag; what was sent since the moment they describe is added to them. False for one
    // that changes nothing: of an endpoint that is not known, or of another incarnation than is
    // known.
    bool reported(const std::string& address, const load_report& report, instant now);

    // Another router says what it holds; it replaces what that router said before. What it holds at
    // an incarnation that is not the one known here counts once the host list names that one.
    void peer_reported(const std::string& router, std::vector<endpoint_load> loads, instant now);

    // What this router holds, for the others.
    [[nodiscard]] std::vector<endpoint_load> own_loads() const;

    // The endpoint to send to, or nothing when none has room now. It is never one that leaves, is
    // ejected, is to be avoided or is full. The caller tells `started` if it sends.
    [[nodiscard]] std::optional<std::string> choose(const placement& wanted, instant now,
                                                    std::uint64_t random) const;

    // What of the parts the endpoint would have to read, as work.
    [[nodiscard]] double cold_work_at(const std::string& address,
                                      const std::vector<prompt_part>& parts, instant now) const;

    // Work that is known to be held at the endpoint, this router's and what others told. In a fleet
    // of `routers` that do not all tell this one, the others' is taken to be like theirs that do.
    [[nodiscard]] double work_at(const std::string& address, std::size_t routers) const;

    // Answers that are being written at the endpoint that is being filled, per slot. In a fleet of
    // `routers` of which not all tell this one, the others' count like theirs that do.
    [[nodiscard]] double writing_per_slot(const std::string& address, std::size_t routers) const;

    // Whether the endpoint that packed requests go to bears one more. Others' requests count as in
    // `writing_per_slot`.
    [[nodiscard]] bool has_concentrated_room(const placement& wanted, std::size_t routers,
                                             instant now) const;

    // Requests of all routers at the endpoint that packed ones go to; zero where there is none.
    [[nodiscard]] double concentrated_requests(const std::string& version, instant now) const;

    // Whether there is any endpoint that is not leaving, though it may be full or ejected.
    [[nodiscard]] bool serves(const placement& wanted, instant now) const;

    [[nodiscard]] std::optional<endpoint_host> find(const std::string& address) const;

    // 0 for an address that is not known.
    [[nodiscard]] std::uint64_t incarnation_of(const std::string& address) const;
    [[nodiscard]] std::vector<std::string> addresses() const;

    // Those that this router may send to, by the subsets of all targets: the ones to ask for load.
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
