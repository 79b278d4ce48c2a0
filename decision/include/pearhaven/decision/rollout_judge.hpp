#ifndef PEARHAVEN_DECISION_ROLLOUT_JUDGE_HPP
#define PEARHAVEN_DECISION_ROLLOUT_JUDGE_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/rollout_evidence.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pearhaven::decision {

// The fleet's combined evidence on one attempt at a rollout.
struct rollout_fleet_evidence {
    run_counts seen;
    std::uint64_t left = 0; // callers that live routers may still send to the new version
    bool tripped = false;   // tripped by some router's own evidence
};

// The next action of the lease holder on a rollout.
enum class rollout_move : std::uint8_t {
    stay,
    begin,     // assign an attempt number and grant the step's callers
    renew,     // repeat the step: terminated routers held too much of the grant
    advance,   // to the next step
    finish,    // all new work to the new version
    roll_back, // withdraw the new version
};

// Decides on rollouts in the one router that holds the lease for it. All persistent state is in the
// configuration. This class keeps only how long this holder has seen each step, so a new holder
// resumes at the recorded step and at worst stays on it longer.
//
// A step that cannot decide the test (with the default guards, acceptance takes 112 good answers)
// still advances when half of its callers have been answered and the test has not rejected: a
// clearly bad version would have been rejected by then. Only an accepted version is finished; until
// then, each step beyond the last grants the last number of callers again.
class rollout_judge {
public:
    [[nodiscard]] rollout_move judge(const rollout& plan, const rollout_fleet_evidence& evidence,
                                     instant now);

    // Called when the lease is lost; another router continues.
    void forget() { this->steps.clear(); }

private:
    struct observed_step {
        std::uint64_t run = 0;
        std::uint32_t step = 0;
        instant since;
    };

    [[nodiscard]] duration time_on_step(const rollout& plan, instant now);

    std::map<std::string, observed_step> steps;
};

} // namespace pearhaven::decision

#endif
