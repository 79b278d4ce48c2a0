#ifndef PEARHAVEN_DECISION_ROLLOUT_JUDGE_HPP
#define PEARHAVEN_DECISION_ROLLOUT_JUDGE_HPP

#include "pearhaven/decision/configuration.hpp"
#include "pearhaven/decision/rollout_evidence.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pearhaven::decision {

// What the fleet has told of one attempt at a roll-out.
struct rollout_fleet_evidence {
    run_counts seen;
    std::uint64_t left = 0; // callers that live routers may yet send to the new version
    bool tripped = false;   // some router's own evidence has tripped it
};

// What the holder of the duty does with a roll-out next.
enum class rollout_move : std::uint8_t {
    stay,
    begin,     // name the attempt, and so grant the step's callers
    renew,     // the same again: too much of the grant was lost with routers that died
    advance,   // to the next step
    finish,    // all new work to the new version
    roll_back, // and withdraw the new version
};

// Judges roll-outs for the one router that holds the duty. All that has to survive it stands in the
// configuration; here is only how long this holder has seen each step, so that a new holder takes
// the roll-out up at its recorded step and at worst stays on it longer.
//
// A step that cannot decide the test (at the default guards it takes 112 good answers to accept)
// still leads to the next when half of its callers have been answered and the test has not
// rejected: had the version been bad outright, it would have. Only an accepted version is finished;
// until the test decides, the steps beyond the last each grant the last number of callers again.
class rollout_judge {
public:
    [[nodiscard]] rollout_move judge(const rollout& plan, const rollout_fleet_evidence& evidence,
                                     instant now);

    // The duty is lost: another goes on.
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
