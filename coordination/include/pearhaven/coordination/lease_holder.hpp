#ifndef PEARHAVEN_COORDINATION_LEASE_HOLDER_HPP
#define PEARHAVEN_COORDINATION_LEASE_HOLDER_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/decision/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pearhaven::coordination {

inline constexpr std::string_view duty_prefix = "duties/";

// The holder of a duty. The lease distinguishes two attempts of the same router.
struct duty_record {
    incarnation_id holder;
    lease_number lease = 0;

    friend bool operator==(const duty_record&, const duty_record&) = default;
};

// Interface for the stored form of a duty's record. Implementations have no side effects.
class duty_codec {
public:
    virtual ~duty_codec() = default;
    [[nodiscard]] virtual std::string write_duty(const duty_record& record) const = 0;
    [[nodiscard]] virtual std::optional<duty_record> read_duty(std::string_view text) const = 0;
};

// Orders with a higher number are newer, whichever router sent them.
using fencing_number = std::uint64_t;

struct lease_holder_settings {
    std::string duty;
    incarnation_id self;
    std::uint64_t seed = 0; // randomizes the times of the candidates' attempts; any value
    decision::duration time_to_live = std::chrono::seconds{10};
    // Subtracted from the lease's time, to allow for clock drift and for the time between a check
    // of `may_order` and the sending of the order.
    decision::duration margin = std::chrono::seconds{2};
    // Time after which no endpoint acts on an order any more.
    decision::duration longest_order = std::chrono::seconds{10};
    // between two reads by a candidate that does not hold the duty
    decision::duration poll_period = std::chrono::seconds{2};
    decision::duration retry = std::chrono::milliseconds{500};
};

// This router holds the duty from now on.
struct duty_taken {
    fencing_number number = 0;

    friend bool operator==(const duty_taken&, const duty_taken&) = default;
};

// This router no longer holds the duty, according to its own clock or to the store.
struct duty_lost {
    friend bool operator==(const duty_lost&, const duty_lost&) = default;
};

// A duty that at most one router performs at a time, such as advancing rollouts.
//
// The duty is a key in the store that is attached to a lease. The router that creates the key holds
// the duty and renews the lease; when the lease ends, the key is deleted and another router may
// create it. The fencing number is the store's revision of the key, which grows with every change
// of holder.
//
// A holder may have been paused, or its renewals may be lost, so it relies on its own monotonic
// clock: the store keeps the lease for its time to live from the start of the last successful grant
// or renewal, and the holder uses that time less a margin. `may_order` has to be called with the
// current time right before each order.
//
// A holder that is paused between that check and the sending still sends a stale order. Endpoints
// that check the number refuse it. Before ordering endpoints that do not, a new holder waits for
// the lease's time to live (in case the store deleted the key early) plus the longest time of an
// order. An order that arrives even later is corrected only by repeating the current one, which the
// holder should do from time to time, with orders that set a state.
//
// Candidates read the key every few seconds, so limit the number of routers that are candidates.
class lease_holder {
public:
    using action = std::variant<store_call, duty_taken, duty_lost, unreadable_value>;

    // The codec must outlive the holder.
    lease_holder(lease_holder_settings settings, const duty_codec& codec, decision::instant now);

    // Whether this router takes the duty when it is available. A router that holds it keeps it.
    void set_candidate(bool candidate) { this->is_candidate = candidate; }

    // Has to be called about every 100 ms.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Releases the duty and does not take it again. No order may be in flight.
    void release();

    // Whether an order to endpoints that check the fencing number may be sent now.
    [[nodiscard]] bool may_order(decision::instant now) const;

    // The same for endpoints that do not check it.
    [[nodiscard]] bool may_order_unchecked(decision::instant now) const;

    // Sent with each order; 0 while the duty is not held.
    [[nodiscard]] fencing_number number() const { return this->taken ? this->taken->number : 0; }

private:
    enum class phase { polling, granting, creating, checking, renewing };

    struct holding {
        fencing_number number = 0;
        decision::instant since;
    };

    void call(phase next, kv_request request, decision::instant now);
    void on_polled(const kv_reply& reply, decision::instant now);
    void on_granted(const kv_reply& reply, decision::instant now);
    void on_created(const kv_reply& reply, decision::instant now);
    void on_checked(const kv_reply& reply, decision::instant now);
    void on_renewed(const kv_reply& reply, decision::instant now);
    void create(decision::instant now);
    void take(fencing_number number, decision::instant now);
    void give_up(decision::instant now);
    [[nodiscard]] std::optional<duty_record> read(const kv_reply& reply);
    [[nodiscard]] decision::duration jitter();

    lease_holder_settings settings;
    const duty_codec& codec;
    std::string key;
    bool is_candidate = false;
    std::uint64_t random;

    phase step = phase::polling;
    decision::instant due;
    std::optional<call_tag> open_call;
    decision::instant call_start;
    lease_number lease = 0;
    decision::instant lease_start; // start of the last successful grant or renewal
    std::optional<holding> taken;

    call_tag next_tag = 1;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
