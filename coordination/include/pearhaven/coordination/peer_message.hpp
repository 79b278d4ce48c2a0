#ifndef PEARHAVEN_COORDINATION_PEER_MESSAGE_HPP
#define PEARHAVEN_COORDINATION_PEER_MESSAGE_HPP

#include "pearhaven/coordination/key_value.hpp"
#include "pearhaven/decision/crashing_parts.hpp"
#include "pearhaven/decision/endpoint_table.hpp"
#include "pearhaven/decision/lost_runs.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

// Identifies one incarnation of a router process: unique across restarts, drawn at startup.
using incarnation_id = std::string;

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

// A router's record of a router. Of two records of one incarnation the one with the higher
// `sequence` wins; at equal sequence the worse state wins.
struct member {
    incarnation_id id;
    std::string host; // address that peers connect to, without the port
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
    std::string zone;           // availability zone
    std::uint64_t sequence = 0; // increased by the member itself to refute a suspicion
    member_state state = member_state::alive;
    std::uint64_t config_revision = 0;

    friend bool operator==(const member&, const member&) = default;
};

// One object of the configuration as stored: its body is canonical JSON, or empty if deleted.
struct config_object {
    std::string kind;
    std::string name;
    std::string body;

    friend bool operator==(const config_object&, const config_object&) = default;
};

// One accepted change: all its objects take effect together, as this revision.
struct config_change {
    std::uint64_t revision = 0;
    std::string write_id;
    std::string author;
    std::uint64_t unix_ms = 0; // author's wall clock, for display only
    std::vector<config_object> objects;

    friend bool operator==(const config_change&, const config_change&) = default;
};

// The full configuration at a revision, for routers that are too far behind for single changes.
struct config_snapshot {
    std::uint64_t revision = 0;
    std::vector<config_object> objects;

    friend bool operator==(const config_snapshot&, const config_snapshot&) = default;
};

// One completed request to be billed. Bills are merged by `request`: two bills of one request count
// once.
struct bill {
    std::string request;
    std::string team;
    std::string version; // version name, or services/NAME
    std::string endpoint;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::uint64_t spent_tokens =
        0; // tokens of attempts whose answer was not used (escalation, retries)
    double cost = 0.0;

    friend bool operator==(const bill&, const bill&) = default;
};

// Liveness probe; `target` is set when it is sent on behalf of another router.
struct probe {
    std::uint64_t nonce = 0;
    incarnation_id target;
    std::vector<member> updates;
    friend bool operator==(const probe&, const probe&) = default;
};

struct probe_reply {
    std::uint64_t nonce = 0;
    std::vector<member> updates;
    friend bool operator==(const probe_reply&, const probe_reply&) = default;
};

// Asks a peer for every change after the revision, and for the age of its configuration.
struct config_pull {
    std::uint64_t nonce = 0;
    std::uint64_t revision = 0;
    friend bool operator==(const config_pull&, const config_pull&) = default;
};

// `age` is the time since the store last confirmed the sender's configuration, counted from the
// start of that confirmation. `store_reachable` is false while the sender cannot read the store.
struct config_update {
    std::uint64_t nonce = 0;
    std::uint64_t revision = 0;
    decision::duration age{};
    bool store_reachable = false;
    std::vector<config_change> changes;
    std::vector<config_snapshot> snapshot; // empty, or one
    friend bool operator==(const config_update&, const config_update&) = default;
};

// A copy of bills that the owner has not yet written to the store.
struct bill_copy {
    incarnation_id owner;
    std::uint64_t page = 0;
    std::vector<bill> bills;
    friend bool operator==(const bill_copy&, const bill_copy&) = default;
};

struct bill_copy_ack {
    incarnation_id owner;
    std::uint64_t page = 0;
    friend bool operator==(const bill_copy_ack&, const bill_copy_ack&) = default;
};

// The owner's pages up to and including this one are in the store: their copies can be dropped.
struct bill_copy_drop {
    incarnation_id owner;
    std::uint64_t page = 0;
    friend bool operator==(const bill_copy_drop&, const bill_copy_drop&) = default;
};

enum class fact_kind : std::uint8_t {
    endpoint_leaving,    // subject: endpoint address
    request_quarantined, // subject: request fingerprint
    request_suspect,     // subject: request fingerprint
    version_tripped,     // subject: version name
    exposure_spent,      // subject: rollout name
};

// A small fact that every router should learn soon. Of two facts of the same kind, subject and
// author the one with the higher `sequence` wins. Facts expire `time_to_live` after arrival.
struct fact {
    fact_kind kind = fact_kind::endpoint_leaving;
    std::string subject;
    incarnation_id author;
    std::uint64_t sequence = 0;
    double value = 0.0;
    decision::duration time_to_live{};
    friend bool operator==(const fact&, const fact&) = default;
};

struct fact_push {
    std::vector<fact> facts;
    friend bool operator==(const fact_push&, const fact_push&) = default;
};

// The sender's complete load at the endpoints.
struct load_push {
    std::vector<decision::endpoint_load> loads;
    friend bool operator==(const load_push&, const load_push&) = default;
};

// Runs that the sender lost, and requests of which it has completed a run since it lost one; the
// same for prompts.
struct run_report {
    std::vector<decision::lost_run> lost;
    std::vector<std::uint64_t> finished; // fingerprints
    std::vector<decision::lost_prompt> lost_prompts;
    std::vector<decision::answered_prompt> answered_prompts;
    friend bool operator==(const run_report&, const run_report&) = default;
};

// Asks a peer for the changes in the store after the revision, while the sender cannot read the
// store itself.
struct mirror_pull {
    std::uint64_t nonce = 0;
    store_revision after = 0;
    bool large = false;          // include large values, which are omitted otherwise
    bool accepts_packed = false; // large values may be packed
    friend bool operator==(const mirror_pull&, const mirror_pull&) = default;
};

// An entry of the store with its value compressed.
struct packed_entry {
    std::string key;
    std::string packed_value;
    store_revision revision = 0;
    friend bool operator==(const packed_entry&, const packed_entry&) = default;
};

// The content of the sender's mirror of the store, as of the revision: all of it, or the changes
// after an earlier revision. A removed key has an empty value.
struct mirror_update {
    std::uint64_t nonce = 0; // of the pull that it answers; 0 for an unsolicited update
    store_revision as_of = 0;
    bool complete = false;
    std::vector<kv_entry> entries;
    store_revision after = 0;         // an incomplete update holds only changes after this revision
    decision::duration age{};         // since the store's reply
    store_revision first_omitted = 0; // lowest revision whose value is omitted; 0 for none
    std::vector<packed_entry> packed_entries; // further entries
    bool offers_values = false; // omitted values can be pulled from the sender, packed
    friend bool operator==(const mirror_update&, const mirror_update&) = default;
};

using peer_message =
    std::variant<probe, probe_reply, config_pull, config_update, bill_copy, bill_copy_ack,
                 bill_copy_drop, fact_push, load_push, mirror_pull, mirror_update, run_report>;

} // namespace pearhaven::coordination

#endif
