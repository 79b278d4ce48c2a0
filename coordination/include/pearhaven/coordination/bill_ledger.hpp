#ifndef PEARHAVEN_COORDINATION_BILL_LEDGER_HPP
#define PEARHAVEN_COORDINATION_BILL_LEDGER_HPP

#include "pearhaven/coordination/actions.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

inline constexpr std::string_view bill_page_prefix = "bills/";

// Interface for the stored form of a page of bills. Implementations have no side effects.
class bill_page_codec {
public:
    virtual ~bill_page_codec() = default;
    [[nodiscard]] virtual std::string write_bills(const std::vector<bill>& bills) const = 0;
    [[nodiscard]] virtual std::optional<std::vector<bill>>
    read_bills(std::string_view text) const = 0;
};

// Keeps one bill for each request, however many pages and copies contain it. Of several bills of
// one request the most expensive counts: a resent request may have run twice but is paid for once.
[[nodiscard]] std::map<std::string, bill> fold_bills(const std::vector<bill>& bills);

struct bill_ledger_settings {
    incarnation_id self;
    std::string zone;
    std::size_t page_bills = 64;   // bills on a page, after which the next write starts a new one
    std::size_t write_bills = 512; // maximum number of bills in one write
    // bills not yet in the store; at this number the router stops taking new requests
    std::size_t max_waiting = 20'000;
    std::size_t max_held = 50'000; // maximum number of bills held for other routers
    std::size_t copies = 2;        // peers that hold a bill while the store is unavailable
    std::size_t batch_bills = 500; // maximum number of bills in one copy message
    // minimum time between two writes
    decision::duration commit_period = std::chrono::milliseconds{50};
    // after this, copies are sent to peers
    decision::duration store_timeout = std::chrono::milliseconds{300};
    decision::duration copy_resend = std::chrono::milliseconds{500};
    // After this time the copies of an owner that is not among the live peers are written to the
    // store. The owner's death may have been reported before its last copy arrived, or while this
    // router was not receiving reports.
    decision::duration owner_timeout = std::chrono::seconds{30};
    decision::duration first_retry = std::chrono::milliseconds{200};
    decision::duration longest_retry = std::chrono::seconds{2};
};

// The bill is stored where it survives this router, so the end of its answer may be sent.
struct bill_safe {
    std::string request;

    friend bool operator==(const bill_safe&, const bill_safe&) = default;
};

// One router's bills until they are in the store, and the copies that it holds for other routers.
//
// Bills are written in pages `bills/SELF/NUMBER`, which only this incarnation writes, by
// compare-and-swap. Many bills share one write, and a write whose reply was lost is resolved by
// reading the page again. While the store does not reply, each bill is copied to the memory of two
// peers, in other availability zones if possible, and is safe once they have acknowledged it. When
// the page is committed, the copies are dropped. When their owner dies, each holder writes its
// copies to a page of its own under the owner's key; duplicates are harmless, since bills are
// merged by request.
//
// What can still be lost:
//   - a bill whose router dies after the answer's last token and before the write or the copies:
//     the end of the answer was not sent, so the caller knows that it is incomplete and resends the
//     request under the same key; a caller that does not resend is not billed;
//   - during an outage of the store, a bill whose router and both holders die before the store is
//     back;
//   - during an outage with no live peer, a bill whose router dies.
class bill_ledger {
public:
    using action = std::variant<store_call, send_message, bill_safe, unreadable_value>;

    // The codec must outlive the ledger.
    bill_ledger(bill_ledger_settings settings, const bill_page_codec& codec);

    void on_bill(bill added, decision::instant now);
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    void on_message(const member_address& from, const peer_message& message, decision::instant now);

    // The live peers, without this router.
    void set_peers(std::vector<member> live);

    // The router will not come back; copies held for it are written to the store.
    void on_member_dead(const incarnation_id& owner, decision::instant now);

    [[nodiscard]] std::vector<action> take_actions();

    // Number of this router's bills that are not in the store yet, plus pending writes of copies of
    // dead owners' bills.
    [[nodiscard]] std::size_t waiting() const;

    // Whether so many bills are pending that accepting more requests could lose some.
    [[nodiscard]] bool is_full() const { return this->waiting() >= this->settings.max_waiting; }

private:
    struct page_write {
        call_tag tag = 0;
        std::uint64_t page = 0;
        bool is_read = false; // reads the page to resolve an ambiguous write
        decision::instant start;
        std::vector<bill> contents; // the page's bills once this write is committed
    };
    struct copy_batch {
        std::vector<std::string> requests;
        std::vector<bill> bills;
        std::set<incarnation_id> sent_to;
        std::set<incarnation_id> held_by;
        decision::instant last_sent;
        bool safe = false;
    };
    struct recovery_write {
        std::string key;
        std::string value;
    };

    void commit_when_due(decision::instant now);
    void write_page(decision::instant now);
    void read_page(decision::instant now);
    void on_page_state(const kv_entry& entry, decision::instant now);
    void on_committed(const std::vector<bill>& on_page);
    void on_write_failed(decision::instant now);
    void copy_when_due(decision::instant now);
    void make_batches(decision::instant now);
    void send_batch(std::uint64_t number, copy_batch& batch, decision::instant now);
    void check_batch(copy_batch& batch);
    void drop_committed_batches();
    [[nodiscard]] std::vector<const member*> copy_targets() const;
    [[nodiscard]] bool is_store_slow(decision::instant now) const;
    void hold(const member_address& from, const bill_copy& copy);
    void recover_missing_owners(decision::instant now);
    void recover_when_due(decision::instant now);
    void mark_safe(const std::string& request);
    [[nodiscard]] std::string page_key(std::uint64_t page) const;

    bill_ledger_settings settings;
    const bill_page_codec& codec;
    std::vector<member> peers;

    std::deque<bill> pending;     // not known to be in the store, oldest first
    std::set<std::string> unsafe; // requests without a `bill_safe` action so far
    std::uint64_t page = 1;
    std::vector<bill> committed; // on the current page
    store_revision page_revision = 0;
    std::optional<page_write> write;
    bool ambiguous = false;
    std::optional<decision::instant> failing_since;
    decision::duration retry_delay;
    decision::instant next_commit;

    std::map<std::uint64_t, copy_batch> batches;
    std::deque<bill> uncopied;    // bills that are in no batch yet
    std::set<std::string> copied; // requests in a batch, until they are committed
    std::uint64_t next_batch = 1;

    std::map<incarnation_id, std::map<std::uint64_t, std::vector<bill>>> held;
    // owners of copies, with the time since when they are not among the live peers
    std::map<incarnation_id, decision::instant> missing_since;
    std::size_t held_count = 0;
    std::deque<recovery_write> recoveries;
    std::optional<call_tag> recovery_tag;
    decision::instant next_recovery;

    call_tag next_tag = 1;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
