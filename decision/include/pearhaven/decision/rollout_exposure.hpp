#ifndef PEARHAVEN_DECISION_ROLLOUT_EXPOSURE_HPP
#define PEARHAVEN_DECISION_ROLLOUT_EXPOSURE_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/rollout_evidence.hpp"
#include "pearhaven/decision/version_choice.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pearhaven::decision {

// Total number of callers that the fleet may have sent to the new version by this step.
[[nodiscard]] std::uint64_t granted_callers(const rollout& plan, std::uint32_t step);

// One router's share when `callers` are divided among `size` routers; the shares add up to
// `callers`.
[[nodiscard]] std::uint64_t share_of(std::uint64_t callers, std::size_t rank, std::size_t size);

// Rollout-related state of one request.
struct rollout_context {
    std::string exposed_by;           // rollout that counts it as a caller; may be empty
    std::vector<std::string> lost_on; // new versions on which its run failed
    std::string ran_on;               // version of its last run; empty before the first
    bool delivered = false;           // its caller has received part of an answer
    bool fills_endpoint = false;      // occupies a slot for long and may be retried elsewhere
    bool kind_fills_endpoint = false; // many requests of its kind do
};

struct rollout_choice {
    version_answer answer;
    std::string exposed_by; // rollout whose grant was used; empty if none

    friend bool operator==(const rollout_choice&, const rollout_choice&) = default;
};

// This router's evidence on a rollout in progress, or on a version monitored after its rollout.
struct rollout_report {
    std::string name;
    std::string to;
    rollout_state state = rollout_state::running;
    std::uint64_t run = 0;
    run_counts seen;
    std::uint64_t spent = 0; // callers sent to the new version under the grant
    std::uint64_t left = 0;  // callers of the grant not sent yet
    bool tripped = false;    // by this router's own evidence
    run_counts speed;        // of answers in the present state; slow ones count as bad
    load_counts under_load;  // runs of this attempt at the endpoint being filled

    friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

// Controls how many of this router's callers are exposed to the new version of each rollout, and
// records the results.
//
// Exposure is limited by a number of callers, not a percentage: a router's quota is fixed when a
// step begins, so traffic cannot outrun evidence that is late or missing. Each router gets its
// share of the callers that a step adds. One that starts in the middle of a step gets none until
// the next, because its predecessor may have used that share; a terminated router's unused share is
// lost.
class rollout_exposure {
public:
    // This router's rank among the live routers.
    void on_fleet(std::size_t rank, std::size_t size);
    void on_configuration(const configuration& current);

    // Chooses the version for a request. Rollouts apply only to requests that ask for a model and
    // are not bound to a session, and only among the versions that the team may use.
    [[nodiscard]] rollout_choice choose(const version_question& question,
                                        const rollout_context& context) const;

    // Counts one more caller sent to the rollout's new version.
    void spend(const std::string& name);

    // A run of the version ended, for any caller.
    void on_end(const std::string& version, bool good);

    // A run at the version's endpoint that is being filled, sent at this load level.
    void on_loaded_run(const std::string& version, std::size_t level, bool good);

    // An answer of the version began; `slow` is relative to the previous version.
    void on_speed(const std::string& version, bool slow);

    // Another router tripped this attempt at rolling out the version.
    void on_peer_trip(const std::string& version, std::uint64_t run);

    // Whether the version is the new version of a rollout.
    [[nodiscard]] bool watches(const std::string& version) const;

    // Whether a rollout has moved all traffic to the version.
    [[nodiscard]] bool is_fully_rolled_out(const std::string& version) const;

    // Whether an endpoint of the version is being filled with requests as a load test.
    [[nodiscard]] bool is_filling_endpoint(const std::string& version) const;

    // Versions that get no new work here, by this router's or a peer's evidence.
    [[nodiscard]] std::set<std::string> tripped() const;
    [[nodiscard]] std::vector<rollout_report> reports() const;

private:
    struct tracked {
        rollout plan;
        std::uint64_t granted = 0; // this router's total share so far
        std::uint64_t spent = 0;
        run_counts seen;
        run_counts speed;
        load_counts under_load{};
        cusum_test watch;
        bool tripped_here = false;
    };

    void add_grant(tracked& known, const rollout& plan, std::uint64_t before);
    [[nodiscard]] bool is_tripped(const tracked& known) const;
    [[nodiscard]] bool may_use_new_version(const tracked& known, const rollout_context& context,
                                           const version_question& question) const;
    [[nodiscard]] const tracked* find_rollout(const std::string& from,
                                              const rollout_context& context,
                                              const version_question& question) const;
    void test(tracked& known, bool good) const;

    std::map<std::string, tracked> rollouts;
    std::map<std::string, std::uint64_t> peer_trips; // attempt number by version
    bool has_configuration = false;
    std::size_t fleet_rank = 0;
    std::size_t fleet_size = 1;
};

} // namespace pearhaven::decision

#endif
