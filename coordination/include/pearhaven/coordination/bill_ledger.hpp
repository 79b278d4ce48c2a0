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

// Port to the stored form of a page of bills. Pure.
class bill_page_codec {
public:
    virtual ~bill_page_codec() = default;
    [[nodiscard]] virtual std::string write_bills(const std::vector<bill>& bills) const = 0;
    [[nodiscard]] virtual std::optional<std::vector<bill>>
    read_bills(std::string_view text) const = 0;
};

// Counts each request once, whichever pages and copies its bill stands on. Of several bills of one
// request the costliest holds: a resent request may have been run twice, and is paid for once.
[[nodiscard]] std::map<std::string, bill> fold_bills(const std::vector<bill>& bills);

struct bill_ledger_settings {
    incarnation_id self;
    std::string zone;
    std::size_t page_bills = 64;   // bills on a page after which the next write begins a new one
    std::size_t write_bills = 512; // bills in one write at the most
    std::size_t max_waiting =
        20'000;                    // bills not yet in the store, beyond which new work is to stop
    std::size_t max_held = 50'000; // bills held for other routers
    std::size_t copies = 2;        // peers that hold a bill while the store is out
    std::size_t batch_bills = 500; // bills in one copy message
    decision::duration commit_period =
        std::chrono::milliseconds{50}; // between two writes at the least
    decision::duration store_timeout = std::chrono::milliseconds{300}; // then copies go to peers
    decision::duration copy_resend = std::chrono::milliseconds{500};
    // After it, the copies of an owner that is not among the live peers go to the store: its death
    // may have been told before its last copy came, or while this router was not listening.
    decision::duration owner_timeout = std::chrono::seconds{30};
    decision::duration first_retry = std::chrono::milliseconds{200};
    decision::duration longest_retry = std::chrono::seconds{2};
};

// The bill is where it survives this router: its answer's end may be sent.
struct bill_safe {
    std::string request;

    friend bool operator==(const bill_safe&, const bill_safe&) = default;
};

// One router's bills on their way into the store, and the copies that it holds for others.
//
// Bills are written in pages `bills/SELF/NUMBER` that only this incarnation writes, by
// compare-and-swap: many bills share one write, and a write whose reply was lost is settled by
// reading the page again. While the store does not answer, each bill goes to the memory of two
// peers, in other availability zones where there are such, and counts as safe when they have
// acknowledged it. When the page has landed the copies are dropped; when their owner is dead, each
// holder writes its copies to a page of its own below the owner's key, and folding by request makes
// that harmless.
//
// What can still be lost:
//   - a bill whose router dies after the answer's last token and before the write or the copies:
//   the
//     answer's end was not sent, so the caller knows that it is not whole and sends it again under
//     the same key; a caller that never comes back is not billed;
//   - during an outage, a bill whose router and both holders die before the store is back;
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

    // Live peers, without this router.
    void set_peers(std::vector<member> live);

    // The router will not come back: copies held for it go to the store.
    void on_member_dead(const incarnation_id& owner, decision::instant now);

    [[nodiscard]] std::vector<action> take_actions();

    // Bills of this router that the store does not hold yet, and copies of dead owners' bills.
    [[nodiscard]] std::size_t waiting() const;

    // Whether so many bills wait that taking more work would lose some.
    [[nodiscard]] bool is_full() const { return this->waiting() >= this->settings.max_waiting; }

private:
    struct page_write {
        call_tag tag = 0;
        std::uint64_t page = 0;
        bool is_read = false; // asks what became of an ambiguous write
        decision::instant start;
        std::vector<bill> contents; // what stands on the page once this write has landed
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
    std::set<std::string> unsafe; // requests whose safety is still to be told
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
    std::set<std::string> copied; // requests in a batch, until they have landed
    std::uint64_t next_batch = 1;

    std::map<incarnation_id, std::map<std::uint64_t, std::vector<bill>>> held;
    std::map<incarnation_id, decision::instant>
        missing_since; // owners of copies, since they were missed
    std::size_t held_count = 0;
    std::deque<recovery_write> recoveries;
    std::optional<call_tag> recovery_tag;
    decision::instant next_recovery;

    call_tag next_tag = 1;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
