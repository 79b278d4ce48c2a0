#ifndef PEARHAVEN_COORDINATION_KEY_VALUE_HPP
#define PEARHAVEN_COORDINATION_KEY_VALUE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

// Identifies a lease granted by the key-value service; 0 means none.
using lease_number = std::uint64_t;

// Revision at which a key was last written. Revisions increase over the whole service; 0 means
// absent.
using store_revision = std::uint64_t;

struct kv_entry {
    std::string key;
    std::string value;
    store_revision revision = 0;

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

struct kv_get {
    std::string key;
    friend bool operator==(const kv_get&, const kv_get&) = default;
};

struct kv_range {
    std::string prefix;
    friend bool operator==(const kv_range&, const kv_range&) = default;
};

// Writes the value only if the key is still at the expected revision (0: only if it is absent).
struct kv_compare_and_swap {
    std::string key;
    std::string value;
    store_revision expected = 0;
    lease_number lease = 0; // the key is deleted when this lease ends
    friend bool operator==(const kv_compare_and_swap&, const kv_compare_and_swap&) = default;
};

struct kv_delete {
    std::string key;
    store_revision expected = 0;
    friend bool operator==(const kv_delete&, const kv_delete&) = default;
};

// Waits until a key under the prefix is written after the revision, or until the wait time is over.
// Returns `ok` with the changed entries (none if nothing changed); a deleted key has an empty value
// and the revision of its deletion.
struct kv_watch {
    std::string prefix;
    store_revision after = 0;
    decision::duration wait{};
    friend bool operator==(const kv_watch&, const kv_watch&) = default;
};

struct kv_grant_lease {
    decision::duration time_to_live{};
    friend bool operator==(const kv_grant_lease&, const kv_grant_lease&) = default;
};

struct kv_renew_lease {
    lease_number lease = 0;
    friend bool operator==(const kv_renew_lease&, const kv_renew_lease&) = default;
};

struct kv_revoke_lease {
    lease_number lease = 0;
    friend bool operator==(const kv_revoke_lease&, const kv_revoke_lease&) = default;
};

using kv_request = std::variant<kv_get, kv_range, kv_compare_and_swap, kv_delete, kv_watch,
                                kv_grant_lease, kv_renew_lease, kv_revoke_lease>;

enum class kv_outcome {
    ok,
    conflict, // the expected revision was not the current one; `entries` holds the current entry if
              // any
    not_found,   // the key or lease is not there
    unavailable, // not applied: no connection, or refused by the service
    unknown,     // may have been applied: the reply was lost or late
};

struct kv_reply {
    kv_outcome outcome = kv_outcome::unavailable;
    store_revision revision = 0; // of the write, or of the service at the time of a read
    lease_number lease = 0;
    std::vector<kv_entry> entries;
    friend bool operator==(const kv_reply&, const kv_reply&) = default;
};

// Port to the platform's key-value service. `submit` never blocks; the completion runs exactly
// once, on the adapter's own thread, and must not block either.
class key_value_store {
public:
    using completion = std::function<void(const kv_reply&)>;

    virtual ~key_value_store() = default;
    virtual void submit(const kv_request& request, completion done) = 0;
};

} // namespace pearhaven::coordination

#endif
