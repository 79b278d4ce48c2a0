#ifndef PEARHAVEN_COORDINATION_ONCE_CLAIMS_HPP
#define PEARHAVEN_COORDINATION_ONCE_CLAIMS_HPP

#include "pearhaven/coordination/actions.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

inline constexpr std::string_view claim_prefix = "claims/";

// State of a request that must run at most once.
enum class claim_state : std::uint8_t {
    held,    // its holder may dispatch it or has dispatched it
    ran,     // it ran to its end
    unknown, // it may have run; final unless its holder comes back with the outcome
    not_run, // it was not run and may be claimed again
};

struct claim_record {
    claim_state state = claim_state::held;
    incarnation_id holder;
    std::string write_id; // of the claim; never reused
    std::string outcome;  // of the run, for the answer to a caller that resends the request

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

// Interface for the stored form of a claim. Implementations have no side effects.
class claim_codec {
public:
    virtual ~claim_codec() = default;
    [[nodiscard]] virtual std::string write_claim(const claim_record& claim) const = 0;
    [[nodiscard]] virtual std::optional<claim_record> read_claim(std::string_view text) const = 0;
};

struct once_claims_settings {
    incarnation_id self;
    decision::duration claim_timeout = std::chrono::seconds{2}; // after this the request is refused
    decision::duration store_timeout = std::chrono::milliseconds{700}; // for one call
    // for a holder that is not among the live routers
    decision::duration holder_timeout = std::chrono::seconds{10};
    decision::duration first_retry = std::chrono::milliseconds{50};
    decision::duration longest_retry = std::chrono::seconds{2};
    // for a claim whose write may still be committed
    decision::duration abandoned_retention = std::chrono::minutes{2};
    std::size_t max_open = 20'000; // maximum number of claims with pending work
};

// Identifies a claim within this process.
using claim_number = std::uint64_t;

enum class claim_verdict : std::uint8_t {
    granted,     // this router, and no other at any time, may dispatch the request
    ran,         // it ran before; `outcome` holds its result
    unknown,     // it may have run before
    in_progress, // another send of it is in progress
    unavailable, // the claim could not be made, so the request was not run
};

struct claim_decided {
    claim_number claim = 0;
    claim_verdict verdict = claim_verdict::unavailable;
    std::string outcome;

    friend bool operator==(const claim_decided&, const claim_decided&) = default;
};

// Claims on requests that must run at most once, however often and to whichever routers they are
// sent.
//
// A claim is a key that is created by compare-and-swap before the first byte of the request is
// sent. Only the router whose write is stored may dispatch the request; an ambiguous write is
// resolved by reading the key again and comparing the write ID. A held claim is never taken over to
// run the request. When its holder is dead, another router closes the claim as `unknown`, since it
// cannot be determined whether the holder had dispatched the request. This needs no clocks: a
// holder that was paused and resumes may still dispatch, and it is the only router that ever could.
// Only the holder closes its claim as `not_run`.
//
// Remaining limitation: a holder that dies between claim and dispatch leaves `unknown` although
// nothing ran.
class once_claims {
public:
    using action = std::variant<store_call, claim_decided, unreadable_value>;

    // The codec must outlive the claims.
    once_claims(once_claims_settings settings, const claim_codec& codec);

    // Requests the claim on the team's request with this key. `write_id` must never be reused.
    claim_number claim(const std::string& team, const std::string& key, std::string write_id,
                       decision::instant now);

    // Records the end of a granted claim. The write is retried in the background until it succeeds.
    void settle(claim_number claim, claim_state end, std::string outcome, decision::instant now);

    void set_live(std::set<incarnation_id> live);
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Number of claims that are open or whose end is not stored yet.
    [[nodiscard]] std::size_t open() const { return this->claims.size(); }

private:
    enum class phase : std::uint8_t {
        creating,  // the claim is being written
        granted,   // the request may run
        settling,  // its end is being written
        abandoned, // the caller was refused, but the claim's write may still be committed
    };
    struct claim_work {
        std::string key;
        claim_record record;
        phase step = phase::creating;
        store_revision revision = 0;   // that the next write expects
        bool unresolved_write = false; // a write without a reply may still be committed
        std::optional<call_tag> call;
        decision::instant call_start;
        decision::instant start_time;
        decision::instant next_call;
        decision::duration retry_delay{};
    };

    void advance(claim_number number, claim_work& work, decision::instant now);
    void on_lost_reply(claim_work& work, decision::instant now);
    bool on_entry(claim_number number, claim_work& work, const kv_entry& entry,
                  decision::instant now);
    bool on_absent(claim_work& work, decision::instant now);
    bool on_unavailable(claim_number number, claim_work& work, decision::instant now);
    bool on_written(claim_number number, claim_work& work, store_revision revision);
    bool on_others_claim(claim_number number, claim_work& work, const kv_entry& entry,
                         const claim_record& found, decision::instant now);
    void close_for_dead_holder(const kv_entry& entry, claim_record found);
    [[nodiscard]] bool is_presumed_dead(const incarnation_id& holder, decision::instant now);
    bool give_up_creating(claim_number number, claim_work& work, decision::instant now);
    void decide(claim_number number, claim_verdict verdict, const std::string& outcome);
    void wait(claim_work& work, decision::instant now);

    once_claims_settings settings;
    const claim_codec& codec;
    std::map<claim_number, claim_work> claims;
    std::map<call_tag, claim_number> calls;
    std::set<incarnation_id> live;
    // holders that are not live, with the time when that was first noticed
    std::map<incarnation_id, decision::instant> missing_since;
    claim_number next_claim = 1;
    call_tag next_tag = 1;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
