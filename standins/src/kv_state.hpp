#ifndef PEARHAVEN_STANDINS_KV_STATE_HPP
#define PEARHAVEN_STANDINS_KV_STATE_HPP

#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pearhaven::standins {

// The latest change of a key.
struct kv_record {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;

    friend bool operator==(const kv_record&, const kv_record&) = default;
};

enum class kv_status { applied, conflict, no_such_key, no_such_lease };

struct kv_result {
    kv_status status = kv_status::applied;
    std::uint64_t revision = 0; // of the write if applied, otherwise the service's current revision
    std::optional<kv_record> current;

    friend bool operator==(const kv_result&, const kv_result&) = default;
};

// State of the key-value service, without clock or HTTP. The revision is global and grows by one
// with each change of a key. Calls that take the time first expire the leases that are due.
class kv_state {
public:
    [[nodiscard]] std::uint64_t revision() const { return this->last_revision; }

    // Writes only if the key is at the expected revision (0: only if it is absent). A lease other
    // than 0 must exist; the key is deleted when it ends. A write detaches the key from an earlier
    // lease.
    kv_result compare_and_swap(const std::string& key, const std::string& value,
                               std::uint64_t expected, std::uint64_t lease, decision::instant now);

    kv_result erase(const std::string& key, std::uint64_t expected, decision::instant now);

    [[nodiscard]] std::optional<kv_record> get(const std::string& key) const;

    // The entries under the prefix in key order.
    [[nodiscard]] std::vector<kv_record> range(const std::string& prefix) const;

    // The latest change, deletions included, of each key under the prefix that was changed after
    // the revision, in order of revision.
    [[nodiscard]] std::vector<kv_record> changes_after(const std::string& prefix,
                                                       std::uint64_t after) const;

    std::uint64_t grant_lease(decision::duration time_to_live, decision::instant now);
    bool renew_lease(std::uint64_t lease, decision::instant now);
    bool revoke_lease(std::uint64_t lease, decision::instant now);

    // Ends the expired leases and deletes their keys.
    void expire(decision::instant now);

    // The time at which the next lease expires, if there is one.
    [[nodiscard]] std::optional<decision::instant> next_expiry() const;

    [[nodiscard]] std::size_t lease_count() const { return this->leases.size(); }

private:
    struct stored {
        kv_record record;
        std::uint64_t lease = 0;
    };

    struct lease_record {
        decision::duration time_to_live{};
        decision::instant end;
        std::set<std::string> keys;
    };

    [[nodiscard]] const stored* find_live(const std::string& key) const;
    [[nodiscard]] kv_result refused(kv_status status, const stored* live) const;
    std::uint64_t record_change(const std::string& key, const std::string& value, bool deleted,
                                std::uint64_t lease);
    void end_lease(std::uint64_t lease);

    std::uint64_t last_revision = 0;
    std::uint64_t last_lease = 0;
    std::map<std::string, stored> changes; // deleted keys are kept so that watches see the deletion
    std::map<std::uint64_t, std::string> keys_by_revision;
    std::map<std::uint64_t, lease_record> leases;
};

} // namespace pearhaven::standins

#endif
