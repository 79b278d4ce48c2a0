#ifndef PEARHAVEN_DECISION_CRASHING_PARTS_HPP
#define PEARHAVEN_DECISION_CRASHING_PARTS_HPP

#include "pearhaven/decision/recent_ends.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pearhaven::decision {

// The prompt of a run that was lost while it had not answered for long. Its endpoint may have
// crashed because of one part of it.
struct lost_prompt {
    std::uint64_t target = 0;         // fingerprint of the requested model or service
    std::vector<std::uint64_t> parts; // fingerprints, regardless of their positions
    std::string address;              // of the endpoint
    std::uint64_t incarnation = 0;
    duration age{};              // time since the loss
    bool has_just_begun = false; // its answer had, when it was lost

    friend bool operator==(const lost_prompt&, const lost_prompt&) = default;
};

// The prompt of a run that answered without crashing its endpoint.
struct answered_prompt {
    std::uint64_t target = 0; // fingerprint of the requested model or service
    std::vector<std::uint64_t> parts;

    // The endpoint, if it was taken for crashed before; else empty.
    std::string address;
    std::uint64_t incarnation = 0;

    friend bool operator==(const answered_prompt&, const answered_prompt&) = default;
};

struct crashing_part {
    std::uint64_t target = 0; // fingerprint of the model or service whose endpoints crashed
    std::uint64_t part = 0;

    friend bool operator==(const crashing_part&, const crashing_part&) = default;
};

struct crashing_part_settings {
    // A crash is strong evidence against the parts of a prompt whose answer had just begun, and
    // weak evidence against those of one that had not: the beginning may have been lost with the
    // connection.
    std::size_t strong_evidence = 2;
    std::size_t weak_evidence = 1;

    // The evidence of three such crashes shows that a part is their cause.
    std::size_t min_evidence = 6;

    // The same for parts against which there is equal evidence of the same crashes, so that any of
    // them may be the cause. The next prompts may tell them apart.
    std::size_t min_evidence_if_ambiguous = 8;

    // Endpoints that fail closer together than this may have failed by one cause, such as a rack
    // that loses power.
    duration min_separation = std::chrono::milliseconds(20);

    // A part usually crashes an endpoint within the first time from the beginning of an answer, and
    // always within the second.
    duration usual_time_to_crash = std::chrono::milliseconds(500);
    duration max_time_to_crash = std::chrono::seconds(1);

    // How long an answer on a part counts, also for crashes after it.
    duration answer_lifetime = std::chrono::seconds(1);

    // How long a crash counts while the endpoint's incarnation is not known to have ended.
    duration unconfirmed_lifetime = std::chrono::seconds(15);

    // How long a crash counts after the endpoint's incarnation has ended.
    duration confirmed_lifetime = std::chrono::minutes(10);

    // How long answered prompts are worth telling after a crash.
    duration attention_period = std::chrono::seconds(5);

    std::size_t max_crashes = 256;         // above this, those that expire first are removed
    std::size_t max_parts_per_crash = 256; // above this, parts are not recorded
    std::size_t max_answered_parts = 4096; // above this, they are forgotten
    std::size_t max_recent_ends = 4096;    // above this, they are forgotten
};

// Finds parts of prompts that crash each endpoint which begins to answer on them. A crash ends
// dozens of runs, most of which are innocent, so one crash shows little. A part is the cause if no
// answer is given on it and it was present at several crashes; these crashes are then no evidence
// against other parts. Not thread-safe.
class crashing_part_table {
public:
    explicit crashing_part_table(crashing_part_settings chosen = {})
        : settings(chosen), ends(chosen.unconfirmed_lifetime, chosen.max_recent_ends)
    {}

    void on_lost_prompt(const lost_prompt& lost, instant now);

    // The endpoint's incarnation has left the host list. The prompts that it lost may be reported
    // before or after that.
    void on_incarnation_end(const std::string& address, std::uint64_t incarnation, instant now);

    // The parts did not cause the crashes so far. Returns whether to tell other routers, which may
    // know of other crashes: one of the parts was present at a crash, or endpoints have crashed
    // lately and no answer on the part has been told since.
    bool on_answered_prompt(const answered_prompt& answered, instant now);

    // The endpoint's incarnation has begun to answer a request that was sent at that time. Returns
    // whether it was taken for crashed before.
    bool on_endpoint_answer(const std::string& address, std::uint64_t incarnation, instant sent_at);

    // The target for which an answer on the part was given lately; nothing if there is none.
    [[nodiscard]] std::optional<std::uint64_t> answered_lately(std::uint64_t part,
                                                               instant now) const;

    // The parts that crash endpoints, by the crashes known here.
    [[nodiscard]] std::vector<crashing_part> crashing_parts(instant now);

    [[nodiscard]] std::size_t crash_count() const { return this->crashes.size(); }

private:
    struct crash {
        std::uint64_t target = 0;
        std::string address;
        std::uint64_t incarnation = 0;
        instant at;
        instant expires;
        std::unordered_map<std::uint64_t, std::size_t> parts; // with the evidence against them
    };

    using crash_list = std::vector<const crash*>;                    // in the order of time
    using evidence = std::unordered_map<std::uint64_t, std::size_t>; // by part

    struct answer {
        std::uint64_t target = 0;
        instant at;
    };

    [[nodiscard]] crash& find_or_add(const lost_prompt& lost, instant lost_at);
    void drop_expired(instant now);
    void find_causes();
    [[nodiscard]] evidence add_up(const crash_list& among) const;
    [[nodiscard]] std::vector<std::uint64_t> likeliest_causes(const crash_list& unexplained) const;

    crashing_part_settings settings;
    std::vector<crash> crashes; // in the order in which they became known
    recent_ends ends;
    std::unordered_map<std::uint64_t, answer> answered; // by part
    instant last_crash;
    bool has_changed = false;          // since `causes` was computed
    std::vector<crashing_part> causes; // sorted
};

} // namespace pearhaven::decision

#endif
