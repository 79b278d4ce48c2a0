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

// Who holds a duty. The lease tells two attempts of one router apart.
struct duty_record {
    incarnation_id holder;
    lease_number lease = 0;

    friend bool operator==(const duty_record&, const duty_record&) = default;
};

// Port to the stored form of a duty's record. Pure.
class duty_codec {
public:
    virtual ~duty_codec() = default;
    [[nodiscard]] virtual std::string write_duty(const duty_record& record) const = 0;
    [[nodiscard]] virtual std::optional<duty_record> read_duty(std::string_view text) const = 0;
};

// Orders that carry a higher number are newer, whoever gave them.
using fencing_number = std::uint64_t;

struct lease_holder_settings {
    std::string duty;
    incarnation_id self;
    std::uint64_t seed = 0; // spreads the candidates' attempts; any number
    decision::duration time_to_live = std::chrono::seconds{10};
    // Taken off the lease's end, for the difference in rate of two clocks and for the time between
    // a look at `may_order` and the sending of the order.
    decision::duration margin = std::chrono::seconds{2};
    // After this no endpoint still acts on an order that was sent.
    decision::duration longest_order = std::chrono::seconds{10};
    decision::duration poll_period = std::chrono::seconds{2}; // of candidates that do not hold it
    decision::duration retry = std::chrono::milliseconds{500};
};

// This router holds the duty from now on.
struct duty_taken {
    fencing_number number = 0;

    friend bool operator==(const duty_taken&, const duty_taken&) = default;
};

// This router holds the duty no more, by its own clock or by the store's word.
struct duty_lost {
    friend bool operator==(const duty_lost&, const duty_lost&) = default;
};

// One duty that at most one router does at a time, such as advancing roll-outs.
//
// The duty is a key in the store that hangs on a lease. Who creates it holds the duty and renews
// the lease; when it ends, the key goes and another may create it. The fencing number is the
// store's revision of the key, which grows with every change of holder.
//
// A holder may have been paused, or its renewals may be lost. So it goes by its own monotonic
// clock: from the start of the last grant or renewal that succeeded, the store keeps the lease for
// its time, and the holder counts on that less a margin. `may_order` is asked with the time read
// right before each order.
//
// A holder that is paused between that look and the sending still sends a stale order. Endpoints
// that check the number refuse it. For those that do not, a new holder first waits for the lease's
// time (should the store have dropped the key early) and the longest time of an order; what comes
// even later than that is put right only by giving the order again, which the holder should do now
// and then, with orders that set a state.
//
// Candidates look at the key every few seconds: let only a bounded number of routers be candidates.
class lease_holder {
public:
    using action = std::variant<store_call, duty_taken, duty_lost, unreadable_value>;

    // The codec must outlive the holder.
    lease_holder(lease_holder_settings settings, const duty_codec& codec, decision::instant now);

    // Whether this router takes the duty when it is free. One that holds it keeps it.
    void set_candidate(bool candidate) { this->is_candidate = candidate; }

    // To be called every 100 ms or so.
    void on_tick(decision::instant now);
    void on_reply(call_tag tag, const kv_reply& reply, decision::instant now);
    [[nodiscard]] std::vector<action> take_actions();

    // Gives the duty up, and does not take it again. No order may be under way.
    void release();

    // Whether an order to endpoints that check the fencing number may be sent now.
    [[nodiscard]] bool may_order(decision::instant now) const;

    // The same for endpoints that do not check it.
    [[nodiscard]] bool may_order_unchecked(decision::instant now) const;

    // Goes with each order; 0 while the duty is not held.
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
    decision::instant lease_start; // of the last grant or renewal that succeeded
    std::optional<holding> taken;

    call_tag next_tag = 1;
    std::vector<action> actions;
};

} // namespace pearhaven::coordination

#endif
