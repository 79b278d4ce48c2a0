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

// Callers that the whole fleet may have sent to the new version by this step, from the start on.
[[nodiscard]] std::uint64_t granted_callers(const rollout& plan, std::uint32_t step);

// One router's part when `callers` are divided among `size` routers; the parts add up to `callers`.
[[nodiscard]] std::uint64_t share_of(std::uint64_t callers, std::size_t rank, std::size_t size);

// What one request has to do with roll-outs already.
struct rollout_context {
    std::string exposed_by;           // roll-out that counts it among its callers; may be empty
    std::vector<std::string> lost_on; // new versions that failed it
    std::string ran_on;               // version of its last run; empty before the first
    bool fills_endpoint = false;      // it keeps a slot for long and may be repeated elsewhere
};

struct rollout_choice {
    version_answer answer;
    std::string exposed_by; // roll-out by whose grant the version was chosen; mostly empty

    friend bool operator==(const rollout_choice&, const rollout_choice&) = default;
};

// What this router knows of one roll-out that runs, or of a version that it watches after one.
struct rollout_report {
    std::string name;
    std::string to;
    rollout_state state = rollout_state::running;
    std::uint64_t run = 0;
    run_counts seen;
    std::uint64_t spent = 0; // callers sent to the new version by the grant
    std::uint64_t left = 0;  // callers that may yet be sent
    bool tripped = false;    // by this router's own evidence
    run_counts speed;        // of answers since the present state began; slow ones count as bad
    load_counts under_load;  // of runs at the endpoint that is filled, of this attempt

    friend bool operator==(const rollout_report&, const rollout_report&) = default;
};

// How many callers of this router meet the new version of each roll-out, and how that went.
//
// Exposure is counted in callers and not in percent: what a router may send is fixed when a step
// comes into force, so evidence that comes late or not at all cannot be overtaken by traffic. A
// router takes its part of what each step adds. One that starts in the middle of a step takes none
// before the next, since another may have spent it: of one that dies, the unspent part is lost.
class rollout_exposure {
public:
    // This router's place among the live ones.
    void on_fleet(std::size_t rank, std::size_t size);
    void on_configuration(const configuration& current);

    // The version for a request. Roll-outs decide only for those that ask for a model and are bound
    // to no session, and only among the versions that the team may use.
    [[nodiscard]] rollout_choice choose(const version_question& question,
                                        const rollout_context& context) const;

    // One more caller is sent to the roll-out's new version.
    void spend(const std::string& name);

    // A run of the version ended, whoever asked for it.
    void on_end(const std::string& version, bool good);

    // A run at the endpoint of the version that is being filled, sent at that level of its load.
    void on_loaded_run(const std::string& version, std::size_t level, bool good);

    // An answer of the version began, more slowly than its predecessor's mostly do or not.
    void on_speed(const std::string& version, bool slow);

    // Another router's evidence has tripped this attempt at rolling the version out.
    void on_peer_trip(const std::string& version, std::uint64_t run);

    // Whether the version is the new one of a roll-out.
    [[nodiscard]] bool watches(const std::string& version) const;

    // Whether a roll-out has moved all traffic to the version.
    [[nodiscard]] bool is_fully_rolled_out(const std::string& version) const;

    // Whether one endpoint of the version is being filled.
    [[nodiscard]] bool is_filling_endpoint(const std::string& version) const;

    // Versions that get no new work here, by this router's evidence or by that of another.
    [[nodiscard]] std::set<std::string> tripped() const;
    [[nodiscard]] std::vector<rollout_report> reports() const;

private:
    struct tracked {
        rollout plan;
        std::uint64_t granted = 0; // this router's part so far
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
    std::map<std::string, std::uint64_t> peer_trips; // attempt, by version
    bool has_configuration = false;
    std::size_t fleet_rank = 0;
    std::size_t fleet_size = 1;
};

} // namespace pearhaven::decision

#endif
